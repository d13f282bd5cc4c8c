#ifndef BALSAMRACK_PACKETS_CONNECTIONPROBER_H
#define BALSAMRACK_PACKETS_CONNECTIONPROBER_H

#include <poll.h>

#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/PacketRouter.h"

namespace balsamrack {

/// How a connection attempt ended.
struct ConnectionAttemptResult {
  ServerIndex Server = NoServerIndex;                       ///< Which server.
  ConnectionResult Result = ConnectionResult::NotAttempted; ///< How it ended.
};

/// Asks silent servers whether they are there: opens a TCP connection and
/// closes it. That takes no slot of the server, unlike a request, and no caller
/// waits for it. Not thread-safe.
class ConnectionProber {
public:
  /// Attempts at the same time; more wait for their next turn.
  static constexpr size_t MaxConcurrent = 32;

  ConnectionProber() = default;
  ConnectionProber(const ConnectionProber &) = delete;
  ConnectionProber &operator=(const ConnectionProber &) = delete;
  ~ConnectionProber();

  /// Begins an attempt. One that can't be begun ends as not attempted.
  void start(TimePoint now, const ConnectionAttempt &attempt);
  /// Adds what to poll for.
  void addPollFds(std::vector<pollfd> &polled) const;
  /// When an attempt is over time; the far future for never.
  TimePoint nextTimeout() const;
  /// The attempts that have ended since the last call.
  std::vector<ConnectionAttemptResult> takeFinished(TimePoint now);

private:
  /// An attempt under way.
  struct PendingAttempt {
    ServerIndex Server; ///< Whom it asks.
    int Fd;             ///< Its socket.
    TimePoint Deadline; ///< Over time then.
  };

  std::vector<PendingAttempt> Attempts;         ///< Under way.
  std::vector<ConnectionAttemptResult> Results; ///< Not told yet.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_CONNECTIONPROBER_H

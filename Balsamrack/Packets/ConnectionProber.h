#ifndef BALSAMRACK_PACKETS_CONNECTIONPROBER_H
#define BALSAMRACK_PACKETS_CONNECTIONPROBER_H

#include <poll.h>

#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/PacketRouter.h"

namespace balsamrack {

/// How a connection attempt ended.
struct AttemptResult {
  ServerIndex Server = NoServerIndex;        ///< Which server.
  AttemptEnd How = AttemptEnd::NotAttempted; ///< How it ended.
};

/// Asks silent servers whether they are there: opens a TCP connection and
/// closes it. That takes no slot of the server, unlike a request, and no caller
/// waits for it. Not thread-safe.
class ConnectionProber {
public:
  /// Attempts at the same time; more wait for their next turn.
  static constexpr size_t MostAtOnce = 32;

  ConnectionProber() = default;
  ConnectionProber(const ConnectionProber &) = delete;
  ConnectionProber &operator=(const ConnectionProber &) = delete;
  ~ConnectionProber();

  /// Begins an attempt. One that can't be begun ends as not attempted.
  void start(TimePoint now, const ConnectionAttempt &attempt);
  /// Adds what to poll for.
  void addTo(std::vector<pollfd> &polled) const;
  /// When an attempt is over time; the far future for never.
  TimePoint nextTimeout() const;
  /// The attempts that have ended since the last call.
  std::vector<AttemptResult> finished(TimePoint now);

private:
  /// An attempt under way.
  struct Open {
    ServerIndex Server; ///< Whom it asks.
    int Fd;             ///< Its socket.
    TimePoint Until;    ///< Over time then.
  };

  std::vector<Open> Attempts;         ///< Under way.
  std::vector<AttemptResult> Results; ///< Not told yet.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_CONNECTIONPROBER_H

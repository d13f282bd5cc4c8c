#ifndef BALSAMRACK_PACKETS_CONNECTIONPROBER_H
#define BALSAMRACK_PACKETS_CONNECTIONPROBER_H

#include <poll.h>

#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/PacketRouter.h"

namespace balsamrack {

/// Result of a connection attempt, with its server.
struct ConnectionAttemptResult {
  ServerIndex Server = NoServerIndex; ///< Server that was probed.
  ConnectionResult Result =
      ConnectionResult::NotAttempted; ///< Result of the attempt.
};

/// Probes silent servers by opening and closing a TCP connection. Unlike a
/// request, this occupies no slot of the server, and no caller waits for it.
/// Not thread-safe.
class ConnectionProber {
public:
  /// Maximum number of concurrent attempts. Further ones end as not attempted
  /// and are retried when they are next due.
  static constexpr size_t MaxConcurrent = 32;

  ConnectionProber() = default;
  ConnectionProber(const ConnectionProber &) = delete;
  ConnectionProber &operator=(const ConnectionProber &) = delete;
  ~ConnectionProber();

  /// Starts an attempt. If it cannot be started, its result is NotAttempted.
  void start(TimePoint now, const ConnectionAttempt &attempt);
  /// Appends the descriptors to poll.
  void addPollFds(std::vector<pollfd> &polled) const;
  /// When the next attempt times out; the far future for never. The distant
  /// past when results are available.
  TimePoint nextTimeout() const;
  /// Returns the attempts that have ended since the last call.
  std::vector<ConnectionAttemptResult> takeFinished(TimePoint now);

private:
  /// An attempt in progress.
  struct PendingAttempt {
    ServerIndex Server; ///< Server that is probed.
    int Fd;             ///< Its socket.
    TimePoint Deadline; ///< When it times out.
  };

  std::vector<PendingAttempt> Attempts;         ///< In progress.
  std::vector<ConnectionAttemptResult> Results; ///< Not yet returned.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_CONNECTIONPROBER_H

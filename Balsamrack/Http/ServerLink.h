#ifndef BALSAMRACK_HTTP_SERVERLINK_H
#define BALSAMRACK_HTTP_SERVERLINK_H

#include <cstdint>
#include <functional>
#include <memory>

#include "Balsamrack/World/Request.h"
#include "Balsamrack/World/World.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Result of one dispatch.
struct DispatchResult {
  DispatchOutcome How = DispatchOutcome::Failed; ///< What became of it.
  Answer Content;                                ///< Set when Answered.
  InstanceId
      Instance;     ///< Run of the server process that answered; may be empty.
  Duration Took{0}; ///< From the send to the end.
  Duration RetryAfter{0}; ///< The server's wish, when Shed.
};

/// Carries admitted requests to backend servers. Knows nothing of slots: the
/// owner has counted before.
class ServerLink {
public:
  using Done = std::function<void(DispatchResult)>;

  virtual ~ServerLink() = default;
  /// Sends \p message to \p server, with \p timeout as its remaining time, and
  /// calls \p done exactly once, on a thread of the link, never from within
  /// this call. Never blocks. Thread-safe.
  virtual void dispatch(const BackendServer &server, const Envelope &head,
                        const Message &message, Duration timeout,
                        Done done) = 0;
  /// Ends the dispatch of \p request if it still runs: as Failed, and the
  /// server is told that nobody waits any more; or as Unreachable when nothing
  /// had left yet. Thread-safe.
  virtual void cancel(RequestId request) = 0;
  /// Waits until all dispatches have ended and joins the threads. A dispatch
  /// after that ends at once as Unreachable, on the caller's thread. Must not
  /// be called from within Done. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

/// Limits of the link.
struct ServerLinkSettings {
  std::function<bool()> MaySend; ///< Asked on the link's thread right before
                                 ///< a message leaves; false: it ends as
                                 ///< Unreachable. Empty: always true. Guards
                                 ///< against a dispatch that waited for its
                                 ///< connection while its owner lost
                                 ///< authority. Must not block.
  uint32_t Loops = 2; ///< Threads; each carries any number of dispatches.
  uint32_t MaxDispatches = 64; ///< At the same time; one more ends at once as
                               ///< Unreachable.
  Duration ConnectTimeout{500'000};  ///< For one connection.
  uint32_t MaxAnswerBytes = 4 << 20; ///< A larger answer counts as Failed.
};

/// Makes the HTTP link. Error kInternal (step dispatch) when its threads can't
/// be started. Thread-safe.
absl::StatusOr<std::unique_ptr<ServerLink>>
createHttpServerLink(const ServerLinkSettings &settings);

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_SERVERLINK_H

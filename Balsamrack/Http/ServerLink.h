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
  DispatchOutcome How = DispatchOutcome::Failed; ///< Outcome of the dispatch.
  Answer Content;                                ///< Response, if Answered.
  InstanceId
      Instance; ///< Instance of the server process that answered; may be empty.
  Duration Took{0};       ///< Time from the send to the end.
  Duration RetryAfter{0}; ///< Delay requested by the server, if Shed.
};

/// Sends admitted requests to backend servers. Does not count slots: the owner
/// has done so before.
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
  /// Ends the dispatch of \p request if it is in progress: as Failed, and the
  /// server is told that the request was cancelled; or as Unreachable if
  /// nothing was sent yet. Thread-safe.
  virtual void cancel(RequestId request) = 0;
  /// Waits until all dispatches have ended and joins the threads. A later
  /// dispatch ends at once as Unreachable, on the calling thread. Must not be
  /// called from within Done. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

/// Limits of the link.
struct ServerLinkSettings {
  std::function<bool()>
      MaySend; ///< Called on the link's thread right before a message is sent;
               ///< false: it ends as Unreachable. Empty: always true. Guards
               ///< against a dispatch that waited for its connection while its
               ///< owner lost authority. Must not block.
  uint32_t Loops = 2;          ///< Threads; each runs many dispatches.
  uint32_t MaxDispatches = 64; ///< Limit on concurrent dispatches; one more
                               ///< ends at once as Unreachable.
  Duration ConnectTimeout{500'000};  ///< Timeout for opening a connection.
  uint32_t MaxAnswerBytes = 4 << 20; ///< A larger response counts as Failed.
};

/// Creates the HTTP link. Error kInternal (step dispatch) when its threads
/// can't be started. Thread-safe.
absl::StatusOr<std::unique_ptr<ServerLink>>
createHttpServerLink(const ServerLinkSettings &settings);

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_SERVERLINK_H

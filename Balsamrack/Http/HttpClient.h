#ifndef BALSAMRACK_HTTP_HTTPCLIENT_H
#define BALSAMRACK_HTTP_HTTPCLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// One HTTP exchange that we begin.
struct HttpCall {
  uint64_t Tag = 0; ///< Names the call for cancel(); need not be unique.
  Address To;       ///< Whom to ask.
  Message Content;  ///< What to send; hop-by-hop fields are left out.
  Duration ConnectTimeout{500'000};  ///< For the connection.
  Duration Timeout{10'000'000};      ///< For the whole exchange.
  Duration StallTimeout{0};          ///< Without a byte of the answer; zero:
                                     ///< Timeout alone counts.
  uint32_t MaxAnswerBytes = 4 << 20; ///< A longer body is an error.
  bool SendOnce = true; ///< Never send it a second time, not even when a kept
                        ///< connection turns out to be dead.
  std::function<bool()> MaySend; ///< Asked on the client's thread right before
                                 ///< each send; false: nothing is sent. Empty:
                                 ///< always true. Must not block.
};

/// What became of a call, as far as it can be proved.
enum class HttpCallOutcome {
  Answered, ///< The whole answer came.
  NotSent,  ///< Not a byte of the request left this process.
  Failed,   ///< Some of the request may have left, and no whole answer came.
};

/// Result of a call.
struct HttpCallResult {
  HttpCallOutcome How = HttpCallOutcome::NotSent; ///< What became of it.
  bool Cancelled = false; ///< Ended by cancel(), cancelAll() or stop().
  Answer Content;         ///< Set when Answered; without hop-by-hop fields.
  std::string Error;      ///< Why, unless Answered.
  Duration Took{0};       ///< From start() to the end.
};

/// HTTP/1.1 client on libcurl: one thread carries all calls and keeps
/// connections for further use. ulfius' own client is not used, because it
/// opens a connection for each request, has no connect timeout, can't be
/// cancelled and does not tell what left from what did not.
class HttpClient {
public:
  using Done = std::function<void(HttpCallResult)>;

  /// Starts the thread. Error kInternal, without step. Thread-safe.
  static absl::StatusOr<std::unique_ptr<HttpClient>> create();
  virtual ~HttpClient() = default;
  /// Begins \p call; \p done is called exactly once, on the client's thread,
  /// and must not block. After stop() it is called at once, with NotSent. Never
  /// blocks. Thread-safe.
  virtual void start(HttpCall call, Done done) = 0;
  /// Ends the calls that have \p tag. Thread-safe.
  virtual void cancel(uint64_t tag) = 0;
  /// Ends all calls. Thread-safe.
  virtual void cancelAll() = 0;
  /// Waits until all calls have ended, and joins the thread. Must not be called
  /// from within Done. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_HTTPCLIENT_H

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

/// One HTTP request to be sent.
struct HttpCall {
  uint64_t Tag = 0; ///< Identifies the call to cancel(); need not be unique.
  Address To;       ///< Server to connect to.
  Message Content;  ///< Message to send; hop-by-hop fields are removed.
  Duration ConnectTimeout{500'000}; ///< Timeout for connecting.
  Duration Timeout{10'000'000};     ///< Timeout for the whole exchange.
  Duration StallTimeout{0}; ///< Longest time without a byte of the response;
                            ///< zero: only Timeout applies.
  uint32_t MaxAnswerBytes = 4 << 20; ///< A larger response body is an error.
  bool SendOnce = true; ///< Never send it a second time, not even when a reused
                        ///< connection turns out to be closed.
  std::function<bool()>
      MaySend; ///< Called on the client's thread right before each send; false:
               ///< nothing is sent. Empty: always true. Must not block.
};

/// Outcome of a call, as far as it can be proved.
enum class HttpCallOutcome {
  Answered, ///< The complete response was received.
  NotSent,  ///< No byte of the request left this process.
  Failed, ///< Part of the request may have been sent, and no complete response
          ///< was received.
};

/// Result of a call.
struct HttpCallResult {
  HttpCallOutcome How = HttpCallOutcome::NotSent; ///< Outcome of the call.
  bool TooLarge = false;  ///< The response exceeds HttpCall::MaxAnswerBytes.
  bool Cancelled = false; ///< Ended by cancel(), cancelAll() or stop().
  Answer Content;         ///< Response, if Answered; without hop-by-hop fields.
  std::string Error;      ///< Reason, unless Answered.
  Duration Took{0};       ///< Time from start() to the end of the call.
};

/// HTTP/1.1 client based on libcurl. One thread runs all calls and reuses
/// connections. ulfius' own client is not used, because it opens a connection
/// for each request, has no connect timeout, can't be cancelled and does not
/// report whether a failed request was sent.
class HttpClient {
public:
  using Done = std::function<void(HttpCallResult)>;

  /// Starts the thread. Error kInternal, without step. Thread-safe.
  static absl::StatusOr<std::unique_ptr<HttpClient>> create();
  virtual ~HttpClient() = default;
  /// Starts \p call; \p done is called exactly once, on the client's thread,
  /// and must not block. After stop() it is called at once, with NotSent. Never
  /// blocks. Thread-safe.
  virtual void start(HttpCall call, Done done) = 0;
  /// Cancels the calls with \p tag. Thread-safe.
  virtual void cancel(uint64_t tag) = 0;
  /// Cancels all calls. Thread-safe.
  virtual void cancelAll() = 0;
  /// Waits until all calls have ended, and joins the thread. Must not be called
  /// from within Done. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_HTTPCLIENT_H

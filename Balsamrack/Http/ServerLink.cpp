#include "Balsamrack/Http/ServerLink.h"

#include <algorithm>
#include <atomic>
#include <strings.h>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Http/HeaderRules.h"
#include "Balsamrack/Http/HttpClient.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

constexpr uint32_t HttpUnavailable = 503;
constexpr Duration CancelTimeout{1'000'000};
constexpr uint32_t MaxRetryAfterSeconds = 3600;
constexpr const char *CancelTarget = "/balsamrack/cancel";
constexpr const char *OwnFieldPrefix = "Balsamrack-";

std::string hex(uint64_t value) { return absl::StrFormat("%016x", value); }

/// Header of the request to a server: the original fields, except that those
/// which describe this hop are replaced.
HeaderList requestHeaders(const Envelope &head, const Message &message,
                          Duration timeout) {
  HeaderList own = {{"Request-Timeout", std::to_string(timeout.count() / 1000)},
                    {"Balsamrack-Request", hex(head.Request.Value)},
                    {"Balsamrack-Flow", hex(head.Flow.Value)}};
  if (!head.Trace.empty())
    own.emplace_back("traceparent", head.Trace);
  HeaderList all;
  for (const auto &field : message.Headers)
    if (!findHeader(own, field.first))
      all.push_back(field);
  all.insert(all.end(), own.begin(), own.end());
  return all;
}

/// Removes fields with this project's prefix, by which a server could pass for
/// the load balancer towards the caller.
HeaderList withoutOwnFields(HeaderList headers) {
  auto own = [](const auto &field) {
    return absl::StartsWithIgnoreCase(field.first, OwnFieldPrefix);
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), own),
                headers.end());
  return headers;
}

Duration retryAfter(const HeaderList &headers) {
  const std::string *text = findHeader(headers, "Retry-After");
  uint32_t seconds = 0;
  if (!text || !absl::SimpleAtoi(*text, &seconds))
    return Duration(0);
  return std::chrono::seconds(std::min(seconds, MaxRetryAfterSeconds));
}

bool isShed(const Answer &answer) {
  const std::string *run = findHeader(answer.Headers, "Balsamrack-Run");
  return answer.Status == HttpUnavailable && run &&
         strcasecmp(run->c_str(), "no") == 0;
}

DispatchResult resultOf(HttpCallResult call) {
  DispatchResult result;
  result.Took = call.Took;
  if (call.How != HttpCallOutcome::Answered) {
    result.How = call.How == HttpCallOutcome::NotSent
                     ? DispatchOutcome::Unreachable
                     : DispatchOutcome::Failed;
    return result;
  }
  if (const auto *name =
          findHeader(call.Content.Headers, "Balsamrack-Instance"))
    result.Instance = InstanceId(*name);
  if (isShed(call.Content)) {
    result.How = DispatchOutcome::Shed;
    result.RetryAfter = retryAfter(call.Content.Headers);
    return result;
  }
  result.How = DispatchOutcome::Answered;
  result.Content = std::move(call.Content);
  result.Content.Headers = withoutOwnFields(std::move(result.Content.Headers));
  return result;
}

/// Distributes servers over a few event loops. Each server always uses the same
/// loop, which keeps its connections.
class HttpServerLink final : public ServerLink {
public:
  explicit HttpServerLink(const ServerLinkSettings &settings)
      : Settings(settings) {}
  ~HttpServerLink() override { HttpServerLink::stop(); }

  absl::Status start();
  void dispatch(const BackendServer &server, const Envelope &head,
                const Message &message, Duration timeout, Done done) override;
  void cancel(RequestId request) override {
    for (const auto &one : Loops)
      one->cancel(request.Value);
  }
  void stop() override {
    for (const auto &one : Loops)
      one->stop();
  }

private:
  void sendCancel(HttpClient &loop, const Address &server, RequestId request);

  const ServerLinkSettings Settings;
  std::atomic<uint32_t> Running{0}; ///< Dispatches that have not ended.
  std::vector<std::unique_ptr<HttpClient>> Loops;
};

absl::Status HttpServerLink::start() {
  for (uint32_t i = 0; i < std::max(Settings.Loops, 1U); ++i) {
    auto loop = HttpClient::create();
    if (!loop.ok())
      return addErrorContext(loop.status(), Step::Dispatch, "");
    Loops.push_back(*std::move(loop));
  }
  return absl::OkStatus();
}

void HttpServerLink::dispatch(const BackendServer &server, const Envelope &head,
                              const Message &message, Duration timeout,
                              Done done) {
  HttpCall call;
  call.Tag = head.Request.Value;
  call.To = server.At;
  call.Content = message;
  call.Content.Headers = requestHeaders(head, message, timeout);
  call.ConnectTimeout = Settings.ConnectTimeout;
  call.Timeout = timeout;
  call.MaxAnswerBytes = Settings.MaxAnswerBytes;
  call.SendOnce = head.Kind == Semantics::RunOnce;
  call.MaySend = Settings.MaySend;
  // A call without remaining time ends as NotSent on the link's thread, as
  // dispatch() promises.
  if (++Running > Settings.MaxDispatches)
    call.Timeout = Duration(0);
  HttpClient &loop = *Loops[server.Id.hash() % Loops.size()];
  auto finish = [this, &loop, to = server.At, request = head.Request,
                 done = std::move(done)](HttpCallResult result) {
    if (result.Cancelled && result.How == HttpCallOutcome::Failed)
      sendCancel(loop, to, request);
    --Running;
    done(resultOf(std::move(result)));
  };
  loop.start(std::move(call), std::move(finish));
}

void HttpServerLink::sendCancel(HttpClient &loop, const Address &server,
                                RequestId request) {
  HttpCall call;
  call.To = server;
  call.Content.Method = "POST";
  call.Content.Target = CancelTarget;
  call.Content.Headers = {{"Balsamrack-Request", hex(request.Value)}};
  call.ConnectTimeout = Settings.ConnectTimeout;
  call.Timeout = CancelTimeout;
  // Best effort: a server that does not receive it continues until its
  // deadline.
  loop.start(std::move(call), [](const HttpCallResult &) {});
}

} // namespace

absl::StatusOr<std::unique_ptr<ServerLink>>
createHttpServerLink(const ServerLinkSettings &settings) {
  auto made = std::make_unique<HttpServerLink>(settings);
  absl::Status status = made->start();
  if (!status.ok())
    return status;
  return made;
}

} // namespace balsamrack

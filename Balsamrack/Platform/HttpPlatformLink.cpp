#include <atomic>
#include <future>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Http/HttpClient.h"
#include "Balsamrack/Platform/PlatformLink.h"
#include "Balsamrack/Platform/PlatformPages.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr Duration ConnectTimeout{1'000'000};
constexpr Duration AnswerTimeout{2'000'000}; ///< Added to the requested wait.
constexpr uint32_t HttpOk = 200;

class HttpPlatformLink final : public PlatformLink {
public:
  HttpPlatformLink(const Address &at,
                   absl::StatusOr<std::unique_ptr<HttpClient>> client)
      : At(at), Client(std::move(client)) {}
  ~HttpPlatformLink() override { HttpPlatformLink::stop(); }

  absl::StatusOr<TicketPage> readTickets(TicketNumber after,
                                         Duration wait) override;
  absl::StatusOr<VmPage> readVms(uint64_t after, Duration wait) override;
  void stop() override;

private:
  absl::Status linkError(absl::StatusCode code, const std::string &what) const {
    return makeError(code, Step::ReadPlatform, At.str(), what);
  }
  absl::StatusOr<std::string> read(const char *resource, uint64_t after,
                                   Duration wait);

  const Address At;
  const absl::StatusOr<std::unique_ptr<HttpClient>> Client;
  std::atomic<bool> Stopped{false};
};

absl::StatusOr<std::string>
HttpPlatformLink::read(const char *resource, uint64_t after, Duration wait) {
  if (!Client.ok())
    return linkError(absl::StatusCode::kInternal,
                     std::string(Client.status().message()));
  HttpCall call;
  call.To = At;
  call.Content.Target = absl::StrCat("/v1/", resource, "?after=", after,
                                     "&wait_ms=", wait.count() / 1000);
  call.ConnectTimeout = ConnectTimeout;
  call.Timeout = wait + AnswerTimeout;
  call.MaxAnswerBytes = MaxPlatformPageBytes;
  call.SendOnce = false;
  auto result = std::make_shared<std::promise<HttpCallResult>>();
  (*Client)->start(std::move(call), [result](HttpCallResult r) {
    result->set_value(std::move(r));
  });
  HttpCallResult outcome = result->get_future().get();
  if (outcome.Cancelled)
    return linkError(absl::StatusCode::kCancelled, "stopped");
  if (outcome.How != HttpCallOutcome::Answered)
    return linkError(outcome.Took >= wait + AnswerTimeout
                         ? absl::StatusCode::kDeadlineExceeded
                         : absl::StatusCode::kUnavailable,
                     outcome.Error);
  if (outcome.Content.Status != HttpOk)
    return linkError(
        absl::StatusCode::kUnavailable,
        absl::StrCat("answered with status ", outcome.Content.Status));
  return std::move(outcome.Content.Body);
}

absl::StatusOr<TicketPage> HttpPlatformLink::readTickets(TicketNumber after,
                                                         Duration wait) {
  auto text = read("tickets", after.Value, wait);
  if (!text.ok())
    return text.status();
  auto page = decodeTicketPage(*text);
  if (!page.ok())
    return linkError(page.status().code(),
                     std::string(page.status().message()));
  return page;
}

absl::StatusOr<VmPage> HttpPlatformLink::readVms(uint64_t after,
                                                 Duration wait) {
  auto text = read("vms", after, wait);
  if (!text.ok())
    return text.status();
  auto page = decodeVmPage(*text);
  if (!page.ok())
    return linkError(page.status().code(),
                     std::string(page.status().message()));
  return page;
}

void HttpPlatformLink::stop() {
  if (Stopped.exchange(true) || !Client.ok())
    return;
  (*Client)->cancelAll();
  (*Client)->stop();
}

} // namespace

std::unique_ptr<PlatformLink> createHttpPlatformLink(const Address &at) {
  return std::make_unique<HttpPlatformLink>(at, HttpClient::create());
}

} // namespace balsamrack

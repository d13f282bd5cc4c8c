#include "Balsamrack/Http/HttpClient.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "Balsamrack/Http/CurlExchange.h"

namespace balsamrack {

namespace {

using Instant = std::chrono::steady_clock::time_point;

constexpr int MaxPollMillis = 1000;
constexpr long MaxKeptConnections = 256;

/// Initializes libcurl's global state, once and before any thread uses it.
bool initCurl() {
  static const bool done = curl_global_init(CURL_GLOBAL_ALL) == CURLE_OK;
  return done;
}

class CurlClient final : public HttpClient {
public:
  CurlClient() : Multi(curl_multi_init()) {
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxKeptConnections);
  }
  CurlClient(const CurlClient &) = delete;
  CurlClient &operator=(const CurlClient &) = delete;
  ~CurlClient() override {
    CurlClient::stop();
    curl_multi_cleanup(Multi);
  }

  absl::Status startThread();
  void start(HttpCall call, Done done) override;
  void cancel(uint64_t tag) override {
    post([this, tag] { CancelledTags.push_back(tag); });
  }
  void cancelAll() override {
    post([this] { CancelAll = true; });
  }
  void stop() override;

private:
  using Exchanges = std::vector<std::unique_ptr<CurlExchange>>;

  /// Commands of other threads to the loop.
  struct Commands {
    Exchanges NewExchanges;
    std::vector<uint64_t> CancelledTags;
    bool CancelAll = false;
    bool Stopping = false;
  };

  template <class Change> void post(Change change) {
    {
      std::lock_guard<std::mutex> hold(Lock);
      change();
    }
    curl_multi_wakeup(Multi);
  }
  Commands takeCommands();
  void run();
  void addExchange(std::unique_ptr<CurlExchange> exchange);
  void reapFinished();
  void failStalled();
  int pollMillis() const;
  void finish(CURL *handle, CURLcode code, bool cancelled);
  template <class Predicate> void cancelIf(Predicate predicate);

  CURLM *const Multi;
  std::thread Loop;
  std::mutex StopLock; ///< Held while the thread is joined.
  std::map<CURL *, std::unique_ptr<CurlExchange>>
      Active; ///< Used only by Loop.
  std::set<CURL *>
      WithStallTimeout; ///< The calls in Active with a StallTimeout.

  std::mutex Lock; ///< Guards all members below.
  Exchanges NewExchanges;
  std::vector<uint64_t> CancelledTags;
  bool CancelAll = false;
  bool Stopping = false;
};

absl::Status CurlClient::startThread() {
  if (!Multi)
    return absl::InternalError("cannot initialize libcurl");
  try {
    Loop = std::thread([this] { run(); });
  } catch (const std::system_error &e) {
    return absl::InternalError(e.what());
  }
  return absl::OkStatus();
}

void CurlClient::start(HttpCall call, Done done) {
  auto exchange =
      std::make_unique<CurlExchange>(std::move(call), std::move(done));
  {
    std::lock_guard<std::mutex> hold(Lock);
    if (!Stopping) {
      NewExchanges.push_back(std::move(exchange));
      curl_multi_wakeup(Multi);
      return;
    }
  }
  exchange->finish(CURLE_OK, true);
}

CurlClient::Commands CurlClient::takeCommands() {
  std::lock_guard<std::mutex> hold(Lock);
  return {std::exchange(NewExchanges, {}), std::exchange(CancelledTags, {}),
          std::exchange(CancelAll, false), Stopping};
}

void CurlClient::addExchange(std::unique_ptr<CurlExchange> exchange) {
  if (!exchange->prepare()) {
    exchange->finish(CURLE_BAD_FUNCTION_ARGUMENT, false);
    return;
  }
  CURL *handle = exchange->handle();
  if (exchange->stallDeadline() != Instant::max())
    WithStallTimeout.insert(handle);
  Active[handle] = std::move(exchange);
  curl_multi_add_handle(Multi, handle);
}

void CurlClient::finish(CURL *handle, CURLcode code, bool cancelled) {
  auto it = Active.find(handle);
  if (it == Active.end())
    return;
  std::unique_ptr<CurlExchange> exchange = std::move(it->second);
  Active.erase(it);
  WithStallTimeout.erase(handle);
  // Closes the connection of a call that is not complete.
  curl_multi_remove_handle(Multi, handle);
  exchange->finish(code, cancelled);
}

template <class Predicate> void CurlClient::cancelIf(Predicate predicate) {
  std::vector<CURL *> found;
  for (const auto &[handle, exchange] : Active)
    if (predicate(*exchange))
      found.push_back(handle);
  for (CURL *handle : found)
    finish(handle, CURLE_OK, true);
}

void CurlClient::reapFinished() {
  int left = 0;
  std::vector<std::pair<CURL *, CURLcode>> ended;
  while (CURLMsg *message = curl_multi_info_read(Multi, &left))
    if (message->msg == CURLMSG_DONE)
      ended.emplace_back(message->easy_handle, message->data.result);
  for (const auto &[handle, code] : ended)
    finish(handle, code, false);
}

void CurlClient::failStalled() {
  if (WithStallTimeout.empty())
    return;
  Instant now = std::chrono::steady_clock::now();
  std::vector<CURL *> stalled;
  for (CURL *handle : WithStallTimeout)
    if (now >= Active.at(handle)->stallDeadline())
      stalled.push_back(handle);
  for (CURL *handle : stalled)
    finish(handle, CURLE_OPERATION_TIMEDOUT, false);
}

int CurlClient::pollMillis() const {
  using std::chrono::milliseconds;
  milliseconds wait(MaxPollMillis);
  if (WithStallTimeout.empty())
    return MaxPollMillis;
  Instant now = std::chrono::steady_clock::now();
  for (CURL *handle : WithStallTimeout)
    wait = std::min(wait, std::chrono::ceil<milliseconds>(
                              Active.at(handle)->stallDeadline() - now));
  return std::max(0, static_cast<int>(wait.count()));
}

void CurlClient::run() {
  for (;;) {
    Commands commands = takeCommands();
    for (auto &exchange : commands.NewExchanges)
      addExchange(std::move(exchange));
    // Calls that are complete already keep their responses.
    reapFinished();
    if (commands.CancelAll)
      cancelIf([](const CurlExchange &) { return true; });
    for (uint64_t tag : commands.CancelledTags)
      cancelIf([&](const CurlExchange &e) { return e.tag() == tag; });
    int running = 0;
    curl_multi_perform(Multi, &running);
    reapFinished();
    failStalled();
    if (commands.Stopping && Active.empty() && commands.NewExchanges.empty())
      return;
    curl_multi_poll(Multi, nullptr, 0, pollMillis(), nullptr);
  }
}

void CurlClient::stop() {
  std::lock_guard<std::mutex> hold(StopLock);
  post([this] { Stopping = true; });
  if (Loop.joinable())
    Loop.join();
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpClient>> HttpClient::create() {
  if (!initCurl())
    return absl::InternalError("cannot initialize libcurl");
  auto made = std::make_unique<CurlClient>();
  absl::Status status = made->startThread();
  if (!status.ok())
    return status;
  return made;
}

} // namespace balsamrack

#include "Balsamrack/Client/OperatorClient.h"

#include <atomic>
#include <thread>

#include <ulfius.h>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// Limits the number of threads; more would not speed up the calls.
constexpr size_t MaxThreads = 32;

std::string targetOf(const std::string &path,
                     const OperatorClient::Query &query) {
  std::string target = absl::StrCat("/v1/", path);
  const char *separator = "?";
  for (const auto &[name, value] : query) {
    char *encoded = ulfius_url_encode(value.c_str());
    absl::StrAppend(&target, separator, name, "=", encoded ? encoded : "");
    u_free(encoded);
    separator = "&";
  }
  return target;
}

} // namespace

absl::StatusOr<OperatorClient>
OperatorClient::create(std::vector<Address> daemons, Duration timeout) {
  if (daemons.empty())
    return absl::InvalidArgumentError("no daemons given");
  if (timeout <= Duration::zero())
    return absl::InvalidArgumentError("timeout must be positive");
  // libcurl's global state must be initialized before threads use it.
  ulfius_global_init();
  return OperatorClient(std::move(daemons), timeout);
}

std::vector<DaemonReply> OperatorClient::askAll(const std::string &path,
                                                const Query &query) const {
  const std::string target = targetOf(path, query);
  std::vector<DaemonReply> replies(Daemons.size());
  std::atomic<size_t> next{0};
  auto askNext = [&] {
    for (size_t i = next++; i < Daemons.size(); i = next++)
      replies[i] = ask(Daemons[i], target);
  };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < std::min(MaxThreads, Daemons.size()); ++i)
    threads.emplace_back(askNext);
  for (std::thread &it : threads)
    it.join();
  return replies;
}

DaemonReply OperatorClient::ask(const Address &daemon,
                                const std::string &target) const {
  DaemonReply reply;
  reply.Daemon = daemon;
  _u_request request;
  _u_response response;
  ulfius_init_request(&request);
  ulfius_init_response(&response);
  const std::string url = absl::StrCat("http://", daemon.str(), target);
  ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "GET",
                                U_OPT_HTTP_URL, url.c_str(), U_OPT_NONE);
  // The library only supports timeouts in whole seconds.
  request.timeout =
      (Timeout + std::chrono::milliseconds(999)) / std::chrono::seconds(1);
  if (ulfius_send_http_request(&request, &response) == U_OK) {
    reply.HttpStatus = response.status;
    reply.Body.assign(static_cast<const char *>(response.binary_body),
                      response.binary_body_length);
  } else {
    reply.CallStatus =
        makeError(absl::StatusCode::kUnavailable, Step::HandleOperatorRequest,
                  daemon.str(), "no reply");
  }
  ulfius_clean_request(&request);
  ulfius_clean_response(&response);
  return reply;
}

} // namespace balsamrack

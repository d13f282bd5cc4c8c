#include "StandIns/HttpServer.h"

#include <arpa/inet.h>
#include <ulfius.h>

#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace balsamrack::standins {

namespace {

Message messageOf(const struct _u_request *request) {
  Message m;
  m.Method = request->http_verb;
  m.Target = request->http_url;
  for (int i = 0; i < request->map_header->nb_values; ++i)
    m.Headers.emplace_back(request->map_header->keys[i],
                           request->map_header->values[i]);
  if (request->binary_body_length > 0)
    m.Body.assign(static_cast<const char *>(request->binary_body),
                  request->binary_body_length);
  return m;
}

int handleRequest(const struct _u_request *request,
                  struct _u_response *response, void *data) {
  const auto &handler = *static_cast<HttpHandler *>(data);
  Answer a = handler(messageOf(request));
  for (const auto &[name, value] : a.Headers)
    ulfius_add_header_to_response(response, name.c_str(), value.c_str());
  ulfius_set_binary_body_response(response, a.Status, a.Body.data(),
                                  a.Body.size());
  return U_CALLBACK_COMPLETE;
}

class UlfiusServer final : public HttpServer {
public:
  explicit UlfiusServer(HttpHandler handler) : Handler(std::move(handler)) {}
  ~UlfiusServer() override {
    if (Started)
      ulfius_stop_framework(&Instance);
    if (Initialized)
      ulfius_clean_instance(&Instance);
  }

  absl::Status start(const Address &at) {
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(at.Port);
    inet_pton(AF_INET, at.Ip.c_str(), &socketAddress.sin_addr);
    Initialized = ulfius_init_instance(&Instance, at.Port, &socketAddress,
                                       nullptr) == U_OK;
    if (!Initialized)
      return makeError(absl::StatusCode::kInternal, Step::Listen, at.str(),
                       "no instance");
    Instance.check_utf8 = 0;
    Instance.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_add_endpoint_by_val(&Instance, "*", nullptr, "*", 0, &handleRequest,
                               &Handler);
    ulfius_set_default_endpoint(&Instance, &handleRequest, &Handler);
    Started = ulfius_start_framework(&Instance) == U_OK;
    return Started ? absl::OkStatus()
                   : makeError(absl::StatusCode::kUnavailable, Step::Listen,
                               at.str(), "port can't be listened at");
  }

private:
  HttpHandler Handler;         ///< Answers every request.
  struct _u_instance Instance; ///< Server of the library.
  bool Initialized = false;    ///< Whether Instance is initialized.
  bool Started = false;        ///< Whether Instance listens.
};

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::listen(const Address &at, HttpHandler handler) {
  auto server = std::make_unique<UlfiusServer>(std::move(handler));
  absl::Status status = server->start(at);
  if (!status.ok())
    return status;
  return std::unique_ptr<HttpServer>(std::move(server));
}

std::string headerOf(const HeaderList &headers, const std::string &name) {
  for (const auto &[key, value] : headers)
    if (absl::EqualsIgnoreCase(key, name))
      return value;
  return "";
}

std::string queryParameter(const std::string &target, const std::string &name,
                           const std::string &fallback) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t end = target.find('&', at + 1);
    std::string part =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.compare(0, name.size() + 1, name + "=") == 0)
      return part.substr(name.size() + 1);
    at = end;
  }
  return fallback;
}

uint64_t numericQueryParameter(const std::string &target,
                               const std::string &name, uint64_t fallback) {
  uint64_t n = 0;
  return absl::SimpleAtoi(queryParameter(target, name, ""), &n) ? n : fallback;
}

std::string pathOf(const std::string &target) {
  return target.substr(0, target.find('?'));
}

Answer jsonAnswer(uint32_t status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace balsamrack::standins

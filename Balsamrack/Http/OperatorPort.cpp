#include "Balsamrack/Http/OperatorPort.h"

#include <utility>

#include "Balsamrack/Core/AddressSet.h"
#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Http/HttpListener.h"
#include "Balsamrack/Http/QueryString.h"
#include "nlohmann/json.hpp"

namespace balsamrack {

namespace {

constexpr uint32_t MaxRequestBytes = 4096;
constexpr uint32_t MaxOperatorConnections = 64;
constexpr const char *PathPrefix = "/v1/";

Answer errorAnswer(uint32_t status, const std::string &message) {
  nlohmann::json body = {{"error", message},
                         {"step", stepName(Step::HandleOperatorRequest)}};
  using ErrorHandler = nlohmann::json::error_handler_t;
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, ErrorHandler::replace) + "\n"};
}

class HttpOperatorPort final : public OperatorPort {
public:
  HttpOperatorPort(AddressSet allowed, OperatorHandler &handler)
      : Allowed(std::move(allowed)), Handler(handler) {}
  ~HttpOperatorPort() override { HttpOperatorPort::stop(); }

  absl::Status start(const Address &at);
  const Address &at() const override { return Listener->at(); }
  void stop() override {
    if (Listener)
      Listener->stop();
  }

private:
  Answer serve(const std::string &peerIp, const Message &message);

  const AddressSet Allowed;
  OperatorHandler &Handler;
  std::unique_ptr<HttpListener> Listener;
};

absl::Status HttpOperatorPort::start(const Address &at) {
  HttpListenerSettings limits;
  limits.At = at;
  limits.MaxBodyBytes = 0;
  limits.MaxHeaderBytes = MaxRequestBytes;
  limits.MaxConnections = MaxOperatorConnections;
  auto made = HttpListener::create(
      limits, [this](const std::string &peerIp, const Message &message) {
        return serve(peerIp, message);
      });
  if (!made.ok())
    return made.status();
  Listener = *std::move(made);
  return absl::OkStatus();
}

Answer HttpOperatorPort::serve(const std::string &peerIp,
                               const Message &message) {
  if (!Allowed.contains(peerIp))
    return errorAnswer(403, "address " + peerIp + " is not an operator's");
  if (message.Method != "GET") {
    Answer refused = errorAnswer(405, "only GET is answered here");
    refused.Headers.emplace_back("Allow", "GET");
    return refused;
  }
  auto target = parseTarget(message.Target);
  if (!target.ok())
    return errorAnswer(400, std::string(target.status().message()));
  // Default path of metrics collectors.
  std::string path = target->Path == "/metrics" ? "/v1/metrics" : target->Path;
  if (path.rfind(PathPrefix, 0) != 0)
    return errorAnswer(404, "paths begin with /v1/");
  OperatorRequest request{path.substr(4), std::move(target->Query)};
  OperatorReply reply = Handler.handle(request);
  return {reply.Status,
          {{"Content-Type", std::move(reply.ContentType)}},
          std::move(reply.Body)};
}

} // namespace

absl::StatusOr<std::unique_ptr<OperatorPort>>
OperatorPort::create(const Address &at, const std::vector<std::string> &allowed,
                     OperatorHandler &handler) {
  auto set = AddressSet::parse(allowed);
  if (!set.ok())
    return addErrorContext(set.status(), Step::Listen, at.str());
  auto made = std::make_unique<HttpOperatorPort>(*std::move(set), handler);
  absl::Status status = made->start(at);
  if (!status.ok())
    return status;
  return made;
}

} // namespace balsamrack

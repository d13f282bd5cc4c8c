#include "Balsamrack/Http/CallerPort.h"

#include <atomic>
#include <mutex>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Http/HttpListener.h"

namespace balsamrack {

namespace {

/// Header fields of a response to a message that never reached the handler.
HeaderList refusalHeaders() {
  return {
      {"Balsamrack-Ending", outcomeKindName(OutcomeKind::NotRun)},
      {"Balsamrack-Reason", reasonName(Reason::BadRequest)},
      {"Proxy-Status",
       std::string("balsamrack; error=http_request_error; details=\"step=") +
           stepName(Step::DecodeEnvelope) + "\""}};
}

class HttpCallerPort final : public CallerPort {
public:
  HttpCallerPort(CallerPortSettings settings, CallerHandler &handler)
      : Settings(std::move(settings)), Handler(handler) {}
  ~HttpCallerPort() override { stop(); }

  absl::Status open(uint16_t port) override;
  std::vector<uint16_t> ports() const override;
  void stop() override;

private:
  using Listeners = std::vector<std::unique_ptr<HttpListener>>;

  const CallerPortSettings Settings;
  CallerHandler &Handler;
  mutable std::mutex Lock; ///< Guards all members below.
  Listeners Open;          ///< Fixed once Stopped.
  bool Stopped = false;
};

absl::Status HttpCallerPort::open(uint16_t port) {
  std::lock_guard<std::mutex> hold(Lock);
  for (const auto &one : Open)
    if (port != 0 && one->at().Port == port)
      return absl::OkStatus();
  if (Stopped)
    return makeError(absl::StatusCode::kFailedPrecondition, Step::Listen,
                     Address{Settings.Ip, port}.str(), "already stopped");
  HttpListenerSettings limits;
  limits.At = {Settings.Ip, port};
  limits.MaxBodyBytes = Settings.MaxBodyBytes;
  limits.MaxHeaderBytes = Settings.MaxHeaderBytes;
  limits.MaxConnections = Settings.MaxConnections;
  limits.RefusalHeaders = refusalHeaders();
  // The handler gets the port number of the socket, never a value from the
  // message, because the port determines the service.
  auto boundPort = std::make_shared<std::atomic<uint16_t>>(port);
  auto made = HttpListener::create(
      limits, [this, boundPort](const std::string &peerIp, Message message) {
        return Handler.serve(*boundPort, peerIp, std::move(message));
      });
  if (!made.ok())
    return made.status();
  *boundPort = (*made)->at().Port;
  Open.push_back(*std::move(made));
  return absl::OkStatus();
}

std::vector<uint16_t> HttpCallerPort::ports() const {
  std::lock_guard<std::mutex> hold(Lock);
  std::vector<uint16_t> all;
  all.reserve(Open.size());
  for (const auto &one : Open)
    all.push_back(one->at().Port);
  return all;
}

void HttpCallerPort::stop() {
  {
    std::lock_guard<std::mutex> hold(Lock);
    Stopped = true;
    for (const auto &one : Open)
      one->quiesce();
  }
  // Without the lock: this waits for requests to end, and the code that ends
  // them may call open(). OpenListeners no longer changes once Stopped is set.
  for (const auto &one : Open)
    one->stop();
}

} // namespace

absl::StatusOr<std::unique_ptr<CallerPort>>
CallerPort::create(const CallerPortSettings &settings,
                   const std::vector<uint16_t> &ports, CallerHandler &handler) {
  auto made = std::make_unique<HttpCallerPort>(settings, handler);
  for (uint16_t port : ports) {
    absl::Status status = made->open(port);
    if (!status.ok())
      return status;
  }
  return made;
}

} // namespace balsamrack

#ifndef BALSAMRACK_STANDINS_HTTPSERVER_H
#define BALSAMRACK_STANDINS_HTTPSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack::standins {

/// Answers an HTTP message. Called on several threads concurrently; may block.
using HttpHandler = std::function<Answer(const Message &)>;

/// A small HTTP/1.1 server: one thread per connection, one handler for all
/// methods and targets.
class HttpServer {
public:
  /// Listens at \p at. Error (step listen) if that fails. Thread-safe.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  listen(const Address &at, HttpHandler handler);
  /// Closes the port and all connections and waits for running handlers.
  virtual ~HttpServer() = default;
};

/// Value of the first header \p name (case-insensitive), or an empty string.
/// Thread-safe.
std::string headerOf(const HeaderList &headers, const std::string &name);

/// Value of parameter \p name in the query of \p target, or \p fallback. Values
/// are not percent-decoded. Thread-safe.
std::string queryParameter(const std::string &target, const std::string &name,
                           const std::string &fallback);

/// Like queryParameter(), for numbers; \p fallback also if it is not a number.
/// Thread-safe.
uint64_t numericQueryParameter(const std::string &target,
                               const std::string &name, uint64_t fallback);

/// Path of \p target without its query. Thread-safe.
std::string pathOf(const std::string &target);

/// Returns an answer with a JSON body. Thread-safe.
Answer jsonAnswer(uint32_t status, std::string body);

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_HTTPSERVER_H

#ifndef BALSAMRACK_STANDINS_HTTPSERVER_H
#define BALSAMRACK_STANDINS_HTTPSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack::standins {

/// Answers one HTTP message. Called on many threads at once; may block.
using HttpHandler = std::function<Answer(const Message &)>;

/// A small HTTP/1.1 server: one thread a connection, every method and target
/// goes to one handler.
class HttpServer {
public:
  /// Listens at \p at. Error (step listen) when that fails. Thread-safe.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  listen(const Address &at, HttpHandler handler);
  /// Closes the port and all connections, and waits for running handlers.
  virtual ~HttpServer() = default;
};

/// The value of the first header \p name (any case), or an empty string.
/// Thread-safe.
std::string headerOf(const HeaderList &headers, const std::string &name);

/// The value of parameter \p name in the query of \p target, or \p fallback.
/// Values are taken as they stand, without percent decoding. Thread-safe.
std::string queryParameter(const std::string &target, const std::string &name,
                           const std::string &fallback);

/// As queryOf, for numbers; \p fallback also when it is no number. Thread-safe.
uint64_t numericQueryParameter(const std::string &target,
                               const std::string &name, uint64_t fallback);

/// The path of \p target, without its query. Thread-safe.
std::string pathOf(const std::string &target);

/// An answer with a JSON body. Thread-safe.
Answer jsonAnswer(uint32_t status, std::string body);

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_HTTPSERVER_H

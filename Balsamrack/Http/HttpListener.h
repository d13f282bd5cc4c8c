#ifndef BALSAMRACK_HTTP_HTTPLISTENER_H
#define BALSAMRACK_HTTP_HTTPLISTENER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Limits of one HTTP port.
struct HttpListenerSettings {
  Address At;                         ///< Where to listen; port 0: a free one.
  uint32_t MaxBodyBytes = 1 << 20;    ///< Larger messages get 413.
  uint32_t MaxHeaderBytes = 16 << 10; ///< Larger envelopes get 431.
  uint32_t MaxConnections = 4096;     ///< Connections, each with a thread.
  uint32_t IdleTimeoutSeconds = 75;   ///< An idle connection is closed then.
  HeaderList RefusalHeaders; ///< Added to 413, 431 and to the 503 of a port
                             ///< that is closing.
};

/// One HTTP/1.1 port on ulfius: any method, any path, whole messages, a thread
/// for each connection.
class HttpListener {
public:
  /// Serves one message of \p peerIp. Blocks for as long as it takes. Called on
  /// many threads at once.
  using RequestHandler =
      std::function<Answer(const std::string &peerIp, Message message)>;

  /// Starts to listen. Error (step listen, peer ip:port) when the port is
  /// taken, the address is not ours or the threads can't be started.
  /// Thread-safe.
  static absl::StatusOr<std::unique_ptr<HttpListener>>
  create(const HttpListenerSettings &settings, RequestHandler handler);
  virtual ~HttpListener() = default;
  /// Where it listens, with the real port. Thread-safe.
  virtual const Address &at() const = 0;
  /// Accepts no more connections; those that are open go on, and are told to
  /// close with their next answer. Idempotent. Thread-safe.
  virtual void quiesce() = 0;
  /// Quiesces, waits until each message that is being served has its answer
  /// written, and closes. Messages that come in after that are not served.
  /// Must not be called from within Serve. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_HTTPLISTENER_H

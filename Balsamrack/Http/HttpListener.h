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
  Address At; ///< Address to listen on; port 0: a free one.
  uint32_t MaxBodyBytes = 1 << 20;    ///< Larger bodies are rejected with 413.
  uint32_t MaxHeaderBytes = 16 << 10; ///< Larger envelopes (method, target and
                                      ///< header) are rejected with 431.
  uint32_t MaxConnections = 4096; ///< Limit on connections; each uses a thread.
  uint32_t IdleTimeoutSeconds = 75; ///< Idle connections are closed then.
  HeaderList RefusalHeaders; ///< Added to the responses 413, 431 and, while the
                             ///< port closes, 503.
};

/// One HTTP/1.1 port based on ulfius: accepts any method and path, reads
/// complete messages and uses a thread for each connection.
class HttpListener {
public:
  /// Handles one message from \p peerIp. May block. Called by many threads
  /// concurrently.
  using RequestHandler =
      std::function<Answer(const std::string &peerIp, Message message)>;

  /// Starts to listen. Error (step listen, peer ip:port) when the port is in
  /// use, the address is not local or the threads can't be started.
  /// Thread-safe.
  static absl::StatusOr<std::unique_ptr<HttpListener>>
  create(const HttpListenerSettings &settings, RequestHandler handler);
  virtual ~HttpListener() = default;
  /// Address that it listens on, with the actual port. Thread-safe.
  virtual const Address &at() const = 0;
  /// Accepts no more connections; open ones continue, and their next response
  /// asks the peer to close them. Idempotent. Thread-safe.
  virtual void quiesce() = 0;
  /// Quiesces, waits until the response to each message in progress is written,
  /// and closes the port. Later messages are not handled. Must not be called
  /// from within the handler. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_HTTPLISTENER_H

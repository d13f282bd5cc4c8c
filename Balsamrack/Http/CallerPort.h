#ifndef BALSAMRACK_HTTP_CALLERPORT_H
#define BALSAMRACK_HTTP_CALLERPORT_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Handles the messages received by a CallerPort.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;
  /// Handles one message received on \p port from \p peerIp and returns the
  /// HTTP response. Blocks until the outcome of the request is known. Called by
  /// many threads concurrently.
  virtual Answer serve(uint16_t port, const std::string &peerIp,
                       Message message) = 0;
};

/// Limits of the callers' ports.
struct CallerPortSettings {
  std::string Ip = "127.0.0.1";       ///< Address to listen on.
  uint32_t MaxBodyBytes = 1 << 20;    ///< Larger bodies are rejected with 413.
  uint32_t MaxHeaderBytes = 16 << 10; ///< Larger envelopes (method, target and
                                      ///< header) are rejected with 431.
  uint32_t MaxConnections = 4096;     ///< Per port; each uses a thread.
};

/// The HTTP ports that callers send their requests to; each port belongs to one
/// service.
class CallerPort {
public:
  /// Listens on each of \p ports; zero selects a free one. Precondition: \p
  /// handler outlives the result. Error (step listen) when a port is in use or
  /// the address is not local; no port is open then. Thread-safe.
  static absl::StatusOr<std::unique_ptr<CallerPort>>
  create(const CallerPortSettings &settings, const std::vector<uint16_t> &ports,
         CallerHandler &handler);
  virtual ~CallerPort() = default;
  /// Listens on one more port; ok when it is open already. Errors as for
  /// create(). Thread-safe.
  virtual absl::Status open(uint16_t port) = 0;
  /// The open ports. Thread-safe.
  virtual std::vector<uint16_t> ports() const = 0;
  /// Accepts no more connections, waits until the response to each message in
  /// progress is complete, and closes the ports. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_CALLERPORT_H

#ifndef BALSAMRACK_HTTP_OPERATORPORT_H
#define BALSAMRACK_HTTP_OPERATORPORT_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// An operator's request: the path below /v1/, and the query parameters.
struct OperatorRequest {
  std::string Path;                         ///< Such as "status" or "explain".
  std::map<std::string, std::string> Query; ///< Parameters by name.
};

/// Reply to an operator's request.
struct OperatorReply {
  uint32_t Status = 200;                        ///< HTTP status code.
  std::string ContentType = "application/json"; ///< Media type of Body.
  std::string Body;                             ///< Content of the reply.
};

/// Handles the requests received by an OperatorPort.
class OperatorHandler {
public:
  virtual ~OperatorHandler() = default;
  /// Handles one request. Called by many threads concurrently; must not wait
  /// for the network.
  virtual OperatorReply handle(const OperatorRequest &request) = 0;
};

/// The operators' HTTP port: read-only, and separate from the callers' ports.
class OperatorPort {
public:
  /// Listens at \p at (port zero selects a free one), for paths below /v1/ and
  /// for /metrics, which is the same as /v1/metrics; accepts only peers whose
  /// address is in \p allowed (dotted quads or a.b.c.d/bits). Precondition: \p
  /// handler outlives the result. Error (step listen) as for CallerPort.
  /// Thread-safe.
  static absl::StatusOr<std::unique_ptr<OperatorPort>>
  create(const Address &at, const std::vector<std::string> &allowed,
         OperatorHandler &handler);
  virtual ~OperatorPort() = default;
  /// Address that it listens on, with the actual port. Thread-safe.
  virtual const Address &at() const = 0;
  /// Closes the port. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_OPERATORPORT_H

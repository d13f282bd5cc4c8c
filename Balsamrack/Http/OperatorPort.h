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

/// An operators' question: the path below /v1/, and the query's parameters.
struct OperatorRequest {
  std::string Path;                         ///< Such as "status" or "explain".
  std::map<std::string, std::string> Query; ///< Parameters by name.
};

/// The answer to an operators' question.
struct OperatorReply {
  uint32_t Status = 200;                        ///< HTTP status code.
  std::string ContentType = "application/json"; ///< Of Body.
  std::string Body;                             ///< The answer.
};

/// Answers what an OperatorPort takes in.
class OperatorHandler {
public:
  virtual ~OperatorHandler() = default;
  /// Answers one question. Called on many threads at once; must not wait for
  /// the network.
  virtual OperatorReply handle(const OperatorRequest &request) = 0;
};

/// The operators' HTTP port: read only, and apart from the callers' ports.
class OperatorPort {
public:
  /// Starts to listen at \p at (port zero takes a free one), for paths below
  /// /v1/ and for /metrics, which is the same as /v1/metrics; lets in only
  /// peers whose address is in \p allowed (dotted quads or a.b.c.d/bits).
  /// Precondition: \p handler outlives the result. Error (step listen) as with
  /// CallerPort. Thread-safe.
  static absl::StatusOr<std::unique_ptr<OperatorPort>>
  create(const Address &at, const std::vector<std::string> &allowed,
         OperatorHandler &handler);
  virtual ~OperatorPort() = default;
  /// Where it listens, with the real port. Thread-safe.
  virtual const Address &at() const = 0;
  /// Closes the port. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_OPERATORPORT_H

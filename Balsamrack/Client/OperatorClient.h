#ifndef BALSAMRACK_CLIENT_OPERATORCLIENT_H
#define BALSAMRACK_CLIENT_OPERATORCLIENT_H

#include <map>
#include <string>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Reply of one daemon to an operator's request.
struct DaemonReply {
  Address Daemon;          ///< Operators' port of the daemon.
  absl::Status CallStatus; ///< Error (step answer-operator) without a reply.
  uint32_t HttpStatus = 0; ///< HTTP status code; zero without a reply.
  std::string Body;        ///< Body of the reply.

  /// True when the daemon replied with status 200. Thread-safe.
  bool isOk() const { return CallStatus.ok() && HttpStatus == 200; }
};

/// Sends requests to the operators' ports of many daemons in parallel.
class OperatorClient {
public:
  using Query = std::map<std::string, std::string>;

  /// Creates a client for \p daemons. Error kInvalidArgument when the list is
  /// empty or \p timeout is not positive. Thread-safe.
  static absl::StatusOr<OperatorClient> create(std::vector<Address> daemons,
                                               Duration timeout);

  /// Requests /v1/\p path from all daemons; the replies are in the order of the
  /// daemons. The reply of an unreachable daemon holds its error. Blocks for
  /// about the timeout at most. Thread-safe.
  std::vector<DaemonReply> askAll(const std::string &path,
                                  const Query &query) const;

  /// The daemons that are queried. Thread-safe.
  const std::vector<Address> &daemons() const { return Daemons; }

private:
  OperatorClient(std::vector<Address> daemons, Duration timeout)
      : Daemons(std::move(daemons)), Timeout(timeout) {}

  DaemonReply ask(const Address &daemon, const std::string &target) const;

  std::vector<Address> Daemons; ///< Addresses of the operators' ports.
  Duration Timeout; ///< For each daemon, rounded up to whole seconds.
};

} // namespace balsamrack

#endif // BALSAMRACK_CLIENT_OPERATORCLIENT_H

#ifndef BALSAMRACK_CLIENT_OPERATORCLIENT_H
#define BALSAMRACK_CLIENT_OPERATORCLIENT_H

#include <map>
#include <string>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// What one daemon answered to an operators' question.
struct DaemonReply {
  Address Daemon; ///< Who was asked.
  absl::Status
      CallStatus; ///< Error (step answer-operator) when it didn't answer.
  uint32_t HttpStatus = 0; ///< HTTP status code; zero without an answer.
  std::string Body;        ///< The answer.

  /// True when the daemon answered the question itself. Thread-safe.
  bool isOk() const { return CallStatus.ok() && HttpStatus == 200; }
};

/// Asks the operators' ports of many daemons at the same time.
class OperatorClient {
public:
  using Query = std::map<std::string, std::string>;

  /// A client for \p daemons. Error kInvalidArgument when the list is empty or
  /// \p timeout is not positive. Thread-safe.
  static absl::StatusOr<OperatorClient> create(std::vector<Address> daemons,
                                               Duration timeout);

  /// Asks all daemons for /v1/\p path; the replies are in the daemons' order.
  /// A daemon that can't be reached has its error in its reply. Blocks for at
  /// most about the timeout. Thread-safe.
  std::vector<DaemonReply> askAll(const std::string &path,
                                  const Query &query) const;

  /// The daemons asked. Thread-safe.
  const std::vector<Address> &daemons() const { return Daemons; }

private:
  OperatorClient(std::vector<Address> daemons, Duration timeout)
      : Daemons(std::move(daemons)), Timeout(timeout) {}

  DaemonReply ask(const Address &daemon, const std::string &target) const;

  std::vector<Address> Daemons; ///< Operators' ports.
  Duration Timeout;             ///< For each daemon.
};

} // namespace balsamrack

#endif // BALSAMRACK_CLIENT_OPERATORCLIENT_H

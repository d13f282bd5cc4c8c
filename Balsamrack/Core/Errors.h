#ifndef BALSAMRACK_CORE_ERRORS_H
#define BALSAMRACK_CORE_ERRORS_H

#include <string>

#include "absl/status/status.h"

namespace balsamrack {

/// The step of the work at which an error arose. Its name (stepName) is what
/// logs and Proxy-Status show.
enum class Step {
  ReadSettings,
  Listen,
  DecodeEnvelope,
  Place,
  ForwardToOwner,
  Admit,
  Dispatch,
  AwaitResponse,
  DecodePeerMessage,
  SendToPeer,
  ReadPlatform,
  CheckTicket,
  Probe,
  HandOver,
  HandleOperatorRequest,
  Record,
  Replay,
};

/// The step's name in lower case with hyphens. Thread-safe.
const char *stepName(Step step);

/// Makes an error that carries the step and the peer at which it arose.
/// Precondition: \p code is not kOk. Thread-safe.
absl::Status makeError(absl::StatusCode code, Step step,
                       const std::string &peer, const std::string &message);

/// Adds step and peer to an error that has none yet; an ok status and one that
/// has them stay as they are. Thread-safe.
absl::Status addErrorContext(absl::Status status, Step step,
                             const std::string &peer);

/// Name of the step that \p status carries, or an empty string. Thread-safe.
std::string stepOf(const absl::Status &status);

/// The peer that \p status carries, or an empty string. Thread-safe.
std::string peerOf(const absl::Status &status);

/// One line for logs: code, message, step and peer. Thread-safe.
std::string describe(const absl::Status &status);

} // namespace balsamrack

#endif // BALSAMRACK_CORE_ERRORS_H

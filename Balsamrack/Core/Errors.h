#ifndef BALSAMRACK_CORE_ERRORS_H
#define BALSAMRACK_CORE_ERRORS_H

#include <string>

#include "absl/status/status.h"

namespace balsamrack {

/// Processing step in which an error occurred. Logs and Proxy-Status show its
/// name (stepName).
enum class Step {
  ReadSettings,          ///< Reading and checking settings.
  Listen,                ///< Opening a listening or datagram socket.
  DecodeEnvelope,        ///< Parsing a request's envelope.
  Place,                 ///< Selecting a backend server.
  ForwardToOwner,        ///< Forwarding a request to the server's owner.
  Admit,                 ///< Admission by the owner.
  Dispatch,              ///< Sending a request to a backend server.
  AwaitResponse,         ///< Waiting for the response of a backend server.
  DecodePeerMessage,     ///< Parsing a message from a peer.
  SendToPeer,            ///< Sending a message to a peer.
  ReadPlatform,          ///< Reading the platform's pages.
  CheckTicket,           ///< Checking a change ticket.
  Probe,                 ///< Probing a peer.
  HandOver,              ///< Handing a backend server over to its next owner.
  HandleOperatorRequest, ///< Handling an operator's request.
  Record,                ///< Recording a trace.
  Replay,                ///< Replaying a trace.
};

/// Name of a step in lower case with hyphens. Thread-safe.
const char *stepName(Step step);

/// Creates an error with the step and the peer at which it occurred.
/// Precondition: \p code is not kOk. Thread-safe.
absl::Status makeError(absl::StatusCode code, Step step,
                       const std::string &peer, const std::string &message);

/// Adds step and peer to an error that has none yet. An ok status, or an error
/// that already has them, is returned unchanged. Thread-safe.
absl::Status addErrorContext(absl::Status status, Step step,
                             const std::string &peer);

/// Returns the name of the step in \p status, or an empty string. Thread-safe.
std::string stepOf(const absl::Status &status);

/// Returns the peer in \p status, or an empty string. Thread-safe.
std::string peerOf(const absl::Status &status);

/// Formats code, message, step and peer as one line for logs. Thread-safe.
std::string describe(const absl::Status &status);

} // namespace balsamrack

#endif // BALSAMRACK_CORE_ERRORS_H

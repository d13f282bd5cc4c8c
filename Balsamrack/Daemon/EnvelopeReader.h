#ifndef BALSAMRACK_DAEMON_ENVELOPEREADER_H
#define BALSAMRACK_DAEMON_ENVELOPEREADER_H

#include <string>

#include "Balsamrack/World/Request.h"
#include "Balsamrack/World/World.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// An envelope decoded from a message, and the token for the router.
struct DecodedEnvelope {
  Envelope Head;     ///< Without a RequestId, which the entry assigns.
  std::string Token; ///< As the caller sent it; may be empty.
};

/// Decodes the envelope fields of docs/PROTOCOLS.md from \p message, which came
/// from \p peerIp for \p service. Error kInvalidArgument (step decode-envelope)
/// names the malformed field. Ignores the body. Thread-safe.
absl::StatusOr<DecodedEnvelope> readEnvelope(const Service &service,
                                             const std::string &peerIp,
                                             const Message &message);

/// Returns the value of the first header field named \p name
/// (case-insensitive); empty if there is none. Thread-safe.
std::string headerValue(const HeaderList &headers, const char *name);

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_ENVELOPEREADER_H

#ifndef BALSAMRACK_DAEMON_ENVELOPEREADER_H
#define BALSAMRACK_DAEMON_ENVELOPEREADER_H

#include <string>

#include "Balsamrack/World/Request.h"
#include "Balsamrack/World/World.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// An envelope as read from a message, with the token that the router reads.
struct DecodedEnvelope {
  Envelope Head;     ///< Without its RequestId, which the entry gives.
  std::string Token; ///< As the caller sent it; may be empty.
};

/// Reads the envelope fields of docs/PROTOCOLS.md from \p message, which came
/// from \p peerIp for \p service. Error kInvalidArgument (step decode-envelope)
/// names the field that can't be read. Never looks at the body. Thread-safe.
absl::StatusOr<DecodedEnvelope> readEnvelope(const Service &service,
                                             const std::string &peerIp,
                                             const Message &message);

/// Value of the first header field named \p name, in any case; empty when there
/// is none. Thread-safe.
std::string headerValue(const HeaderList &headers, const char *name);

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_ENVELOPEREADER_H

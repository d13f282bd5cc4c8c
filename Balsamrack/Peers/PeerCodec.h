#ifndef BALSAMRACK_PEERS_PEERCODEC_H
#define BALSAMRACK_PEERS_PEERCODEC_H

#include <cstddef>
#include <string>

#include "Balsamrack/Peers/PeerMessage.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Largest frame between daemons, in bytes.
constexpr size_t MaxPeerFrameBytes = size_t(6) << 20;

/// Version of the peer messages; a frame of another version is not read.
constexpr uint32_t PeerProtocolVersion = 1;

/// Name of a message's type as it stands in a frame, such as "Ping".
/// Thread-safe.
const char *peerMessageName(const PeerMessage &message);
/// As above, by index in the variant. Precondition: \p index names a type.
/// Thread-safe.
const char *peerMessageName(size_t index);

/// True for messages that carry callers' requests and answers; all others are
/// control traffic, for which there is a byte budget. Thread-safe.
bool isDataMessage(const PeerMessage &message);

/// Encodes \p message as one CBOR frame. The result may be larger than
/// MaxPeerFrameBytes, which the sender has to check. Thread-safe.
std::string encodePeerMessage(const PeerMessage &message);

/// Decodes one CBOR frame. Error kInvalidArgument (step decode-peer-message,
/// no peer yet) when it is too large, truncated, nested too deeply, of an
/// unknown version or type, or has a field of the wrong kind. Thread-safe.
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &frame);

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERCODEC_H

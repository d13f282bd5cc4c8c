#ifndef BALSAMRACK_PEERS_PEERCODEC_H
#define BALSAMRACK_PEERS_PEERCODEC_H

#include <cstddef>
#include <string>

#include "Balsamrack/Peers/PeerMessage.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Maximum size of a frame between daemons, in bytes.
constexpr size_t MaxPeerFrameBytes = size_t(6) << 20;

/// Version of the peer messages; frames of other versions are rejected.
constexpr uint32_t PeerProtocolVersion = 1;

/// Type name of \p message as used in frames, such as "Ping". Thread-safe.
const char *peerMessageName(const PeerMessage &message);
/// Type name by index in the variant. Precondition: \p index is the index of a
/// type. Thread-safe.
const char *peerMessageName(size_t index);

/// True for messages that carry callers' requests and answers; all others are
/// control traffic, which has a byte budget. Thread-safe.
bool isDataMessage(const PeerMessage &message);

/// Encodes \p message as one CBOR frame. The result may exceed
/// MaxPeerFrameBytes, which the sender has to check. Thread-safe.
std::string encodePeerMessage(const PeerMessage &message);

/// Decodes one CBOR frame. Error kInvalidArgument (step decode-peer-message,
/// peer not set) if it is too large, truncated, nested too deeply, of an
/// unknown version or type, or has a field of the wrong type. Thread-safe.
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &frame);

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERCODEC_H

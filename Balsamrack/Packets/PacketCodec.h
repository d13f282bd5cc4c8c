#ifndef BALSAMRACK_PACKETS_PACKETCODEC_H
#define BALSAMRACK_PACKETS_PACKETCODEC_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// Encodes and decodes packets. This is the only part that depends on the
/// layout of the header; the router works on decoded headers. Implementations
/// are stateless and thread-safe.
class PacketCodec {
public:
  /// Size of the largest header including a prefix, in bytes.
  static constexpr size_t MaxHeaderBytes = 64;

  virtual ~PacketCodec() = default;
  /// Decodes the header of a caller's packet of \p n bytes. Empty when the
  /// packet is too short, its length field does not match, or its flags
  /// contradict each other.
  virtual std::optional<PacketHeader> decode(const uint8_t *packet,
                                             size_t n) const = 0;
  /// Size of the prefix of packets that are sent to a backend server, in bytes.
  virtual size_t prefixBytes() const = 0;
  /// Writes that prefix. Only the server with this \p tag accepts the packet.
  /// Precondition: \p out has room for prefixBytes().
  virtual void writePrefix(uint8_t *out, uint64_t tag) const = 0;
  /// Writes a token into a packet that decode() accepts.
  virtual void writeToken(uint8_t *packet, uint32_t token) const = 0;
  /// Writes a reset in reply to the packet with \p head; returns its length.
  /// Precondition: \p out has room for MaxHeaderBytes.
  virtual size_t writeReset(const PacketHeader &head, uint8_t *out) const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETCODEC_H

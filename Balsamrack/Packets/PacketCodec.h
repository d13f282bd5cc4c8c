#ifndef BALSAMRACK_PACKETS_PACKETCODEC_H
#define BALSAMRACK_PACKETS_PACKETCODEC_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// How packets look on the wire. The router never sees bytes; this is the only
/// place that knows the head's layout. Implementations are stateless, so
/// thread-safe.
class PacketCodec {
public:
  /// Room for the largest head, a prefix included, in bytes.
  static constexpr size_t MaxHeaderBytes = 64;

  virtual ~PacketCodec() = default;
  /// Reads the head of a caller's packet of \p n bytes. Nothing when it is too
  /// short, its length does not fit, or its flags contradict each other.
  virtual std::optional<PacketHeader> decode(const uint8_t *packet,
                                             size_t n) const = 0;
  /// Bytes that stand before a packet on its way to a backend server.
  virtual size_t prefixBytes() const = 0;
  /// Writes that prefix: only the server with this \p tag takes the packet.
  /// Precondition: \p out has room for prefixBytes().
  virtual void writePrefix(uint8_t *out, uint64_t tag) const = 0;
  /// Writes our token into a packet that decode() could read.
  virtual void writeToken(uint8_t *packet, uint32_t token) const = 0;
  /// Writes the reset that answers the packet with \p head; returns its length.
  /// Precondition: \p out has room for MaxHeaderBytes.
  virtual size_t writeReset(const PacketHeader &head, uint8_t *out) const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETCODEC_H

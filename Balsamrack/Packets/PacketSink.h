#ifndef BALSAMRACK_PACKETS_PACKETSINK_H
#define BALSAMRACK_PACKETS_PACKETSINK_H

#include <cstddef>
#include <cstdint>

#include "Balsamrack/Packets/PacketEvents.h"

namespace balsamrack {

/// Where a packet is sent on to.
struct PacketTarget {
  Endpoint At;        ///< The server's address.
  uint64_t Tag = 0;   ///< Only the server with this tag takes the packet.
  uint32_t Token = 0; ///< To be written on the packet.
};

/// Carries out what a PacketRouter decides. Called in order, within the
/// router's calls; must not call back. Not thread-safe.
class PacketSink {
public:
  virtual ~PacketSink() = default;
  /// Send the packet of \p n bytes on; only its token may be changed.
  virtual void forward(const PacketTarget &to, const uint8_t *packet,
                       size_t n) = 0;
  /// Answer the packet with \p head by a reset.
  virtual void reset(const PacketHeader &head) = 0;
  /// Tell what happened.
  virtual void report(const PacketEvent &event) = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETSINK_H

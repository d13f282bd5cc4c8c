#ifndef BALSAMRACK_PACKETS_PACKETSINK_H
#define BALSAMRACK_PACKETS_PACKETSINK_H

#include <cstddef>
#include <cstdint>

#include "Balsamrack/Packets/OpeningTokens.h"
#include "Balsamrack/Packets/PacketEvents.h"

namespace balsamrack {

/// Destination of a forwarded packet.
struct PacketTarget {
  Endpoint At;        ///< The server's address.
  uint64_t Tag = 0;   ///< Only the server with this tag accepts the packet.
  uint32_t Token = 0; ///< Token to write on the packet.
};

/// Executes the actions of a PacketRouter. Called in order from within the
/// router's functions; must not call the router. Not thread-safe.
class PacketSink {
public:
  virtual ~PacketSink() = default;
  /// Forwards a packet of \p n bytes; only its token may be changed.
  virtual void forward(const PacketTarget &to, const uint8_t *packet,
                       size_t n) = 0;
  /// Sends a packet of \p n bytes, unchanged, to the other daemons with the tag
  /// \p to, which pass it to PacketRouter::handleRelayed(). \p isOriginal: it
  /// is known to be no retransmission.
  virtual void relay(DaemonTag to, bool isOriginal, const uint8_t *packet,
                     size_t n) = 0;
  /// Sends a reset in reply to the packet with \p head.
  virtual void reset(const PacketHeader &head) = 0;
  /// Records an event.
  virtual void report(const PacketEvent &event) = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETSINK_H

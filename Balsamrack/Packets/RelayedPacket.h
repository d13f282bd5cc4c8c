#ifndef BALSAMRACK_PACKETS_RELAYEDPACKET_H
#define BALSAMRACK_PACKETS_RELAYEDPACKET_H

#include <string>

namespace balsamrack {

/// Passes a caller's packet to the daemon that has forwarded the opening of its
/// flow; see PacketSink::relay().
struct RelayedPacket {
  bool IsOriginal = false; ///< It is known to be no retransmission.
  std::string Bytes;       ///< The packet as it was received.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_RELAYEDPACKET_H

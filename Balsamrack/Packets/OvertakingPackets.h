#ifndef BALSAMRACK_PACKETS_OVERTAKINGPACKETS_H
#define BALSAMRACK_PACKETS_OVERTAKINGPACKETS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// Packets that have overtaken the first one of their flow, which tells the
/// flow's server. Bounded in number and time. Not thread-safe.
class OvertakingPackets {
public:
  /// Capacity: two callers' packets in flight for each of a few flows.
  static constexpr size_t MaxPackets = 128;
  /// Packets of one burst are reordered by a millisecond or two; after this
  /// time the first one is lost.
  static constexpr Duration MaxWait{20'000};

  /// One packet.
  struct Item {
    TimePoint At;               ///< When it arrived.
    PacketHeader Head;          ///< Its decoded header.
    std::vector<uint8_t> Bytes; ///< The received bytes.
  };

  /// Stores a packet of \p n bytes; false if too many are stored.
  bool add(TimePoint now, const PacketHeader &head, const uint8_t *bytes,
           size_t n);
  /// Removes and returns the packets of \p flow, in order of arrival.
  std::vector<Item> take(const FlowKey &flow);
  /// Removes and returns the packets that have waited for MaxWait.
  std::vector<Item> takeExpired(TimePoint now);
  /// Number of packets.
  size_t size() const { return Items.size(); }

private:
  std::deque<Item> Items; ///< In order of arrival.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OVERTAKINGPACKETS_H

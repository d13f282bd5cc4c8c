#ifndef BALSAMRACK_PACKETS_OPENINGQUEUE_H
#define BALSAMRACK_PACKETS_OPENINGQUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/OpeningCopies.h"
#include "Balsamrack/Packets/Packet.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// An opening packet, stored byte for byte.
struct BufferedOpening {
  /// Largest opening that can be stored. Openings carry no data.
  static constexpr size_t MaxBytes = 48;

  PacketHeader Head;                      ///< Its decoded header.
  size_t Bytes = 0;                       ///< Length of Packet.
  std::array<uint8_t, MaxBytes> Packet{}; ///< The received bytes.

  /// Stores a packet of \p n bytes; false when it is longer than MaxBytes.
  bool assign(const PacketHeader &head, const uint8_t *bytes, size_t n);
};

/// Bounded queue of openings that wait for the first routes after a start or a
/// pause, or for free slots; at most one of each flow. Not thread-safe.
class OpeningQueue {
public:
  /// Capacity: openings that one daemon of a small site receives in half a
  /// second.
  static constexpr size_t MaxOpenings = 512;

  /// One waiting opening.
  struct Item {
    BufferedOpening Opening; ///< The copy that arrived last.
    OpeningCopies Copies;    ///< All copies that have arrived.
    TimePoint Deadline;      ///< Latest time to remove it from the queue.
  };

  /// Appends an opening; false when the queue is full. Precondition: none of
  /// its flow is in the queue.
  bool push(const Item &item);
  /// Removes and returns the opening of \p flow; nothing if there is none.
  std::optional<Item> take(const FlowKey &flow);
  /// Number of waiting openings.
  size_t size() const { return Items.size(); }
  /// True when the queue is empty.
  bool empty() const { return Items.empty(); }
  /// The oldest opening. Precondition: not empty().
  const Item &front() const { return Items.front(); }
  /// Removes and returns the oldest opening. Precondition: not empty().
  Item pop();

private:
  std::list<Item> Items; ///< In order of arrival.
  absl::flat_hash_map<FlowKey, std::list<Item>::iterator> ByFlow;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGQUEUE_H

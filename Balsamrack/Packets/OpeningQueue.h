#ifndef BALSAMRACK_PACKETS_OPENINGQUEUE_H
#define BALSAMRACK_PACKETS_OPENINGQUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"

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
/// pause, or for free slots. Not thread-safe.
class OpeningQueue {
public:
  /// Capacity: openings that one daemon of a small site receives in half a
  /// second.
  static constexpr size_t MaxOpenings = 512;

  /// One waiting opening.
  struct Item {
    BufferedOpening Opening; ///< The opening.
    TimePoint Deadline;      ///< Latest time to remove it from the queue.
  };

  /// Appends an opening; false when the queue is full.
  bool push(const BufferedOpening &opening, TimePoint until);
  /// Number of waiting openings.
  size_t size() const { return Items.size(); }
  /// True when the queue is empty.
  bool empty() const { return Items.empty(); }
  /// The oldest opening. Precondition: not empty().
  const Item &front() const { return Items.front(); }
  /// Removes and returns the oldest opening. Precondition: not empty().
  Item pop();

private:
  std::deque<Item> Items; ///< In order of arrival.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGQUEUE_H

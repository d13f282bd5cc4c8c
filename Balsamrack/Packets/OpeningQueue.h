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

/// An opening with its bytes as they came.
struct BufferedOpening {
  /// Openings carry no data.
  static constexpr size_t MaxBytes = 48;

  PacketHeader Head;                      ///< Of it.
  size_t Bytes = 0;                       ///< Length of Packet.
  std::array<uint8_t, MaxBytes> Packet{}; ///< As it came.

  /// Keeps \p n bytes; false when there are too many.
  bool assign(const PacketHeader &head, const uint8_t *bytes, size_t n);
};

/// Openings that wait: for the first updates after a start or a pause, or for
/// free slots. Bounded. Not thread-safe.
class OpeningQueue {
public:
  /// Half a second of a small site's openings at a daemon.
  static constexpr size_t MaxOpenings = 512;

  /// One that waits.
  struct Item {
    BufferedOpening Opening; ///< What waits.
    TimePoint Deadline;      ///< It goes on then at the latest.
  };

  /// Takes one in; false when there is no room.
  bool push(const BufferedOpening &opening, TimePoint until);
  /// Number of those that wait.
  size_t size() const { return Items.size(); }
  /// True when nothing waits.
  bool empty() const { return Items.empty(); }
  /// The next one in turn. Precondition: not empty().
  const Item &front() const { return Items.front(); }
  /// Takes the next one out. Precondition: not empty().
  Item pop();

private:
  std::deque<Item> Items; ///< In order of arrival.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGQUEUE_H

#include "Balsamrack/Packets/OpeningQueue.h"

#include <cassert>
#include <cstring>

namespace balsamrack {

bool BufferedOpening::assign(const PacketHeader &head, const uint8_t *bytes,
                             size_t n) {
  if (n > MaxBytes)
    return false;
  Head = head;
  Bytes = n;
  std::memcpy(Packet.data(), bytes, n);
  return true;
}

bool OpeningQueue::push(const BufferedOpening &opening, TimePoint until) {
  if (Items.size() >= MaxOpenings)
    return false;
  Items.push_back({opening, until});
  return true;
}

OpeningQueue::Item OpeningQueue::pop() {
  assert(!Items.empty());
  Item item = Items.front();
  Items.pop_front();
  return item;
}

} // namespace balsamrack

#include "Balsamrack/Packets/OpeningQueue.h"

#include <cassert>
#include <cstring>

namespace balsamrack {

bool BufferedOpening::keep(const PacketHead &head, const uint8_t *bytes,
                           size_t n) {
  if (n > MaxBytes)
    return false;
  Head = head;
  Bytes = n;
  std::memcpy(Packet.data(), bytes, n);
  return true;
}

bool OpeningQueue::add(const BufferedOpening &opening, TimePoint until) {
  if (Waiting.size() >= Most)
    return false;
  Waiting.push_back({opening, until});
  return true;
}

OpeningQueue::Held OpeningQueue::take() {
  assert(!Waiting.empty());
  Held held = Waiting.front();
  Waiting.pop_front();
  return held;
}

} // namespace balsamrack

#include "Balsamrack/Packets/HeldOpenings.h"

#include <cassert>
#include <cstring>

namespace balsamrack {

bool KeptOpening::keep(const PacketHead &head, const uint8_t *bytes, size_t n) {
  if (n > MaxBytes)
    return false;
  Head = head;
  Bytes = n;
  std::memcpy(Packet.data(), bytes, n);
  return true;
}

bool HeldOpenings::add(const KeptOpening &opening, TimePoint until) {
  if (Waiting.size() >= Most)
    return false;
  Waiting.push_back({opening, until});
  return true;
}

HeldOpenings::Held HeldOpenings::take() {
  assert(!Waiting.empty());
  Held held = Waiting.front();
  Waiting.pop_front();
  return held;
}

} // namespace balsamrack

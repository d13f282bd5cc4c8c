#include "Balsamrack/Packets/HeldOpenings.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace balsamrack {

namespace {

/// Callers that are given no timeout wait about so long for an answer to an
/// opening.
constexpr Duration UsualPatience{1'400'000};
/// Of a request's time, left for the answer itself.
constexpr int PartForAnswer = 4;

} // namespace

bool KeptOpening::keep(const PacketHead &head, const uint8_t *bytes, size_t n) {
  if (n > MaxBytes)
    return false;
  Head = head;
  Bytes = n;
  std::memcpy(Packet.data(), bytes, n);
  return true;
}

Duration waitOfCopy(Duration age, Duration objective, Duration timeout) {
  if (objective == Duration{0} || age < objective)
    return Duration{0};
  Duration patience =
      timeout > Duration{0} ? std::min(timeout, UsualPatience) : UsualPatience;
  return std::max(Duration{0}, patience - patience / PartForAnswer - age);
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

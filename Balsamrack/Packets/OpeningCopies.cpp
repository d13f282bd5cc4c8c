#include "Balsamrack/Packets/OpeningCopies.h"

#include <algorithm>
#include <cassert>

namespace balsamrack {

namespace {

/// Tolerated deviation of the arrival of copies, due to delays in the network
/// and in this process. Callers send the copies 200 and 400 ms apart.
constexpr Duration CopyJitter{100'000};
/// A copy may have been on its way for so long.
constexpr Duration MaxTransitTime{50'000};

} // namespace

void OpeningCopies::add(TimePoint now, const PacketHeader &head,
                        bool mayHaveWaited) {
  assert(head.Opens && head.CopyNumber <= LastCopy);
  mayHaveWaited = mayHaveWaited && !head.Waited;
  TimePoint arrivedAt = now - head.Waited.value_or(Duration{0});
  bool isPunctual = !mayHaveWaited;
  if (isPunctual && HasReference) {
    // Copies that arrive together have waited somewhere.
    Duration late = (arrivedAt - ReferenceAt) - (head.Age - ReferenceAge);
    isPunctual = late >= -CopyJitter && late <= CopyJitter;
  } else if (isPunctual) {
    HasReference = true;
    ReferenceAt = arrivedAt;
    ReferenceAge = head.Age;
  }
  if (!isPunctual)
    Delayed = true;
  bool isHighest = empty() || head.CopyNumber >= highest();
  Seen |= bit(head.CopyNumber);
  if (!isHighest)
    return;
  NextDue = TimePoint{};
  if (!isPunctual)
    return;
  NextDue = head.NextCopyAfter == Duration{0}
                ? TimePoint::max()
                : arrivedAt + head.NextCopyAfter - MaxTransitTime;
  UnansweredAt = arrivedAt - MaxTransitTime;
}

uint8_t OpeningCopies::count() const {
  uint8_t n = 0;
  for (uint8_t i = 0; i <= LastCopy; ++i)
    if ((Seen & bit(i)) != 0)
      ++n;
  return n;
}

uint8_t OpeningCopies::highest() const {
  uint8_t highest = 0;
  while (Seen >> (highest + 1) != 0)
    ++highest;
  return highest;
}

} // namespace balsamrack

#include "Balsamrack/Decisions/SlotShares.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace balsamrack {

std::vector<double> slotShares(const std::vector<uint32_t> &slots,
                               size_t daemons, size_t self) {
  assert(self < daemons);
  double total = std::accumulate(slots.begin(), slots.end(), 0.0);
  double stretch = total / static_cast<double>(daemons);
  double from = stretch * static_cast<double>(self);
  double to = from + stretch;
  std::vector<double> shares;
  shares.reserve(slots.size());
  double at = 0;
  for (uint32_t n : slots) {
    double end = at + n;
    shares.push_back(std::max(0.0, std::min(end, to) - std::max(at, from)));
    at = end;
  }
  return shares;
}

} // namespace balsamrack

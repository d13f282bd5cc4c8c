#include "Balsamrack/Decisions/SlotShares.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace balsamrack {

namespace {

/// The part of each server's slots within the range from \p from to \p to of
/// the line of all slots.
std::vector<double> slotsWithin(const std::vector<uint32_t> &slots, double from,
                                double to) {
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

/// Whether \p groups describe \p daemons daemons with weights that differ.
bool hasUsableWeights(const std::vector<WeightedDaemons> &groups,
                      size_t daemons) {
  size_t sum = 0;
  bool differ = false;
  for (const WeightedDaemons &it : groups) {
    if (!std::isfinite(it.Weight) || it.Weight <= 0)
      return false;
    sum += it.Daemons;
    differ = differ || it.Weight != groups.front().Weight;
  }
  return differ && sum == daemons;
}

} // namespace

std::vector<double> slotShares(const std::vector<uint32_t> &slots,
                               size_t daemons, size_t self) {
  assert(self < daemons);
  double total = std::accumulate(slots.begin(), slots.end(), 0.0);
  double stretch = total / static_cast<double>(daemons);
  double from = stretch * static_cast<double>(self);
  return slotsWithin(slots, from, from + stretch);
}

std::vector<double> slotShares(const std::vector<uint32_t> &slots,
                               size_t daemons, size_t self,
                               const std::vector<WeightedDaemons> &groups) {
  assert(self < daemons);
  if (!hasUsableWeights(groups, daemons))
    return slotShares(slots, daemons, self);
  double sum = 0, before = 0, own = 0;
  size_t first = 0;
  for (const WeightedDaemons &it : groups) {
    size_t preceding = std::clamp(self, first, first + it.Daemons) - first;
    before += it.Weight * static_cast<double>(preceding);
    sum += it.Weight * static_cast<double>(it.Daemons);
    if (self >= first && self < first + it.Daemons)
      own = it.Weight;
    first += it.Daemons;
  }
  double total = std::accumulate(slots.begin(), slots.end(), 0.0);
  return slotsWithin(slots, total * before / sum, total * (before + own) / sum);
}

} // namespace balsamrack

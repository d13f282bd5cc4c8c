#include "Balsamrack/Flows/FlowRank.h"

#include <algorithm>
#include <cstring>
#include <limits>
#include <numeric>

namespace balsamrack {

namespace {

constexpr double Ln2 = 0.69314718055994530942;
constexpr double Sqrt2 = 1.41421356237309504880;

/// Natural logarithm of a number in (0, 1), computed by IEEE additions,
/// multiplications and divisions only, so that all VMs get identical bits.
/// Relative error < 1e-11.
double portableLog(double u) {
  // Split u into its exponent and its mantissa in [1, 2).
  uint64_t bits = 0;
  std::memcpy(&bits, &u, sizeof bits);
  int exponent = static_cast<int>(bits >> 52) - 1023;
  bits = (bits & 0x000FFFFFFFFFFFFFULL) | 0x3FF0000000000000ULL;
  double m = 0;
  std::memcpy(&m, &bits, sizeof m);
  // Reduce the mantissa to [sqrt(1/2), sqrt(2)), where a short series suffices.
  if (m > Sqrt2) {
    m /= 2;
    ++exponent;
  }
  // ln(m) = 2 * atanh((m - 1) / (m + 1)).
  double s = (m - 1) / (m + 1);
  double q = s * s;
  double tail = 1.0 / 13;
  for (double divisor : {11.0, 9.0, 7.0, 5.0, 3.0, 1.0})
    tail = tail * q + 1 / divisor;
  return exponent * Ln2 + 2 * s * tail;
}

} // namespace

FlowRank::FlowRank(const std::vector<RankedServer> &servers) {
  for (const RankedServer &it : servers) {
    Seeds.push_back(it.Server.hash());
    InverseWeights.push_back(it.Weight == 0
                                 ? std::numeric_limits<double>::infinity()
                                 : 1.0 / it.Weight);
    EqualWeights = EqualWeights && it.Weight == servers.front().Weight;
  }
}

double FlowRank::cost(FlowId flow, size_t i) const {
  // Each server draws an exponentially distributed value with its weight as the
  // rate, and the smallest value wins. That gives each server a share of the
  // flows in proportion to its weight.
  uint64_t hash = combineHash(flow.Value, Seeds[i]);
  double u = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -portableLog(u) * InverseWeights[i];
}

size_t FlowRank::firstCandidate(FlowId flow) const {
  size_t best = 0;
  if (EqualWeights) {
    // With equal weights the cost decreases monotonically with the hash, so the
    // largest hash wins.
    uint64_t bestHash = combineHash(flow.Value, Seeds[0]);
    for (size_t i = 1; i < Seeds.size(); ++i) {
      uint64_t hash = combineHash(flow.Value, Seeds[i]);
      best = hash > bestHash ? i : best;
      bestHash = std::max(hash, bestHash);
    }
    return best;
  }
  double bestCost = cost(flow, 0);
  for (size_t i = 1; i < Seeds.size(); ++i) {
    double c = cost(flow, i);
    if (c < bestCost) {
      best = i;
      bestCost = c;
    }
  }
  return best;
}

std::vector<size_t> FlowRank::topCandidates(FlowId flow, size_t count) const {
  std::vector<std::pair<double, size_t>> costs;
  costs.reserve(Seeds.size());
  for (size_t i = 0; i < Seeds.size(); ++i)
    costs.emplace_back(cost(flow, i), i);
  count = std::min(count, costs.size());
  std::partial_sort(costs.begin(),
                    costs.begin() + static_cast<ptrdiff_t>(count), costs.end());
  std::vector<size_t> positions;
  positions.reserve(count);
  for (size_t i = 0; i < count; ++i)
    positions.push_back(costs[i].second);
  return positions;
}

} // namespace balsamrack

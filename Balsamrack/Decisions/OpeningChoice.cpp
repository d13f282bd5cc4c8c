#include "Balsamrack/Decisions/OpeningChoice.h"

#include <algorithm>
#include <cmath>

namespace balsamrack {

namespace {

/// Costs that differ by less are treated as equal, so that rounding errors do
/// not decide.
constexpr double CostTolerance = 1e-6;

struct Cost {
  OpeningRank Rank;
  double Wait;
  uint32_t InProgress;
};

bool isSameCost(const Cost &a, const Cost &b) {
  return a.Rank == b.Rank && std::abs(a.Wait - b.Wait) < CostTolerance &&
         a.InProgress == b.InProgress;
}

bool isLowerCost(const Cost &a, const Cost &b) {
  if (a.Rank != b.Rank)
    return a.Rank < b.Rank;
  if (std::abs(a.Wait - b.Wait) >= CostTolerance)
    return a.Wait < b.Wait;
  return a.InProgress < b.InProgress;
}

/// Up to this mean, meanExcessOfFew() needs few terms.
constexpr double MaxExactMean = 64;
/// Probability below which the remaining terms of a sum are ignored.
constexpr double NegligibleChance = 1e-15;

/// Mean excess of a Poisson distributed number with mean \p mean over \p free:
/// the mean excess over zero, less what the free slots absorb. The number of
/// terms is bounded by the mean, not by \p free, which comes from outside.
double meanExcessOfFew(double mean, double free) {
  double excess = mean - free;
  double chance = std::exp(-mean);
  for (int n = 0; n < free && (n <= mean || chance > NegligibleChance); ++n) {
    excess += (free - n) * chance;
    chance *= mean / (n + 1);
  }
  // Rounding errors of large numbers may leave less than zero.
  return std::max(0.0, excess);
}

/// As meanExcessOfFew(), by the normal approximation.
double meanExcessOfMany(double mean, double free) {
  const double inverseSqrtTwoPi = 0.3989422804014327;
  double deviation = std::sqrt(mean);
  double z = (mean - free) / deviation;
  double below = std::erfc(-z / std::sqrt(2.0)) / 2;
  double density = inverseSqrtTwoPi * std::exp(-z * z / 2);
  return deviation * (z * below + density);
}

Cost computeCost(const OpeningCandidate &candidate, double othersLoad) {
  return {candidate.Rank, openingCost(candidate, othersLoad),
          candidate.InProgress};
}

} // namespace

double openingCost(const OpeningCandidate &candidate, double othersLoad) {
  double wait = expectedWait(candidate, othersLoad);
  // Exactly zero at speed 1.
  wait += (wait + 1) * (1 / candidate.Speed - 1);
  wait += candidate.InSameDomain ? 0 : RemoteDomainCost;
  wait += candidate.Cold ? ColdServerCost : 0;
  return wait;
}

std::vector<bool>
leastCostCandidates(const std::vector<OpeningCandidate> &candidates,
                    double othersLoad) {
  std::vector<bool> best(candidates.size(), false);
  std::optional<Cost> least;
  for (size_t i = 0; i < candidates.size(); ++i) {
    Cost cost = computeCost(candidates[i], othersLoad);
    if (least && !isSameCost(cost, *least) && !isLowerCost(cost, *least))
      continue;
    if (!least || !isSameCost(cost, *least)) {
      std::fill(best.begin(), best.end(), false);
      least = cost;
    }
    best[i] = true;
  }
  return best;
}

double expectedWait(const OpeningCandidate &candidate, double othersLoad) {
  double slots = std::max<uint32_t>(candidate.Slots, 1);
  double others = std::max(0.0, slots - candidate.Share) * othersLoad;
  double free = slots - 1 - candidate.InProgress;
  // The number of flows of other daemons is modelled as Poisson distributed,
  // since many daemons have few flows each there. The wait is the mean excess
  // over the free slots.
  return (others <= MaxExactMean ? meanExcessOfFew(others, free)
                                 : meanExcessOfMany(others, free)) /
         slots;
}

std::optional<OpeningChoice>
chooseForOpening(const std::vector<OpeningCandidate> &candidates,
                 double othersLoad, RandomSource &random) {
  std::optional<OpeningChoice> best;
  Cost bestCost{};
  uint64_t ties = 0;
  for (const OpeningCandidate &candidate : candidates) {
    Cost cost = computeCost(candidate, othersLoad);
    if (best && isSameCost(cost, bestCost)) {
      // Reservoir sampling with one element: each tied candidate is equally
      // likely.
      if (random.below(++ties) == 0)
        best->Server = candidate.Server;
      continue;
    }
    if (best && !isLowerCost(cost, bestCost))
      continue;
    best = OpeningChoice{candidate.Server, cost.Wait};
    bestCost = cost;
    ties = 1;
  }
  return best;
}

} // namespace balsamrack

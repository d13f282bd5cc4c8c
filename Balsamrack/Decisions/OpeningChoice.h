#ifndef BALSAMRACK_DECISIONS_OPENINGCHOICE_H
#define BALSAMRACK_DECISIONS_OPENINGCHOICE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Random.h"

namespace balsamrack {

/// Whether a server should get new flows at all. A later rank is used only
/// while no server of an earlier one is left.
enum class OpeningRank {
  Normal,    ///< Nothing speaks against it.
  Suspected, ///< Its failure domain has left a copy of this very opening
             ///< unanswered: domains fail and are cut off as a whole.
  Expired,   ///< Its entry has just disappeared.
  Silent,    ///< It, or its whole failure domain, leaves openings unanswered.
};

/// What the choice looks at, for one server.
struct OpeningCandidate {
  size_t Server = 0;                      ///< The caller's own number of it.
  OpeningRank Rank = OpeningRank::Normal; ///< See there.
  uint32_t InProgress = 0;  ///< Flows of this daemon that it works on.
  uint32_t Slots = 1;       ///< Requests that it works on at the same time.
  double Share = 0;         ///< Of its slots, this daemon's (slotShares).
  bool InSameDomain = true; ///< In this daemon's failure domain.
  bool Cold = false;        ///< Has just started and is slow.
};

/// Extra cost of a server in another failure domain, in slots of expected wait:
/// decides only between servers that are nearly alike. A flow there costs bytes
/// between domains, and is lost when the domains are cut off from each other.
constexpr double RemoteDomainCost = 0.02;
/// Extra cost of a cold server: it works at about two thirds of its speed, so
/// a flow that finds a warm one idle is served sooner there.
constexpr double ColdServerCost = 0.25;

/// How many flows a new flow would wait for at \p candidate, a slot: the mean
/// of what exceeds the free slots, when other daemons fill their shares to \p
/// othersLoad (1 is full) independently of each other. Pure, thread-safe.
double expectedWait(const OpeningCandidate &candidate, double othersLoad);

/// What chooseForOpening() compares within a rank: the expected wait and the
/// extra costs of \p candidate. Pure, thread-safe.
double openingCost(const OpeningCandidate &candidate, double othersLoad);

/// Which of \p candidates chooseForOpening() chooses among by chance. Pure,
/// thread-safe.
std::vector<bool>
leastCostCandidates(const std::vector<OpeningCandidate> &candidates,
                    double othersLoad);

/// The server that was chosen, and what is expected there.
struct OpeningChoice {
  size_t Server = 0; ///< The caller's own number of it.
  double Cost = 0;   ///< Flows that the new one would wait for, a slot.
};

/// Chooses the server for a new flow: the earliest rank, then the least
/// expected wait, then the fewest own flows, then chance. Nothing without
/// candidates. Pure but for \p random, thread-safe as that is.
std::optional<OpeningChoice>
chooseForOpening(const std::vector<OpeningCandidate> &candidates,
                 double othersLoad, RandomSource &random);

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OPENINGCHOICE_H

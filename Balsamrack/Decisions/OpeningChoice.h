#ifndef BALSAMRACK_DECISIONS_OPENINGCHOICE_H
#define BALSAMRACK_DECISIONS_OPENINGCHOICE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Random.h"

namespace balsamrack {

/// Suitability of a server for new flows. Servers of a later rank are
/// considered only when no server of an earlier rank is available.
enum class OpeningRank {
  Normal,    ///< No failure is known or suspected.
  Suspected, ///< A server of its failure domain did not answer an earlier copy
             ///< of this opening; failure domains fail and are cut off as a
             ///< whole.
  Ejected,   ///< It answers much more slowly than its peers.
  Expired,   ///< Its published entry was removed recently.
  Silent,    ///< The server, or its whole failure domain, does not answer
             ///< openings.
};

/// One candidate server and the inputs for choosing among candidates.
struct OpeningCandidate {
  size_t Server = 0; ///< Index assigned by the calling code.
  /// Candidates of the lowest rank are preferred.
  OpeningRank Rank = OpeningRank::Normal;
  uint32_t InProgress = 0; ///< Flows of this daemon in progress on the server.
  uint32_t Slots = 1;      ///< Requests that the server processes concurrently.
  /// This daemon's share of the server's slots, see slotShares().
  double Share = 0;
  bool InSameDomain = true; ///< The server is in this daemon's failure domain.
  bool Cold = false;        ///< The server started recently and is still slow.
  double Speed = 1;         ///< 2 for twice as fast as its peers; positive.
};

/// Extra cost of a server in another failure domain, in slots of expected wait.
/// It only breaks near ties. Such a flow causes traffic between domains, and is
/// lost when the domains are partitioned.
constexpr double RemoteDomainCost = 0.02;
/// Extra cost of a cold server, in slots of expected wait. A cold server runs
/// at about two thirds of its full speed, so a flow is served sooner by an idle
/// warm server.
constexpr double ColdServerCost = 0.25;

/// Expected number of flows, per slot, that a new flow waits for at \p
/// candidate: the mean number of flows beyond the free slots, assuming that
/// other daemons independently fill their shares to \p othersLoad (1 is full).
/// Pure, thread-safe.
double expectedWait(const OpeningCandidate &candidate, double othersLoad);

/// The cost that chooseForOpening() compares within a rank: the expected wait
/// of \p candidate plus its extra costs. For a speed other than 1, the wait and
/// the request itself take that much less or more time. Pure, thread-safe.
double openingCost(const OpeningCandidate &candidate, double othersLoad);

/// Marks the candidates of least cost, among which chooseForOpening() picks at
/// random. Pure, thread-safe.
std::vector<bool>
leastCostCandidates(const std::vector<OpeningCandidate> &candidates,
                    double othersLoad);

/// The chosen server and its cost.
struct OpeningChoice {
  size_t Server = 0; ///< Index assigned by the calling code.
  double Cost = 0; ///< Cost of the candidate: expected wait in flows per slot,
                   ///< plus the extra costs.
};

/// Chooses the server for a new flow by lowest rank, then lowest cost, then
/// fewest flows of this daemon, then at random. Returns nothing if \p
/// candidates is empty. Pure except for \p random, and as thread-safe as it.
std::optional<OpeningChoice>
chooseForOpening(const std::vector<OpeningCandidate> &candidates,
                 double othersLoad, RandomSource &random);

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OPENINGCHOICE_H

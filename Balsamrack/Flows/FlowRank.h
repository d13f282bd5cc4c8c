#ifndef BALSAMRACK_FLOWS_FLOWRANK_H
#define BALSAMRACK_FLOWS_FLOWRANK_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Balsamrack/Core/Ids.h"

namespace balsamrack {

/// A backend server as the rank sees it.
struct RankedServer {
  ServerId Server;       ///< Which server.
  uint32_t Weight = 100; ///< Its share of new flows; zero: last choice.

  friend bool operator==(const RankedServer &a, const RankedServer &b) {
    return a.Server == b.Server && a.Weight == b.Weight;
  }
};

/// Order of a service's backend servers for each flow: weighted rendezvous
/// hashing (Thaler, Ravishankar 1998; weights by -ln(u)/w after Schindelhauer,
/// Schomaker 2005).
///
/// Load that it answers: many flows over few servers, placed by daemons that
/// share nothing. Without it each daemon needs a table of flows, or every
/// change of the list moves most flows (modulo hashing). When a server joins,
/// only the flows that it wins move; when it leaves, only its own.
///
/// Immutable, so thread-safe. The order is the same on every VM: the hash is
/// stable and the logarithm uses IEEE operations only, never libm, whose last
/// bit depends on the CPU.
class FlowRank {
public:
  FlowRank() = default;
  /// Precomputes hashes of \p servers. Precondition: no server twice.
  explicit FlowRank(const std::vector<RankedServer> &servers);

  /// Number of servers.
  size_t size() const { return Seeds.size(); }
  /// Position, in the list given, of the flow's first candidate. Precondition:
  /// size() > 0. Thread-safe.
  size_t firstCandidate(FlowId flow) const;
  /// Positions of the first \p count candidates, best first; fewer when there
  /// are fewer. Thread-safe.
  std::vector<size_t> topCandidates(FlowId flow, size_t count) const;

private:
  double cost(FlowId flow, size_t i) const;

  std::vector<uint64_t> Seeds;        ///< Hash of each server's id.
  std::vector<double> InverseWeights; ///< 1 / weight; infinite for zero.
  bool EqualWeights = true;           ///< Then no logarithm is needed.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWRANK_H

#ifndef BALSAMRACK_FLOWS_FLOWRANK_H
#define BALSAMRACK_FLOWS_FLOWRANK_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Balsamrack/Core/Ids.h"

namespace balsamrack {

/// A backend server as an input of FlowRank.
struct RankedServer {
  ServerId Server;       ///< Server id.
  uint32_t Weight = 100; ///< Relative share of new flows; zero ranks last.

  friend bool operator==(const RankedServer &a, const RankedServer &b) {
    return a.Server == b.Server && a.Weight == b.Weight;
  }
};

/// Ranks a service's backend servers for each flow by weighted rendezvous
/// hashing (Thaler, Ravishankar 1998; weights by -ln(u)/w after Schindelhauer,
/// Schomaker 2005).
///
/// It distributes many flows over few servers consistently on daemons that
/// share no state. The alternatives are a flow table on each daemon, or modulo
/// hashing, which moves most flows on every change of the server list. When a
/// server joins, only the flows that now rank it first move; when it leaves,
/// only its own flows move.
///
/// Immutable, so thread-safe. The order is identical on every VM: the hash is
/// stable, and the logarithm uses IEEE operations only instead of libm, whose
/// last bit depends on the CPU.
class FlowRank {
public:
  FlowRank() = default;
  /// Precomputes the hashes of \p servers. Precondition: no duplicates.
  explicit FlowRank(const std::vector<RankedServer> &servers);

  /// Number of servers.
  size_t size() const { return Seeds.size(); }
  /// Index of the flow's first candidate in the constructor's list.
  /// Precondition: size() > 0. Thread-safe.
  size_t firstCandidate(FlowId flow) const;
  /// Indices of the flow's first \p count candidates, or of all if there are
  /// fewer, best first. Thread-safe.
  std::vector<size_t> topCandidates(FlowId flow, size_t count) const;

private:
  double cost(FlowId flow, size_t i) const;

  std::vector<uint64_t> Seeds;        ///< Hash of each server's id.
  std::vector<double> InverseWeights; ///< 1 / weight; infinity for weight zero.
  bool EqualWeights = true;           ///< All weights are equal, so no
                                      ///< logarithm is needed.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWRANK_H

#ifndef BALSAMRACK_PERFORMANCETEST_FLOWBASELINES_H
#define BALSAMRACK_PERFORMANCETEST_FLOWBASELINES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamrack {

/// Result of a baseline under a change.
struct BaselineResult {
  std::string Name;         ///< Name of the baseline.
  double BrokenPercent = 0; ///< Flows that move to another server
                            ///< or to none.
};

/// Runs the baseline for \p change, a change of FlowsMeasure.cpp: modulo
/// hashing if servers change, stateless rendezvous hashing if tickets are
/// skewed, and only a flow table in each daemon if daemons join or leave.
BaselineResult baselineFor(const std::string &change, size_t flows);

/// Returns the number of flows on each server by modulo hashing, for flow ids
/// from \p firstId + 1 on.
std::vector<uint32_t> moduloFlowsPerServer(size_t flows, uint64_t firstId);

/// Returns lookups per second of \p threads in one hash map behind one mutex.
double lockedMapLookups(uint64_t flows, size_t threads, double seconds);

/// Returns bytes per flow of a hash map from flow ids to server names.
double bytesPerFlowInHashMap(uint64_t flows);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_FLOWBASELINES_H

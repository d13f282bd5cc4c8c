#ifndef BALSAMRACK_PERFORMANCETEST_FLOWBASELINES_H
#define BALSAMRACK_PERFORMANCETEST_FLOWBASELINES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamrack {

/// What a baseline does under a change.
struct BaselineResult {
  std::string Name;         ///< Which baseline.
  double BrokenPercent = 0; ///< Flows that another server gets, or none.
};

/// The baseline for a change, as FlowsMeasure names it: modulo hashing when
/// servers change, plain rendezvous without memory when tickets are skewed, and
/// a flow table alone in each daemon when daemons come and go.
BaselineResult baselineFor(const std::string &change, size_t flows);

/// Flows on each of the servers by modulo hashing; ids from + 1 on.
std::vector<uint32_t> moduloFlowsPerServer(size_t flows, uint64_t firstId);

/// Lookups a second by \p threads in one hash map behind one mutex.
double lockedMapLookups(uint64_t flows, size_t threads, double seconds);

/// Bytes a flow in a hash map from flow to the server's name.
double bytesPerFlowInHashMap(uint64_t flows);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_FLOWBASELINES_H

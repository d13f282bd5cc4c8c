#ifndef BALSAMRACK_PERFORMANCETEST_FLOWSMEASURE_H
#define BALSAMRACK_PERFORMANCETEST_FLOWSMEASURE_H

#include <vector>

#include "PerformanceTest/Figure.h"

namespace balsamrack {

/// Measures the flow subsystem: broken flows under changes and failures with
/// different layers enabled, hops, control bytes, memory, balance and speed.
/// \p quick uses fewer flows and shorter runs. Not thread-safe.
std::vector<Figure> measureFlows(bool quick);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_FLOWSMEASURE_H

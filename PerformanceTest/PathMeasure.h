#ifndef BALSAMRACK_PERFORMANCETEST_PATHMEASURE_H
#define BALSAMRACK_PERFORMANCETEST_PATHMEASURE_H

#include <vector>

#include "PerformanceTest/Figure.h"

namespace balsamrack {

/// Measures requests through real daemons on loopback: callers, fabric, three
/// daemons and backend server stand-ins with 1 ms of work. The baseline sends
/// requests directly to the same stand-ins in the same run. Returns no figures
/// if the fleet can't be started and prints the cause to standard error. Not
/// thread-safe.
std::vector<Figure> measurePath(bool quick);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_PATHMEASURE_H

#ifndef BALSAMRACK_PERFORMANCETEST_DECISIONSMEASURE_H
#define BALSAMRACK_PERFORMANCETEST_DECISIONSMEASURE_H

#include <vector>

#include "PerformanceTest/Figure.h"

namespace balsamrack {

/// Measures the decisions under load in virtual time, each against its
/// baseline. \p quick runs shorter loads. The figures are the same in every
/// run.
std::vector<Figure> measureDecisions(bool quick);

/// Measures goodput over load for a plot; each figure is named after its load
/// factor.
std::vector<Figure> goodputCurve(bool quick);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_DECISIONSMEASURE_H

#ifndef BALSAMRACK_PERFORMANCETEST_CONTROLMEASURE_H
#define BALSAMRACK_PERFORMANCETEST_CONTROLMEASURE_H

#include <functional>
#include <vector>

#include "PerformanceTest/Figure.h"

namespace balsamrack {

/// Slopes of membership, ticket spread and ownership over the fleet's size, up
/// to \p largest daemons in one process under virtual time, and the bad days at
/// that size. \p onFigure is called with each figure as soon as it is
/// there. Bytes are those of the real codec plus a constant for the frames
/// below it. Not thread-safe.
std::vector<Figure>
measureControlPlane(size_t maxDaemons,
                    const std::function<void(const Figure &)> &onFigure);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_CONTROLMEASURE_H

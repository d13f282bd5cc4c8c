#ifndef BALSAMRACK_PERFORMANCETEST_CONTROLMEASURE_H
#define BALSAMRACK_PERFORMANCETEST_CONTROLMEASURE_H

#include <functional>
#include <vector>

#include "PerformanceTest/Figure.h"

namespace balsamrack {

/// Measures how the cost of membership, ticket propagation and ownership grows
/// with the number of daemons, up to \p maxDaemons in one process under virtual
/// time, and the effect of failures at that size. Calls \p onFigure with each
/// figure as soon as it is measured. Bytes are those of the real codec plus a
/// constant overhead per message. Not thread-safe.
std::vector<Figure>
measureControlPlane(size_t maxDaemons,
                    const std::function<void(const Figure &)> &onFigure);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_CONTROLMEASURE_H

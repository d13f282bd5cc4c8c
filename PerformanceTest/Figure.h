#ifndef BALSAMRACK_PERFORMANCETEST_FIGURE_H
#define BALSAMRACK_PERFORMANCETEST_FIGURE_H

#include <string>

namespace balsamrack {

/// A measured figure and the figure of a baseline in the same run.
struct Figure {
  std::string Name;         ///< Name, such as goodput_at_2x.
  double Value = 0;         ///< Measured value.
  std::string Unit;         ///< Unit, such as "share", "ms" or "s".
  double Baseline = 0;      ///< Value of the baseline.
  std::string BaselineName; ///< Name of the baseline.
};

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_FIGURE_H

#ifndef BALSAMRACK_OBSERVABILITY_QUANTILEWINDOW_H
#define BALSAMRACK_OBSERVABILITY_QUANTILEWINDOW_H

#include <array>
#include <cstdint>
#include <memory>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Median and 99th percentile of what was observed lately, in constant memory.
/// Not thread-safe.
class QuantileWindow {
public:
  /// The probabilities whose quantiles are estimated.
  static constexpr std::array<double, 2> Probabilities = {0.5, 0.99};
  using Quantiles = std::array<double, Probabilities.size()>;

  explicit QuantileWindow(Duration window);
  QuantileWindow(QuantileWindow &&other) noexcept;
  ~QuantileWindow();

  /// Adds a value that was observed at \p now.
  void add(TimePoint now, double value);
  /// The quantiles of the window before the running one, or of the running one
  /// while there is none before; zeros without values.
  Quantiles quantilesAt(TimePoint now) const;

private:
  struct Estimator;

  void rotate(TimePoint now);

  Duration Length;                     ///< Of a window.
  TimePoint WindowStart;               ///< Of the running window.
  std::unique_ptr<Estimator> Current;  ///< Null without values.
  std::unique_ptr<Estimator> Previous; ///< Null without values.
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_QUANTILEWINDOW_H

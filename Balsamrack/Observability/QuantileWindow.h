#ifndef BALSAMRACK_OBSERVABILITY_QUANTILEWINDOW_H
#define BALSAMRACK_OBSERVABILITY_QUANTILEWINDOW_H

#include <array>
#include <cstdint>
#include <memory>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Estimates the median and 99th percentile of recent observations in constant
/// memory. Not thread-safe.
class QuantileWindow {
public:
  /// Probabilities of the estimated quantiles.
  static constexpr std::array<double, 2> Probabilities = {0.5, 0.99};
  /// One quantile per probability.
  using Quantiles = std::array<double, Probabilities.size()>;

  /// Creates an estimator for windows of the length \p window.
  explicit QuantileWindow(Duration window);
  QuantileWindow(QuantileWindow &&other) noexcept;
  ~QuantileWindow();

  /// Adds a value observed at \p now.
  void add(TimePoint now, double value);
  /// Returns the quantiles of the previous window, or of the current one if
  /// there is no previous one; zeros if there are no values.
  Quantiles quantilesAt(TimePoint now) const;

private:
  struct Estimator;

  void rotate(TimePoint now);

  Duration Length;                     ///< Length of a window.
  TimePoint WindowStart;               ///< Start of the current window.
  std::unique_ptr<Estimator> Current;  ///< Null without values.
  std::unique_ptr<Estimator> Previous; ///< Null without values.
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_QUANTILEWINDOW_H

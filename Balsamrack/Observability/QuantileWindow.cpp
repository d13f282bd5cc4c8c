#include "Balsamrack/Observability/QuantileWindow.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <utility>
#include <vector>

namespace balsamrack {

namespace {

namespace acc = boost::accumulators;
using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

/// The P-square estimate is unusable for fewer values than this, so the
/// quantile is computed from the values themselves.
constexpr size_t MaxExactValues = 32;

} // namespace

struct QuantileWindow::Estimator {
  Estimator() : PSquare(acc::extended_p_square_probabilities = Probabilities) {}

  void add(double value) {
    if (ExactSamples.size() < MaxExactValues)
      ExactSamples.push_back(value);
    else
      ++EstimatedCount;
    PSquare(value);
  }
  Quantiles quantiles() const {
    Quantiles q{};
    if (EstimatedCount > 0) {
      for (size_t i = 0; i < q.size(); ++i)
        q[i] = acc::extended_p_square(PSquare)[static_cast<ptrdiff_t>(i)];
      return q;
    }
    std::vector<double> sorted = ExactSamples;
    std::sort(sorted.begin(), sorted.end());
    for (size_t i = 0; i < q.size(); ++i) {
      auto rank = static_cast<size_t>(
          std::ceil(Probabilities[i] * static_cast<double>(sorted.size())));
      q[i] = sorted[std::max<size_t>(rank, 1) - 1];
    }
    return q;
  }

  Accumulator PSquare;
  std::vector<double>
      ExactSamples;            ///< The first values, in the order of arrival.
  uint64_t EstimatedCount = 0; ///< Number of values after those.
};

QuantileWindow::QuantileWindow(Duration window) : Length(window) {}
QuantileWindow::QuantileWindow(QuantileWindow &&other) noexcept = default;
QuantileWindow::~QuantileWindow() = default;

void QuantileWindow::rotate(TimePoint now) {
  if (now < WindowStart + Length)
    return;
  Previous = now < WindowStart + 2 * Length ? std::move(Current) : nullptr;
  Current.reset();
  WindowStart = now;
}

void QuantileWindow::add(TimePoint now, double value) {
  rotate(now);
  if (!Current)
    Current = std::make_unique<Estimator>();
  Current->add(value);
}

QuantileWindow::Quantiles QuantileWindow::quantilesAt(TimePoint now) const {
  if (now >= WindowStart + 2 * Length)
    return {};
  const Estimator *source =
      now < WindowStart + Length && Previous ? Previous.get() : Current.get();
  return source ? source->quantiles() : Quantiles{};
}

} // namespace balsamrack

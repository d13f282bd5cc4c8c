#ifndef BALSAMRACK_OBSERVABILITY_METRICS_H
#define BALSAMRACK_OBSERVABILITY_METRICS_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// How a metric behaves.
enum class MetricKind {
  Counter, ///< Only rises.
  Gauge,   ///< Rises and falls.
  Summary, ///< Count, sum and quantiles of observed durations, in seconds.
};

/// A metric's name, kind and help text; to be defined once, as a constant.
struct MetricFamily {
  const char *Name; ///< Such as balsamrack_packets_total.
  const char *Help; ///< One line for readers.
  MetricKind Kind;  ///< Which calls may be made with it.
};

/// Label names and values, in the order in which they are shown.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and quantiles (Boost.Accumulators). Thread-safe; series are
/// spread over shards, each under its own lock.
class Metrics {
public:
  /// Series of one shard; one more is counted with all its label values
  /// "other", so that names made up by callers can't use the memory up.
  static constexpr size_t MaxSeriesPerShard = 256;

  /// Quantiles are of the last \p window to twice that. Precondition: \p clock
  /// outlives the result.
  static std::unique_ptr<Metrics>
  create(const Clock &clock, Duration window = std::chrono::seconds(60));
  virtual ~Metrics() = default;
  /// Adds \p n to a counter.
  virtual void count(const MetricFamily &family, const MetricLabels &labels,
                     uint64_t n = 1) = 0;
  /// Sets a gauge.
  virtual void set(const MetricFamily &family, const MetricLabels &labels,
                   double value) = 0;
  /// Adds a duration to a summary.
  virtual void observe(const MetricFamily &family, const MetricLabels &labels,
                       Duration value) = 0;
  /// Everything in Prometheus' text format, families by name.
  virtual std::string toPrometheusText() const = 0;
  /// Everything as JSON: an array of families with their series.
  virtual nlohmann::json toJson() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_METRICS_H

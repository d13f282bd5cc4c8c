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

/// Type of a metric.
enum class MetricKind {
  Counter, ///< Only increases.
  Gauge,   ///< May increase and decrease.
  Summary, ///< Count, sum and quantiles of observed durations, in seconds.
};

/// Name, help text and kind of a metric; to be defined once, as a constant.
struct MetricFamily {
  const char *Name; ///< Name, such as balsamrack_packets_total.
  const char *Help; ///< One-line description.
  MetricKind Kind;  ///< Determines which calls are permitted.
};

/// Label names and values, in the order of output.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and summaries (Boost.Accumulators). Thread-safe: series are
/// distributed over shards, each with its own lock.
class Metrics {
public:
  /// Maximum number of series per shard. Further ones are counted with all
  /// label values set to "other", so that names invented by callers can't
  /// exhaust the memory.
  static constexpr size_t MaxSeriesPerShard = 256;

  /// Creates an empty registry. Quantiles cover the last one to two \p window.
  /// Precondition: \p clock outlives the result.
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
  /// Formats all metrics in the Prometheus text format, ordered by name.
  virtual std::string toPrometheusText() const = 0;
  /// Returns all metrics as JSON: an array of families with their series.
  virtual nlohmann::json toJson() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_METRICS_H

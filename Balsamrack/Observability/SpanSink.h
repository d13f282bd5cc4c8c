#ifndef BALSAMRACK_OBSERVABILITY_SPANSINK_H
#define BALSAMRACK_OBSERVABILITY_SPANSINK_H

#include <cstdint>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Daemon/Telemetry.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Output file and limits of a SpanSink.
struct SpanSinkSettings {
  std::string Vm;   ///< Name of this VM, written to each span's resource.
  std::string File; ///< File for OTLP/JSON lines; empty for none.
  uint64_t MaxFileBytes = uint64_t(256) << 20; ///< Size at which writing stops.
  size_t MaxSpans = 4096; ///< Maximum number of spans in memory.
  uint64_t Seed = 1;      ///< Seed of the span ids.
};

/// Creates span ids and stores completed spans: in a ring buffer in memory and
/// as OTLP/JSON lines in a file. Thread-safe: spans are distributed over shards
/// by their trace to reduce lock contention.
class SpanSink {
public:
  /// Opens the file. Precondition: \p clock outlives the result. Returns
  /// kUnavailable (step read-settings) if it can't be opened.
  static absl::StatusOr<std::unique_ptr<SpanSink>>
  create(const SpanSinkSettings &settings, const Clock &clock);
  virtual ~SpanSink() = default;
  /// Returns the traceparent of a new child span of \p parent, or of a new
  /// trace if \p parent is not a traceparent.
  virtual std::string start(const std::string &parent) = 0;
  /// Stores a completed span.
  virtual void end(const HopSpan &span) = 0;
  /// Returns the stored spans of the trace with the id \p traceId (32 hex
  /// digits) in the order of their start, with the fields span, parent, name,
  /// start_us (monotonic), took_us, service, server, request, result, failed.
  virtual nlohmann::json findSpans(const std::string &traceId) const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_SPANSINK_H

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

/// Where spans go, and how many are held.
struct SpanSinkSettings {
  std::string Vm;   ///< Name of this VM, in each span's resource.
  std::string File; ///< OTLP/JSON lines; empty: none.
  uint64_t MaxFileBytes = uint64_t(256) << 20; ///< Nothing is written beyond.
  size_t MaxSpans = 4096;                      ///< Spans kept in memory.
  uint64_t Seed = 1;                           ///< Of the span ids.
};

/// Makes span ids, and keeps finished spans: in a ring in memory, and as
/// OTLP/JSON lines in a file. Thread-safe; spans are spread over shards by
/// their trace, so that threads seldom meet.
class SpanSink {
public:
  /// Opens the file. Precondition: \p clock outlives the result. Error
  /// kUnavailable (step read-settings) when it can't be opened.
  static absl::StatusOr<std::unique_ptr<SpanSink>>
  create(const SpanSinkSettings &settings, const Clock &clock);
  virtual ~SpanSink() = default;
  /// A traceparent for a new span below \p parent; of a new trace when \p
  /// parent is none.
  virtual std::string start(const std::string &parent) = 0;
  /// Keeps a finished span.
  virtual void end(const HopSpan &span) = 0;
  /// The spans held of the trace with these 32 hex digits, in order of their
  /// start: span, parent, name, start_us (monotonic), took_us, service, server,
  /// request, result, failed.
  virtual nlohmann::json findSpans(const std::string &traceId) const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_SPANSINK_H

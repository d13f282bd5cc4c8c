#ifndef BALSAMRACK_OBSERVABILITY_TRACECONTEXT_H
#define BALSAMRACK_OBSERVABILITY_TRACECONTEXT_H

#include <cstdint>
#include <string>

#include "Balsamrack/Core/Random.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Position of a span in a trace, as in the traceparent field of W3C Trace
/// Context. Plain data.
struct TraceContext {
  uint64_t TraceHigh = 0; ///< Upper half of the trace id.
  uint64_t TraceLow = 0;  ///< Lower half; an id of zero is invalid.
  uint64_t Span = 0;      ///< Id of the span; zero is invalid.
  uint8_t Flags = 1;      ///< Bit 0: sampled.

  /// Parses a traceparent. For versions above 00, the fields of version 00 are
  /// parsed, as the standard requires. Returns kInvalidArgument for anything
  /// else. Thread-safe.
  static absl::StatusOr<TraceContext> parse(const std::string &text);
  /// Starts a new trace. Thread-safe for different \p random.
  static TraceContext start(RandomSource &random);
  /// Creates a child span in this trace. Thread-safe for different \p random.
  TraceContext child(RandomSource &random) const;
  /// Formats the traceparent, version 00. Thread-safe.
  std::string str() const;
  /// Formats the trace id as 32 hex digits. Thread-safe.
  std::string traceId() const;
  /// Formats the span id as 16 hex digits. Thread-safe.
  std::string spanId() const;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_TRACECONTEXT_H

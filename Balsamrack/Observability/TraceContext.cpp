#include "Balsamrack/Observability/TraceContext.h"

#include <charconv>

#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

// 00-<32 trace id>-<16 span id>-<2 flags>
constexpr size_t TraceparentLength = 55;
constexpr size_t TraceIdOffset = 3;
constexpr size_t SpanIdOffset = 36;
constexpr size_t FlagsOffset = 53;

/// Parses \p digits hex digits in lower case, the only ones that the standard
/// allows.
bool parseHex(const std::string &text, size_t offset, size_t digits,
              uint64_t &out) {
  for (size_t i = offset; i < offset + digits; ++i)
    if (!((text[i] >= '0' && text[i] <= '9') ||
          (text[i] >= 'a' && text[i] <= 'f')))
      return false;
  const char *begin = text.data() + offset;
  return std::from_chars(begin, begin + digits, out, 16).ptr == begin + digits;
}

uint64_t nextNonZero(RandomSource &random) {
  uint64_t id = 0;
  while (id == 0)
    id = random.next();
  return id;
}

} // namespace

absl::StatusOr<TraceContext> TraceContext::parse(const std::string &text) {
  constexpr uint64_t ForbiddenVersion = 0xff;
  TraceContext context;
  uint64_t version = 0;
  uint64_t flags = 0;
  bool ok = text.size() >= TraceparentLength && text[2] == '-' &&
            text[SpanIdOffset - 1] == '-' && text[FlagsOffset - 1] == '-' &&
            parseHex(text, 0, 2, version) &&
            parseHex(text, TraceIdOffset, 16, context.TraceHigh) &&
            parseHex(text, TraceIdOffset + 16, 16, context.TraceLow) &&
            parseHex(text, SpanIdOffset, 16, context.Span) &&
            parseHex(text, FlagsOffset, 2, flags);
  // Only versions above 00 may have further fields after the flags.
  ok = ok && (text.size() == TraceparentLength ||
              (version != 0 && text[TraceparentLength] == '-'));
  if (!ok || version == ForbiddenVersion || context.Span == 0 ||
      (context.TraceHigh == 0 && context.TraceLow == 0))
    return absl::InvalidArgumentError("not a traceparent");
  context.Flags = static_cast<uint8_t>(flags);
  return context;
}

TraceContext TraceContext::start(RandomSource &random) {
  return {random.next(), nextNonZero(random), nextNonZero(random), 1};
}

TraceContext TraceContext::child(RandomSource &random) const {
  return {TraceHigh, TraceLow, nextNonZero(random), Flags};
}

std::string TraceContext::str() const {
  return absl::StrFormat("00-%s-%s-%02x", traceId(), spanId(), Flags);
}

std::string TraceContext::traceId() const {
  return absl::StrFormat("%016x%016x", TraceHigh, TraceLow);
}

std::string TraceContext::spanId() const {
  return absl::StrFormat("%016x", Span);
}

} // namespace balsamrack

#include "Balsamrack/Observability/SpanSink.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <fstream>
#include <mutex>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Observability/TraceContext.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr size_t ShardCount = 16;
constexpr int SpanKindServer = 2; ///< SPAN_KIND_SERVER in OTLP.
constexpr int SpanKindClient = 3; ///< SPAN_KIND_CLIENT in OTLP.
constexpr int StatusCodeError = 2;

json makeAttribute(const char *key, const std::string &value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

struct Shard {
  mutable std::mutex Lock; ///< Guards what follows.
  SeededRandom Random{0};
  std::deque<HopSpan> Ring; ///< Oldest first.
};

class RingAndFileSpanSink final : public SpanSink {
public:
  RingAndFileSpanSink(SpanSinkSettings settings, const Clock &clock)
      : Settings(std::move(settings)), EpochOffset(computeEpochOffset(clock)) {
    for (size_t i = 0; i < ShardCount; ++i)
      AllShards[i].Random = SeededRandom(Settings.Seed * ShardCount + i);
  }

  absl::Status open();
  std::string start(const std::string &parent) override;
  void end(const HopSpan &span) override;
  json findSpans(const std::string &traceId) const override;

private:
  /// Returns the offset from the monotonic clock to the wall clock at the
  /// start.
  static Duration computeEpochOffset(const Clock &clock) {
    auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(wall) -
           clock.now().time_since_epoch();
  }
  std::string toUnixNanos(TimePoint at) const {
    Duration wall = at.time_since_epoch() + EpochOffset;
    return std::to_string(std::chrono::nanoseconds(wall).count());
  }
  json toOtlp(const HopSpan &span) const;
  static json toSummary(const HopSpan &span);
  void write(const HopSpan &span);
  static size_t shardIndex(const TraceContext &c) {
    return c.TraceLow % ShardCount;
  }

  const SpanSinkSettings Settings;
  const Duration EpochOffset;
  std::array<Shard, ShardCount> AllShards;
  std::mutex FileLock; ///< Guards what follows.
  std::ofstream File;
  uint64_t BytesWritten = 0;
};

absl::Status RingAndFileSpanSink::open() {
  if (Settings.File.empty())
    return absl::OkStatus();
  File.open(Settings.File, std::ios::app);
  if (File)
    return absl::OkStatus();
  return makeError(absl::StatusCode::kUnavailable, Step::ReadSettings, "",
                   "cannot open the trace file " + Settings.File);
}

std::string RingAndFileSpanSink::start(const std::string &parent) {
  auto parentContext = TraceContext::parse(parent);
  size_t index = parentContext.ok()
                     ? shardIndex(*parentContext)
                     : std::hash<std::string>()(parent) % ShardCount;
  Shard &shard = AllShards[index];
  std::lock_guard<std::mutex> guard(shard.Lock);
  return parentContext.ok() ? parentContext->child(shard.Random).str()
                            : TraceContext::start(shard.Random).str();
}

void RingAndFileSpanSink::end(const HopSpan &span) {
  auto context = TraceContext::parse(span.Traceparent);
  if (!context.ok())
    return;
  {
    Shard &shard = AllShards[shardIndex(*context)];
    std::lock_guard<std::mutex> guard(shard.Lock);
    shard.Ring.push_back(span);
    if (shard.Ring.size() > std::max<size_t>(Settings.MaxSpans / ShardCount, 1))
      shard.Ring.pop_front();
  }
  if (!Settings.File.empty())
    write(span);
}

json RingAndFileSpanSink::toOtlp(const HopSpan &span) const {
  TraceContext context =
      TraceContext::parse(span.Traceparent).value_or(TraceContext());
  auto parent = TraceContext::parse(span.Parent);
  json attributes = {
      makeAttribute("balsamrack.vm", Settings.Vm),
      makeAttribute("balsamrack.service", span.Service.str()),
      makeAttribute("balsamrack.request",
                    absl::StrFormat("%016x", span.Request.Value)),
      makeAttribute("balsamrack.result", span.Result)};
  if (!span.Server.empty())
    attributes.push_back(makeAttribute("balsamrack.server", span.Server.str()));
  bool isServerHop = std::string(span.Hop) == "server";
  json out = {{"traceId", context.traceId()},
              {"spanId", context.spanId()},
              {"name", span.Hop},
              {"kind", isServerHop ? SpanKindClient : SpanKindServer},
              {"startTimeUnixNano", toUnixNanos(span.Start)},
              {"endTimeUnixNano", toUnixNanos(span.Start + span.Took)},
              {"attributes", std::move(attributes)}};
  if (parent.ok())
    out["parentSpanId"] = parent->spanId();
  if (span.Failed)
    out["status"] = {{"code", StatusCodeError}, {"message", span.Result}};
  return out;
}

json RingAndFileSpanSink::toSummary(const HopSpan &span) {
  auto context = TraceContext::parse(span.Traceparent);
  auto parent = TraceContext::parse(span.Parent);
  return {{"span", context.ok() ? context->spanId() : ""},
          {"parent", parent.ok() ? parent->spanId() : ""},
          {"name", span.Hop},
          {"start_us", span.Start.time_since_epoch().count()},
          {"took_us", span.Took.count()},
          {"service", span.Service.str()},
          {"server", span.Server.str()},
          {"request", absl::StrFormat("%016x", span.Request.Value)},
          {"result", span.Result},
          {"failed", span.Failed}};
}

void RingAndFileSpanSink::write(const HopSpan &span) {
  json resource = {{"attributes",
                    {makeAttribute("service.name", "balsamrackd"),
                     makeAttribute("host.name", Settings.Vm)}}};
  json scope = {{"scope", {{"name", "balsamrack"}}},
                {"spans", json::array({toOtlp(span)})}};
  json line = {
      {"resourceSpans", json::array({{{"resource", std::move(resource)},
                                      {"scopeSpans", json::array({scope})}}})}};
  std::string text =
      line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  std::lock_guard<std::mutex> guard(FileLock);
  if (BytesWritten + text.size() > Settings.MaxFileBytes)
    return;
  BytesWritten += text.size();
  File << text << std::flush;
}

json RingAndFileSpanSink::findSpans(const std::string &traceId) const {
  auto traceContext =
      TraceContext::parse("00-" + traceId + "-0000000000000001-01");
  json out = json::array();
  if (!traceContext.ok())
    return out;
  const Shard &shard = AllShards[shardIndex(*traceContext)];
  std::vector<HopSpan> found;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    for (const HopSpan &span : shard.Ring) {
      auto context = TraceContext::parse(span.Traceparent);
      if (context.ok() && context->traceId() == traceId)
        found.push_back(span);
    }
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const HopSpan &a, const HopSpan &b) { return a.Start < b.Start; });
  for (const HopSpan &span : found)
    out.push_back(toSummary(span));
  return out;
}

} // namespace

absl::StatusOr<std::unique_ptr<SpanSink>>
SpanSink::create(const SpanSinkSettings &settings, const Clock &clock) {
  auto sink = std::make_unique<RingAndFileSpanSink>(settings, clock);
  absl::Status status = sink->open();
  if (!status.ok())
    return status;
  return sink;
}

} // namespace balsamrack

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

constexpr size_t Shards = 16;
constexpr int KindServer = 2; ///< SPAN_KIND_SERVER of OTLP.
constexpr int KindClient = 3; ///< SPAN_KIND_CLIENT of OTLP.
constexpr int StatusError = 2;

json attribute(const char *key, const std::string &value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

struct Shard {
  mutable std::mutex Lock; ///< Guards what follows.
  SeededRandom Random{0};
  std::deque<HopSpan> Ring; ///< Oldest first.
};

class RingAndFile final : public SpanSink {
public:
  RingAndFile(SpanSinkSettings settings, const Clock &clock)
      : Settings(std::move(settings)), EpochOffset(offsetOf(clock)) {
    for (size_t i = 0; i < Shards; ++i)
      All[i].Random = SeededRandom(Settings.Seed * Shards + i);
  }

  absl::Status open();
  std::string start(const std::string &parent) override;
  void end(const HopSpan &span) override;
  json spansOf(const std::string &traceId) const override;

private:
  /// From our monotonic clock to the wall clock, as it was at the start.
  static Duration offsetOf(const Clock &clock) {
    auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(wall) -
           clock.now().time_since_epoch();
  }
  std::string nanos(TimePoint at) const {
    Duration wall = at.time_since_epoch() + EpochOffset;
    return std::to_string(std::chrono::nanoseconds(wall).count());
  }
  json otlpOf(const HopSpan &span) const;
  static json summaryOf(const HopSpan &span);
  void write(const HopSpan &span);
  static size_t shardOf(const TraceContext &c) { return c.TraceLow % Shards; }

  const SpanSinkSettings Settings;
  const Duration EpochOffset;
  std::array<Shard, Shards> All;
  std::mutex FileLock; ///< Guards what follows.
  std::ofstream File;
  uint64_t Written = 0;
};

absl::Status RingAndFile::open() {
  if (Settings.File.empty())
    return absl::OkStatus();
  File.open(Settings.File, std::ios::app);
  if (File)
    return absl::OkStatus();
  return makeError(absl::StatusCode::kUnavailable, Step::ReadSettings, "",
                   "cannot open the trace file " + Settings.File);
}

std::string RingAndFile::start(const std::string &parent) {
  auto above = TraceContext::parse(parent);
  size_t index =
      above.ok() ? shardOf(*above) : std::hash<std::string>()(parent) % Shards;
  Shard &shard = All[index];
  std::lock_guard<std::mutex> hold(shard.Lock);
  return above.ok() ? above->child(shard.Random).str()
                    : TraceContext::start(shard.Random).str();
}

void RingAndFile::end(const HopSpan &span) {
  auto own = TraceContext::parse(span.Traceparent);
  if (!own.ok())
    return;
  {
    Shard &shard = All[shardOf(*own)];
    std::lock_guard<std::mutex> hold(shard.Lock);
    shard.Ring.push_back(span);
    if (shard.Ring.size() > std::max<size_t>(Settings.Held / Shards, 1))
      shard.Ring.pop_front();
  }
  if (!Settings.File.empty())
    write(span);
}

json RingAndFile::otlpOf(const HopSpan &span) const {
  TraceContext own =
      TraceContext::parse(span.Traceparent).value_or(TraceContext());
  auto parent = TraceContext::parse(span.Parent);
  json attributes = {attribute("balsamrack.vm", Settings.Vm),
                     attribute("balsamrack.service", span.Service.str()),
                     attribute("balsamrack.request",
                               absl::StrFormat("%016x", span.Request.Value)),
                     attribute("balsamrack.result", span.Result)};
  if (!span.Server.empty())
    attributes.push_back(attribute("balsamrack.server", span.Server.str()));
  bool toServer = std::string(span.Hop) == "server";
  json out = {{"traceId", own.traceId()},
              {"spanId", own.spanId()},
              {"name", span.Hop},
              {"kind", toServer ? KindClient : KindServer},
              {"startTimeUnixNano", nanos(span.Start)},
              {"endTimeUnixNano", nanos(span.Start + span.Took)},
              {"attributes", std::move(attributes)}};
  if (parent.ok())
    out["parentSpanId"] = parent->spanId();
  if (span.Failed)
    out["status"] = {{"code", StatusError}, {"message", span.Result}};
  return out;
}

json RingAndFile::summaryOf(const HopSpan &span) {
  auto own = TraceContext::parse(span.Traceparent);
  auto parent = TraceContext::parse(span.Parent);
  return {{"span", own.ok() ? own->spanId() : ""},
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

void RingAndFile::write(const HopSpan &span) {
  json resource = {{"attributes",
                    {attribute("service.name", "balsamrackd"),
                     attribute("host.name", Settings.Vm)}}};
  json scope = {{"scope", {{"name", "balsamrack"}}},
                {"spans", json::array({otlpOf(span)})}};
  json line = {
      {"resourceSpans", json::array({{{"resource", std::move(resource)},
                                      {"scopeSpans", json::array({scope})}}})}};
  std::string text =
      line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  std::lock_guard<std::mutex> hold(FileLock);
  if (Written + text.size() > Settings.MaxFileBytes)
    return;
  Written += text.size();
  File << text << std::flush;
}

json RingAndFile::spansOf(const std::string &traceId) const {
  auto wanted = TraceContext::parse("00-" + traceId + "-0000000000000001-01");
  json out = json::array();
  if (!wanted.ok())
    return out;
  const Shard &shard = All[shardOf(*wanted)];
  std::vector<HopSpan> found;
  {
    std::lock_guard<std::mutex> hold(shard.Lock);
    for (const HopSpan &span : shard.Ring) {
      auto own = TraceContext::parse(span.Traceparent);
      if (own.ok() && own->traceId() == traceId)
        found.push_back(span);
    }
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const HopSpan &a, const HopSpan &b) { return a.Start < b.Start; });
  for (const HopSpan &span : found)
    out.push_back(summaryOf(span));
  return out;
}

} // namespace

absl::StatusOr<std::unique_ptr<SpanSink>>
SpanSink::create(const SpanSinkSettings &settings, const Clock &clock) {
  auto made = std::make_unique<RingAndFile>(settings, clock);
  absl::Status status = made->open();
  if (!status.ok())
    return status;
  return made;
}

} // namespace balsamrack

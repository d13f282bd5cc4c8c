#include "Balsamrack/Daemon/Witness.h"

#include <map>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Observability/Log.h"
#include "Balsamrack/Observability/Metrics.h"
#include "Balsamrack/Observability/SpanSink.h"

namespace balsamrack {

namespace {

constexpr MetricFamily Packets{"balsamrack_packets_total",
                               "Packets by their ending at this entry.",
                               MetricKind::Counter};
constexpr MetricFamily PacketTimes{"balsamrack_packet_seconds",
                                   "From a packet's arrival to its ending.",
                                   MetricKind::Summary};
constexpr MetricFamily Dispatches{"balsamrack_dispatches_total",
                                  "Dispatches to backend servers by their end.",
                                  MetricKind::Counter};
constexpr MetricFamily AnswerTimes{"balsamrack_answer_seconds",
                                   "Answer times of backend servers.",
                                   MetricKind::Summary};
constexpr MetricFamily Errors{"balsamrack_errors_total",
                              "Errors by part and step.", MetricKind::Counter};

LogSettings logOf(const ObservabilitySettings &settings) {
  return {settings.LogLevel, settings.LogFormat, settings.LogFile};
}

SpanSinkSettings spanSettings(const ObservabilitySettings &settings,
                              const VmId &vm, uint64_t seed) {
  SpanSinkSettings spans;
  spans.Vm = vm.str();
  spans.File = settings.TraceFile;
  spans.Seed = seed;
  return spans;
}

} // namespace

struct Witness::State {
  State(const Clock &clock, size_t decisions)
      : Decisions(decisions), Numbers(Metrics::create(clock)) {}

  Journal Decisions;
  std::unique_ptr<Metrics> Numbers;
  std::unique_ptr<Log> Lines;
  std::unique_ptr<SpanSink> Spans;
  std::mutex Lock;                            ///< Guards what follows.
  std::map<std::string, MetricFamily> Gauges; ///< Made on their first use.
};

absl::StatusOr<std::unique_ptr<Witness>>
Witness::create(const ObservabilitySettings &settings, const VmId &vm,
                const Clock &clock, uint64_t seed) {
  auto state = std::make_unique<State>(clock, settings.JournalDecisions);
  auto log = Log::create(logOf(settings));
  if (!log.ok())
    return log.status();
  state->Lines = *std::move(log);
  auto spans = SpanSink::create(spanSettings(settings, vm, seed), clock);
  if (!spans.ok())
    return spans.status();
  state->Spans = *std::move(spans);
  return std::unique_ptr<Witness>(new Witness(std::move(state)));
}

Witness::Witness(std::unique_ptr<State> state) : Self(std::move(state)) {}
Witness::~Witness() = default;

void Witness::decided(Decision what) { Self->Decisions.add(std::move(what)); }

std::string Witness::startSpan(const std::string &parent) {
  return Self->Spans->start(parent);
}

void Witness::endSpan(HopSpan span) { Self->Spans->end(span); }

void Witness::packetEnded(const ServiceId &service, OutcomeKind how, Reason why,
                          Duration took) {
  Self->Numbers->count(Packets, {{"service", service.str()},
                                 {"ending", outcomeKindName(how)},
                                 {"reason", reasonName(why)}});
  if (how == OutcomeKind::Answered)
    Self->Numbers->observe(PacketTimes, {{"service", service.str()}}, took);
}

void Witness::dispatchEnded(const ServerId &server, DispatchOutcome how,
                            Duration took) {
  Self->Numbers->count(Dispatches, {{"server", server.str()},
                                    {"end", dispatchOutcomeName(how)}});
  if (how == DispatchOutcome::Answered)
    Self->Numbers->observe(AnswerTimes, {{"server", server.str()}}, took);
}

void Witness::log(Part part, Severity severity, const std::string &sentence) {
  Self->Lines->write(part, severity, sentence);
}

void Witness::failed(Part part, const absl::Status &status) {
  Self->Numbers->count(Errors,
                       {{"part", partName(part)}, {"step", stepOf(status)}});
  Self->Lines->error(part, status);
}

void Witness::gauge(const char *name, double value) {
  const MetricFamily *family = nullptr;
  {
    std::lock_guard<std::mutex> guard(Self->Lock);
    family = &Self->Gauges
                  .try_emplace(name, MetricFamily{name, "As it is now.",
                                                  MetricKind::Gauge})
                  .first->second;
  }
  Self->Numbers->set(*family, {}, value);
}

absl::StatusOr<std::vector<Decision>>
Witness::about(const std::string &kind, const std::string &id) const {
  return Self->Decisions.about(kind, id);
}

nlohmann::json Witness::spansOf(const std::string &trace) const {
  return Self->Spans->spansOf(trace);
}

std::string Witness::metricsText() const { return Self->Numbers->prometheus(); }

nlohmann::json Witness::metricsJson() const { return Self->Numbers->json(); }

} // namespace balsamrack

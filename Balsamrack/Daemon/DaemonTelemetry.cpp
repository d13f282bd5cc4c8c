#include "Balsamrack/Daemon/DaemonTelemetry.h"

#include <unistd.h>

#include <map>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Observability/Log.h"
#include "Balsamrack/Observability/Metrics.h"
#include "Balsamrack/Observability/SpanSink.h"
#include "absl/strings/str_format.h"

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

Component componentOf(DecisionKind kind) {
  switch (kind) {
  case DecisionKind::Placed:
  case DecisionKind::Asked:
  case DecisionKind::Ended:
  case DecisionKind::Retried:
  case DecisionKind::KeyJudged:
    return Component::Entry;
  case DecisionKind::Admitted:
  case DecisionKind::Refused:
  case DecisionKind::Ramped:
  case DecisionKind::Ejected:
  case DecisionKind::Drained:
    return Component::Owner;
  case DecisionKind::OwnershipMoved:
  case DecisionKind::MemberChanged:
    return Component::Membership;
  case DecisionKind::TicketApplied:
  case DecisionKind::TicketRejected:
    break;
  }
  return Component::Reader;
}

LogLine toLogLine(const Decision &decision) {
  LogLine line(componentOf(decision.Kind), Severity::Info,
               decisionKindName(decision.Kind));
  line.text("rule", decision.Rule).text("result", decision.Result);
  if (decision.Request.Value != 0)
    line.text("request", absl::StrFormat("%016x", decision.Request.Value));
  if (decision.Flow.Value != 0)
    line.text("flow", absl::StrFormat("%016x", decision.Flow.Value));
  if (!decision.Server.empty())
    line.text("server", decision.Server.str());
  if (!decision.AtPeer.empty())
    line.text("peer", decision.AtPeer);
  line.text("step", decision.AtStep).number("ticket", decision.Ticket.Value);
  if (!decision.Key.empty())
    line.text("key", formatKey(decision.Key))
        .text("replicas", decision.KeyReplicas);
  for (const auto &[name, value] : decision.Inputs)
    line.text(name.c_str(), value);
  return line;
}

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

struct DaemonTelemetry::State {
  State(const Clock &clock, size_t decisions)
      : Decisions(decisions), Registry(Metrics::create(clock)) {}

  Journal Decisions;
  std::unique_ptr<Metrics> Registry;
  std::unique_ptr<Log> Logger;
  std::unique_ptr<EventLog> Events;
  std::unique_ptr<SpanSink> Spans;
  std::mutex Lock;                            ///< Guards Gauges.
  std::map<std::string, MetricFamily> Gauges; ///< Created on first use.
};

absl::StatusOr<std::unique_ptr<DaemonTelemetry>>
DaemonTelemetry::create(const ObservabilitySettings &settings, const VmId &vm,
                        const Clock &clock, uint64_t seed) {
  auto state = std::make_unique<State>(clock, settings.JournalDecisions);
  auto log = Log::create(logOf(settings));
  if (!log.ok())
    return log.status();
  state->Logger = *std::move(log);
  state->Events = EventLog::create(EventLogSettings(), STDOUT_FILENO, clock);
  auto spans = SpanSink::create(spanSettings(settings, vm, seed), clock);
  if (!spans.ok())
    return spans.status();
  state->Spans = *std::move(spans);
  return std::unique_ptr<DaemonTelemetry>(
      new DaemonTelemetry(std::move(state)));
}

DaemonTelemetry::DaemonTelemetry(std::unique_ptr<State> state)
    : Impl(std::move(state)) {}
DaemonTelemetry::~DaemonTelemetry() = default;

void DaemonTelemetry::logEvent(const LogLine &line) {
  Impl->Events->write(line);
}

void DaemonTelemetry::recordDecision(Decision what) {
  logEvent(toLogLine(what));
  Impl->Decisions.add(std::move(what));
}

std::string DaemonTelemetry::startSpan(const std::string &parent) {
  return Impl->Spans->start(parent);
}

void DaemonTelemetry::endSpan(HopSpan span) { Impl->Spans->end(span); }

void DaemonTelemetry::recordPacketEnd(const ServiceId &service, OutcomeKind how,
                                      Reason why, Duration took) {
  Impl->Registry->count(Packets, {{"service", service.str()},
                                  {"ending", outcomeKindName(how)},
                                  {"reason", reasonName(why)}});
  if (how == OutcomeKind::Answered)
    Impl->Registry->observe(PacketTimes, {{"service", service.str()}}, took);
}

void DaemonTelemetry::recordDispatchEnd(const ServerId &server,
                                        DispatchOutcome how, Duration took) {
  Impl->Registry->count(Dispatches, {{"server", server.str()},
                                     {"end", dispatchOutcomeName(how)}});
  if (how == DispatchOutcome::Answered)
    Impl->Registry->observe(AnswerTimes, {{"server", server.str()}}, took);
}

void DaemonTelemetry::log(Component component, Severity severity,
                          const std::string &sentence) {
  Impl->Logger->write(component, severity, sentence);
}

void DaemonTelemetry::recordError(Component component,
                                  const absl::Status &status) {
  Impl->Registry->count(
      Errors, {{"part", componentName(component)}, {"step", stepOf(status)}});
  Impl->Logger->error(component, status);
}

void DaemonTelemetry::setGauge(const char *name, double value) {
  const MetricFamily *family = nullptr;
  {
    std::lock_guard<std::mutex> guard(Impl->Lock);
    family = &Impl->Gauges
                  .try_emplace(name, MetricFamily{name, "As it is now.",
                                                  MetricKind::Gauge})
                  .first->second;
  }
  Impl->Registry->set(*family, {}, value);
}

absl::StatusOr<std::vector<Decision>>
DaemonTelemetry::findDecisions(const std::string &kind,
                               const std::string &id) const {
  return Impl->Decisions.query(kind, id);
}

nlohmann::json DaemonTelemetry::findSpans(const std::string &trace) const {
  return Impl->Spans->findSpans(trace);
}

std::string DaemonTelemetry::metricsText() const {
  return Impl->Registry->toPrometheusText();
}

nlohmann::json DaemonTelemetry::metricsJson() const {
  return Impl->Registry->toJson();
}

} // namespace balsamrack

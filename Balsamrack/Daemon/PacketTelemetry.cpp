#include "Balsamrack/Daemon/PacketTelemetry.h"

#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Peers/PeerCodec.h"

namespace balsamrack {

namespace {

constexpr MetricFamily FlowEvents{
    "balsamrack_flow_events_total",
    "What the router did with flows, by event and reason.",
    MetricKind::Counter};
constexpr MetricFamily OpeningTime{
    "balsamrack_opening_seconds",
    "From a flow's first packet to its caller's answer to the server.",
    MetricKind::Summary};
constexpr MetricFamily FlowTime{
    "balsamrack_flow_seconds",
    "From a flow's first packet to its caller's end of it.",
    MetricKind::Summary};
constexpr MetricFamily OpeningWait{
    "balsamrack_opening_wait_seconds",
    "Wait for room of openings that were then placed, by priority.",
    MetricKind::Summary};
constexpr MetricFamily OpeningsWaiting{"balsamrack_openings_waiting",
                                       "Openings that wait for room.",
                                       MetricKind::Gauge};
constexpr MetricFamily OpeningsRefused{
    "balsamrack_openings_refused_total",
    "Openings that were reset, by reason and priority.", MetricKind::Counter};
constexpr MetricFamily Packets{"balsamrack_packets",
                               "Packets since the start, by direction.",
                               MetricKind::Gauge};
constexpr MetricFamily Flows{"balsamrack_flows", "Flows that are remembered.",
                             MetricKind::Gauge};
constexpr MetricFamily SilentServers{"balsamrack_silent_servers",
                                     "Servers that leave openings unanswered.",
                                     MetricKind::Gauge};
constexpr MetricFamily EjectedServers{"balsamrack_ejected_servers",
                                      "Servers that are ejected as slow.",
                                      MetricKind::Gauge};
constexpr MetricFamily OpeningTimeoutSeconds{
    "balsamrack_opening_timeout_seconds",
    "Wait for an opening's answer before another server gets it.",
    MetricKind::Gauge};
constexpr MetricFamily PeerBytes{"balsamrack_peer_bytes",
                                 "Bytes between daemons since the start.",
                                 MetricKind::Gauge};
constexpr MetricFamily PeerMessages{
    "balsamrack_peer_messages",
    "Messages between daemons since the start, by type.", MetricKind::Gauge};
constexpr MetricFamily PeerMessageBytes{
    "balsamrack_peer_message_bytes",
    "Bytes of messages between daemons since the start, by type.",
    MetricKind::Gauge};
constexpr MetricFamily Peers{"balsamrack_peers", "Other daemons that live.",
                             MetricKind::Gauge};
constexpr MetricFamily PublishedAge{
    "balsamrack_published_age_seconds",
    "Since what is held was last proved to be the newest.", MetricKind::Gauge};
constexpr MetricFamily PublishedObjects{"balsamrack_published_objects",
                                        "Published objects that are held.",
                                        MetricKind::Gauge};
constexpr MetricFamily PublishedComplete{
    "balsamrack_published_complete",
    "1 if all published objects are held, 0 if some may be missing.",
    MetricKind::Gauge};
constexpr MetricFamily DomainDemandRate{
    "balsamrack_domain_demand",
    "Requests started per second and daemon, by service and failure domain.",
    MetricKind::Gauge};
constexpr MetricFamily DomainDemandAge{
    "balsamrack_domain_demand_age_seconds",
    "Since the failure domain's daemons issued its demand.", MetricKind::Gauge};
constexpr MetricFamily LoadReportsTotal{
    "balsamrack_load_reports_total",
    "Load reports received from other daemons, by outcome.",
    MetricKind::Counter};
constexpr MetricFamily Reads{"balsamrack_reads_total",
                             "Reads of the publishing service, by outcome.",
                             MetricKind::Counter};

constexpr double MicrosPerSecond = 1e6;

double seconds(Duration d) {
  return static_cast<double>(d.count()) / MicrosPerSecond;
}

bool isOrdinary(PacketEventKind kind) {
  return kind == PacketEventKind::Placed || kind == PacketEventKind::Waited ||
         kind == PacketEventKind::Confirmed ||
         kind == PacketEventKind::Adopted || kind == PacketEventKind::Ended ||
         kind == PacketEventKind::Relayed;
}

} // namespace

PacketTelemetry::PacketTelemetry(const Clock &clock, EventLog &log)
    : Log(log), Registry(Metrics::create(clock)) {}

bool PacketTelemetry::isLogged(const PacketEvent &event) {
  if (!isOrdinary(event.Kind) || event.Kind == PacketEventKind::Placed ||
      event.Kind == PacketEventKind::Waited ||
      event.Kind == PacketEventKind::Relayed)
    return true;
  // Other daemons or servers may know another server of these flows.
  if (event.Kind == PacketEventKind::Confirmed &&
      (event.Tries > 1 || event.Copy > 0 ||
       event.Evidence == ServerEvidence::Likely))
    return true;
  uint64_t hash =
      combineHash(combineHash(event.Flow.Caller.Ip, event.Flow.Caller.Port),
                  combineHash(event.Flow.Service.Ip, event.Flow.Service.Port));
  return hash % FlowLogInterval == 0;
}

void PacketTelemetry::countAdmission(const PacketEvent &event) {
  if (!event.Priority)
    return;
  std::string priority = std::to_string(*event.Priority);
  if (event.Kind == PacketEventKind::Waited)
    Registry->observe(OpeningWait, {{"priority", priority}}, event.Took);
  if (event.Kind == PacketEventKind::Refused)
    Registry->count(
        OpeningsRefused,
        {{"reason", packetReasonName(event.Reason)}, {"priority", priority}});
}

void PacketTelemetry::recordEvent(const PacketEvent &event) {
  const char *kind = packetEventName(event.Kind);
  const char *why = packetReasonName(event.Reason);
  Registry->count(FlowEvents, {{"event", kind}, {"reason", why}});
  if (event.Kind == PacketEventKind::Confirmed)
    Registry->observe(OpeningTime, {}, event.Took);
  if (event.Kind == PacketEventKind::Ended)
    Registry->observe(FlowTime, {{"service", event.Service->str()}},
                      event.Took);
  countAdmission(event);
  if (!isLogged(event))
    return;
  LogLine line(Component::Entry,
               isOrdinary(event.Kind) ? Severity::Info : Severity::Warning,
               kind);
  if (event.Flow.Service.Port != 0)
    line.text("flow", event.Flow.Caller.str() + ">" + event.Flow.Service.str());
  if (event.Reason != PacketReason::None)
    line.text("reason", why);
  if (event.Server)
    line.text("server", event.Server->str());
  if (event.TokenServer)
    line.text("token_server", event.TokenServer->str());
  if (event.Evidence != ServerEvidence::None)
    line.text("evidence", serverEvidenceName(event.Evidence));
  if (event.Service) {
    line.text("service", event.Service->str());
    line.number("in_progress", event.InProgress);
    line.decimal("share", event.Share);
    line.decimal("others_load", event.OthersLoad);
  }
  if (event.Priority)
    line.number("priority", *event.Priority);
  if (event.Reason == PacketReason::NoRoom) {
    line.decimal("limit", event.Limit);
    line.millis("expected_wait_ms", event.ExpectedWait);
    line.millis("max_wait_ms", event.MaxWait);
  }
  if (event.Tries > 0)
    line.number("tries", event.Tries);
  if (event.Copy > 0)
    line.number("copy", event.Copy);
  if (event.Took > Duration{0})
    line.millis("took_ms", event.Took);
  if (event.SlowRatio > 0)
    line.decimal("slow_ratio", event.SlowRatio);
  line.number("configuration", event.Version);
  Log.write(line);
}

void PacketTelemetry::logError(Component component, const char *event,
                               const absl::Status &status) {
  Log.write(LogLine(component, Severity::Warning, event)
                .text("error", std::string(status.message()))
                .text("step", stepOf(status))
                .text("peer", peerOf(status)));
}

void PacketTelemetry::setPacketMetrics(const PacketSocketCounters &socket,
                                       const PacketRouter &router) {
  auto set = [this](const char *what, uint64_t n) {
    Registry->set(Packets, {{"what", what}}, static_cast<double>(n));
  };
  set("received", socket.Received);
  set("sent", socket.Sent);
  set("too-long", socket.TooLong);
  set("send-failed", socket.SendFailed);
  Registry->set(Flows, {}, static_cast<double>(router.flows()));
  Registry->set(SilentServers, {}, static_cast<double>(router.silentServers()));
  Registry->set(EjectedServers, {},
                static_cast<double>(router.ejectedServers()));
  Registry->set(OpeningTimeoutSeconds, {}, seconds(router.openingTimeout()));
  for (const AdmissionStatus &it : router.admissionStatus())
    Registry->set(OpeningsWaiting, {{"service", it.Service.str()}},
                  static_cast<double>(it.Waiting));
}

void PacketTelemetry::setDomainDemand(
    const std::vector<ServiceDemandStatus> &demand,
    const LoadReportCounts &reports) {
  for (const ServiceDemandStatus &service : demand) {
    for (const DemandStatus &it : service.Domains) {
      MetricLabels labels{{"service", service.Service.str()},
                          {"domain", it.Domain.str()}};
      Registry->set(DomainDemandRate, labels, it.Figures.Rate);
      Registry->set(DomainDemandAge, labels, seconds(it.Age));
    }
    logWeights(service);
  }
  if (reports.Used > CountedReports.Used)
    Registry->count(LoadReportsTotal, {{"outcome", "used"}},
                    reports.Used - CountedReports.Used);
  if (reports.Ignored > CountedReports.Ignored)
    Registry->count(LoadReportsTotal, {{"outcome", "ignored"}},
                    reports.Ignored - CountedReports.Ignored);
  CountedReports = reports;
}

void PacketTelemetry::logWeights(const ServiceDemandStatus &demand) {
  bool weighted =
      std::any_of(demand.Domains.begin(), demand.Domains.end(),
                  [](const DemandStatus &it) { return it.Weight != 1; });
  bool was = Weighted.count(demand.Service) > 0;
  if (weighted == was)
    return;
  if (weighted)
    Weighted.insert(demand.Service);
  else
    Weighted.erase(demand.Service);
  for (const DemandStatus &it : demand.Domains)
    Log.write(LogLine(Component::Entry, Severity::Info,
                      weighted ? "shares-weighted" : "shares-equal")
                  .text("service", demand.Service.str())
                  .text("domain", it.Domain.str())
                  .decimal("demand", it.Figures.Rate)
                  .decimal("load", it.Figures.Load)
                  .decimal("weight", it.Weight)
                  .millis("age_ms", it.Age));
}

void PacketTelemetry::setPeerMetrics(const DatagramCounters &peers,
                                     size_t live) {
  Registry->set(PeerBytes, {{"direction", "sent"}},
                static_cast<double>(peers.BytesSent));
  Registry->set(PeerBytes, {{"direction", "received"}},
                static_cast<double>(peers.BytesReceived));
  Registry->set(Peers, {}, static_cast<double>(live));
  setMessageMetrics("sent", peers.SentByType);
  setMessageMetrics("received", peers.ReceivedByType);
}

void PacketTelemetry::setMessageMetrics(const char *direction,
                                        const MessageCounts &counts) {
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i].Messages == 0)
      continue;
    MetricLabels labels{{"direction", direction}, {"type", peerMessageName(i)}};
    Registry->set(PeerMessages, labels,
                  static_cast<double>(counts[i].Messages));
    Registry->set(PeerMessageBytes, labels,
                  static_cast<double>(counts[i].Bytes));
  }
}

void PacketTelemetry::setPublishedState(PublishedSection section,
                                        const PublishedStore &store,
                                        Duration age) {
  MetricLabels labels{{"section", sectionName(section)}};
  bool complete = store.completeRevision(section) != Revision{};
  Registry->set(PublishedAge, labels, seconds(age));
  Registry->set(PublishedObjects, labels,
                static_cast<double>(store.objectCount(section)));
  Registry->set(PublishedComplete, labels, complete ? 1 : 0);
}

void PacketTelemetry::recordRead(PublishedSection section, bool listing,
                                 const absl::Status &status) {
  Registry->count(Reads, {{"section", sectionName(section)},
                          {"kind", listing ? "list" : "watch"},
                          {"outcome", status.ok() ? "good" : "failed"}});
}

} // namespace balsamrack

#include "Balsamrack/Daemon/PacketOperatorHandler.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "Balsamrack/Http/OperatorReplies.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr uint32_t HttpBadRequest = 400;
constexpr uint32_t HttpNotFound = 404;

std::optional<Endpoint> endpointOf(const std::string &text) {
  auto address = Address::parse(text);
  if (!address.ok())
    return std::nullopt;
  return Endpoint::of(*address);
}

json sentence(const std::string &text) { return {{"sentence", text}}; }

json millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

json describeAdmissionStatus(const AdmissionStatus &status) {
  json entry = {{"service", status.Service.str()},
                {"short_of_room", status.Short},
                {"load", status.Load},
                {"slots", status.Inputs.Slots},
                {"in_progress", status.Inputs.InProgress},
                {"limit", status.Limit},
                {"request_ms", millis(status.Inputs.RequestTime)},
                {"waiting", status.Waiting}};
  if (status.Inputs.SiteLoad)
    entry["site_load"] = *status.Inputs.SiteLoad;
  return entry;
}

/// Describes what an opening waits for, or what a new one would get.
json describeAdmission(const ExplainedAdmission &it) {
  const AdmissionStatus &service = it.Service;
  std::string subject =
      it.Waits ? absl::StrCat("the opening has waited for room for ",
                              millis(it.WaitedFor).dump(), " ms")
               : absl::StrCat("a new opening: ",
                              openingVerdictName(it.Forecast.Verdict));
  json entry = sentence(absl::StrFormat(
      "%s; priority %u, %d ahead, expected wait %s ms, at most %s ms of use; "
      "%s: %s, load %.2f, %u in progress of %.2f on %.2f slots, %d waiting",
      subject, it.Priority, it.Forecast.Ahead,
      millis(it.Forecast.ExpectedWait).dump(),
      millis(it.Forecast.MaxWait).dump(), service.Service.str(),
      service.Short ? "short of room" : "enough room", service.Load,
      service.Inputs.InProgress, service.Limit, service.Inputs.Slots,
      service.Waiting));
  entry["waits"] = it.Waits;
  entry["verdict"] = openingVerdictName(it.Forecast.Verdict);
  entry["priority"] = it.Priority;
  entry["ahead"] = it.Forecast.Ahead;
  entry["expected_wait_ms"] = millis(it.Forecast.ExpectedWait);
  entry["max_wait_ms"] = millis(it.Forecast.MaxWait);
  entry["admission"] = describeAdmissionStatus(service);
  return entry;
}

/// Describes a waiting opening, or the flow table's entry for a flow.
json describeFlow(const FlowExplanation &explanation) {
  json all = json::array();
  if (explanation.Admission && explanation.Admission->Waits)
    all.push_back(describeAdmission(*explanation.Admission));
  if (!explanation.Known)
    return all;
  json entry = sentence(absl::StrCat(
      "the flow is ", flowStageName(explanation.Stage),
      explanation.HomeServer.empty() ? " to the daemon with its opening"
                                     : " at " + explanation.HomeServer.str(),
      "; first seen ", millis(explanation.Age).dump(), " ms ago, last packet ",
      millis(explanation.Idle).dump(), " ms ago, its opening went to ",
      explanation.Tries, " servers from here"));
  entry["stage"] = flowStageName(explanation.Stage);
  entry["server"] = explanation.HomeServer.str();
  entry["age_ms"] = millis(explanation.Age);
  entry["quiet_ms"] = millis(explanation.Idle);
  entry["tries"] = explanation.Tries;
  all.push_back(entry);
  return all;
}

json describeCandidate(const ExplainedCandidate &it) {
  std::string why = absl::StrFormat(
      "%s: expected wait %.3f, %u in progress of ours, share %.2f, speed %.2f, "
      "rank %s%s%s",
      it.Server.str(), it.Wait, it.InProgress, it.Share, it.Speed,
      openingRankName(it.Rank), it.Near ? "" : ", in another failure domain",
      it.Cold ? ", cold" : "");
  if (it.Best)
    why = "would go to " + why;
  json entry = sentence(why);
  entry["server"] = it.Server.str();
  entry["best"] = it.Best;
  entry["wait"] = it.Wait;
  entry["rank"] = openingRankName(it.Rank);
  entry["speed"] = it.Speed;
  return entry;
}

/// Describes where a new flow would be placed, best servers first.
json describePlacement(const FlowExplanation &explanation) {
  json all = json::array();
  if (explanation.Refused != PacketReason::None) {
    json entry = sentence(absl::StrCat(
        "a new flow would get nothing: ", packetReasonName(explanation.Refused),
        " (configuration ", explanation.Version, ")"));
    entry["reason"] = packetReasonName(explanation.Refused);
    all.push_back(entry);
  }
  if (explanation.Admission)
    all.push_back(describeAdmission(*explanation.Admission));
  for (bool best : {true, false})
    for (const ExplainedCandidate &it : explanation.Candidates)
      if (it.Best == best)
        all.push_back(describeCandidate(it));
  return all;
}

/// Describes the demand of each service in each failure domain.
json describeDemand(const std::vector<ServiceDemandStatus> &demand) {
  json all = json::array();
  for (const ServiceDemandStatus &service : demand)
    for (const DemandStatus &it : service.Domains)
      all.push_back({{"service", service.Service.str()},
                     {"failure_domain", it.Domain.str()},
                     {"demand", it.Figures.Rate},
                     {"load", it.Figures.Load},
                     {"weight", it.Weight},
                     {"age_ms", millis(it.Age)}});
  return all;
}

} // namespace

PacketOperatorHandler::PacketOperatorHandler(const PacketSettings &settings,
                                             PacketForwarder &forwarder,
                                             const PacketTelemetry &telemetry)
    : Settings(settings), Forwarder(forwarder), TelemetrySink(telemetry) {}

OperatorReply PacketOperatorHandler::handle(const OperatorRequest &question) {
  if (question.Path == "metrics")
    return {200, "text/plain; version=0.0.4", TelemetrySink.toPrometheusText()};
  if (question.Path == "status")
    return status();
  if (question.Path == "servers")
    return servers();
  if (question.Path == "explain")
    return explain(question);
  if (question.Path == "where")
    return where(question);
  return errorReply(HttpNotFound, "no such question");
}

OperatorReply PacketOperatorHandler::status() const {
  ForwarderStatus now = Forwarder.status();
  json admission = json::array();
  for (const AdmissionStatus &it : now.Admission)
    admission.push_back(describeAdmissionStatus(it));
  json reply = {{"vm", Settings.Name},
                {"failure_domain", Settings.Domain.str()},
                {"version", BALSAMRACK_VERSION},
                {"ticket", now.Configuration},
                {"flows", now.Flows},
                {"daemons", now.Daemons},
                {"silent_servers", now.SilentServers},
                {"servers", now.Servers},
                {"all_servers_known", now.HasAllServers},
                {"openings_waiting", now.WaitingOpenings},
                {"admission", admission}};
  if (Settings.Load.DomainDemand)
    reply["domain_demand"] = describeDemand(Forwarder.domainDemand());
  return successReply(reply);
}

OperatorReply PacketOperatorHandler::servers() const {
  json all = json::array();
  for (const ForwarderServerStatus &it : Forwarder.servers())
    all.push_back({{"id", it.Id.str()},
                   {"service", it.Service.str()},
                   {"failure_domain", it.Domain.str()},
                   {"address", it.At.str()},
                   {"mode", it.Mode},
                   {"in_progress", it.InProgress},
                   {"share", it.Share},
                   {"ejected", it.Silent},
                   {"warm", !it.Cold},
                   {"speed", it.Speed.Speed},
                   {"samples", it.Speed.Samples},
                   {"slow", it.Speed.State == SlowServerState::Ejected}});
  return successReply({{"vm", Settings.Name}, {"servers", all}});
}

OperatorReply
PacketOperatorHandler::explain(const OperatorRequest &question) const {
  if (parameterOf(question, "kind") != "flow")
    return errorReply(HttpBadRequest, "only flows are explained here");
  std::pair<std::string, std::string> ends =
      absl::StrSplit(parameterOf(question, "id"), absl::MaxSplits('>', 1));
  auto caller = endpointOf(ends.first);
  auto service = endpointOf(ends.second);
  if (!caller || !service)
    return errorReply(HttpBadRequest,
                      "a flow is CALLER>SERVICE, as in the log: "
                      "10.0.0.1:1024>198.18.0.1:443");
  return successReply(
      {{"vm", Settings.Name},
       {"decisions", describeFlow(Forwarder.explain({*caller, *service}))}});
}

OperatorReply
PacketOperatorHandler::where(const OperatorRequest &question) const {
  auto service = endpointOf(parameterOf(question, "service"));
  auto caller = endpointOf(parameterOf(question, "flow"));
  if (!caller || !service)
    return errorReply(HttpBadRequest,
                      "service and flow are addresses: the route's, "
                      "198.18.0.1:443, and the caller's");
  return successReply({{"vm", Settings.Name},
                       {"decisions", describePlacement(Forwarder.explain(
                                         {*caller, *service}))}});
}

} // namespace balsamrack

#include "Balsamrack/Daemon/DaemonOperatorHandler.h"

#include <nlohmann/json.hpp>

#include "Balsamrack/Configuration/TicketCodec.h"
#include "Balsamrack/Flows/EntryRouter.h"
#include "Balsamrack/Http/OperatorReplies.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr uint32_t MostFlowsListed = 10'000;
constexpr uint32_t FlowsListed = 100;

const char *memberStateName(const MemberView &member) {
  if (member.Unreachable)
    return "unreachable";
  switch (member.Record.State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    break;
  }
  return "left";
}

json namesOf(const std::vector<ServerId> &servers) {
  json names = json::array();
  for (const ServerId &it : servers)
    names.push_back(it.str());
  return names;
}

json decisionsOf(const std::vector<Decision> &decisions) {
  json all = json::array();
  for (const Decision &it : decisions)
    all.push_back(decisionToJson(it));
  return all;
}

} // namespace

DaemonOperatorHandler::DaemonOperatorHandler(const OperatorSources &sources)
    : Sources(sources), StartedAt(sources.Time.now()) {}

OperatorReply DaemonOperatorHandler::handle(const OperatorRequest &question) {
  const std::string &path = question.Path;
  if (path == "status")
    return status();
  if (path == "configuration")
    return configuration();
  if (path == "servers")
    return servers();
  if (path == "flows")
    return flows(question);
  if (path == "explain")
    return explain(question);
  if (path == "where")
    return where(question);
  if (path == "tickets/in-force")
    return inForce(question);
  if (path == "trace")
    return trace(question);
  if (path == "metrics")
    return {200, "text/plain; version=0.0.4",
            Sources.TelemetrySink.metricsText()};
  if (path == "metrics.json")
    return successReply(Sources.TelemetrySink.metricsJson());
  return errorReply(404, "no such question");
}

OperatorReply DaemonOperatorHandler::status() const {
  const ControlReport control = Sources.Control.report(Sources.Time.now());
  const auto view = Sources.Store.view();
  json members = json::array();
  for (const auto &[id, member] : control.Members)
    members.push_back({{"vm", id.str()},
                       {"failure_domain", member.Record.Vm.Domain.str()},
                       {"address", member.Record.Vm.PeerAt.str()},
                       {"state", memberStateName(member)},
                       {"run", member.Record.Run.Value}});
  json domains = json::array();
  for (const auto &[id, domain] : view->domains()) {
    const auto it = control.Reachable.find(id);
    domains.push_back(
        {{"id", id.str()},
         {"region", domain.Region.str()},
         {"in_service", domain.InService},
         {"reachable", it != control.Reachable.end() && it->second}});
  }
  const StateDigest digest = Sources.Store.digest();
  return successReply(
      {{"vm", Sources.Self.Id.str()},
       {"failure_domain", Sources.Self.Domain.str()},
       {"run", Sources.Run.Value},
       {"version", BALSAMRACK_VERSION},
       {"uptime_ms",
        (Sources.Time.now() - StartedAt) / std::chrono::milliseconds(1)},
       {"leaving", control.Leaving},
       {"ticket", digest.Highest.Value},
       {"state_hash", absl::StrFormat("%016x", digest.Hash)},
       {"platform_state", platformStateName(Sources.Reader.state())},
       {"platform_ticket", Sources.Reader.highestTicket().Value},
       {"authority", authorityName(control.Authority)},
       {"members", members},
       {"domains", domains},
       {"owned", namesOf(control.Owned)},
       {"wanted", namesOf(control.Wanted)},
       {"in_progress", Sources.Entry.inProgress()},
       {"flows", Sources.Flows.size()}});
}

OperatorReply DaemonOperatorHandler::configuration() const {
  json objects = json::array();
  for (const ObjectState &it : Sources.Store.objects())
    objects.push_back(objectToJson(it));
  return successReply({{"vm", Sources.Self.Id.str()},
                       {"ticket", Sources.Store.view()->highest().Value},
                       {"objects", objects}});
}

OperatorReply DaemonOperatorHandler::servers() const {
  std::map<ServerId, ServerReport> owned;
  for (ServerReport &it : Sources.Owner.report())
    owned.emplace(it.Server, std::move(it));
  const auto routes = Sources.Control.view();
  json all = json::array();
  for (const auto &[id, server] : Sources.Store.view()->servers()) {
    const RoutedServer *route = routes ? routes->findServer(id) : nullptr;
    json entry = {
        {"id", id.str()},
        {"service", server.Service.str()},
        {"failure_domain", server.Domain.str()},
        {"address", server.At.str()},
        {"mode", server.Mode == ServerMode::Active ? "active" : "draining"},
        {"owner", route ? route->Owner.Id.str() : std::string()},
        {"owned", owned.count(id) > 0}};
    const auto it = owned.find(id);
    if (it != owned.end()) {
      const ServerReport &report = it->second;
      entry["limit"] = report.Limit;
      entry["in_progress"] = report.InProgress;
      entry["abandoned"] = report.Abandoned;
      entry["queued"] = report.Queued;
      entry["warm"] = report.Warm;
      entry["ejected"] = report.Ejected;
      entry["draining"] = report.Draining;
      entry["domain_out"] = report.DomainOut;
      entry["may_dispatch"] = report.MayDispatch;
      entry["typical_answer_us"] = report.TypicalAnswer.count();
      entry["expected_wait_us"] = report.ExpectedWait.count();
      entry["instance"] = report.Instance.str();
      entry["flows"] = Sources.Flows.countFlows(id);
    }
    all.push_back(std::move(entry));
  }
  return successReply({{"vm", Sources.Self.Id.str()}, {"servers", all}});
}

OperatorReply
DaemonOperatorHandler::flows(const OperatorRequest &question) const {
  uint32_t limit = FlowsListed;
  const std::string text = parameterOf(question, "limit");
  if (!text.empty() &&
      (!absl::SimpleAtoi(text, &limit) || limit > MostFlowsListed))
    return errorReply(
        400, absl::StrCat("limit has to be at most ", MostFlowsListed));
  json listed = json::array();
  const auto view = Sources.Store.view();
  for (const ServerReport &it : Sources.Owner.report()) {
    const BackendServer *server = view->server(it.Server);
    for (FlowId flow : Sources.Flows.listFlows(Sources.Time.now(), it.Server)) {
      if (listed.size() >= limit)
        break;
      listed.push_back({{"flow", absl::StrFormat("%016x", flow.Value)},
                        {"server", it.Server.str()},
                        {"service", server ? server->Service.str() : ""}});
    }
  }
  return successReply({{"vm", Sources.Self.Id.str()},
                       {"count", Sources.Flows.size()},
                       {"bytes", Sources.Flows.bytes()},
                       {"flows", listed}});
}

OperatorReply
DaemonOperatorHandler::explain(const OperatorRequest &question) const {
  const auto found = Sources.TelemetrySink.findDecisions(
      parameterOf(question, "kind"), parameterOf(question, "id"));
  if (!found.ok())
    return errorReply(400, std::string(found.status().message()));
  return successReply(
      {{"vm", Sources.Self.Id.str()}, {"decisions", decisionsOf(*found)}});
}

OperatorReply
DaemonOperatorHandler::where(const OperatorRequest &question) const {
  FlowId flow;
  if (!absl::SimpleHexAtoi(parameterOf(question, "flow"), &flow.Value))
    return errorReply(400, "flow has to be hex digits");
  const ServiceId service(parameterOf(question, "service"));
  const auto view = Sources.Control.view();
  if (!view || !view->findService(service))
    return errorReply(404, "no such service");
  return successReply(
      {{"vm", Sources.Self.Id.str()},
       {"decisions", decisionsOf(explainPlacement(*view, service, flow,
                                                  Sources.Time.now()))}});
}

OperatorReply
DaemonOperatorHandler::inForce(const OperatorRequest &question) const {
  TicketNumber number;
  if (!absl::SimpleAtoi(parameterOf(question, "number"), &number.Value))
    return errorReply(400, "number has to be a ticket's number");
  return successReply({{"vm", Sources.Self.Id.str()},
                       {"ticket", Sources.Store.view()->highest().Value},
                       {"in_force", Sources.Store.isInForce(number)}});
}

OperatorReply
DaemonOperatorHandler::trace(const OperatorRequest &question) const {
  return successReply({{"vm", Sources.Self.Id.str()},
                       {"spans", Sources.TelemetrySink.findSpans(
                                     parameterOf(question, "id"))}});
}

} // namespace balsamrack

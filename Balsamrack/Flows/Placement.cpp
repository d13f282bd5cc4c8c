#include "Balsamrack/Flows/Placement.h"

#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

bool contains(const std::vector<ServerId> &servers, const ServerId &server) {
  return std::find(servers.begin(), servers.end(), server) != servers.end();
}

/// Rule that excludes a server from new flows, or "rank" if none does.
const char *exclusionRule(const RoutedServer &server) {
  if (!server.DomainInService)
    return "domain-out";
  if (!server.DomainReachable)
    return "domain-unreachable";
  if (!server.isReachable())
    return "owner-unreachable";
  if (server.Server.Mode == ServerMode::Draining)
    return "server-draining";
  if (server.Ejected)
    return "server-ejected";
  if (server.Server.Weight == 0)
    return "weight-zero";
  return "rank";
}

} // namespace

const RoutedServer *chooseForNewFlow(const ServiceRoute &route, FlowId flow,
                                     const std::vector<ServerId> &tried) {
  if (route.Servers.empty())
    return nullptr;
  // Most flows get their first candidate, which needs no sorting of all
  // servers.
  const RoutedServer &best = route.Servers[route.Rank.firstCandidate(flow)];
  if (best.acceptsNewFlows() && !contains(tried, best.Server.Id))
    return &best;
  for (size_t i : route.Rank.topCandidates(flow, route.Servers.size())) {
    const RoutedServer &it = route.Servers[i];
    if (it.acceptsNewFlows() && !contains(tried, it.Server.Id))
      return &it;
  }
  return nullptr;
}

std::vector<Decision> explainPlacement(const RoutingView &view,
                                       const ServiceId &service, FlowId flow,
                                       TimePoint now) {
  std::vector<Decision> decisions;
  auto add = [&](const char *rule, const std::string &result) -> Decision & {
    Decision d;
    d.At = now;
    d.Kind = DecisionKind::Placed;
    d.Rule = rule;
    d.Result = result;
    d.Flow = flow;
    d.Ticket = view.Ticket;
    d.AtStep = stepName(Step::Place);
    d.AtPeer = view.Self.Id.str();
    decisions.push_back(d);
    return decisions.back();
  };
  const ServiceRoute *route = view.findService(service);
  if (!route) {
    add("unknown-service", "not placed");
    return decisions;
  }
  // One decision per candidate, in the flow's rank order.
  size_t position = 0;
  for (size_t i : route->Rank.topCandidates(flow, route->Servers.size())) {
    const RoutedServer &it = route->Servers[i];
    const char *rule = exclusionRule(it);
    Decision &d = add(rule, it.acceptsNewFlows() ? "candidate" : "passed over");
    d.Server = it.Server.Id;
    d.Inputs = {{"position", absl::StrCat(++position)},
                {"weight", absl::StrCat(it.Server.Weight)},
                {"owner", it.Owner.Id.str()}};
  }
  const RoutedServer *chosen = chooseForNewFlow(*route, flow, {});
  Decision &d =
      add(chosen ? "first-candidate" : "no-server",
          chosen ? absl::StrCat("a new flow goes to ", chosen->Server.Id.str(),
                                " by ", chosen->Owner.Id.str())
                 : std::string("not placed"));
  if (chosen)
    d.Server = chosen->Server.Id;
  return decisions;
}

} // namespace balsamrack

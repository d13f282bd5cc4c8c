#include "Balsamrack/Packets/FlowExplanation.h"

#include "Balsamrack/Packets/PacketRouter.h"

// The part of PacketRouter that tells what it would do.

namespace balsamrack {

const char *flowStageName(FlowStage stage) {
  static const char *const names[] = {"opening", "open", "ending"};
  return names[static_cast<size_t>(stage)];
}

const char *openingRankName(OpeningRank rank) {
  static const char *const names[] = {"usual", "doubted", "lapsed", "silent"};
  return names[static_cast<size_t>(rank)];
}

FlowExplanation PacketRouter::explain(TimePoint now, const FlowKey &key) {
  FlowExplanation told;
  if (!Routes) {
    told.Refused = PacketReason::NotReady;
    return told;
  }
  told.Version = Routes->Version;
  if (const RememberedFlow *flow = Flows.find(key)) {
    told.Known = true;
    told.Stage = flow->Stage;
    told.Home = Servers.at(flow->Home).Is.What->Server.Id;
    told.Tries = flow->Tries;
    told.Age = now - flow->OpenedAt;
    told.Quiet = now - flow->LastSeen;
  }
  const ServiceId *service = serviceFor(key);
  if (!service) {
    told.Refused = PacketReason::NoRoute;
    return told;
  }
  told.Service = *service;
  const TabledService *of = listCandidates(now, *service, RememberedFlow());
  if (!of || Candidates.empty()) {
    told.Refused = PacketReason::NoServer;
    return told;
  }
  told.OthersLoad = of->Load;
  std::vector<bool> best = bestForOpening(Candidates, of->Load);
  for (size_t i = 0; i < Candidates.size(); ++i) {
    const OpeningCandidate &it = Candidates[i];
    const TabledServer &server =
        Servers.at(static_cast<ServerIndex>(it.Server));
    told.Candidates.push_back({server.Is.What->Server.Id, it.Rank,
                               openingCost(it, of->Load), it.InProgress,
                               it.Share, it.Near, it.Cold, best[i]});
  }
  if (allUnreachable(*service))
    told.Refused = PacketReason::Unreachable;
  return told;
}

} // namespace balsamrack

#include "Balsamrack/Packets/FlowExplanation.h"

#include "Balsamrack/Packets/PacketRouter.h"

// Explanation of routing decisions: part of PacketRouter.

namespace balsamrack {

const char *flowStageName(FlowStage stage) {
  static const char *const names[] = {"opening", "open", "ending", "relayed"};
  return names[static_cast<size_t>(stage)];
}

const char *openingRankName(OpeningRank rank) {
  static const char *const names[] = {"usual", "doubted", "ejected", "lapsed",
                                      "silent"};
  return names[static_cast<size_t>(rank)];
}

FlowExplanation PacketRouter::explain(TimePoint now, const FlowKey &key) {
  FlowExplanation explanation;
  if (!Routes) {
    explanation.Refused = PacketReason::NotReady;
    return explanation;
  }
  explanation.Version = Routes->Version;
  if (const TrackedFlow *flow = Flows.find(key)) {
    explanation.Known = true;
    explanation.Stage = flow->Stage;
    if (flow->Server != NoServerIndex)
      explanation.HomeServer =
          Servers.at(flow->Server).Backend.Published->Server.Id;
    explanation.Tries = flow->Tries;
    explanation.Age = now - flow->OpenedAt;
    explanation.Idle = now - flow->LastSeen;
  }
  const ServiceId *service = serviceFor(key);
  if (!service) {
    explanation.Refused = PacketReason::NoRoute;
    return explanation;
  }
  explanation.Service = *service;
  explainAdmission(now, key, explanation);
  const ServiceEntry *of = listCandidates(now, *service, TrackedFlow());
  if (!of || Candidates.empty()) {
    explanation.Refused = PacketReason::NoServer;
    return explanation;
  }
  explanation.OthersLoad = of->Load;
  std::vector<bool> best = leastCostCandidates(Candidates, of->Load);
  for (size_t i = 0; i < Candidates.size(); ++i) {
    const OpeningCandidate &it = Candidates[i];
    const ServerEntry &server = Servers.at(static_cast<ServerIndex>(it.Server));
    explanation.Candidates.push_back({server.Backend.Published->Server.Id,
                                      it.Rank, openingCost(it, of->Load),
                                      it.InProgress, it.Share, it.InSameDomain,
                                      it.Cold, it.Speed, best[i]});
  }
  if (isServiceUnreachable(*service))
    explanation.Refused = PacketReason::Unreachable;
  else if (explanation.Admission && !explanation.Admission->Waits &&
           explanation.Admission->Forecast.Verdict == OpeningVerdict::Refuse)
    explanation.Refused = PacketReason::NoRoom;
  return explanation;
}

} // namespace balsamrack

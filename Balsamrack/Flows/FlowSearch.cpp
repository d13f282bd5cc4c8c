#include "Balsamrack/Flows/FlowSearch.h"

#include <algorithm>
#include <utility>

namespace balsamrack {

namespace {

/// Candidates examined for each one that accepts new flows. Bounds the number
/// of questions while most of a service is out.
constexpr size_t MaxRankedPerCandidate = 2;
/// Owners asked in the first round, after the first candidate's.
constexpr size_t FirstRoundOwners = 2;

} // namespace

void FlowSearch::addTarget(const RoutedServer &server) {
  for (const Target &it : Targets)
    if (it.Server == server.Server.Id)
      return;
  // An owner in a domain that is out of service still knows its flows, so it is
  // asked as well. Otherwise a flow of that domain would be inferred to be
  // bound to a server that was taken over recently, and would be continued
  // there.
  State state = State::NotAsked;
  if (!server.isReachable())
    state = server.DomainInService ? State::Unreachable : State::DomainOut;
  Targets.push_back({server.Server.Id, server.Owner, state});
}

void FlowSearch::start(const ServiceRoute &route, FlowId rankKey,
                       size_t candidates) {
  Targets.clear();
  FirstRoundStarted = false;
  FoundServer = ServerId();
  SawLaterTicket = false;
  // Servers that accept no new flows are skipped when new flows are placed, so
  // they do not count; but established flows may still be bound to them.
  size_t accepting = 0;
  for (size_t i :
       route.Rank.topCandidates(rankKey, MaxRankedPerCandidate * candidates)) {
    if (accepting >= candidates)
      break;
    accepting += route.Servers[i].acceptsNewFlows() ? 1 : 0;
    addTarget(route.Servers[i]);
  }
  // A flow placed under an earlier configuration is bound to its first
  // candidate of that configuration, whatever the current rank of that server
  // is.
  for (size_t k = 0; k < route.EarlierRanks.size(); ++k) {
    if (route.EarlierRanks[k].size() == 0)
      continue;
    size_t i = route.EarlierRanks[k].firstCandidate(rankKey);
    if (const RoutedServer *s = route.find(route.EarlierServers[k][i].Server))
      addTarget(*s);
  }
}

void FlowSearch::addOwnerToAsk(const Target &target,
                               std::vector<EntryVm> &owners) {
  if (target.Status != State::NotAsked)
    return;
  // One question to an owner covers all of its servers.
  owners.push_back(target.Owner);
  for (Target &it : Targets)
    if (it.Status == State::NotAsked && it.Owner.Id == owners.back().Id)
      it.Status = State::Asked;
}

std::vector<EntryVm> FlowSearch::selectOwnersToAsk() {
  std::vector<EntryVm> owners;
  if (!std::exchange(FirstRoundStarted, true))
    for (size_t i = 1; i < std::min(Targets.size(), FirstRoundOwners + 1); ++i)
      addOwnerToAsk(Targets[i], owners);
  // Second round, or none of the first round's owners can be asked.
  if (owners.empty())
    for (const Target &it : Targets)
      addOwnerToAsk(it, owners);
  return owners;
}

bool FlowSearch::recordReply(const VmId &from, const FlowReply &reply,
                             TicketNumber inForce) {
  bool awaited = false;
  for (Target &it : Targets) {
    if (it.Owner.Id != from || it.Status != State::Asked)
      continue;
    awaited = true;
    bool possible = reply.Fresh && reply.Server == it.Server;
    it.Status = possible ? State::Possible : State::RuledOut;
  }
  if (awaited && !reply.Fresh && FoundServer.empty())
    FoundServer = reply.Server;
  SawLaterTicket = SawLaterTicket || (awaited && reply.Ticket > inForce);
  return awaited;
}

bool FlowSearch::recordNoReply(const VmId &from) {
  bool awaited = false;
  for (Target &it : Targets) {
    if (it.Owner.Id != from || it.Status != State::Asked)
      continue;
    awaited = true;
    it.Status = State::NoReply;
  }
  return awaited;
}

void FlowSearch::recordTimeout() {
  for (Target &it : Targets)
    if (it.Status == State::Asked)
      it.Status = State::NoReply;
}

const FlowSearch::Target *FlowSearch::findLikeliestTarget() const {
  for (const Target &it : Targets)
    if (it.Status != State::RuledOut)
      return &it;
  return nullptr;
}

FlowSearch::Conclusion FlowSearch::evaluate() const {
  if (!FoundServer.empty())
    return Conclusion::Found;
  for (const Target &it : Targets)
    if (it.Status == State::Asked)
      return Conclusion::Pending;
  for (const Target &it : Targets)
    if (it.Status == State::NotAsked)
      return Conclusion::AskMoreOwners;
  if (SawLaterTicket)
    return Conclusion::LaterTicket;
  const Target *likeliest = findLikeliestTarget();
  if (!likeliest)
    return Conclusion::NotFound;
  if (likeliest->Status == State::Possible)
    return Conclusion::Inferred;
  return likeliest->Status == State::DomainOut ? Conclusion::DomainOut
                                               : Conclusion::Unreachable;
}

const ServerId &FlowSearch::server() const {
  return FoundServer.empty() ? findLikeliestTarget()->Server : FoundServer;
}

} // namespace balsamrack

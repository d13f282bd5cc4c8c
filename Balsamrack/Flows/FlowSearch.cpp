#include "Balsamrack/Flows/FlowSearch.h"

#include <algorithm>
#include <utility>

namespace balsamrack {

namespace {

/// Candidates looked at for each that takes new flows: bounds the questions
/// while most of a service is out.
constexpr size_t MostPassedOver = 2;
/// Owners asked at first, behind the first candidate's.
constexpr size_t FirstAsked = 2;

} // namespace

void FlowSearch::add(const RoutedServer &server) {
  for (const Target &it : Targets)
    if (it.Server == server.Server.Id)
      return;
  // An owner in a domain that was taken out still knows its flows. Without its
  // word a flow of that domain was inferred to live on a server that had come
  // to its owner lately, and was carried on there.
  State state = State::NotAsked;
  if (!server.reachable())
    state = server.DomainInService ? State::Unreachable : State::Out;
  Targets.push_back({server.Server.Id, server.Owner, state});
}

void FlowSearch::start(const ServiceRoute &route, FlowId rankBy,
                       size_t candidates) {
  Targets.clear();
  Begun = false;
  Home = ServerId();
  Later = false;
  // Servers that take no new flows now are passed over by new flows without a
  // try, so they don't count; but their old flows may be asked for.
  size_t taking = 0;
  for (size_t i : route.Rank.order(rankBy, MostPassedOver * candidates)) {
    if (taking >= candidates)
      break;
    taking += route.Servers[i].takesNewFlows() ? 1 : 0;
    add(route.Servers[i]);
  }
  // A flow placed under an earlier configuration lives on its first candidate
  // of then, wherever that one ranks now.
  for (size_t k = 0; k < route.EarlierRanks.size(); ++k) {
    if (route.EarlierRanks[k].size() == 0)
      continue;
    size_t i = route.EarlierRanks[k].first(rankBy);
    if (const RoutedServer *s = route.find(route.EarlierServers[k][i].Server))
      add(*s);
  }
}

void FlowSearch::ask(const Target &target, std::vector<EntryVm> &owners) {
  if (target.Now != State::NotAsked)
    return;
  // One question an owner, about all of its servers.
  owners.push_back(target.Owner);
  for (Target &it : Targets)
    if (it.Now == State::NotAsked && it.Owner.Id == owners.back().Id)
      it.Now = State::Asked;
}

std::vector<EntryVm> FlowSearch::askNext() {
  std::vector<EntryVm> owners;
  if (!std::exchange(Begun, true))
    for (size_t i = 1; i < std::min(Targets.size(), FirstAsked + 1); ++i)
      ask(Targets[i], owners);
  // None of those can be asked, or none of them knew.
  if (owners.empty())
    for (const Target &it : Targets)
      ask(it, owners);
  return owners;
}

bool FlowSearch::recordReply(const VmId &from, const FlowReply &reply,
                             TicketNumber inForce) {
  bool awaited = false;
  for (Target &it : Targets) {
    if (it.Owner.Id != from || it.Now != State::Asked)
      continue;
    awaited = true;
    bool guess = reply.Fresh && reply.Server == it.Server;
    it.Now = guess ? State::Guessed : State::Ruled;
  }
  if (awaited && !reply.Fresh && Home.empty())
    Home = reply.Server;
  Later = Later || (awaited && reply.Ticket > inForce);
  return awaited;
}

bool FlowSearch::recordNoReply(const VmId &from) {
  bool awaited = false;
  for (Target &it : Targets) {
    if (it.Owner.Id != from || it.Now != State::Asked)
      continue;
    awaited = true;
    it.Now = State::Silent;
  }
  return awaited;
}

void FlowSearch::recordTimeout() {
  for (Target &it : Targets)
    if (it.Now == State::Asked)
      it.Now = State::Silent;
}

const FlowSearch::Target *FlowSearch::firstNotRuledOut() const {
  for (const Target &it : Targets)
    if (it.Now != State::Ruled)
      return &it;
  return nullptr;
}

FlowSearch::Conclusion FlowSearch::evaluate() const {
  if (!Home.empty())
    return Conclusion::Found;
  for (const Target &it : Targets)
    if (it.Now == State::Asked)
      return Conclusion::Pending;
  for (const Target &it : Targets)
    if (it.Now == State::NotAsked)
      return Conclusion::AskMore;
  if (Later)
    return Conclusion::LaterTicket;
  const Target *likeliest = firstNotRuledOut();
  if (!likeliest)
    return Conclusion::Nowhere;
  if (likeliest->Now == State::Guessed)
    return Conclusion::Inferred;
  return likeliest->Now == State::Out ? Conclusion::DomainOut
                                      : Conclusion::Unreachable;
}

const ServerId &FlowSearch::server() const {
  return Home.empty() ? firstNotRuledOut()->Server : Home;
}

} // namespace balsamrack

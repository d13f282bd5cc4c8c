#include "Balsamrack/Packets/PacketRouter.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "Balsamrack/Decisions/SlotShares.h"

// Placement of new flows: part of PacketRouter.

namespace balsamrack {

namespace {

/// Maximum number of servers that a choice compares at first. All servers of a
/// smaller service are compared.
constexpr size_t MaxCandidates = 64;

} // namespace

void PacketRouter::updateShares() {
  for (auto &[id, service] : Servers.mutableServices())
    updateShares(id, service);
}

void PacketRouter::updateShares(const ServiceId &id, ServiceEntry &service) {
  // Only the daemons of the own domain use the servers that are known first.
  size_t daemons = HasAllServers ? Fleet.Daemons : Fleet.DomainDaemons;
  size_t self = HasAllServers ? Fleet.Index : Fleet.DomainIndex;
  std::vector<ServerIndex> usable;
  std::vector<uint32_t> slots;
  for (ServerIndex index : service.AcceptingServers)
    if (!Detector.isSilent(index)) {
      usable.push_back(index);
      slots.push_back(Servers.at(index).Backend.Published->Server.Slots);
    }
  std::vector<double> shares =
      slotShares(slots, daemons, self, demandWeights(id));
  Servers.setShares(service, std::move(usable), shares);
  updateSpeedShare(service);
}

const ServiceId *PacketRouter::serviceFor(const FlowKey &key) const {
  auto it = Routes->Routes.find(key.Service);
  if (it == Routes->Routes.end())
    return nullptr;
  uint64_t total = 0;
  for (const RouteTarget &target : it->second.Targets)
    total += target.Weight;
  if (total == 0)
    return nullptr;
  // Chosen by a hash of the flow, so that every daemon selects the same service
  // for all copies of an opening.
  uint64_t point = combineHash(combineHash(key.Caller.Ip, key.Caller.Port),
                               combineHash(key.Service.Ip, key.Service.Port)) %
                   total;
  for (const RouteTarget &target : it->second.Targets) {
    if (point < target.Weight)
      return &target.Service;
    point -= target.Weight;
  }
  return nullptr;
}

void PacketRouter::place(TimePoint now, const PacketHeader &head,
                         const uint8_t *bytes, size_t n,
                         const OpeningCopies &copies, PacketSink &out) {
  assert(!Flows.find(head.Flow));
  const ServiceId *service = serviceFor(head.Flow);
  if (!service) {
    refuse(head, PacketReason::NoRoute, out);
    return;
  }
  // Refuse at once when all servers of the service are unreachable, so that the
  // caller can retry or go elsewhere instead of waiting until its timeout. Do
  // not refuse an opening of which other daemons have copies: the flow may be
  // open through them.
  if (copies.areAllHere(now) && isServiceUnreachable(*service)) {
    updateReachability(now);
    if (isLeavingRotation(now))
      out.report(makeEvent(PacketEventKind::Dropped, PacketReason::Unreachable,
                           head.Flow, NoServerIndex));
    else
      refuse(head, PacketReason::Unreachable, out);
    return;
  }
  auto to = chooseProbe(now, *service, head);
  if (!to)
    to = chooseServer(now, *service, TrackedFlow());
  if (!to && !HasAllServers) {
    // Servers that are not known yet may take the caller's next copy.
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::NotReady,
                         head.Flow, NoServerIndex));
    return;
  }
  if (!to) {
    refuse(head, PacketReason::NoServer, out);
    return;
  }
  Flows.makeRoom(now, [this](TrackedFlow &it) { uncountRequest(it); });
  TrackedFlow *flow = Flows.add(now, head.Flow);
  if (!flow && copies.areAllHere(now)) {
    refuse(head, PacketReason::TableFull, out);
    return;
  }
  if (!flow) {
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::TableFull,
                         head.Flow, NoServerIndex));
    return;
  }
  flow->FirstSequence = head.Sequence;
  flow->Copies = copies;
  // No server has the opening yet if no other daemon has it.
  flow->UnansweredAt = copies.areAllHere(now) ? now : copies.unansweredAt();
  sendOpening(now, *flow, static_cast<ServerIndex>(to->Server), head, bytes, n,
              out);
}

bool PacketRouter::isServiceUnreachable(const ServiceId &service) {
  const ServiceEntry *of = Servers.service(service);
  return of &&
         std::all_of(of->AcceptingServers.begin(), of->AcceptingServers.end(),
                     [this](ServerIndex index) {
                       return Detector.isUnreachable(index);
                     });
}

bool PacketRouter::allServersUnreachable() const {
  bool any = false;
  for (const auto &[id, service] : Servers.services())
    for (ServerIndex index : service.AcceptingServers) {
      if (!Detector.isUnreachable(index))
        return false;
      any = true;
    }
  return any;
}

bool PacketRouter::anyServerAcceptsNewFlows() const {
  return std::any_of(
      Servers.services().begin(), Servers.services().end(),
      [](const auto &it) { return !it.second.AcceptingServers.empty(); });
}

bool PacketRouter::ownDomainAcceptsNewFlows() const {
  return std::any_of(
      Servers.services().begin(), Servers.services().end(),
      [this](const auto &service) {
        return std::any_of(
            service.second.AcceptingServers.begin(),
            service.second.AcceptingServers.end(), [this](ServerIndex it) {
              return Servers.at(it).Backend.Published->Server.Domain ==
                     Settings.Domain;
            });
      });
}

bool PacketRouter::isLeavingRotation(TimePoint now) const {
  // Until the fabric has switched to other failure domains, drop openings
  // instead of refusing them: the callers' retransmissions reach daemons that
  // can serve them, whereas refusals would use up all their tries. This does
  // not apply when servers of the own domain accept new flows: then the servers
  // themselves are dead, and other daemons cannot reach them either.
  return Reach.state() == ReachState::Lost &&
         now < Reach.lostAt() + Settings.FabricFailoverTime &&
         !ownDomainAcceptsNewFlows();
}

void PacketRouter::updateReachability(TimePoint now) {
  if (Reach.state() != ReachState::Lost && allServersUnreachable())
    Reach.reportLost(now);
}

void PacketRouter::recordReached(ServerIndex server) {
  // Servers of a failure domain that was taken out of service do not count:
  // they may be reachable when all others are not.
  if (Servers.at(server).Backend.acceptsNewFlows())
    Reach.reportReached();
}

std::vector<ServerIndex> PacketRouter::serversToProbe(TimePoint now) {
  if (!Routes || !anyServerAcceptsNewFlows() || !Reach.startProbeIfDue(now))
    return {};
  // Probe two servers, since one may be dead.
  std::vector<ServerIndex> all;
  for (const auto &[id, service] : Servers.services())
    all.insert(all.end(), service.AcceptingServers.begin(),
               service.AcceptingServers.end());
  size_t first = Random.below(all.size());
  if (all.size() == 1)
    return {all[first]};
  size_t second = (first + 1 + Random.below(all.size() - 1)) % all.size();
  return {all[first], all[second]};
}

bool PacketRouter::sendToAnotherServer(TimePoint now, TrackedFlow &flow,
                                       const PacketHeader &head,
                                       const uint8_t *bytes, size_t n,
                                       PacketSink &out) {
  if (flow.Tries >= TrackedFlow::MaxTries)
    return false;
  const ServiceId *service = serviceFor(head.Flow);
  if (!service)
    return false;
  auto to = chooseServer(now, *service, flow);
  if (!to)
    return false;
  sendOpening(now, flow, static_cast<ServerIndex>(to->Server), head, bytes, n,
              out);
  return true;
}

void PacketRouter::sendOpening(TimePoint now, TrackedFlow &flow, ServerIndex to,
                               const PacketHeader &head, const uint8_t *bytes,
                               size_t n, PacketSink &out) {
  bool again = flow.Tries > 0;
  bool copy = flow.hasTried(to);
  countRequest(now, flow, to);
  if (!copy) {
    flow.Tried[flow.Tries++] = to;
    const ServiceId &service = Servers.at(to).Backend.Published->Server.Service;
    Servers.recordNewFlow(now, to, coldFlowsPerSecond(service));
  }
  flow.LastSent = now;
  forward(to, openingTokenFor(head.Flow, to), bytes, n, out);
  PacketEvent event =
      makeEvent(again ? PacketEventKind::PlacedAgain : PacketEventKind::Placed,
                copy ? PacketReason::Copy : PacketReason::None, head.Flow, to);
  event.Tries = flow.Tries;
  event.Copy = flow.Copies.highest();
  out.report(event);
  UnansweredOpening waiting;
  waiting.Due = now + Timeout.value();
  waiting.SentAt = now;
  if (!waiting.Opening.assign(head, bytes, n))
    waiting.Opening.Head = head;
  Unanswered.push_back(waiting);
}

double PacketRouter::coldFlowsPerSecond(const ServiceId &service) const {
  auto it = Routes->ColdPerSecond.find(service);
  return it == Routes->ColdPerSecond.end() ? 0 : it->second;
}

bool PacketRouter::hasTriedDomain(const TrackedFlow &flow,
                                  const DomainId &domain) const {
  for (uint8_t i = 0; i < flow.Tries; ++i)
    if (Servers.at(flow.Tried[i]).Backend.Published->Server.Domain == domain)
      return true;
  return false;
}

std::optional<OpeningChoice>
PacketRouter::chooseServer(TimePoint now, const ServiceId &service,
                           const TrackedFlow &flow) {
  ServiceEntry *of = listCandidates(now, service, flow);
  if (!of)
    return std::nullopt;
  ++of->NextSample;
  return chooseForOpening(Candidates, of->Load, Random);
}

ServiceEntry *PacketRouter::listCandidates(TimePoint now,
                                           const ServiceId &service,
                                           const TrackedFlow &flow) {
  ServiceEntry *of = Servers.service(service);
  if (!of)
    return nullptr;
  of->updateLoad(now);
  double coldFlows = coldFlowsPerSecond(service);
  Candidates.clear();
  if (of->AcceptingServers.size() <= MaxCandidates) {
    for (ServerIndex index : of->AcceptingServers)
      addCandidate(now, index, coldFlows, flow);
    return of;
  }
  // A choice among the servers of this daemon's slots and a sample of the
  // others costs the same for any number of servers.
  const std::vector<ServerIndex> &own = of->OwnServers;
  bool ownIncluded = own.size() <= MaxCandidates / 2;
  size_t step = ownIncluded ? 1 : (own.size() - 1) / (MaxCandidates / 2) + 1;
  for (size_t i = of->NextSample % step; i < own.size(); i += step)
    addCandidate(now, own[i], coldFlows, flow);
  addSample(now, *of, coldFlows, flow, ownIncluded);
  return of;
}

void PacketRouter::addSample(TimePoint now, const ServiceEntry &of,
                             double coldFlows, const TrackedFlow &flow,
                             bool ownIncluded) {
  // If all servers are silent, any of them will do.
  bool allSilent = of.UsableServers.empty();
  const std::vector<ServerIndex> &all =
      allSilent ? of.AcceptingServers : of.UsableServers;
  auto isGoodEnough = [allSilent](const OpeningCandidate &it) {
    return allSilent || it.Rank == OpeningRank::Normal;
  };
  // The servers are ordered by failure domain; a sample is spread evenly over
  // all of them. Another one follows if no server of it can take the flow.
  size_t n = all.size();
  size_t step = (n - 1) / (MaxCandidates / 2) + 1;
  for (size_t round = 0; round < step; ++round) {
    for (size_t i = 0; i < n; i += step) {
      ServerIndex index = all[(of.NextSample + round + i) % n];
      if (!ownIncluded || Servers.at(index).Share == 0)
        addCandidate(now, index, coldFlows, flow);
    }
    if (std::any_of(Candidates.begin(), Candidates.end(), isGoodEnough))
      return;
  }
}

void PacketRouter::addCandidate(TimePoint now, ServerIndex index,
                                double coldFlows, const TrackedFlow &flow) {
  const ServerEntry &server = Servers.at(index);
  const BackendServer &what = server.Backend.Published->Server;
  if (flow.hasTried(index) || !Servers.canTakeNewFlow(now, index, coldFlows))
    return;
  OpeningCandidate candidate;
  candidate.Server = index;
  if (Detector.isSilent(index))
    candidate.Rank = OpeningRank::Silent;
  else if (server.Backend.Presence == ServerPresence::Expired &&
           !server.Backend.ExpiredInBulk)
    candidate.Rank = OpeningRank::Expired;
  else if (hasTriedDomain(flow, what.Domain))
    candidate.Rank = OpeningRank::Suspected;
  candidate.InProgress = server.InProgress;
  candidate.Slots = what.Slots;
  candidate.Share = server.Share;
  // The few servers of the own domain that are known after a start could not
  // take its load.
  candidate.InSameDomain = !HasAllServers || what.Domain == Settings.Domain;
  candidate.Cold = now < server.Backend.ColdUntil;
  applySpeed(index, candidate);
  Candidates.push_back(candidate);
}

} // namespace balsamrack

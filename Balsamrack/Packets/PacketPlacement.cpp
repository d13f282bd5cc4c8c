#include "Balsamrack/Packets/PacketRouter.h"

#include <algorithm>
#include <utility>

#include "Balsamrack/Decisions/SlotShares.h"

// The part of PacketRouter that places new flows.

namespace balsamrack {

void PacketRouter::reshare() {
  for (auto &[id, service] : Servers.servicesForShares()) {
    std::vector<ServerIndex> usable;
    std::vector<uint32_t> slots;
    for (ServerIndex index : service.TakeNew)
      if (!Detector.isSilent(index)) {
        usable.push_back(index);
        slots.push_back(Servers.at(index).Is.What->Server.Slots);
      }
    Servers.setShares(service, usable, slotShares(slots, Daemons, Self));
  }
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
  // By the flow, so that every daemon picks the same service for its copies.
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

void PacketRouter::place(TimePoint now, const PacketHead &head,
                         const uint8_t *bytes, size_t n, PacketSink &out) {
  const ServiceId *service = serviceFor(head.Flow);
  if (!service) {
    refuse(head, PacketReason::NoRoute, out);
    return;
  }
  // Guards against callers that wait until their time is over for servers that
  // are all out of reach: told at once, they can come back or go elsewhere. A
  // later copy is no new call: another daemon may have opened its flow.
  if (head.Copy == 0 && allUnreachable(*service)) {
    updateReach(now);
    if (leavesRotation(now))
      out.report(eventOf(PacketEventKind::Dropped, PacketReason::Unreachable,
                         head.Flow, NoServerIndex));
    else
      refuse(head, PacketReason::Unreachable, out);
    return;
  }
  RememberedFlow spare;
  auto to = choose(now, *service, spare);
  if (!to) {
    refuse(head, PacketReason::NoServer, out);
    return;
  }
  RememberedFlow *flow = Flows.add(now, head.Flow);
  if (!flow)
    flow = &spare;
  flow->OpenedAt = now;
  flow->FirstSequence = head.Sequence;
  flow->FirstAge = head.Age;
  flow->CopiesSeen = copyBit(head.Copy);
  sendOpening(now, *flow, static_cast<ServerIndex>(to->Server), head, bytes, n,
              out);
  // A flow that has no room in the memory is not counted, or its count would
  // stay for ever.
  if (flow == &spare)
    release(spare);
}

bool PacketRouter::allUnreachable(const ServiceId &service) {
  const TabledService *of = Servers.service(service);
  return of && std::all_of(of->TakeNew.begin(), of->TakeNew.end(),
                           [this](ServerIndex index) {
                             return Detector.isUnreachable(index);
                           });
}

bool PacketRouter::outOfReach() const {
  bool any = false;
  for (const auto &[id, service] : Servers.services())
    for (ServerIndex index : service.TakeNew) {
      if (!Detector.isUnreachable(index))
        return false;
      any = true;
    }
  return any;
}

bool PacketRouter::anyTakesNew() const {
  return std::any_of(Servers.services().begin(), Servers.services().end(),
                     [](const auto &it) { return !it.second.TakeNew.empty(); });
}

bool PacketRouter::homeTakesNew() const {
  return std::any_of(
      Servers.services().begin(), Servers.services().end(),
      [this](const auto &service) {
        return std::any_of(
            service.second.TakeNew.begin(), service.second.TakeNew.end(),
            [this](ServerIndex it) {
              return Servers.at(it).Is.What->Server.Domain == Settings.Domain;
            });
      });
}

bool PacketRouter::leavesRotation(TimePoint now) const {
  // Guards against callers whose tries are all refused before the fabric has
  // turned to other failure domains, which can serve them: what they send next
  // reaches those. Where servers of the own domain take new flows, it is these
  // that are dead, and others can't serve either.
  return Reach.state() == ReachState::Lost &&
         now < Reach.lostAt() + Settings.RotationSpan && !homeTakesNew();
}

void PacketRouter::updateReach(TimePoint now) {
  if (Reach.state() != ReachState::Lost && outOfReach())
    Reach.reportLost(now);
}

void PacketRouter::noteReached(ServerIndex server) {
  // Servers of a failure domain that was taken out may still be in reach when
  // all others are not.
  if (Servers.at(server).Is.takesNew())
    Reach.reportReached();
}

std::vector<ServerIndex> PacketRouter::serversToProbe(TimePoint now) {
  if (!Routes || !anyTakesNew() || !Reach.startProbeIfDue(now))
    return {};
  // Two, since one may be dead.
  std::vector<ServerIndex> all;
  for (const auto &[id, service] : Servers.services())
    all.insert(all.end(), service.TakeNew.begin(), service.TakeNew.end());
  size_t first = Random.below(all.size());
  if (all.size() == 1)
    return {all[first]};
  size_t second = (first + 1 + Random.below(all.size() - 1)) % all.size();
  return {all[first], all[second]};
}

bool PacketRouter::sendElsewhere(TimePoint now, RememberedFlow &flow,
                                 const PacketHead &head, const uint8_t *bytes,
                                 size_t n, PacketSink &out) {
  if (flow.Tries >= RememberedFlow::MaxTries)
    return false;
  const ServiceId *service = serviceFor(head.Flow);
  if (!service)
    return false;
  auto to = choose(now, *service, flow);
  if (!to)
    return false;
  sendOpening(now, flow, static_cast<ServerIndex>(to->Server), head, bytes, n,
              out);
  return true;
}

void PacketRouter::sendOpening(TimePoint now, RememberedFlow &flow,
                               ServerIndex to, const PacketHead &head,
                               const uint8_t *bytes, size_t n,
                               PacketSink &out) {
  bool again = flow.Tries > 0;
  bool copy = flow.tried(to);
  count(now, flow, to);
  if (!copy) {
    flow.Tried[flow.Tries++] = to;
    const ServiceId &service = Servers.at(to).Is.What->Server.Service;
    Servers.newFlow(now, to, coldFigure(service));
  }
  flow.LastSent = now;
  forward(to, bytes, n, out);
  PacketEvent event =
      eventOf(again ? PacketEventKind::PlacedAgain : PacketEventKind::Placed,
              copy ? PacketReason::Copy : PacketReason::None, head.Flow, to);
  event.Tries = flow.Tries;
  out.report(event);
  WaitingOpening waiting;
  waiting.Due = now + Timeout.value();
  waiting.SentAt = now;
  if (!waiting.Opening.keep(head, bytes, n))
    waiting.Opening.Head = head;
  Waiting.push_back(waiting);
}

double PacketRouter::coldFigure(const ServiceId &service) const {
  auto it = Routes->ColdPerSecond.find(service);
  return it == Routes->ColdPerSecond.end() ? 0 : it->second;
}

bool PacketRouter::triedDomain(const RememberedFlow &flow,
                               const DomainId &domain) const {
  for (uint8_t i = 0; i < flow.Tries; ++i)
    if (Servers.at(flow.Tried[i]).Is.What->Server.Domain == domain)
      return true;
  return false;
}

std::optional<OpeningChoice> PacketRouter::choose(TimePoint now,
                                                  const ServiceId &service,
                                                  const RememberedFlow &flow) {
  const TabledService *of = listCandidates(now, service, flow);
  if (!of)
    return std::nullopt;
  return chooseForOpening(Candidates, of->Load, Random);
}

TabledService *PacketRouter::listCandidates(TimePoint now,
                                            const ServiceId &service,
                                            const RememberedFlow &flow) {
  TabledService *of = Servers.service(service);
  if (!of)
    return nullptr;
  of->smooth(now);
  double coldFlows = coldFigure(service);
  Candidates.clear();
  for (ServerIndex index : of->TakeNew) {
    if (flow.tried(index) || !Servers.bears(now, index, coldFlows))
      continue;
    const TabledServer &server = Servers.at(index);
    const BackendServer &what = server.Is.What->Server;
    OpeningCandidate candidate;
    candidate.Server = index;
    if (Detector.isSilent(index))
      candidate.Rank = OpeningRank::Silent;
    else if (server.Is.Presence == ServerPresence::Expired &&
             !server.Is.WithMany)
      candidate.Rank = OpeningRank::Expired;
    else if (triedDomain(flow, what.Domain))
      candidate.Rank = OpeningRank::Suspected;
    candidate.InProgress = server.InProgress;
    candidate.Slots = what.Slots;
    candidate.Share = server.Share;
    candidate.InSameDomain = what.Domain == Settings.Domain;
    candidate.Cold = now < server.Is.ColdUntil;
    Candidates.push_back(candidate);
  }
  return of;
}

} // namespace balsamrack

#include "Balsamrack/Packets/PacketSpeeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Balsamrack/Packets/PacketRouter.h"

// Speeds of servers and ejection of slow ones: part of PacketRouter.

namespace balsamrack {

namespace {

/// A tick that is later than this shows that this process was stalled, so that
/// answers may wait in its socket.
constexpr Duration MaxTickDelay{20'000};
/// Most requests of this daemon at a server, by its slots there, at which a
/// request is measured. A slow server at 60% load always has more requests of
/// its daemon than slots.
constexpr double MaxQueue = 3;
/// Load of this daemon's slots above which no server is judged: then queues
/// differ more than speeds do.
constexpr double MaxLoad = 2;
/// Factor by which all servers may be slower than usual for a verdict about one
/// of them.
constexpr double MaxCommonSlowness = 1.7;
/// Interval at which all speeds are computed anew, since samples lose weight.
constexpr Duration RefreshInterval{1'000'000};

size_t routeKey(const FlowKey &flow) {
  return size_t{flow.Service.Ip} << 16 | flow.Service.Port;
}

/// Part of a server's slots that new flows may use.
double usablePart(SlowServerState state) {
  switch (state) {
  case SlowServerState::Ejected:
    return 0;
  case SlowServerState::Returning:
    return 0.5;
  case SlowServerState::Normal:
    break;
  }
  return 1;
}

/// True when most flows of \p server come from this daemon, so that its own
/// counts tell how long a request has to wait there.
bool isOwner(const ServerEntry &server) {
  return server.Share * 2 >= server.Backend.Published->Server.Slots;
}

} // namespace

ServerSpeed PacketRouter::speedOf(ServerIndex index) const {
  return index < Speeds.Servers.size() ? Speeds.Servers[index] : ServerSpeed();
}

size_t PacketRouter::ejectedServers() const {
  return static_cast<size_t>(std::count_if(
      Speeds.Servers.begin(), Speeds.Servers.end(), [](const ServerSpeed &it) {
        return it.State == SlowServerState::Ejected;
      }));
}

void PacketRouter::beginSpeedSample(TimePoint now, TrackedFlow &flow,
                                    const PacketHeader &head) {
  flow.IsSampled = flow.IsOverdue = false;
  // The first data seen of a flow that came from another daemon may belong to
  // a request that began earlier.
  if (!Settings.Load.Speeds || flow.Tries == 0)
    return;
  const ServerEntry &at = Servers.at(flow.Server);
  double slots = std::max(1.0, std::round(at.Share));
  double queue = std::max(1.0, at.InProgress / slots);
  if (now < at.Backend.ColdUntil || queue > (isOwner(at) ? MaxQueue : 1))
    return;
  flow.IsSampled = true;
  flow.LogQueue = static_cast<float>(std::log(queue));
  const ServerSpeeds &times = speedsOf(flow.Server).Times;
  std::optional<Duration> typical = times.typicalTime(routeKey(head.Flow));
  if (!typical || !times.reference())
    return;
  double slow = SlowServerEjection::SlowRatio * queue *
                std::exp(*times.reference()) *
                static_cast<double>(typical->count());
  Speeds.Timers.push({now + Timeout.mean() +
                          Duration(static_cast<int64_t>(std::ceil(slow)) + 1),
                      head.Flow, now});
}

void PacketRouter::endSpeedSample(TimePoint now, TrackedFlow &flow,
                                  const PacketHeader &head) {
  if (!flow.IsSampled)
    return;
  flow.IsSampled = false;
  ServiceSpeeds &of = speedsOf(flow.Server);
  TimePoint began = flow.Requests.requestStartedAt();
  SpeedSample sample{flow.Server, routeKey(head.Flow), began,
                     now - began - Timeout.mean(), flow.LogQueue};
  bool isEjected = of.Ejection.state(flow.Server) == SlowServerState::Ejected;
  std::optional<double> time = of.Times.relativeTime(sample);
  // A request that had to wait shows whether the server is slow, but not how
  // fast it is.
  if (flow.LogQueue == 0)
    of.Times.addAnswer(now, sample, !flow.IsOverdue && !isEjected);
  if (time && !flow.IsOverdue && isVerdictPossible(flow.Server))
    applySpeedChange(
        now, flow.Server,
        of.Ejection.recordAnswer(
            now, {flow.Server, began, *time - *of.Times.reference()}));
  updateSpeed(now, flow.Server);
  decideEjections(now, of);
}

void PacketRouter::discardSpeedSample(TrackedFlow &flow) {
  if (flow.IsSampled && flow.IsOverdue)
    speedsOf(flow.Server).Ejection.retractOverdue(flow.Server);
  flow.IsSampled = false;
}

void PacketRouter::processSpeeds(TimePoint now, PacketSink &out) {
  if (!Settings.Load.Speeds)
    return;
  processOverdueRequests(now);
  if (now - Speeds.RefreshedAt >= RefreshInterval)
    refreshSpeeds(now);
  for (const PacketSpeeds::Report &it : std::exchange(Speeds.Reports, {})) {
    bool ejected = it.What == SlowServerEjection::Change::Ejected;
    bool half = it.What == SlowServerEjection::Change::ReturnedHalf;
    PacketReason why = ejected ? PacketReason::SlowerThanPeers
                       : half  ? PacketReason::HalfOfSlots
                               : PacketReason::None;
    PacketEvent event = makeEvent(ejected ? PacketEventKind::ServerEjected
                                          : PacketEventKind::ServerReturned,
                                  why, {}, it.Server);
    event.SlowRatio = it.SlowRatio;
    event.Took = it.Took;
    out.report(event);
  }
}

void PacketRouter::processOverdueRequests(TimePoint now) {
  while (!Speeds.Timers.empty()) {
    const PacketSpeeds::Timer timer = Speeds.Timers.top();
    TrackedFlow *flow = Flows.find(timer.Flow);
    bool awaited = flow && flow->Stage == FlowStage::Open && flow->IsSampled &&
                   flow->Requests.isAwaitingAnswer() &&
                   flow->Requests.requestStartedAt() == timer.StartedAt;
    if (awaited && now < timer.Due)
      return;
    Speeds.Timers.pop();
    if (!awaited)
      continue;
    if (now - timer.Due > MaxTickDelay)
      flow->IsSampled = false;
    else
      recordOverdue(now, *flow, timer.Flow);
  }
}

void PacketRouter::recordOverdue(TimePoint now, TrackedFlow &flow,
                                 const FlowKey &key) {
  flow.IsOverdue = true;
  ServiceSpeeds &of = speedsOf(flow.Server);
  TimePoint began = flow.Requests.requestStartedAt();
  SpeedSample sample{flow.Server, routeKey(key), began,
                     now - began - Timeout.mean(), flow.LogQueue};
  if (flow.LogQueue == 0 &&
      of.Ejection.state(flow.Server) != SlowServerState::Ejected)
    of.Times.addOverdue(now, sample);
  if (!isVerdictPossible(flow.Server))
    return;
  double ratio = std::log(SlowServerEjection::SlowRatio);
  applySpeedChange(now, flow.Server,
                   of.Ejection.recordOverdue(now, {flow.Server, began, ratio}));
  decideEjections(now, of);
}

bool PacketRouter::isVerdictPossible(ServerIndex server) {
  std::optional<double> reference = speedsOf(server).Times.reference();
  return reference && *reference < std::log(MaxCommonSlowness) &&
         isOwner(Servers.at(server)) &&
         Servers.serviceOf(server).Load <= MaxLoad;
}

void PacketRouter::decideEjections(TimePoint now, ServiceSpeeds &of) {
  for (size_t suspect : of.Ejection.suspects()) {
    auto server = static_cast<ServerIndex>(suspect);
    if (!isVerdictPossible(server))
      continue;
    const ServiceEntry &service = Servers.serviceOf(server);
    auto domainOf = [this](size_t index) -> const DomainId & {
      return Servers.at(static_cast<ServerIndex>(index))
          .Backend.Published->Server.Domain;
    };
    const DomainId &domain = domainOf(server);
    std::vector<SlowServerPeer> peers;
    double reference = of.Times.reference().value_or(0);
    for (const ServerTime &it :
         of.Times.peersSince(server, of.Ejection.suspectedSince(server)))
      peers.push_back(
          {it.LogTime - reference, it.Samples, domainOf(it.Server) == domain});
    bool alone = std::none_of(
        service.AcceptingServers.begin(), service.AcceptingServers.end(),
        [&](ServerIndex it) { return it != server && domainOf(it) == domain; });
    applySpeedChange(now, server,
                     of.Ejection.decide(now, server, peers, alone,
                                        service.AcceptingServers.size()));
  }
}

void PacketRouter::applySpeedChange(TimePoint now, ServerIndex server,
                                    SlowServerEjection::Change change) {
  using Change = SlowServerEjection::Change;
  if (change == Change::None)
    return;
  ServiceSpeeds &of = speedsOf(server);
  // What was measured before says nothing about the server that returns.
  if (change != Change::ReturnedFull)
    of.Times.forget(server);
  updateSpeed(now, server);
  if (change == Change::HoldExtended)
    return;
  ServerSpeed &is = Speeds.Servers[server];
  if (change == Change::Ejected)
    is.EjectedAt = now;
  Speeds.Reports.push_back(
      {server, change, of.Ejection.slowRatio(server), now - is.EjectedAt});
}

void PacketRouter::updateSpeed(TimePoint now, ServerIndex server) {
  if (Speeds.Servers.size() <= server)
    Speeds.Servers.resize(server + 1);
  const ServiceSpeeds &of = speedsOf(server);
  ServerSpeed &is = Speeds.Servers[server];
  is.Speed = of.Times.speed(now, server);
  is.Samples = of.Times.samples(now, server);
  is.State = of.Ejection.state(server);
  if (Servers.at(server).Share > 0)
    updateSpeedShare(Servers.serviceOf(server));
}

void PacketRouter::updateSpeedShare(ServiceEntry &service) {
  if (!Settings.Load.Speeds)
    return;
  service.SpeedShare = 0;
  for (ServerIndex index : service.OwnServers) {
    ServerSpeed is = speedOf(index);
    service.SpeedShare +=
        Servers.at(index).Share * is.Speed * usablePart(is.State);
  }
}

void PacketRouter::refreshSpeeds(TimePoint now) {
  Speeds.RefreshedAt = now;
  for (auto &[id, of] : Speeds.Services)
    of.Times.expire(now);
  for (ServerIndex i = 0; i < Speeds.Servers.size(); ++i)
    if (Speeds.Servers[i].Samples > 0 && Servers.at(i).InUse)
      updateSpeed(now, i);
}

ServiceSpeeds &PacketRouter::speedsOf(ServerIndex server) {
  return Speeds.Services[Servers.at(server).Backend.Published->Server.Service];
}

void PacketRouter::forgetSpeed(ServerIndex server) {
  for (auto &[id, of] : Speeds.Services) {
    of.Times.forget(server);
    of.Ejection.forget(server);
    of.Probes.erase(server);
  }
  if (server < Speeds.Servers.size())
    Speeds.Servers[server] = ServerSpeed();
}

void PacketRouter::forgetOldInstances(const PacketUpdate &update) {
  if (!Settings.Load.Speeds)
    return;
  Speeds.Servers.resize(Servers.all().size());
  for (const RoutedBackend &it : update.Changed) {
    ServerIndex index = Servers.indexOf(it.Published->Server.Id);
    if (Speeds.Servers[index].Born == it.Published->Born)
      continue;
    forgetSpeed(index);
    Speeds.Servers[index].Born = it.Published->Born;
  }
}

void PacketRouter::applySpeed(ServerIndex index,
                              OpeningCandidate &candidate) const {
  if (!Settings.Load.Speeds || index >= Speeds.Servers.size())
    return;
  const ServerSpeed &is = Speeds.Servers[index];
  candidate.Speed = is.Speed;
  if (is.State == SlowServerState::Ejected)
    candidate.Rank = std::max(candidate.Rank, OpeningRank::Ejected);
  if (is.State != SlowServerState::Returning)
    return;
  candidate.Slots = std::max<uint32_t>(1, candidate.Slots / 2);
  candidate.Share /= 2;
}

bool PacketRouter::isProbing(const ServiceSpeeds &of, ServerIndex server) {
  auto probe = of.Probes.find(server);
  if (probe == of.Probes.end())
    return false;
  const TrackedFlow *flow = Flows.find(probe->second);
  return flow && flow->IsCounted && flow->Server == server;
}

std::optional<OpeningChoice>
PacketRouter::chooseProbe(TimePoint now, const ServiceId &service,
                          const PacketHeader &head) {
  auto of = Speeds.Services.find(service);
  // A retransmitted opening is late already.
  if (of == Speeds.Services.end() || head.CopyNumber != 0 ||
      !Routes->Routes.at(head.Flow.Service).Idempotent)
    return std::nullopt;
  for (size_t it : of->second.Ejection.ejectedServers()) {
    auto server = static_cast<ServerIndex>(it);
    const ServerEntry &entry = Servers.at(server);
    if (!of->second.Ejection.mayProbe(now, server) || entry.InProgress > 0 ||
        !entry.Backend.acceptsNewFlows() || Detector.isSilent(server) ||
        isProbing(of->second, server) ||
        !Servers.canTakeNewFlow(now, server, coldFlowsPerSecond(service)))
      continue;
    of->second.Probes[server] = head.Flow;
    return OpeningChoice{server, 0};
  }
  return std::nullopt;
}

} // namespace balsamrack

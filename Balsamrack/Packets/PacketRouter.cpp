#include "Balsamrack/Packets/PacketRouter.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "Balsamrack/Decisions/LateOpenings.h"

namespace balsamrack {

namespace {

constexpr TimePoint Never = TimePoint(Duration::max());
/// Callers send the opening and two copies of it.
constexpr uint8_t AllCopies = 0b111;
/// Copies may come earlier or later by so much for the network's and this
/// process's own lateness; callers send them 200 and 400 ms apart.
constexpr Duration CopyJitter{100'000};
/// By then its caller has sent the same data again, with a head of its own.
constexpr Duration StuckKeep{1'000'000};
/// Older ones hear of it with their next repetition.
constexpr size_t MostStuck = 4096;

} // namespace

PacketRouter::PacketRouter(const PacketRouterSettings &settings,
                           RandomSource &random)
    : Settings(settings), Random(random), Flows(settings.MaxFlows),
      Detector(settings.Detector) {}

void PacketRouter::setRoutes(std::shared_ptr<const PacketRoutes> routes) {
  assert(routes);
  Routes = std::move(routes);
  ServerTable::Change change = Servers.update(*Routes);
  for (ServerIndex index : change.Removed)
    Detector.remove(index);
  for (ServerIndex index : change.Added)
    Detector.add(index, Servers.at(index).Is.What->Server.Domain);
  reshare();
}

void PacketRouter::setFleet(size_t daemons, size_t self) {
  assert(self < daemons);
  if (Daemons == daemons && Self == self)
    return;
  Daemons = daemons;
  Self = self;
  Detector.setDaemonCount(daemons);
  reshare();
}

void PacketRouter::packet(TimePoint now, const PacketHead &head,
                          const uint8_t *bytes, size_t n, PacketSink &out) {
  if (!Routes && head.Opens &&
      holdOpening(now, head, bytes, n, Settings.RefreshWait))
    return;
  if (!Routes) {
    out.report(eventOf(PacketEventKind::Dropped, PacketReason::NotReady,
                       head.Flow, NoServerIndex));
    return;
  }
  if (head.Opens)
    opening(now, head, bytes, n, out);
  else
    ongoing(now, head, bytes, n, out);
}

void PacketRouter::opening(TimePoint now, const PacketHead &head,
                           const uint8_t *bytes, size_t n, PacketSink &out) {
  RememberedFlow *flow = Flows.find(head.Flow);
  if (flow && flow->FirstSequence == head.Sequence) {
    openingCopy(now, *flow, head, bytes, n, out);
    return;
  }
  if (flow) {
    release(*flow);
    Flows.erase(head.Flow);
  }
  if (Stale) {
    if (!holdOpening(now, head, bytes, n, Settings.RefreshWait))
      out.report(eventOf(PacketEventKind::Dropped, PacketReason::Stale,
                         head.Flow, NoServerIndex));
    return;
  }
  if (queueLateOpening(now, head, bytes, n))
    return;
  place(now, head, bytes, n, out);
}

bool PacketRouter::queueLateOpening(TimePoint now, const PacketHead &head,
                                    const uint8_t *bytes, size_t n) {
  auto route = Routes->Routes.find(head.Flow.Service);
  if (route == Routes->Routes.end())
    return false;
  Duration wait = lateOpeningMaxWait(
      {head.Age, route->second.Objective, route->second.Timeout});
  if (wait == Duration{0} || !slotsTakenFor(now, head))
    return false;
  BufferedOpening opening;
  return opening.keep(head, bytes, n) && Late.add(opening, now + wait);
}

bool PacketRouter::slotsTakenFor(TimePoint now, const PacketHead &head) {
  const ServiceId *service = serviceFor(head.Flow);
  TabledService *of = service ? Servers.service(*service) : nullptr;
  if (!of)
    return false;
  of->smooth(now);
  return areOwnSlotsBusy({of->BriefLoad, of->RequestTime, Timeout.usual()});
}

bool PacketRouter::knownAlready(const PacketHead &head) {
  const RememberedFlow *flow = Flows.find(head.Flow);
  return flow && flow->FirstSequence == head.Sequence;
}

void PacketRouter::placeLateOpenings(TimePoint now, PacketSink &out) {
  if (!Routes || Stale)
    return;
  // Each is looked at once; those that wait on keep their order.
  for (size_t n = Late.size(); n > 0; --n) {
    OpeningQueue::Held held = Late.take();
    const BufferedOpening &opening = held.Opening;
    // A later copy may have gone on before it.
    if (knownAlready(opening.Head))
      continue;
    bool waits = now < held.Until && slotsTakenFor(now, opening.Head);
    if (!waits || !Late.add(opening, held.Until))
      place(now, opening.Head, opening.Packet.data(), opening.Bytes, out);
  }
}

bool PacketRouter::holdOpening(TimePoint now, const PacketHead &head,
                               const uint8_t *bytes, size_t n, Duration most) {
  BufferedOpening opening;
  return opening.keep(head, bytes, n) && Held.add(opening, now + most);
}

void PacketRouter::placeHeldOpenings(TimePoint now, PacketSink &out) {
  while (Routes && !Stale && !Held.empty()) {
    OpeningQueue::Held held = Held.take();
    const BufferedOpening &opening = held.Opening;
    // A copy of one that went on before it.
    if (knownAlready(opening.Head))
      continue;
    place(now, opening.Head, opening.Packet.data(), opening.Bytes, out);
  }
  // What has waited too long is sent again by its caller.
  while (!Held.empty() && now >= Held.front().Until)
    Held.take();
}

void PacketRouter::openingCopy(TimePoint now, RememberedFlow &flow,
                               const PacketHead &head, const uint8_t *bytes,
                               size_t n, PacketSink &out) {
  flow.LastSeen = now;
  flow.Copy = std::max(flow.Copy, head.Copy);
  flow.CopiesSeen |= copyBit(head.Copy);
  Duration late = (now - flow.OpenedAt) - (head.Age - flow.FirstAge);
  if (late < -CopyJitter || late > CopyJitter)
    flow.Delayed = true;
  if (flow.Stage != FlowStage::Opening) {
    forward(flow.Home, bytes, n, out);
    return;
  }
  bool overdue = now - flow.LastSent >= Timeout.value();
  if (overdue && flow.Tries == RememberedFlow::MaxTries) {
    // All have had their time; the round begins anew without the last one.
    flow.Tried[0] = flow.Home;
    flow.Tries = 1;
  }
  if (overdue && sendElsewhere(now, flow, head, bytes, n, out))
    return;
  sendOpening(now, flow, flow.Home, head, bytes, n, out);
}

PacketReason PacketRouter::resolve(const PacketHead &head,
                                   ServerIndex &found) const {
  if (head.Token == 0)
    return PacketReason::NoToken;
  auto route = Routes->Routes.find(head.Flow.Service);
  if (route == Routes->Routes.end())
    return PacketReason::NoRoute;
  const std::vector<ServerIndex> *named = Servers.byToken(head.Token);
  if (!named)
    return PacketReason::UnknownToken;
  const std::vector<ServiceId> &allowed = route->second.EverAllowed;
  for (ServerIndex index : *named) {
    const ServiceId &service = Servers.at(index).Is.What->Server.Service;
    if (std::find(allowed.begin(), allowed.end(), service) == allowed.end())
      continue;
    found = index;
    return PacketReason::None;
  }
  return PacketReason::ForeignToken;
}

RememberedFlow *PacketRouter::adopt(TimePoint now, const PacketHead &head,
                                    RememberedFlow &spare, PacketSink &out) {
  ServerIndex home = NoServerIndex;
  PacketReason why = resolve(head, home);
  if (why != PacketReason::None) {
    // Silence, not a reset: the flow may be open at a living server that is
    // not known here yet, and its packets will be sent again.
    out.report(
        eventOf(PacketEventKind::Dropped, why, head.Flow, NoServerIndex));
    return nullptr;
  }
  RememberedFlow *flow = Flows.add(now, head.Flow);
  if (!flow)
    flow = &spare;
  flow->Stage = FlowStage::Open;
  flow->Home = home;
  flow->OpenedAt = now;
  out.report(
      eventOf(PacketEventKind::Adopted, PacketReason::None, head.Flow, home));
  return flow;
}

void PacketRouter::ongoing(TimePoint now, const PacketHead &head,
                           const uint8_t *bytes, size_t n, PacketSink &out) {
  RememberedFlow spare;
  RememberedFlow *flow = Flows.find(head.Flow);
  if (!flow)
    flow = adopt(now, head, spare, out);
  if (!flow)
    return;
  flow->LastSeen = now;
  if (flow->Stage == FlowStage::Opening && !head.Resets)
    confirm(now, *flow, head, out);
  if (flow->Stage == FlowStage::Open && flow != &spare)
    followRequests(now, *flow, head);
  if (isLost(*flow, head)) {
    giveUp(*flow, head, out);
    return;
  }
  bool ends = head.Ends || head.Resets;
  if (ends && flow->Stage != FlowStage::Ending) {
    release(*flow);
    flow->Stage = FlowStage::Ending;
    PacketEvent event = eventOf(head.Resets ? PacketEventKind::Abandoned
                                            : PacketEventKind::Ended,
                                PacketReason::None, head.Flow, flow->Home);
    event.Took = now - flow->OpenedAt;
    out.report(event);
  }
  forward(flow->Home, bytes, n, out);
}

void PacketRouter::followRequests(TimePoint now, RememberedFlow &flow,
                                  const PacketHead &head) {
  CallerStep step = flow.Progress.packet(now, head);
  if (step.Answered) {
    if (flow.Counted)
      Servers.serviceOf(flow.Home).requestAnswered(now - flow.CountedAt);
    release(flow);
    Detector.reportDelivered(flow.Home, flow.Progress.askedAt());
  }
  if (step.Data != CallerData::None)
    count(now, flow, flow.Home);
  if (step.Data != CallerData::Repeated)
    return;
  Detector.reportUndelivered(now, flow.Home, flow.Progress.askedAt());
  if (Stuck.size() >= MostStuck)
    Stuck.pop_front();
  Stuck.push_back({now, head});
}

void PacketRouter::confirm(TimePoint now, RememberedFlow &flow,
                           const PacketHead &head, PacketSink &out) {
  // The flow opens at the server that the caller answers, and its token is on
  // this very packet. A second server's answer may change the token later, so
  // the home is remembered from here on.
  ServerIndex home = NoServerIndex;
  if (resolve(head, home) == PacketReason::None)
    count(now, flow, home);
  flow.Stage = FlowStage::Open;
  if (flow.Tries == 1 && flow.Copy == 0)
    Timeout.measured(now - flow.LastSent);
  PacketEvent event = eventOf(PacketEventKind::Confirmed, PacketReason::None,
                              head.Flow, flow.Home);
  event.Took = now - flow.OpenedAt;
  event.Tries = flow.Tries;
  out.report(event);
  noteReached(flow.Home);
  Detector.reportDelivered(flow.Home, flow.LastSent);
  bool domainWas = Detector.isSilent(flow.Home);
  bool was = Detector.reportAnswered(now, flow.Home);
  noteBack(flow.Home, was, domainWas, out);
}

void PacketRouter::tickWaiting(TimePoint now,
                               std::deque<WaitingOpening> &waiting,
                               PacketSink &out) {
  // Most are answered long before they are due; dropping those here spares a
  // wake-up for each.
  while (!waiting.empty() &&
         (waiting.front().Due <= now || !stillWaits(waiting.front()))) {
    WaitingOpening first = waiting.front();
    waiting.pop_front();
    if (stillWaits(first))
      openingDue(now, first, out);
  }
}

void PacketRouter::tick(TimePoint now, PacketSink &out) {
  updateReach(now);
  tickWaiting(now, Waiting, out);
  tickWaiting(now, LastCopies, out);
  placeHeldOpenings(now, out);
  placeLateOpenings(now, out);
  while (!Stuck.empty() && now - Stuck.front().At > StuckKeep)
    Stuck.pop_front();
  Duration openKeep = Settings.OpenKeep;
  if (Routes && Routes->IdleTimeout > Duration{0})
    openKeep = std::min(openKeep, Routes->IdleTimeout);
  Flows.sweep(
      now,
      [this](const RememberedFlow &flow) {
        return Servers.serviceOf(flow.Home).quietLimit();
      },
      [&](const RememberedFlow &flow) {
        switch (flow.Stage) {
        case FlowStage::Opening:
          return Settings.OpeningKeep;
        case FlowStage::Ending:
          return Settings.EndingKeep;
        case FlowStage::Open:
          break;
        }
        return openKeep;
      },
      [&](const FlowKey &key, RememberedFlow &flow, bool forgotten) {
        release(flow);
        if (!forgotten || flow.Stage != FlowStage::Open)
          return;
        PacketEvent event = eventOf(PacketEventKind::Forgotten,
                                    PacketReason::None, key, flow.Home);
        event.Took = flow.LastSeen - flow.OpenedAt;
        out.report(event);
      });
}

bool PacketRouter::stillWaits(const WaitingOpening &waiting) {
  const RememberedFlow *flow = Flows.find(waiting.Opening.Head.Flow);
  // Else it was answered, ended, or sent again since: a later one waits for it.
  return flow && flow->Stage == FlowStage::Opening &&
         flow->LastSent == waiting.SentAt;
}

void PacketRouter::openingDue(TimePoint now, const WaitingOpening &waiting,
                              PacketSink &out) {
  RememberedFlow *flow = Flows.find(waiting.Opening.Head.Flow);
  ServerIndex server = flow->Home;
  uint32_t caller = waiting.Opening.Head.Flow.Caller.Ip;
  // Guards against a process that was frozen: what waited in its socket has
  // been sent to another daemon too, and is answered there. Servers are not
  // silent for that.
  if (!flow->Delayed &&
      Detector.reportUnanswered(now, server, waiting.SentAt, caller))
    noteSilent(server, waiting.Opening.Head.Flow, out);
  const BufferedOpening &opening = waiting.Opening;
  bool sent = opening.Bytes > 0 &&
              sendElsewhere(now, *flow, opening.Head, opening.Packet.data(),
                            opening.Bytes, out);
  if (sent)
    return;
  // It may have gone on through another daemon, and else nobody works on it.
  release(*flow);
  // The caller sends no more copies, and whoever could answer had its time: a
  // reset lets it try anew at once. Only if all of its copies came here, each
  // at its time: else its flow may have been opened through another daemon, and
  // the reset would break it.
  if (flow->CopiesSeen != AllCopies || flow->Delayed)
    return;
  // And only when its first packet to a server has had time to come again.
  if (now - flow->LastSeen < Settings.LastCopyTimeout) {
    WaitingOpening again = waiting;
    again.Due = flow->LastSeen + Settings.LastCopyTimeout;
    LastCopies.push_back(again);
    return;
  }
  refuse(waiting.Opening.Head, PacketReason::NoAnswer, out);
  flow->Stage = FlowStage::Ending;
}

TimePoint PacketRouter::nextWakeup() const {
  TimePoint next = Waiting.empty() ? Never : Waiting.front().Due;
  if (!LastCopies.empty())
    next = std::min(next, LastCopies.front().Due);
  // Slots get free as packets come in, and each packet is followed by a tick.
  if (!Late.empty() && Routes)
    next = std::min(next, Late.front().Until);
  if (Routes && anyTakesNew())
    next = std::min(next, Reach.nextProbeAt());
  return std::min(next, Detector.nextProbeAt());
}

void PacketRouter::forward(ServerIndex to, const uint8_t *bytes, size_t n,
                           PacketSink &out) const {
  const RoutedBackend &is = Servers.at(to).Is;
  out.forward({is.At, is.What->Tag, is.Token}, bytes, n);
}

void PacketRouter::refuse(const PacketHead &head, PacketReason why,
                          PacketSink &out) {
  out.reset(head);
  out.report(eventOf(PacketEventKind::Refused, why, head.Flow, NoServerIndex));
}

void PacketRouter::count(TimePoint now, RememberedFlow &flow, ServerIndex at) {
  if (flow.Counted && flow.Home == at)
    return;
  if (!flow.Counted)
    flow.CountedAt = now;
  release(flow);
  flow.Home = at;
  flow.Counted = true;
  Servers.add(at);
}

void PacketRouter::release(RememberedFlow &flow) {
  if (!flow.Counted)
    return;
  flow.Counted = false;
  Servers.remove(flow.Home);
}

PacketEvent PacketRouter::eventOf(PacketEventKind kind, PacketReason why,
                                  const FlowKey &key,
                                  ServerIndex server) const {
  PacketEvent event;
  event.Kind = kind;
  event.Why = why;
  event.Flow = key;
  event.Version = Routes ? Routes->Version : 0;
  if (server == NoServerIndex)
    return event;
  const TabledServer &at = Servers.at(server);
  const BackendServer &what = at.Is.What->Server;
  event.Server = &what.Id;
  event.Service = &what.Service;
  event.InProgress = at.InProgress;
  event.Share = at.Share;
  auto service = Servers.services().find(what.Service);
  if (service != Servers.services().end())
    event.OthersLoad = service->second.Load;
  return event;
}

} // namespace balsamrack

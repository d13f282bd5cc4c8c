#include "Balsamrack/Packets/PacketRouter.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace balsamrack {

namespace {

constexpr TimePoint Never = TimePoint(Duration::max());
/// By this time the caller has retransmitted the data again, which adds a new
/// record.
constexpr Duration RetransmittedRetention{1'000'000};
/// When full, the oldest records are dropped. Their flows are reset at the next
/// retransmission.
constexpr size_t MaxRetransmitted = 4096;

} // namespace

PacketRouter::PacketRouter(const PacketRouterSettings &settings,
                           RandomSource &random)
    : Settings(settings), Random(random), Flows(settings.MaxFlows),
      Detector(settings.Detector) {}

void PacketRouter::apply(const PacketUpdate &update) {
  assert(Routes || update.Routes);
  if (update.Routes) {
    Routes = update.Routes;
    AreHeldOutdated = true;
  }
  bool sharesChanged = HasAllServers != update.HasAllServers;
  HasAllServers = update.HasAllServers;
  ServerTable::Change change = Servers.apply(update);
  for (ServerIndex index : change.Removed) {
    Detector.remove(index);
    // The index is used again.
    Flows.eraseFlowsAt(index,
                       [this](TrackedFlow &flow) { uncountRequest(flow); });
    forgetSpeed(index);
  }
  forgetOldInstances(update);
  for (ServerIndex index : change.Added)
    Detector.add(index, Servers.at(index).Backend.Published->Server.Domain);
  if (sharesChanged || !update.Changed.empty() || !update.Removed.empty())
    updateShares();
}

void PacketRouter::setPeers(std::vector<DaemonTag> peers, bool isComplete) {
  assert(std::is_sorted(peers.begin(), peers.end()));
  Peers = std::move(peers);
  HasAllPeers = isComplete;
}

void PacketRouter::setFleet(const FleetPosition &position) {
  assert(position.Index < position.Daemons);
  assert(position.DomainIndex < position.DomainDaemons);
  Fleet = position;
  Detector.setDaemonCount(position.Daemons);
  for (auto &[id, demand] : Demands)
    setDemandFleet(demand);
  updateShares();
}

void PacketRouter::handlePacket(TimePoint now, const PacketHeader &head,
                                const uint8_t *bytes, size_t n,
                                PacketSink &out) {
  recordCall(now);
  if (!Routes && head.Opens &&
      bufferOpening(now, head, bytes, n, takeWaitingOpening(now, head).Copies))
    return;
  if (!Routes) {
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::NotReady,
                         head.Flow, NoServerIndex));
    return;
  }
  if (head.Opens)
    handleOpening(now, head, bytes, n, out);
  else
    handleFlowPacket(now, head, {}, bytes, n, out);
}

void PacketRouter::handleRelayed(TimePoint now, const PacketHeader &head,
                                 bool isOriginal, const uint8_t *bytes,
                                 size_t n, PacketSink &out) {
  recordCall(now);
  if (!Routes || head.Opens) {
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::NotReady,
                         head.Flow, NoServerIndex));
    return;
  }
  handleFlowPacket(now, head, {true, isOriginal}, bytes, n, out);
}

void PacketRouter::handleFlowPacket(TimePoint now, const PacketHeader &head,
                                    const PacketPath &path,
                                    const uint8_t *bytes, size_t n,
                                    PacketSink &out) {
  // The caller has answered a server; its opening must not reach another one.
  removeWaitingOpening(head.Flow);
  TrackedFlow spare;
  TrackedFlow *flow = Flows.find(head.Flow);
  if (flow && !flow->matches(head)) {
    uncountRequest(*flow);
    Flows.erase(head.Flow);
    flow = nullptr;
  }
  if (flow && flow->Stage == FlowStage::Opening && !head.Resets) {
    handleAnswer(now, *flow, head, path, bytes, n, out);
    return;
  }
  if (flow && flow->Stage != FlowStage::Relayed) {
    followToken(now, *flow, head, out);
  } else {
    TokenMatch match = resolveToken(head);
    if (match.Server == NoServerIndex) {
      relayOrDrop(now, head, path, match.Reason, bytes, n, out);
      return;
    }
    flow = adopt(now, head, match, spare, out);
  }
  forwardOnFlow(now, *flow, flow != &spare, head, bytes, n, out);
}

void PacketRouter::handleAnswer(TimePoint now, TrackedFlow &flow,
                                const PacketHeader &head,
                                const PacketPath &path, const uint8_t *bytes,
                                size_t n, PacketSink &out) {
  if (confirm(now, flow, head, path, out)) {
    forwardOnFlow(now, flow, true, head, bytes, n, out);
    for (const OvertakingPackets::Item &it : Overtaking.take(head.Flow))
      forwardOnFlow(now, flow, true, it.Head, it.Bytes.data(), it.Bytes.size(),
                    out);
    return;
  }
  bool isFirst = head.Sequence == flow.FirstSequence + 1;
  PacketPath on{path.IsRelayed, isFirst && isOriginal(now, flow, path)};
  if (relay(head, on, bytes, n, out))
    return;
  // If it has overtaken the first packet, that one follows at once.
  if (isFirst || !Overtaking.add(now, head, bytes, n))
    reportUndecided(head, out);
}

void PacketRouter::reportUndecided(const PacketHeader &head,
                                   PacketSink &out) const {
  out.report(makeEvent(PacketEventKind::Dropped, PacketReason::Undecided,
                       head.Flow, NoServerIndex));
}

void PacketRouter::forwardOnFlow(TimePoint now, TrackedFlow &flow,
                                 bool isTracked, const PacketHeader &head,
                                 const uint8_t *bytes, size_t n,
                                 PacketSink &out) {
  flow.LastSeen = now;
  if (static_cast<int32_t>(head.Sequence - flow.LastSequence) > 0)
    flow.LastSequence = head.Sequence;
  if (flow.Stage == FlowStage::Open && isTracked)
    trackRequests(now, flow, head);
  if (isRequestLost(flow, head)) {
    resetFlow(flow, head, out);
    return;
  }
  bool ends = head.Ends || head.Resets;
  if (ends && flow.Stage != FlowStage::Closing) {
    uncountRequest(flow);
    flow.Stage = FlowStage::Closing;
    PacketEvent event = makeEvent(head.Resets ? PacketEventKind::Abandoned
                                              : PacketEventKind::Ended,
                                  PacketReason::None, head.Flow, flow.Server);
    event.Took = now - flow.OpenedAt;
    event.Evidence = flow.Evidence;
    out.report(event);
  }
  forward(flow.Server, Servers.at(flow.Server).Backend.Token, bytes, n, out);
}

void PacketRouter::trackRequests(TimePoint now, TrackedFlow &flow,
                                 const PacketHeader &head) {
  // The first request of a flow that was opened here counted as its opening.
  bool isCountedAsOpening =
      !flow.Copies.empty() && flow.Requests.requestStartedAt() == TimePoint{};
  RequestProgress step = flow.Requests.handlePacket(now, head);
  if (step.Data == RequestDataKind::NewRequest && !isCountedAsOpening)
    recordDemand(&Servers.at(flow.Server).Backend.Published->Server.Service);
  if (step.Answered) {
    if (flow.IsCounted)
      Servers.serviceOf(flow.Server).recordRequestTime(now - flow.CountedAt);
    endSpeedSample(now, flow, head);
    uncountRequest(flow);
    Detector.reportDelivered(flow.Server, flow.Requests.requestStartedAt());
  }
  if (step.Data == RequestDataKind::NewRequest && !flow.IsCounted)
    recordFlowRequest(now, flow.Server);
  if (step.Data != RequestDataKind::None)
    countRequest(now, flow, flow.Server);
  if (step.Data == RequestDataKind::NewRequest)
    beginSpeedSample(now, flow, head);
  if (step.Data != RequestDataKind::Retransmission)
    return;
  discardSpeedSample(flow);
  Detector.reportUndelivered(now, flow.Server,
                             flow.Requests.requestStartedAt());
  if (Retransmitted.size() >= MaxRetransmitted)
    Retransmitted.pop_front();
  Retransmitted.push_back({now, head});
}

bool PacketRouter::confirm(TimePoint now, TrackedFlow &flow,
                           const PacketHeader &head, const PacketPath &path,
                           PacketSink &out) {
  // Further servers would answer a caller that ignores them.
  flow.IsAnswered = true;
  TokenMatch home = answeredServer(now, flow, head, path);
  if (home.Server == NoServerIndex) {
    uncountRequest(flow);
    return false;
  }
  countRequest(now, flow, home.Server);
  flow.Stage = FlowStage::Open;
  flow.LastSequence = head.Sequence;
  if (flow.Tries == 1 && flow.Copies.count() == 1 && !path.IsRelayed)
    Timeout.addSample(now - flow.LastSent);
  flow.Evidence = home.Evidence;
  PacketEvent event = makeEvent(PacketEventKind::Confirmed, PacketReason::None,
                                head.Flow, flow.Server);
  event.Took = now - flow.OpenedAt;
  event.Tries = flow.Tries;
  event.Copy = flow.Copies.highest();
  event.Evidence = flow.Evidence;
  out.report(event);
  recordReached(flow.Server);
  Detector.reportDelivered(flow.Server, flow.LastSent);
  bool domainWasSilent = Detector.isSilent(flow.Server);
  bool wasSilent = Detector.reportAnswered(now, flow.Server);
  reportRecovery(flow.Server, wasSilent, domainWasSilent, out);
  return true;
}

void PacketRouter::processDueOpenings(TimePoint now,
                                      std::deque<UnansweredOpening> &waiting,
                                      PacketSink &out) {
  // Most openings are answered long before they are due. Dropping those here
  // saves one wake-up each.
  while (!waiting.empty() &&
         (waiting.front().Due <= now || !isUnanswered(waiting.front()))) {
    UnansweredOpening first = waiting.front();
    waiting.pop_front();
    if (isUnanswered(first))
      handleUnanswered(now, first, out);
  }
}

void PacketRouter::tick(TimePoint now, PacketSink &out) {
  recordCall(now);
  updateReachability(now);
  updateDemand(now);
  processDueOpenings(now, Unanswered, out);
  processDueOpenings(now, LastCopies, out);
  processSpeeds(now, out);
  for (const OvertakingPackets::Item &it : Overtaking.takeExpired(now))
    reportUndecided(it.Head, out);
  placeBufferedOpenings(now, out);
  placeLateOpenings(now, out);
  serveHeldOpenings(now, out);
  while (!Retransmitted.empty() &&
         now - Retransmitted.front().At > RetransmittedRetention)
    Retransmitted.pop_front();
  Duration openRetention = Settings.OpenRetention;
  if (Routes && Routes->IdleTimeout > Duration{0})
    openRetention = std::min(openRetention, Routes->IdleTimeout);
  Flows.processTimers(
      now,
      [this](const TrackedFlow &flow) {
        return flow.Stage == FlowStage::Relayed
                   ? Settings.OpeningRetention
                   : Servers.serviceOf(flow.Server).requestIdleLimit();
      },
      [&](const TrackedFlow &flow) {
        switch (flow.Stage) {
        case FlowStage::Opening:
        case FlowStage::Relayed:
          return Settings.OpeningRetention;
        case FlowStage::Closing:
          return Settings.ClosingRetention;
        case FlowStage::Open:
          break;
        }
        return openRetention;
      },
      [&](const FlowKey &key, TrackedFlow &flow, bool isRemoved) {
        uncountRequest(flow);
        if (!isRemoved || flow.Stage != FlowStage::Open)
          return;
        PacketEvent event = makeEvent(PacketEventKind::Forgotten,
                                      PacketReason::None, key, flow.Server);
        event.Took = flow.LastSeen - flow.OpenedAt;
        out.report(event);
      });
}

bool PacketRouter::isUnanswered(const UnansweredOpening &waiting) {
  const TrackedFlow *flow = Flows.find(waiting.Opening.Head.Flow);
  // Otherwise it was answered, closed, or sent again, and a later element
  // covers it.
  return flow && flow->Stage == FlowStage::Opening && !flow->IsAnswered &&
         flow->LastSent == waiting.SentAt;
}

void PacketRouter::handleUnanswered(TimePoint now,
                                    const UnansweredOpening &waiting,
                                    PacketSink &out) {
  TrackedFlow *flow = Flows.find(waiting.Opening.Head.Flow);
  ServerIndex server = flow->Server;
  uint32_t caller = waiting.Opening.Head.Flow.Caller.Ip;
  // After this process was suspended, packets that waited in its socket were
  // retransmitted through another daemon and answered there. A missing answer
  // to them does not make a server silent.
  if (!flow->Copies.wereDelayed() &&
      Detector.reportUnanswered(now, server, waiting.SentAt, caller))
    reportSilentServer(server, waiting.Opening.Head.Flow, out);
  const BufferedOpening &opening = waiting.Opening;
  // Once a copy is missing, it may have opened the flow through another daemon.
  bool sent = opening.Bytes > 0 && !isOutdated(now, flow->Copies) &&
              sendToAnotherServer(now, *flow, opening.Head,
                                  opening.Packet.data(), opening.Bytes, out);
  if (sent)
    return;
  // The opening may have been answered through another daemon; otherwise no
  // server works on it.
  uncountRequest(*flow);
  // The caller sends no more copies and all servers have timed out; a reset
  // lets the caller retry at once. Reset only if all copies arrived here on
  // time. Otherwise the flow may be open through another daemon, and the reset
  // would break it.
  if (!flow->Copies.isComplete() || flow->Copies.wereDelayed())
    return;
  // Also leave the caller time to retransmit its first packet to a server.
  if (now - flow->LastSeen < Settings.LastCopyTimeout) {
    UnansweredOpening again = waiting;
    again.Due = flow->LastSeen + Settings.LastCopyTimeout;
    LastCopies.push_back(again);
    return;
  }
  refuse(waiting.Opening.Head, PacketReason::NoAnswer, out);
  flow->Stage = FlowStage::Closing;
}

TimePoint PacketRouter::nextWakeup() const {
  TimePoint next = Unanswered.empty() ? Never : Unanswered.front().Due;
  if (!LastCopies.empty())
    next = std::min(next, LastCopies.front().Due);
  if (!Speeds.Timers.empty())
    next = std::min(next, Speeds.Timers.top().Due);
  // Slots are freed by incoming packets, and each packet is followed by a tick,
  // so only the deadline needs a wake-up.
  if (!Late.empty() && Routes)
    next = std::min(next, Late.front().Deadline);
  next = std::min(next, nextHeldWakeup());
  if (Routes && anyServerAcceptsNewFlows())
    next = std::min(next, Reach.nextProbeAt());
  return std::min(next, Detector.nextProbeAt());
}

void PacketRouter::forward(ServerIndex to, uint32_t token, const uint8_t *bytes,
                           size_t n, PacketSink &out) const {
  const RoutedBackend &is = Servers.at(to).Backend;
  out.forward({is.At, is.Published->Tag, token}, bytes, n);
}

void PacketRouter::refuse(const PacketHeader &head, PacketReason why,
                          PacketSink &out) {
  if (MayReset)
    out.reset(head);
  PacketEvent event =
      makeEvent(MayReset ? PacketEventKind::Refused : PacketEventKind::Dropped,
                why, head.Flow, NoServerIndex);
  event.Priority = admissionPriority(head.Flow);
  out.report(event);
}

void PacketRouter::countRequest(TimePoint now, TrackedFlow &flow,
                                ServerIndex at) {
  if (flow.IsCounted && flow.Server == at)
    return;
  if (!flow.IsCounted)
    flow.CountedAt = now;
  uncountRequest(flow);
  flow.Server = at;
  flow.IsCounted = true;
  Servers.addInProgress(at);
}

void PacketRouter::uncountRequest(TrackedFlow &flow) {
  if (!flow.IsCounted)
    return;
  flow.IsCounted = false;
  Servers.removeInProgress(flow.Server);
}

PacketEvent PacketRouter::makeEvent(PacketEventKind kind, PacketReason why,
                                    const FlowKey &key,
                                    ServerIndex server) const {
  PacketEvent event;
  event.Kind = kind;
  event.Reason = why;
  event.Flow = key;
  event.Version = Routes ? Routes->Version : 0;
  if (server == NoServerIndex)
    return event;
  const ServerEntry &at = Servers.at(server);
  const BackendServer &what = at.Backend.Published->Server;
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

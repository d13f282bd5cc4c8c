#include <algorithm>
#include <utility>

#include "Balsamrack/Packets/PacketRouter.h"

// Detection of unreachable servers and reset of flows whose requests are lost:
// part of PacketRouter.

namespace balsamrack {

namespace {

/// Shorter connection attempts would fail when this process or the server
/// stalls briefly.
constexpr Duration MinAttemptTimeout{50'000};
/// Servers that take longer are probed again soon.
constexpr Duration MaxAttemptTimeout{200'000};

} // namespace

bool PacketRouter::isRequestLost(const TrackedFlow &flow,
                                 const PacketHeader &head) const {
  // A caller whose server is dead or unreachable is told at once, so that it
  // can open a new flow at another server instead of waiting until its timeout.
  // Only packets with data count as lost: a request that has arrived is
  // answered directly by the server. If the server is merely unreachable, only
  // idempotent requests are given up, since others may have run and must not be
  // repeated; they are still served if the network recovers in time.
  if (head.DataBytes == 0)
    return false;
  // Another server may have the flow.
  if (flow.Evidence == ServerEvidence::Likely)
    return false;
  if (Servers.at(flow.Server).Backend.Presence == ServerPresence::Replaced)
    return true;
  if (!Detector.isLost(flow.Server))
    return false;
  auto route = Routes->Routes.find(head.Flow.Service);
  return route != Routes->Routes.end() && route->second.Idempotent;
}

void PacketRouter::resetFlow(TrackedFlow &flow, const PacketHeader &head,
                             PacketSink &out) {
  uncountRequest(flow);
  flow.Stage = FlowStage::Closing;
  out.reset(head);
  PacketEvent event =
      makeEvent(PacketEventKind::GivenUp, PacketReason::Unreachable, head.Flow,
                flow.Server);
  event.Evidence = flow.Evidence;
  out.report(event);
}

void PacketRouter::resetLostRequests(PacketSink &out) {
  for (const RetransmittedRequest &it : Retransmitted) {
    TrackedFlow *flow = Flows.find(it.Head.Flow);
    if (flow && flow->Stage == FlowStage::Open &&
        flow->Requests.isAwaitingAnswer() && isRequestLost(*flow, it.Head))
      resetFlow(*flow, it.Head, out);
  }
}

void PacketRouter::reportRecovery(ServerIndex server, bool wasSilent,
                                  bool domainWasSilent, PacketSink &out) {
  if (wasSilent)
    out.report(
        makeEvent(PacketEventKind::ServerBack, PacketReason::None, {}, server));
  if (wasSilent || domainWasSilent)
    updateShares();
}

void PacketRouter::handleAttemptResult(TimePoint now, ServerIndex server,
                                       ConnectionResult how, PacketSink &out) {
  if (server >= Servers.all().size() || !Servers.at(server).InUse)
    return;
  bool silent = Detector.isSilent(server);
  if (how == ConnectionResult::Connected) {
    recordReached(server);
    bool wasSilent = Detector.reportConnected(now, server);
    reportRecovery(server, wasSilent, silent, out);
    return;
  }
  bool wasLost = Detector.isLost(server);
  bool hasFailed = how == ConnectionResult::Failed;
  bool awaited = Servers.at(server).InProgress > 0;
  if (Detector.reportAttemptFailed(now, server, hasFailed, awaited))
    reportSilentServer(server, {}, out);
  if (!wasLost && Detector.isLost(server))
    resetLostRequests(out);
}

void PacketRouter::reportSilentServer(ServerIndex server, const FlowKey &flow,
                                      PacketSink &out) {
  out.report(makeEvent(PacketEventKind::ServerSilent, PacketReason::NoAnswer,
                       flow, server));
  updateShares();
}

std::vector<ConnectionAttempt> PacketRouter::dueAttempts(TimePoint now) {
  // A probe needs only the handshake with the server, whereas the opening
  // timeout also covers the caller's answer.
  Duration timeout =
      std::clamp(2 * Timeout.value(), MinAttemptTimeout, MaxAttemptTimeout);
  std::vector<size_t> servers = Detector.takeDueProbes(now);
  if (!servers.empty())
    if (auto control = Detector.chooseControlProbe(now, servers.front()))
      servers.push_back(*control);
  for (ServerIndex server : serversToProbe(now))
    servers.push_back(server);
  std::vector<ConnectionAttempt> attempts;
  for (size_t server : servers) {
    auto index = static_cast<ServerIndex>(server);
    const RoutedBackend &is = Servers.at(index).Backend;
    // A different server answers at this address.
    if (is.Presence != ServerPresence::Replaced)
      attempts.push_back({index, is.At, timeout});
  }
  return attempts;
}

} // namespace balsamrack

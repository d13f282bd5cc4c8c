#include <algorithm>
#include <utility>

#include "Balsamrack/Packets/PacketRouter.h"

// The part of PacketRouter that finds out which servers can be reached, and
// gives up requests that can't be.

namespace balsamrack {

namespace {

/// An attempt to connect shorter than this would fail for a moment's stall of
/// this process or the server.
constexpr Duration MinAttemptTimeout{50'000};
/// Servers that need longer are asked again soon.
constexpr Duration MaxAttemptTimeout{200'000};

} // namespace

bool PacketRouter::isRequestLost(const TrackedFlow &flow,
                                 const PacketHeader &head) const {
  // Guards against callers that wait until their time is over for a server that
  // is dead or cut off: told at once, they open anew elsewhere and are served.
  // Only a packet that brings data is lost with its server; a request that has
  // arrived there is answered directly. And only where callers may repeat what
  // may have run: else a cut that heals in time still serves them.
  if (head.DataBytes == 0)
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

void PacketRouter::reportRecovery(ServerIndex server, bool was, bool domainWas,
                                  PacketSink &out) {
  if (was)
    out.report(
        makeEvent(PacketEventKind::ServerBack, PacketReason::None, {}, server));
  if (was || domainWas)
    updateShares();
}

void PacketRouter::handleAttemptResult(TimePoint now, ServerIndex server,
                                       ConnectionResult how, PacketSink &out) {
  if (server >= Servers.all().size() || !Servers.at(server).InUse)
    return;
  bool silent = Detector.isSilent(server);
  if (how == ConnectionResult::Connected) {
    recordReached(server);
    bool was = Detector.reportConnected(now, server);
    reportRecovery(server, was, silent, out);
    return;
  }
  bool wasLost = Detector.isLost(server);
  bool sure = how == ConnectionResult::Failed;
  bool awaited = Servers.at(server).InProgress > 0;
  if (Detector.reportAttemptFailed(now, server, sure, awaited))
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
  // A handshake with the server alone; openings take one with the caller too.
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
    // Who answers there is another server.
    if (is.Presence != ServerPresence::Replaced)
      attempts.push_back({index, is.At, timeout});
  }
  return attempts;
}

} // namespace balsamrack

#include <algorithm>
#include <utility>

#include "Balsamrack/Packets/PacketRouter.h"

// The part of PacketRouter that finds out which servers can be reached, and
// gives up requests that can't be.

namespace balsamrack {

namespace {

/// An attempt to connect shorter than this would fail for a moment's stall of
/// this process or the server.
constexpr Duration LeastAttempt{50'000};
/// Servers that need longer are asked again soon.
constexpr Duration MostAttempt{200'000};

} // namespace

bool PacketRouter::isLost(const RememberedFlow &flow,
                          const PacketHead &head) const {
  // Guards against callers that wait until their time is over for a server that
  // is dead or cut off: told at once, they open anew elsewhere and are served.
  // Only a packet that brings data is lost with its server; a request that has
  // arrived there is answered directly. And only where callers may repeat what
  // may have run: else a cut that heals in time still serves them.
  if (head.DataBytes == 0)
    return false;
  if (Servers.at(flow.Home).Is.Presence == ServerPresence::Replaced)
    return true;
  if (!Detector.isLost(flow.Home))
    return false;
  auto route = Routes->Routes.find(head.Flow.Service);
  return route != Routes->Routes.end() && route->second.Idempotent;
}

void PacketRouter::giveUp(RememberedFlow &flow, const PacketHead &head,
                          PacketSink &out) {
  release(flow);
  flow.Stage = FlowStage::Ending;
  out.reset(head);
  PacketEvent event = eventOf(PacketEventKind::GivenUp,
                              PacketReason::Unreachable, head.Flow, flow.Home);
  out.report(event);
}

void PacketRouter::giveUpStuck(PacketSink &out) {
  for (const StuckRequest &it : Stuck) {
    RememberedFlow *flow = Flows.find(it.Head.Flow);
    if (flow && flow->Stage == FlowStage::Open && flow->Progress.asking() &&
        isLost(*flow, it.Head))
      giveUp(*flow, it.Head, out);
  }
}

void PacketRouter::noteBack(ServerIndex server, bool was, bool domainWas,
                            PacketSink &out) {
  if (was)
    out.report(
        eventOf(PacketEventKind::ServerBack, PacketReason::None, {}, server));
  if (was || domainWas)
    reshare();
}

void PacketRouter::attemptEnded(TimePoint now, ServerIndex server,
                                AttemptEnd how, PacketSink &out) {
  if (server >= Servers.all().size() || !Servers.at(server).Used)
    return;
  bool silent = Detector.isSilent(server);
  if (how == AttemptEnd::Connected) {
    noteReached(server);
    bool was = Detector.reportConnected(now, server);
    noteBack(server, was, silent, out);
    return;
  }
  bool wasLost = Detector.isLost(server);
  bool sure = how == AttemptEnd::Failed;
  bool awaited = Servers.at(server).InProgress > 0;
  if (Detector.reportAttemptFailed(now, server, sure, awaited))
    noteSilent(server, {}, out);
  if (!wasLost && Detector.isLost(server))
    giveUpStuck(out);
}

void PacketRouter::noteSilent(ServerIndex server, const FlowKey &flow,
                              PacketSink &out) {
  out.report(eventOf(PacketEventKind::ServerSilent, PacketReason::NoAnswer,
                     flow, server));
  reshare();
}

std::vector<ConnectionAttempt> PacketRouter::dueAttempts(TimePoint now) {
  // A handshake with the server alone; openings take one with the caller too.
  Duration timeout = std::clamp(2 * Timeout.value(), LeastAttempt, MostAttempt);
  std::vector<size_t> servers = Detector.takeDueProbes(now);
  if (!servers.empty())
    if (auto control = Detector.chooseControlProbe(now, servers.front()))
      servers.push_back(*control);
  for (ServerIndex server : serversToProbe(now))
    servers.push_back(server);
  std::vector<ConnectionAttempt> attempts;
  for (size_t server : servers) {
    auto index = static_cast<ServerIndex>(server);
    const RoutedBackend &is = Servers.at(index).Is;
    // Who answers there is another server.
    if (is.Presence != ServerPresence::Replaced)
      attempts.push_back({index, is.At, timeout});
  }
  return attempts;
}

} // namespace balsamrack

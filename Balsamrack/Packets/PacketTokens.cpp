#include <algorithm>
#include <cassert>

#include "Balsamrack/Packets/OpeningTokens.h"
#include "Balsamrack/Packets/PacketRouter.h"

// Tokens, and flows whose packets also reach other daemons: part of
// PacketRouter.

namespace balsamrack {

namespace {

/// More than the time between two calls while nothing happens.
constexpr Duration MaxIdleInterval{300'000};

} // namespace

bool PacketRouter::mayHaveWaited() const {
  // A packet may have waited in the socket since the call before.
  return Delayed || (CalledBefore != TimePoint{} &&
                     CalledAt - CalledBefore > MaxIdleInterval);
}

bool PacketRouter::isLateCopy(TimePoint now, const TrackedFlow &flow,
                              const PacketHeader &head) const {
  if (flow.Stage == FlowStage::Opening || !flow.Copies.empty() ||
      now - flow.OpenedAt >= Settings.OpeningRetention)
    return false;
  PacketHeader first = head;
  ++first.Sequence;
  return flow.matches(first);
}

uint32_t PacketRouter::openingTokenFor(const FlowKey &flow,
                                       ServerIndex server) const {
  const RoutedBackend &is = Servers.at(server).Backend;
  uint64_t hash = combineHash(is.Published->Tag, is.Token);
  uint32_t salt = Settings.TokenSalt;
  uint32_t token = openingToken(Settings.Self, salt, flow, hash);
  // Must not be taken for the plain token of a server.
  while (Servers.byToken(token))
    token = openingToken(Settings.Self, ++salt, flow, hash);
  return token;
}

ServerIndex PacketRouter::serverOfOpening(const TrackedFlow &flow,
                                          const PacketHeader &head) const {
  if (!(daemonOfToken(head.Token) == Settings.Self))
    return NoServerIndex;
  for (uint8_t i = 0; i < flow.Tries; ++i)
    if (openingTokenFor(head.Flow, flow.Tried[i]) == head.Token)
      return flow.Tried[i];
  return NoServerIndex;
}

PacketReason PacketRouter::findAllowed(uint32_t token, const RouteEntry &route,
                                       ServerIndex &found) const {
  const std::vector<ServerIndex> *named = Servers.byToken(token);
  if (!named)
    return PacketReason::UnknownToken;
  const std::vector<ServiceId> &allowed = route.EverAllowed;
  for (ServerIndex index : *named) {
    const ServiceId &service =
        Servers.at(index).Backend.Published->Server.Service;
    if (std::find(allowed.begin(), allowed.end(), service) == allowed.end())
      continue;
    found = index;
    return PacketReason::None;
  }
  return PacketReason::ForeignToken;
}

PacketRouter::TokenMatch
PacketRouter::resolveToken(const PacketHeader &head) const {
  TokenMatch match;
  auto route = Routes->Routes.find(head.Flow.Service);
  if (head.Token == 0)
    match.Reason = PacketReason::NoToken;
  else if (route == Routes->Routes.end())
    match.Reason = PacketReason::NoRoute;
  else
    match.Reason = findAllowed(head.Token, route->second, match.Server);
  if (match.Reason == PacketReason::None)
    match.Evidence = ServerEvidence::Token;
  return match;
}

bool PacketRouter::relay(const PacketHeader &head, const PacketPath &path,
                         const uint8_t *bytes, size_t n, PacketSink &out) {
  DaemonTag to = daemonOfToken(head.Token);
  if (path.IsRelayed || to == Settings.Self)
    return false;
  if (HasAllPeers && !std::binary_search(Peers.begin(), Peers.end(), to))
    return false;
  out.relay(to, path.IsOriginal, bytes, n);
  out.report(makeEvent(PacketEventKind::Relayed, PacketReason::None, head.Flow,
                       NoServerIndex));
  return true;
}

void PacketRouter::relayOrDrop(TimePoint now, const PacketHeader &head,
                               const PacketPath &path, PacketReason why,
                               const uint8_t *bytes, size_t n,
                               PacketSink &out) {
  // Never reset: the flow may be open at a live server that cannot be
  // identified here yet, and the caller retransmits.
  if (why != PacketReason::UnknownToken || !relay(head, path, bytes, n, out))
    out.report(
        makeEvent(PacketEventKind::Dropped, why, head.Flow, NoServerIndex));
  if (why != PacketReason::UnknownToken)
    return;
  // A delayed copy of the opening must not open the flow again.
  TrackedFlow *flow = Flows.find(head.Flow);
  if (!flow)
    flow = Flows.add(now, head.Flow);
  if (!flow)
    return;
  flow->Stage = FlowStage::Relayed;
  flow->LastSeen = now;
  flow->LastSequence = head.Sequence;
}

TrackedFlow *PacketRouter::adopt(TimePoint now, const PacketHeader &head,
                                 const TokenMatch &match, TrackedFlow &spare,
                                 PacketSink &out) {
  assert(match.Evidence == ServerEvidence::Token);
  Flows.erase(head.Flow);
  TrackedFlow *flow = Flows.add(now, head.Flow);
  if (!flow)
    flow = &spare;
  flow->Stage = FlowStage::Open;
  flow->Server = match.Server;
  flow->Evidence = match.Evidence;
  flow->OpenedAt = now;
  flow->LastSequence = head.Sequence;
  PacketEvent event = makeEvent(PacketEventKind::Adopted, PacketReason::None,
                                head.Flow, match.Server);
  event.Evidence = flow->Evidence;
  out.report(event);
  return flow;
}

void PacketRouter::followToken(TimePoint now, TrackedFlow &flow,
                               const PacketHeader &head, PacketSink &out) {
  if (head.Token == Servers.at(flow.Server).Backend.Token) {
    flow.Evidence = ServerEvidence::Token;
    return;
  }
  auto route = Routes->Routes.find(head.Flow.Service);
  ServerIndex named = NoServerIndex;
  if (route == Routes->Routes.end() ||
      findAllowed(head.Token, route->second, named) != PacketReason::None ||
      named == flow.Server)
    return;
  PacketEvent event = makeEvent(PacketEventKind::ServerDiffers,
                                PacketReason::None, head.Flow, flow.Server);
  event.TokenServer = &Servers.at(named).Backend.Published->Server.Id;
  event.Evidence = flow.Evidence;
  out.report(event);
  if (flow.IsCounted)
    countRequest(now, flow, named);
  flow.Server = named;
  flow.Evidence = ServerEvidence::Token;
}

PacketRouter::TokenMatch
PacketRouter::answeredServer(TimePoint now, const TrackedFlow &flow,
                             const PacketHeader &head,
                             const PacketPath &path) const {
  ServerIndex named = serverOfOpening(flow, head);
  if (named == NoServerIndex) {
    TokenMatch match = resolveToken(head);
    if (match.Evidence == ServerEvidence::Token)
      return match;
  }
  if (flow.Tries == 1 && !flow.IsRepeated && flow.Copies.areAllHere(now))
    return {flow.Server, PacketReason::None, ServerEvidence::Handshake};
  bool isFirst = head.Sequence == flow.FirstSequence + 1;
  if (!isFirst || named == NoServerIndex)
    return {NoServerIndex, PacketReason::Undecided, ServerEvidence::None};
  // Unless it is a retransmission, the first packet has the token of the server
  // that the caller has answered.
  if (isOriginal(now, flow, path))
    return {named, PacketReason::None, ServerEvidence::Handshake};
  // The first packet was lost before it reached a server, so a wrong server
  // resets no open flow. The answers of further tries replace the token of the
  // first server.
  if (flow.Copies.isUnopenedElsewhere(now)) {
    bool isTriedOnArrival = flow.Copies.count() > 1 || flow.IsRepeated ||
                            Detector.isSilent(flow.Tried[0]);
    return {isTriedOnArrival ? named : flow.Tried[0], PacketReason::None,
            ServerEvidence::Likely};
  }
  // Callers answer a server at once. Retransmissions on a flow that a missing
  // copy has opened come at any time.
  if (now - flow.LastSent < Timeout.value())
    return {named, PacketReason::None, ServerEvidence::Likely};
  return {NoServerIndex, PacketReason::Undecided, ServerEvidence::None};
}

bool PacketRouter::isOriginal(TimePoint now, const TrackedFlow &flow,
                              const PacketPath &path) {
  return path.IsOriginal ||
         now - flow.UnansweredAt < OpeningCopies::MinRetransmissionTime;
}

} // namespace balsamrack

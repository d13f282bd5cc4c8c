#include <algorithm>

#include "Balsamrack/Packets/OpeningTokens.h"
#include "Balsamrack/Packets/PacketRouter.h"

// Tokens, and flows whose packets also reach other daemons: part of
// PacketRouter.

namespace balsamrack {

namespace {

/// More than the time between two calls while nothing happens.
constexpr Duration MaxIdleInterval{300'000};
/// Callers retransmit a packet after 200 ms at the earliest, unless the server
/// has acknowledged others.
constexpr Duration MinRetransmissionTime{180'000};

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

uint32_t PacketRouter::openingToken(const TrackedFlow &flow,
                                    const PacketHeader &head, ServerIndex to,
                                    OpeningCause cause) const {
  uint32_t server = Servers.at(to).Backend.Token;
  if (cause == OpeningCause::Timeout)
    return furtherTryToken(server, head.Flow, Settings.TokenSalt + flow.Tries);
  return firstPacketToken(server, head.Flow, head.Sequence);
}

std::optional<uint8_t>
PacketRouter::attemptOfToken(const TrackedFlow &flow,
                             const PacketHeader &head) const {
  for (uint8_t i = 1; i < flow.Tries; ++i)
    if (furtherTryToken(Servers.at(flow.Tried[i]).Backend.Token, head.Flow,
                        Settings.TokenSalt + i) == head.Token)
      return i;
  return std::nullopt;
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
  if (match.Reason != PacketReason::UnknownToken)
    return match;
  // The token may have been written on the opening.
  uint32_t token = serverOfFirstPacket(head.Token, head.Flow, head.Sequence);
  if (findAllowed(token, route->second, match.Server) == PacketReason::None)
    match = {match.Server, PacketReason::None, ServerEvidence::FirstPacket};
  return match;
}

TrackedFlow *PacketRouter::adopt(TimePoint now, const PacketHeader &head,
                                 TrackedFlow &spare, PacketSink &out) {
  TokenMatch match = resolveToken(head);
  if (match.Server == NoServerIndex) {
    // Drop the packet instead of sending a reset: the flow may be open at a
    // live server that cannot be identified here yet, and the caller
    // retransmits.
    out.report(makeEvent(PacketEventKind::Dropped, match.Reason, head.Flow,
                         NoServerIndex));
    return nullptr;
  }
  TrackedFlow *flow = Flows.add(now, head.Flow);
  if (!flow)
    flow = &spare;
  flow->Stage = FlowStage::Open;
  flow->Server = match.Server;
  flow->Evidence = match.Evidence;
  flow->OpenedAt = now;
  flow->LastSequence = head.Sequence;
  // Recognizes a late copy of the opening.
  if (match.Evidence == ServerEvidence::FirstPacket)
    flow->FirstSequence = head.Sequence - 1;
  PacketReason why = match.Evidence == ServerEvidence::FirstPacket
                         ? PacketReason::FirstPacket
                         : PacketReason::None;
  PacketEvent event =
      makeEvent(PacketEventKind::Adopted, why, head.Flow, match.Server);
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
                             const PacketHeader &head) const {
  TokenMatch match = resolveToken(head);
  if (match.Evidence == ServerEvidence::Token)
    return match;
  if (flow.Tries == 1 && !flow.IsRepeated && flow.Copies.areAllHere(now))
    return {flow.Server, PacketReason::None, ServerEvidence::Handshake};
  bool isFirst = head.Sequence == flow.FirstSequence + 1;
  TokenMatch undecided{NoServerIndex, PacketReason::Undecided,
                       ServerEvidence::None};
  bool isRecent = now - flow.UnansweredAt < MinRetransmissionTime;
  // Unless it is a retransmission, the first packet has the token of the server
  // that the caller has answered.
  if (isFirst && isRecent && match.Server != NoServerIndex)
    return {match.Server, PacketReason::None, ServerEvidence::Handshake};
  if (isFirst && match.Server != NoServerIndex)
    return flow.hasTried(match.Server) ? match : undecided;
  auto attempt = attemptOfToken(flow, head);
  if (!attempt)
    return undecided;
  if (isFirst && isRecent)
    return {flow.Tried[*attempt], PacketReason::None,
            ServerEvidence::Handshake};
  // Only this daemon recognizes the tokens of further tries, so if the flow is
  // open it was opened through another daemon, at the server of the first try.
  bool isOriginalOnly = flow.Copies.count() == 1 &&
                        flow.Copies.highest() == 0 &&
                        !flow.Copies.wereDelayed();
  if (!isRecent && isOriginalOnly)
    return {flow.Tried[0], PacketReason::None, ServerEvidence::FirstPacket};
  return undecided;
}

} // namespace balsamrack

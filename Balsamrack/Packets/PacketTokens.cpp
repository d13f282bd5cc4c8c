#include <algorithm>

#include "Balsamrack/Packets/OpeningTokens.h"
#include "Balsamrack/Packets/PacketRouter.h"

// Tokens, and flows whose packets also reach other daemons: part of
// PacketRouter.

namespace balsamrack {

namespace {

/// More than the time between two calls while nothing happens.
constexpr Duration MaxIdleInterval{300'000};
/// Time from an opening to the end of the caller's first packets.
constexpr Duration FirstFlightTime{100'000};

} // namespace

bool PacketRouter::mayBeOpenElsewhere(TimePoint now,
                                      const PacketHeader &head) const {
  // The first copy may have waited in the socket, at most since the call
  // before, until the caller sent the next one.
  bool hasWaited =
      CalledBefore != TimePoint{} && now - CalledBefore > MaxIdleInterval;
  return Delayed || hasWaited || !MayReset || head.CopyNumber > 0;
}

bool PacketRouter::isLateCopy(TimePoint now, const TrackedFlow &flow,
                              const PacketHeader &head) const {
  bool isAdopted = flow.Stage == FlowStage::Open && flow.CopiesSeen == 0;
  return isAdopted && head.CopyNumber > 0 &&
         now - flow.OpenedAt < Settings.OpeningRetention;
}

uint32_t PacketRouter::openingToken(const TrackedFlow &flow,
                                    const PacketHeader &head, ServerIndex to,
                                    OpeningCause cause) const {
  // If the flow is open through another daemon, it is at the earlier server,
  // unless that is dead or another daemon has sent copies to servers.
  ServerIndex earlier = flow.Tried[flow.LastTriedOnArrival];
  if (cause == OpeningCause::Timeout && !flow.MayBeOpenElsewhere &&
      !Detector.isUnreachable(earlier))
    return referringToken(Servers.at(earlier).Backend.Token, head.Flow,
                          flow.Tries);
  return firstPacketToken(Servers.at(to).Backend.Token, head.Flow,
                          head.Sequence);
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
  if (match.Reason != PacketReason::UnknownToken)
    return match;
  // The token may have been written on the opening.
  uint32_t token = serverOfFirstPacket(head.Token, head.Flow, head.Sequence);
  if (findAllowed(token, route->second, match.Server) == PacketReason::None) {
    match.Reason = PacketReason::FirstPacket;
    return match;
  }
  for (uint8_t i = 1; i < TrackedFlow::MaxTries; ++i) {
    token = referringToken(head.Token, head.Flow, i);
    if (findAllowed(token, route->second, match.Server) != PacketReason::None)
      continue;
    match.Reason = PacketReason::SecondAnswer;
    match.Attempt = i;
    return match;
  }
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
  flow->OpenedAt = now;
  // Recognizes a late copy of the opening.
  if (match.Reason == PacketReason::FirstPacket)
    flow->FirstSequence = head.Sequence - 1;
  if (match.Reason == PacketReason::FirstPacket)
    flow->Evidence = ServerEvidence::FirstPacket;
  else if (match.Reason == PacketReason::SecondAnswer)
    flow->Evidence = ServerEvidence::LateAnswer;
  else
    flow->Evidence = ServerEvidence::Token;
  PacketEvent event = makeEvent(PacketEventKind::Adopted, match.Reason,
                                head.Flow, match.Server);
  event.Evidence = flow->Evidence;
  out.report(event);
  return flow;
}

void PacketRouter::compareServers(TrackedFlow &flow, const PacketHeader &head,
                                  PacketSink &out) {
  if (head.Token == Servers.at(flow.Server).Backend.Token ||
      flow.IsDifferenceReported)
    return;
  auto route = Routes->Routes.find(head.Flow.Service);
  ServerIndex named = NoServerIndex;
  if (route == Routes->Routes.end() ||
      findAllowed(head.Token, route->second, named) != PacketReason::None ||
      named == flow.Server)
    return;
  flow.IsDifferenceReported = true;
  PacketEvent event = makeEvent(PacketEventKind::ServerDiffers,
                                PacketReason::None, head.Flow, flow.Server);
  event.TokenServer = &Servers.at(named).Backend.Published->Server.Id;
  event.Evidence = flow.Evidence;
  out.report(event);
}

ServerIndex PacketRouter::answeredServer(TimePoint now, const TrackedFlow &flow,
                                         const PacketHeader &head) const {
  // Packets may overtake the first one, while the fabric does not move a flow
  // back and forth in so short a time.
  uint32_t first = flow.FirstSequence + 1;
  bool isFirst =
      head.Sequence == first || now - flow.LastSent < FirstFlightTime;
  PacketHeader answer = head;
  if (isFirst)
    answer.Sequence = first;
  TokenMatch match = resolveToken(answer);
  if (match.Server == NoServerIndex)
    return isFirst ? flow.Server : NoServerIndex;
  // The caller answers the further server, unless it has answered the earlier
  // one before.
  bool isAttempt = match.Reason == PacketReason::SecondAnswer && isFirst &&
                   match.Attempt < flow.Tries && flow.hasTried(match.Server);
  return isAttempt ? flow.Tried[match.Attempt] : match.Server;
}

} // namespace balsamrack

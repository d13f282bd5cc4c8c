#ifndef BALSAMRACK_PACKETS_PACKETEVENTS_H
#define BALSAMRACK_PACKETS_PACKETEVENTS_H

#include <cstdint>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// What the router did that is worth telling.
enum class PacketEventKind {
  Placed,       ///< A new flow was sent to a server.
  PlacedAgain,  ///< The server left the opening unanswered; another one got it.
  Confirmed,    ///< The caller answered its server: the flow is open.
  Adopted,      ///< An open flow came from another daemon, with its token.
  Ended,        ///< The caller has ended the flow.
  Abandoned,    ///< The caller has reset the flow.
  Forgotten,    ///< An open flow without packets: its caller or server is gone.
  Refused,      ///< An opening was answered with a reset.
  Dropped,      ///< A packet was not passed on.
  GivenUp,      ///< An open flow was reset: what its caller sends is lost.
  ServerSilent, ///< A server leaves openings unanswered.
  ServerBack,   ///< A silent server answers again.
};
/// Number of kinds.
constexpr size_t PacketEventKinds = 12;

/// Why, where the kind does not say it all.
enum class PacketReason {
  None,         ///< Nothing to add.
  NoRoute,      ///< No route has this address.
  NoServer,     ///< The service has no server.
  NoAnswer,     ///< Every server that was tried left the opening unanswered.
  Unreachable,  ///< Every server of the service, or the flow's own one, is out
                ///< of reach.
  UnknownToken, ///< The token names no server that is known here.
  ForeignToken, ///< The token names a server that the route never allowed.
  NoToken,      ///< A packet of an unknown flow without a token.
  NotReady,     ///< Nothing published is known yet.
  Stale,        ///< Right after a pause, before anything was heard.
  Malformed,    ///< Not a packet.
  Copy,         ///< A copy of the opening that was sent on already.
};
/// Number of reasons.
constexpr size_t PacketReasons = 12;

/// Names in lower case with hyphens. Thread-safe.
const char *packetEventName(PacketEventKind kind);
/// As above.
const char *packetReasonName(PacketReason reason);

/// One thing that the router did, with what decided it.
struct PacketEvent {
  PacketEventKind Kind = PacketEventKind::Placed; ///< What.
  PacketReason Reason = PacketReason::None;       ///< Why.
  FlowKey Flow;                       ///< Whose packet; zero for none.
  const ServerId *Server = nullptr;   ///< Concerned server; valid during the
                                      ///< call only; null for none.
  const ServiceId *Service = nullptr; ///< As above.
  uint32_t Tries = 0;                 ///< Servers that got the opening so far.
  uint32_t InProgress = 0; ///< Flows of ours at the server, this one included.
  double Share = 0;        ///< Of the server's slots, ours.
  double OthersLoad = 0;   ///< How full others' shares were reckoned.
  uint64_t Version = 0;    ///< Of the configuration that was used.
  Duration Took{0}; ///< Confirmed, Ended: since the first copy. Forgotten: from
                    ///< that to the last packet.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETEVENTS_H

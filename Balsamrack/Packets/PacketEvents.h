#ifndef BALSAMRACK_PACKETS_PACKETEVENTS_H
#define BALSAMRACK_PACKETS_PACKETEVENTS_H

#include <cstdint>
#include <optional>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// Kind of an event reported by the router.
enum class PacketEventKind {
  Placed,      ///< A new flow was sent to a server.
  PlacedAgain, ///< The server left the opening unanswered; it was sent to
               ///< another one.
  Confirmed,   ///< The caller answered a server; the flow is open.
  Adopted,     ///< An open flow of another daemon was recognized by its token.
  Ended,       ///< The caller has closed the flow.
  Abandoned,   ///< The caller has reset the flow.
  Forgotten, ///< An open flow without packets was removed; its caller or server
             ///< is gone.
  Refused,   ///< An opening was answered with a reset.
  Dropped,   ///< A packet was not forwarded.
  GivenUp,   ///< An open flow was reset: its server is dead or unreachable.
  ServerSilent,   ///< A server stopped answering openings.
  ServerBack,     ///< A silent server answers again.
  Waited,         ///< An opening was placed after it had waited for room.
  ServerEjected,  ///< A slow server gets no new flows.
  ServerReturned, ///< An ejected server gets new flows again.
  ServerDiffers,  ///< The plain token of a packet names another server than
                  ///< the one that was tracked for its flow, and replaces it.
  Relayed,        ///< A packet was sent to the daemon that has forwarded the
                  ///< opening of its flow.
};
/// Number of kinds.
constexpr size_t PacketEventKinds = 17;

/// Reason for an event.
enum class PacketReason {
  None,         ///< The kind is sufficient.
  NoRoute,      ///< No route has this address.
  NoServer,     ///< The service has no eligible server.
  NoAnswer,     ///< All servers that were tried left the opening unanswered.
  Unreachable,  ///< All servers of the service, or the server of the flow, are
                ///< unreachable.
  UnknownToken, ///< The token belongs to no server that is known here and to
                ///< no opening of a known daemon.
  ForeignToken, ///< The token belongs to a server that the route never allowed.
  NoToken,      ///< A packet without a token on an unknown flow.
  NotReady,     ///< No published state has been received yet.
  Stale,        ///< The process was paused and has not received updates since.
  Malformed,    ///< The packet could not be decoded.
  Copy,         ///< A copy of an opening that was already forwarded.
  NoRoom,       ///< The servers have more work than they can do in time.
  SlowerThanPeers, ///< Its requests take three times as long as its peers'.
  HalfOfSlots,     ///< It gets new flows for half of its slots at first.
  TableFull,       ///< The flow table is full of handshakes.
  Undecided,       ///< Several servers may have the flow, and its token does
                   ///< not tell which.
};
/// Number of reasons.
constexpr size_t PacketReasons = 17;

/// How the server of a flow was found.
enum class ServerEvidence : uint8_t {
  None,      ///< Not known: the opening was sent to it.
  Handshake, ///< The caller answered it after an opening that was sent here.
  Likely,    ///< The caller answered one of several servers, and no packet has
             ///< reached any of them since.
  Token,     ///< Its plain token, which it has returned on the open flow.
};
/// Number of elements of ServerEvidence.
constexpr size_t ServerEvidences = 4;

/// Name of \p evidence in lower case with hyphens. Thread-safe.
const char *serverEvidenceName(ServerEvidence evidence);
/// Name of a kind in lower case with hyphens. Thread-safe.
const char *packetEventName(PacketEventKind kind);
/// Name of a reason in lower case with hyphens. Thread-safe.
const char *packetReasonName(PacketReason reason);

/// Event reported by the router, with the inputs of its decision.
struct PacketEvent {
  PacketEventKind Kind = PacketEventKind::Placed; ///< Kind of event.
  PacketReason Reason = PacketReason::None;       ///< Reason for it.
  FlowKey Flow; ///< Flow concerned; zero for none.
  const ServerId *Server =
      nullptr; ///< Server concerned; null for none. Valid only during the call.
  const ServiceId *Service = nullptr; ///< Service concerned; as Server.
  const ServerId *TokenServer =
      nullptr; ///< ServerDiffers: server that the token names; as Server.
  ServerEvidence Evidence =
      ServerEvidence::None; ///< How Server was found, for open flows.
  uint32_t Tries = 0;       ///< Servers that the opening was sent to so far.
  uint32_t Copy = 0; ///< Placed, PlacedAgain, Confirmed: highest copy number of
                     ///< the opening that was received here.
  uint32_t InProgress = 0; ///< Requests of this daemon in progress at the
                           ///< server, including this one. NoRoom: at all
                           ///< usable servers of the service.
  double Share = 0;        ///< Slots of the server (NoRoom: of the service)
                           ///< assigned to this daemon.
  double OthersLoad = 0;   ///< Assumed load of other daemons' shares.
  uint64_t Version = 0;    ///< Version of the configuration that was used.
  Duration Took{0}; ///< Confirmed, Ended, Abandoned: time since the first copy.
                    ///< Forgotten: time from the first copy to the last packet.
                    ///< Waited: time that the opening waited here.
                    ///< ServerReturned: time since the ejection.
  /// Refused, Waited, with LoadSettings::Admission: priority of the route.
  std::optional<uint32_t> Priority;
  double Limit = 0;         ///< NoRoom: limit of InProgress.
  Duration ExpectedWait{0}; ///< NoRoom: expected time until there is room.
  Duration MaxWait{0};      ///< NoRoom: longest wait that would be of use.
  double SlowRatio = 0; ///< ServerEjected: time of its slow requests over the
                        ///< peers' typical time.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETEVENTS_H

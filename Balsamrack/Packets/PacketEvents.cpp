#include "Balsamrack/Packets/PacketEvents.h"

namespace balsamrack {

const char *packetEventName(PacketEventKind kind) {
  static const char *const names[PacketEventKinds] = {
      "placed",  "placed-again",   "confirmed",       "adopted",
      "ended",   "abandoned",      "forgotten",       "refused",
      "dropped", "given-up",       "server-silent",   "server-back",
      "waited",  "server-ejected", "server-returned", "server-differs",
      "relayed"};
  return names[static_cast<size_t>(kind)];
}

const char *serverEvidenceName(ServerEvidence evidence) {
  static const char *const names[ServerEvidences] = {"none", "handshake",
                                                     "likely", "token"};
  return names[static_cast<size_t>(evidence)];
}

const char *packetReasonName(PacketReason reason) {
  static const char *const names[PacketReasons] = {
      "none",          "no-route",          "no-server",
      "no-answer",     "unreachable",       "unknown-token",
      "foreign-token", "no-token",          "not-ready",
      "stale",         "malformed",         "copy",
      "no-room",       "slower-than-peers", "half-of-slots",
      "table-full",    "undecided"};
  return names[static_cast<size_t>(reason)];
}

} // namespace balsamrack

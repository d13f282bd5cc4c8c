#ifndef BALSAMRACK_PACKETS_OPENINGTOKENS_H
#define BALSAMRACK_PACKETS_OPENINGTOKENS_H

#include <cstdint>

#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

// Tokens that are written on openings.
//
// A server returns the token of an opening with its answer, and a caller writes
// the last token that it received on its packets, even if it ignored the answer
// that brought it. So the late answer of a second server replaces the token of
// the server that has the flow. A daemon that does not track the flow would
// then forward it to a server that never had it, which resets it.
//
// The token of a server is therefore written only on packets of open flows.
// An opening carries one of the tokens below. Each is the token of a server
// combined with a hash, so that every daemon finds the server again; a token
// that is combined with another hash belongs to no server.

/// Token for an opening that is forwarded to the server with \p serverToken
/// when it arrives from its caller. It identifies the server on the first
/// packet after the opening only: on a later one, it may come from a late
/// answer. \p sequence is that of the opening. Pure, thread-safe.
uint32_t firstPacketToken(uint32_t serverToken, const FlowKey &flow,
                          uint32_t sequence);

/// Returns the server's token if \p token is a firstPacketToken() and \p
/// sequence is that of the first packet after the opening; otherwise a token
/// that belongs to no server, except by chance. Pure, thread-safe.
uint32_t serverOfFirstPacket(uint32_t token, const FlowKey &flow,
                             uint32_t sequence);

/// Token for an opening that is forwarded to a further server because the one
/// with \p serverToken has left it unanswered for some time. It refers to the
/// earlier server: either the flow is open there through another daemon, or the
/// caller answers the further server, which the sending daemon recognizes by \p
/// attempt, the number of servers tried before. Self-inverse with respect to \p
/// serverToken. Pure, thread-safe.
uint32_t referringToken(uint32_t serverToken, const FlowKey &flow,
                        uint8_t attempt);

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGTOKENS_H

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
// The plain token of a server is therefore written only on packets of open
// flows: a caller that returns it has received it from the server that has the
// flow. An opening carries one of the tokens below, the token of a server
// combined with a hash; a token that is combined with another hash belongs to
// no server.

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

/// Token for an opening that is forwarded to the server with \p serverToken
/// because those before have left it unanswered for some time. Only the daemon
/// that has sent it finds the server again: either the caller answers that
/// server, or an earlier one through another daemon, and the caller's packets
/// are the same in both cases. \p attempt is the number of servers tried
/// before, plus a number of its own for each daemon. Pure, thread-safe.
uint32_t furtherTryToken(uint32_t serverToken, const FlowKey &flow,
                         uint32_t attempt);

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGTOKENS_H

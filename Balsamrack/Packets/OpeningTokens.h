#ifndef BALSAMRACK_PACKETS_OPENINGTOKENS_H
#define BALSAMRACK_PACKETS_OPENINGTOKENS_H

#include <cstdint>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

// Tokens that are written on openings.
//
// A server returns the token of an opening with its answer, and a caller writes
// the last token that it received on its packets, even if it ignored the answer
// that brought it. So the late answer of a second server replaces the token of
// the server that has the flow, at any time and on any packet.
//
// The plain token of a server is therefore written only on packets of open
// flows: a caller that returns it has received it from the server that has the
// flow. The token of an opening identifies the daemon that has written it. Only
// that daemon knows which servers it has offered the opening to and which one
// the caller has answered; all others relay the packet to it.

/// Identifies a daemon in the tokens of its openings. Several daemons of a
/// large fleet may share one. Immutable.
struct DaemonTag {
  uint32_t Value = 0; ///< From 1 to 4095; zero for none.

  /// The tag of the daemon on \p vm, the same in every run. Thread-safe.
  static DaemonTag of(const VmId &vm);

  friend bool operator==(DaemonTag a, DaemonTag b) {
    return a.Value == b.Value;
  }
  friend bool operator<(DaemonTag a, DaemonTag b) { return a.Value < b.Value; }
};

/// Token that the daemon \p by writes on an opening of \p flow that it forwards
/// to the server with the hash \p server. \p salt differs between the runs of a
/// daemon. Pure, thread-safe.
uint32_t openingToken(DaemonTag by, uint32_t salt, const FlowKey &flow,
                      uint64_t server);

/// The daemon that has written \p token, if that is an openingToken(). Pure,
/// thread-safe.
DaemonTag daemonOfToken(uint32_t token);

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGTOKENS_H

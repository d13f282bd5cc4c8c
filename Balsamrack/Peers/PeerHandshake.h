#ifndef BALSAMRACK_PEERS_PEERHANDSHAKE_H
#define BALSAMRACK_PEERS_PEERHANDSHAKE_H

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdint>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// HTTP fields and path of the opening handshake, shared by both ends; see
/// PROTOCOLS.
constexpr const char *NonceHeader = "Balsamrack-Nonce";
constexpr const char *ProofHeader = "Balsamrack-Proof";
constexpr const char *PeerPath = "/peer";

/// Sets the socket options of a peer connection; see
/// PeerTransportSettings::StallTimeout. Thread-safe.
inline void tunePeerSocket(int fd, Duration stallTimeout) {
  constexpr int64_t MicrosPerMilli = 1000;
  int on = 1;
  auto millis = static_cast<unsigned>(stallTimeout.count() / MicrosPerMilli);
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
}

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERHANDSHAKE_H

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
/// Text frame by which a stopping acceptor asks a dialer to send nothing more
/// on the connection. The dialer returns it as its last frame, so the acceptor
/// knows that it has received every frame. Had the acceptor just closed the
/// connection, frames on their way would be lost, and their sender could not
/// tell whether they were handled.
constexpr const char *GoAwayFrame = "go-away";

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

#ifndef BALSAMRACK_UNITTESTS_PEERS_PEERSAMPLES_H
#define BALSAMRACK_UNITTESTS_PEERS_PEERSAMPLES_H

#include <vector>

#include "Balsamrack/Peers/PeerMessage.h"

namespace balsamrack {

/// Returns one message of each type, in the order of the PeerMessage variant,
/// with no field at its default.
std::vector<PeerMessage> samplePeerMessages();

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PEERS_PEERSAMPLES_H

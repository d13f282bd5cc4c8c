#ifndef BALSAMRACK_PEERS_WEBSOCKETTRANSPORT_H
#define BALSAMRACK_PEERS_WEBSOCKETTRANSPORT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Peers/PeerCodec.h"
#include "Balsamrack/Peers/PeerTransport.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Settings and limits of a WebsocketTransport.
struct PeerTransportSettings {
  Address Listen;       ///< Where peers connect to; port zero: a free one.
  EntryVm Self;         ///< Who we say that we are.
  Incarnation Run;      ///< Which run of us this is.
  std::string FleetKey; ///< Shared by all daemons of the fleet.
  std::vector<std::string> Allowed; ///< Peers' addresses: dotted quads or
                                    ///< a.b.c.d/bits.
  size_t MaxFrameBytes = MaxPeerFrameBytes; ///< Larger ones are not sent, and
                                            ///< close a connection.
  Duration ConnectTimeout{500'000};         ///< Until the peer has said Hello.
  Duration StallTimeout{5'000'000}; ///< A connection on which the peer takes
                                    ///< nothing for so long is broken, whether
                                    ///< it is gone or only reads no more. TCP
                                    ///< itself goes on for a quarter of an
                                    ///< hour, and after a cut between failure
                                    ///< domains heals it may wait minutes
                                    ///< before it tries again.
  Duration MinBackoff{50'000};      ///< After a first failed connect; doubles.
  Duration MaxBackoff{1'000'000};   ///< The longest one.
  size_t MaxQueuedMessages = 4096;  ///< That wait for one peer.
  size_t MaxQueuedBytes = size_t(32) << 20; ///< That wait for one peer.
  std::function<void(const absl::Status &)>
      OnFault; ///< Told of peers and frames that were refused, with step and
               ///< peer; may be empty. Called on the transport's thread.
};

/// Carries peer messages over websocketpp. Each side sends on the connection
/// that it opened itself, so that a message goes out on one connection at most;
/// one thread serves all of them.
class WebsocketTransport : public PeerTransport {
public:
  /// Starts to listen. Precondition: \p listener outlives the result. Error
  /// (step listen) when the port is taken, the address is not ours, or Allowed
  /// can't be read. Thread-safe.
  static absl::StatusOr<std::unique_ptr<WebsocketTransport>>
  create(const PeerTransportSettings &settings, PeerListener &listener);
  /// Where it listens, with the real port. Thread-safe.
  virtual Address at() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_WEBSOCKETTRANSPORT_H

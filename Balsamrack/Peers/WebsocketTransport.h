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
  Address Listen;       ///< Address peers connect to; port zero: any free port.
  EntryVm Self;         ///< This daemon's VM.
  Incarnation Run;      ///< Incarnation of this daemon.
  std::string FleetKey; ///< Shared by all daemons of the fleet.
  std::vector<std::string>
      Allowed; ///< Allowed peer addresses: IPv4 addresses or a.b.c.d/bits.
  size_t MaxFrameBytes =
      MaxPeerFrameBytes; ///< Larger frames are not sent, and close a connection
                         ///< when received.
  Duration ConnectTimeout{500'000}; ///< Until the peer has sent Hello.
  Duration StallTimeout{
      5'000'000}; ///< A connection on which the peer accepts no data for this
                  ///< time is broken, whether the peer is gone or just not
                  ///< reading. TCP itself retries for a quarter of an hour, and
                  ///< after a partition between failure domains heals it may
                  ///< wait minutes before its next retry.
  Duration DrainTimeout{1'000'000}; ///< Limit of each step of stop(): receive
                                    ///< what peers have sent, send what is
                                    ///< queued, and have peers receive it.
  Duration MinBackoff{50'000}; ///< Delay after a first failed connect; doubles.
  Duration MaxBackoff{1'000'000};           ///< Maximum delay.
  size_t MaxQueuedMessages = 4096;          ///< Queue limit per peer.
  size_t MaxQueuedBytes = size_t(32) << 20; ///< Queue limit per peer.
  std::function<void(const absl::Status &)>
      OnFault; ///< Called for rejected peers and frames, with step and peer;
               ///< may be empty. Called on the transport's thread.
  std::function<void(const VmId &peer, const char *event)>
      OnConnectionEvent; ///< Called when a connection to or from \p peer is
                         ///< opened or lost, with the name of the event; may
                         ///< be empty. Called on the transport's thread.

  /// Calls OnConnectionEvent if it is set.
  void reportConnection(const VmId &peer, const char *event) const {
    if (OnConnectionEvent)
      OnConnectionEvent(peer, event);
  }
};

/// Carries peer messages over websocketpp. Each side sends on the connection
/// that it opened itself, so a message is sent on at most one connection. One
/// thread serves all connections.
class WebsocketTransport : public PeerTransport {
public:
  /// Starts listening. Precondition: \p listener outlives the result. Error
  /// (step listen) if the port is in use, the address is not local, or Allowed
  /// is malformed. Thread-safe.
  static absl::StatusOr<std::unique_ptr<WebsocketTransport>>
  create(const PeerTransportSettings &settings, PeerListener &listener);
  /// The listen address with the actual port. Thread-safe.
  virtual Address at() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_WEBSOCKETTRANSPORT_H

#ifndef BALSAMRACK_PEERS_PEERACCEPTOR_H
#define BALSAMRACK_PEERS_PEERACCEPTOR_H

#include <functional>
#include <memory>

#include "Balsamrack/Core/AddressSet.h"
#include "Balsamrack/Peers/TransportStats.h"
#include "Balsamrack/Peers/WebsocketTransport.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace balsamrack {

/// Accepts the connections that peers open. This daemon only receives on them.
class PeerAcceptor {
public:
  /// Called on the context's thread when a peer has sent Hello, before any
  /// other message of that peer.
  using HelloCallback = std::function<void(const VmId &)>;
  /// Starts listening. Precondition: all arguments outlive the result. Error
  /// (step listen) if that fails. Thread-safe.
  static absl::StatusOr<std::unique_ptr<PeerAcceptor>>
  create(const PeerTransportSettings &settings, PeerListener &listener,
         TransportStats &stats, boost::asio::io_context &context,
         HelloCallback onHello);
  virtual ~PeerAcceptor() = default;
  /// The listen address with the actual port. Thread-safe.
  virtual Address at() const = 0;
  /// Stops accepting, and asks all peers to send nothing more. Call on the
  /// context's thread.
  virtual void beginDrain() = 0;
  /// True if all peers that reply to a GoAwayFrame have done so. Call on the
  /// context's thread.
  virtual bool isDrained() const = 0;
  /// Stops accepting and closes all connections. Call on the context's thread.
  virtual void close() = 0;
  /// True if no connection is left. Call on the context's thread.
  virtual bool isClosed() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERACCEPTOR_H

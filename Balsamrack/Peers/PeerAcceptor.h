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

/// The connections that peers open, on which we receive.
class PeerAcceptor {
public:
  /// Told on the context's thread, before any of its messages, that a peer has
  /// said Hello.
  using HelloCallback = std::function<void(const VmId &)>;
  /// Starts to listen. Precondition: all arguments outlive the result. Error
  /// (step listen) when that fails. Thread-safe.
  static absl::StatusOr<std::unique_ptr<PeerAcceptor>>
  create(const PeerTransportSettings &settings, PeerListener &listener,
         TransportStats &stats, boost::asio::io_context &context,
         HelloCallback onHello);
  virtual ~PeerAcceptor() = default;
  /// Where it listens, with the real port. Thread-safe.
  virtual Address at() const = 0;
  /// Accepts no more and closes the connections. On the context's thread.
  virtual void close() = 0;
  /// True when no connection is left. On the context's thread.
  virtual bool isClosed() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERACCEPTOR_H

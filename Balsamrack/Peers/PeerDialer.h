#ifndef BALSAMRACK_PEERS_PEERDIALER_H
#define BALSAMRACK_PEERS_PEERDIALER_H

#include <memory>

#include "Balsamrack/Peers/PeerLink.h"
#include "Balsamrack/Peers/TransportStats.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace balsamrack {

/// The connections that we open, on which we send.
class PeerDialer {
public:
  /// Precondition: all arguments outlive the result. Thread-safe.
  static std::unique_ptr<PeerDialer>
  create(const PeerTransportSettings &settings, PeerListener &listener,
         TransportStats &stats, boost::asio::io_context &context);
  virtual ~PeerDialer() = default;
  /// Queues a frame, see PeerTransport::send(). Thread-safe.
  virtual absl::Status send(const EntryVm &to, QueuedFrame frame) = 0;
  /// \p peer has connected to us, so that it lives: the next frame for it may
  /// connect at once, whatever failed before. Thread-safe.
  virtual void resetBackoff(const VmId &peer) = 0;
  /// Lets nothing more in. Thread-safe.
  virtual void rejectNewFrames() = 0;
  /// True when nothing waits for a connection. On the context's thread.
  virtual bool isDrained() const = 0;
  /// Closes the connections after what was handed to them. On the context's
  /// thread.
  virtual void close() = 0;
  /// True when no connection is left. On the context's thread.
  virtual bool isClosed() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERDIALER_H

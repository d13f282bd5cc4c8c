#ifndef BALSAMRACK_PEERS_PEERDIALER_H
#define BALSAMRACK_PEERS_PEERDIALER_H

#include <memory>

#include "Balsamrack/Peers/PeerLink.h"
#include "Balsamrack/Peers/TransportStats.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace balsamrack {

/// Opens the connections on which this daemon sends.
class PeerDialer {
public:
  /// Precondition: all arguments outlive the result. Thread-safe.
  static std::unique_ptr<PeerDialer>
  create(const PeerTransportSettings &settings, PeerListener &listener,
         TransportStats &stats, boost::asio::io_context &context);
  virtual ~PeerDialer() = default;
  /// Queues a frame; see PeerTransport::send(). Thread-safe.
  virtual absl::Status send(const EntryVm &to, QueuedFrame frame) = 0;
  /// Resets the connect backoff of \p peer after it has connected to this
  /// daemon: the next frame for it may connect at once, whatever failed before.
  /// Thread-safe.
  virtual void resetBackoff(const VmId &peer) = 0;
  /// Starts to wait until the peers have handled all frames queued so far. Call
  /// on the context's thread.
  virtual void beginFlush() = 0;
  /// Continues a flush; true if it is complete. Call on the context's thread.
  virtual bool isFlushed() = 0;
  /// Rejects all further frames. Thread-safe.
  virtual void rejectNewFrames() = 0;
  /// True if no frame is waiting for a connection. Call on the context's
  /// thread.
  virtual bool isDrained() const = 0;
  /// Closes the connections after all frames passed to them are sent. Call on
  /// the context's thread.
  virtual void close() = 0;
  /// True if no connection is left. Call on the context's thread.
  virtual bool isClosed() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERDIALER_H

#ifndef BALSAMRACK_PEERS_PEERTRANSPORT_H
#define BALSAMRACK_PEERS_PEERTRANSPORT_H

#include <atomic>
#include <cstdint>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Peers/PeerMessage.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Receives the messages and events of a PeerTransport. Called on the
/// transport's threads.
class PeerListener {
public:
  virtual ~PeerListener() = default;
  /// Handles a message of \p from, which has been authenticated and has sent
  /// Hello. Must not block for long. Thread-safe.
  virtual void onPeerMessage(const EntryVm &from, PeerMessage message) = 0;
  /// The connection to \p peer was lost: messages sent on it that have no
  /// answer yet will get none. A Forward that was not written to it is returned
  /// before, or send() returns an error for it. Thread-safe.
  virtual void onPeerLost(const VmId &peer) = 0;
  /// \p message was accepted by send(), but no connection to \p peer was
  /// established, and the message provably did not leave this process. Called
  /// before onPeerLost() for the same failure. Thread-safe.
  virtual void onSendFailed(const VmId &peer, PeerMessage message) = 0;
};

/// Byte and event counters of a PeerTransport since its start.
struct TransportCounters {
  uint64_t ControlBytesSent = 0; ///< Bytes of sent control frames.
  uint64_t DataBytesSent =
      0; ///< Bytes of sent frames with callers' requests or answers.
  uint64_t ControlBytesReceived = 0; ///< Bytes of received control frames.
  uint64_t DataBytesReceived = 0;    ///< Bytes of received data frames.
  uint64_t FramesSent = 0;           ///< Control and data frames.
  uint64_t FramesReceived = 0;       ///< Control and data frames.
  uint64_t BadFrames = 0;            ///< Frames that could not be decoded.
  uint64_t PeersRefused = 0;    ///< Connections from an address that is not
                                ///< allowed or with a wrong key.
  uint64_t ConnectsFailed = 0;  ///< Connections that could not be established.
  uint64_t ConnectionsLost = 0; ///< Lost connections, in both directions.
};

/// Carries messages between daemons.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;
  /// Queues \p message for \p to, connecting first if necessary. Never blocks.
  /// An error (step send-to-peer) means that the message provably did not leave
  /// this process; success does not imply delivery. Thread-safe.
  virtual absl::Status send(const EntryVm &to, const PeerMessage &message) = 0;
  /// As send(), but returns an error also if \p cancelled is set when the
  /// message is queued. Thread-safe.
  virtual absl::Status sendForward(const EntryVm &to, const Forward &message,
                                   const std::atomic<bool> &cancelled) = 0;
  /// Counters since the start. Thread-safe.
  virtual TransportCounters counters() const = 0;
  /// Waits until each connected peer has handled all messages queued for it so
  /// far, for at most \p limit. Returns false on timeout. A lost peer counts as
  /// done. Not thread-safe; do not call it on the transport's threads.
  virtual bool flush(Duration limit) = 0;
  /// Asks all peers to send nothing more, and waits until every message that
  /// they have sent was passed to the listener, for at most \p limit. Returns
  /// false on timeout. Messages can still be sent, but no peer can connect.
  /// Not thread-safe; do not call it on the transport's threads.
  virtual bool stopReceiving(Duration limit) = 0;
  /// Stops receiving, sends the queued messages, closes all connections and
  /// joins the threads. Idempotent. Thread-safe.
  virtual void stop() = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERTRANSPORT_H

#ifndef BALSAMRACK_PEERS_PEERLINK_H
#define BALSAMRACK_PEERS_PEERLINK_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Peers/WebsocketTransport.h"
#include "Balsamrack/World/World.h"
#include "absl/status/status.h"

namespace balsamrack {

/// An encoded message that waits for its connection.
struct QueuedFrame {
  std::string Bytes;         ///< The frame.
  bool IsData = false;       ///< True for data, false for control traffic.
  bool ReturnOnLoss = false; ///< Return it as unsent when the peer is lost,
                             ///< instead of sending it on the next connection.
  const std::atomic<bool> *Cancelled =
      nullptr; ///< Read by PeerLink::push() only, which rejects the frame if it
               ///< is set; may be null.
};

/// Send queue and connect backoff of one peer. Thread-safe.
class PeerLink {
public:
  using Instant = std::chrono::steady_clock::time_point;

  /// Precondition: \p settings outlive the link.
  PeerLink(const PeerTransportSettings &settings, VmId peer)
      : Settings(settings), Peer(std::move(peer)) {}

  /// The peer at the other end.
  const VmId &peer() const { return Peer; }
  /// Queues a frame. Error (step send-to-peer) if the queue is full, the last
  /// connect failed recently, the peer is stopping, or the link is closed; the
  /// frame is dropped then.
  /// Sets \p wake if the thread that processes the link must be woken.
  absl::Status push(const EntryVm &to, QueuedFrame frame, Instant now,
                    bool &wake);
  /// The address to connect to.
  Address address() const;
  /// Clears the pending wake-up. Called before the link is processed.
  void clearWakePending();
  /// Removes the oldest frame; returns false if the queue is empty.
  bool pop(QueuedFrame &frame);
  /// Returns a removed frame to the front of the queue.
  void putBack(QueuedFrame frame);
  /// True if the queue is empty.
  bool empty() const;
  /// Records a failed connect: rejects frames until the backoff is over, and
  /// returns the queued ones.
  std::deque<QueuedFrame> recordConnectFailure(Instant now,
                                               RandomSource &random);
  /// Begins to report a loss of the peer. Returns the queued frames with
  /// ReturnOnLoss, and rejects further ones until endLoss(). So each such frame
  /// is either written to the lost connection or known to be unsent.
  std::deque<QueuedFrame> beginLoss();
  /// The loss of the peer has been reported.
  void endLoss();
  /// Rejects all frames while the peer is stopping.
  void setStopping(bool stopping);
  /// Records a successful connect, in either direction, and resets the backoff.
  void recordConnectSuccess();
  /// Rejects all further frames.
  void close();

private:
  absl::Status makeSendError(absl::StatusCode code, const char *why) const;

  const PeerTransportSettings &Settings;
  const VmId Peer;
  mutable std::mutex Lock; ///< Guards the following members.
  std::deque<QueuedFrame> Frames;
  size_t QueuedBytes = 0; ///< Total size of all frames.
  Address RemoteAddress;
  bool WakePending = false; ///< The processing thread has been woken.
  bool Closed = false;
  bool Stopping = false;      ///< The peer is stopping.
  bool ReportingLoss = false; ///< Between beginLoss() and endLoss().
  Duration Backoff{
      0}; ///< Delay after the last failed connect; zero: none failed.
  Instant NextConnectTime; ///< Earliest time of the next connect.
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERLINK_H

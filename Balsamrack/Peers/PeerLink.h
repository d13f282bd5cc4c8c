#ifndef BALSAMRACK_PEERS_PEERLINK_H
#define BALSAMRACK_PEERS_PEERLINK_H

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
  std::string Bytes;   ///< The frame.
  bool IsData = false; ///< True for data, false for control traffic.
};

/// What waits for one peer, and when it may be connected to again. Thread-safe.
class PeerLink {
public:
  using Instant = std::chrono::steady_clock::time_point;

  /// Precondition: \p settings outlive the link.
  PeerLink(const PeerTransportSettings &settings, VmId peer)
      : Settings(settings), Peer(std::move(peer)) {}

  /// Whom the link leads to.
  const VmId &peer() const { return Peer; }
  /// Takes a frame in. Error (step send-to-peer) when too much waits already,
  /// when the last connect failed just now, or when the link is closed; the
  /// frame is not kept then. Sets \p wake when whoever serves the link must be
  /// told.
  absl::Status push(const EntryVm &to, QueuedFrame frame, Instant now,
                    bool &wake);
  /// Where to connect to.
  Address address() const;
  /// Whoever serves the link is about to look at it.
  void clearWakePending();
  /// Takes the oldest frame out; false when none waits.
  bool pop(QueuedFrame &frame);
  /// Puts a frame that was taken out back as the oldest.
  void putBack(QueuedFrame frame);
  /// True when nothing waits.
  bool empty() const;
  /// A connect failed: lets nothing in for a while, and returns what waited.
  std::deque<QueuedFrame> recordConnectFailure(Instant now,
                                               RandomSource &random);
  /// A connect succeeded, in either direction.
  void recordConnectSuccess();
  /// Lets nothing more in.
  void close();

private:
  absl::Status makeSendError(absl::StatusCode code, const char *why) const;

  const PeerTransportSettings &Settings;
  const VmId Peer;
  mutable std::mutex Lock; ///< Guards what follows.
  std::deque<QueuedFrame> Frames;
  size_t QueuedBytes = 0; ///< Of all frames.
  Address RemoteAddress;
  bool WakePending = false; ///< Whoever serves the link has been told.
  bool Closed = false;
  Duration Backoff{0}; ///< After the next failed connect; zero for the least.
  Instant NextConnectTime; ///< No connect before that.
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERLINK_H

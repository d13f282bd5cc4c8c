#ifndef BALSAMRACK_PEERS_TRANSPORTSTATS_H
#define BALSAMRACK_PEERS_TRANSPORTSTATS_H

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "Balsamrack/Peers/PeerTransport.h"

namespace balsamrack {

/// Counts the frames and bytes of a transport. Thread-safe.
class TransportStats {
public:
  /// Counts a frame that was passed to a connection.
  void countSent(bool data, size_t bytes) {
    (data ? DataSent : ControlSent) += bytes;
    ++FramesSent;
  }
  /// Counts a received frame.
  void countReceived(bool data, size_t bytes) {
    (data ? DataReceived : ControlReceived) += bytes;
    ++FramesReceived;
  }
  /// Returns the current counters.
  TransportCounters snapshot() const {
    TransportCounters c;
    c.ControlBytesSent = ControlSent;
    c.DataBytesSent = DataSent;
    c.ControlBytesReceived = ControlReceived;
    c.DataBytesReceived = DataReceived;
    c.FramesSent = FramesSent;
    c.FramesReceived = FramesReceived;
    c.BadFrames = BadFrames;
    c.PeersRefused = PeersRefused;
    c.ConnectsFailed = ConnectsFailed;
    c.ConnectionsLost = ConnectionsLost;
    return c;
  }

  std::atomic<uint64_t> BadFrames{0};       ///< See TransportCounters.
  std::atomic<uint64_t> PeersRefused{0};    ///< See TransportCounters.
  std::atomic<uint64_t> ConnectsFailed{0};  ///< See TransportCounters.
  std::atomic<uint64_t> ConnectionsLost{0}; ///< See TransportCounters.

private:
  std::atomic<uint64_t> ControlSent{0};
  std::atomic<uint64_t> DataSent{0};
  std::atomic<uint64_t> ControlReceived{0};
  std::atomic<uint64_t> DataReceived{0};
  std::atomic<uint64_t> FramesSent{0};
  std::atomic<uint64_t> FramesReceived{0};
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_TRANSPORTSTATS_H

#ifndef BALSAMRACK_DAEMON_PEERSENDER_H
#define BALSAMRACK_DAEMON_PEERSENDER_H

#include <atomic>

#include "Balsamrack/Peers/PeerMessage.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Sends messages to any daemon, including this one. A message to this daemon
/// is handled before send() returns, so no lock may be held during the call.
class PeerSender {
public:
  virtual ~PeerSender() = default;
  /// As PeerTransport::send(). Precondition: the caller holds no lock of a
  /// shard. Thread-safe.
  virtual absl::Status send(const EntryVm &to, PeerMessage message) = 0;
  /// As PeerTransport::sendForward(). Precondition: as for send(). Thread-safe.
  virtual absl::Status sendForward(const EntryVm &to, Forward message,
                                   const std::atomic<bool> &cancelled) = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PEERSENDER_H

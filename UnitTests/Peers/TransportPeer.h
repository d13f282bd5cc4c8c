#ifndef BALSAMRACK_UNITTESTS_PEERS_TRANSPORTPEER_H
#define BALSAMRACK_UNITTESTS_PEERS_TRANSPORTPEER_H

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Balsamrack/Peers/WebsocketTransport.h"

namespace balsamrack {

/// The transport of a daemon under test; records what it receives.
class TransportPeer final : public PeerListener {
public:
  /// Settings of a peer named \p name that accepts connections from 127.0.0.1.
  static PeerTransportSettings settingsFor(const std::string &name);

  explicit TransportPeer(const std::string &name)
      : TransportPeer(settingsFor(name)) {}
  explicit TransportPeer(PeerTransportSettings settings);

  /// This peer as known to others.
  EntryVm vm() const;
  /// Received messages as sender and frame, in order.
  std::vector<std::string> received() const;
  /// Events in order: "lost vm-1", "failed vm-1 Ping".
  std::vector<std::string> events() const;
  /// Descriptions of the errors that the transport reported.
  std::vector<std::string> faults() const;
  /// True if \p event has occurred.
  bool hasEvent(const std::string &event) const;

  void onPeerMessage(const EntryVm &from, PeerMessage message) override;
  void onPeerLost(const VmId &peer) override;
  void onSendFailed(const VmId &peer, PeerMessage message) override;

private:
  mutable std::mutex Lock;
  EntryVm Self;
  std::vector<std::string> Frames;
  std::vector<std::string> Events;
  std::vector<std::string> Faults;

public:
  std::mutex
      ReceiveGate; ///< While a test holds it, this peer blocks in the handler
                   ///< of the last received message and reads no further ones.
  std::unique_ptr<WebsocketTransport>
      Transport; ///< Destroyed before the other members.
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PEERS_TRANSPORTPEER_H

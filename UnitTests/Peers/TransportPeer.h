#ifndef BALSAMRACK_UNITTESTS_PEERS_TRANSPORTPEER_H
#define BALSAMRACK_UNITTESTS_PEERS_TRANSPORTPEER_H

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Balsamrack/Peers/WebsocketTransport.h"

namespace balsamrack {

/// A daemon of a test, as far as its transport goes: notes what arrives.
class TransportPeer final : public PeerListener {
public:
  /// Settings of a peer called \p name that lets 127.0.0.1 in.
  static PeerTransportSettings settingsFor(const std::string &name);

  explicit TransportPeer(const std::string &name)
      : TransportPeer(settingsFor(name)) {}
  explicit TransportPeer(PeerTransportSettings settings);

  /// The peer as others know it.
  EntryVm vm() const;
  /// What arrived, as frames, in order.
  std::vector<std::string> received() const;
  /// Events in order: "lost vm-1", "failed vm-1 Ping".
  std::vector<std::string> events() const;
  /// Faults that the transport reported, described.
  std::vector<std::string> faults() const;
  /// True when \p event has been seen.
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
      ReceiveGate; ///< While a test holds it, this peer stays at work on the
                   ///< message that it has just taken, and reads no more.
  std::unique_ptr<WebsocketTransport> Transport; ///< Ends before the rest.
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PEERS_TRANSPORTPEER_H

#include "UnitTests/Peers/TransportPeer.h"

#include <algorithm>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

PeerTransportSettings TransportPeer::settingsFor(const std::string &name) {
  PeerTransportSettings s;
  s.Listen = {"127.0.0.1", 0};
  s.Self.Id = VmId(name);
  s.Self.Domain = DomainId("bern-a");
  s.Run = {1};
  s.FleetKey = "key of the fleet";
  s.Allowed = {"127.0.0.1"};
  s.ConnectTimeout = Duration(5'000'000);
  // With a sanitizer, a peer may take seconds to decode a large frame and reads
  // nothing meanwhile.
  s.StallTimeout = Duration(60'000'000);
  s.DrainTimeout = Duration(60'000'000);
  return s;
}

TransportPeer::TransportPeer(PeerTransportSettings settings)
    : Self(settings.Self) {
  settings.OnFault = [this](const absl::Status &fault) {
    std::lock_guard<std::mutex> hold(Lock);
    Faults.push_back(describe(fault));
  };
  Transport = WebsocketTransport::create(settings, *this).value();
}

EntryVm TransportPeer::vm() const {
  EntryVm vm = Self;
  vm.PeerAt = Transport->at();
  return vm;
}

std::vector<std::string> TransportPeer::received() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Frames;
}

std::vector<std::string> TransportPeer::events() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Events;
}

std::vector<std::string> TransportPeer::faults() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Faults;
}

bool TransportPeer::hasEvent(const std::string &event) const {
  std::lock_guard<std::mutex> hold(Lock);
  return std::find(Events.begin(), Events.end(), event) != Events.end();
}

void TransportPeer::onPeerMessage(const EntryVm &from, PeerMessage message) {
  {
    std::lock_guard<std::mutex> hold(Lock);
    Frames.push_back(from.Id.str() + " " + encodePeerMessage(message));
  }
  std::lock_guard<std::mutex> wait(ReceiveGate);
}

void TransportPeer::onPeerLost(const VmId &peer) {
  std::lock_guard<std::mutex> hold(Lock);
  Events.push_back("lost " + peer.str());
}

void TransportPeer::onSendFailed(const VmId &peer, PeerMessage message) {
  std::lock_guard<std::mutex> hold(Lock);
  Events.push_back("failed " + peer.str() + " " + peerMessageName(message));
}

} // namespace balsamrack

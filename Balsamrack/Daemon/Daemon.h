#ifndef BALSAMRACK_DAEMON_DAEMON_H
#define BALSAMRACK_DAEMON_DAEMON_H

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "Balsamrack/Daemon/ControlPart.h"
#include "Balsamrack/Daemon/EntryPart.h"
#include "Balsamrack/Daemon/OperatorPart.h"
#include "Balsamrack/Daemon/OwnerPart.h"
#include "Balsamrack/Daemon/ReaderPart.h"
#include "Balsamrack/Daemon/Witness.h"
#include "Balsamrack/Flows/KeyStore.h"
#include "Balsamrack/Peers/PeerTransport.h"
#include "Balsamrack/Settings/Settings.h"

namespace balsamrack {

/// One daemon: the three parts wired to their adapters. Construct, let it run,
/// then shut it down.
class Daemon final : public PeerSender,
                     public PeerListener,
                     public ControlListener {
public:
  /// Starts everything. Precondition: \p clock outlives the result. Errors
  /// (step listen or read-settings) name what can't be had; nothing runs then.
  /// A platform that is down is no error: the daemon then lives on what its
  /// peers tell.
  static absl::StatusOr<std::unique_ptr<Daemon>>
  create(const Settings &settings, const Clock &clock);
  ~Daemon() override;

  /// Leaves gracefully: hands over what it owns, ends what is in progress, says
  /// leave message. Blocks, at most for the settings' shutdown limit. True when
  /// all was in order. Not thread-safe; call once.
  bool shutDown();

  absl::Status send(const EntryVm &to, PeerMessage message) override;
  void onPeerMessage(const EntryVm &from, PeerMessage message) override;
  void onPeerLost(const VmId &peer) override;
  void onSendFailed(const VmId &peer, PeerMessage message) override;
  void onOwned(const OwnedServers &owned) override;
  uint32_t onLost(const ServerId &server, const EntryVm &newOwner) override;
  void onGained(const ServerId &server) override;
  void onSuperseded() override;
  void onView(std::shared_ptr<const RoutingView> view) override;

private:
  Daemon(const Settings &settings, const Clock &clock);
  absl::Status openRecords();
  absl::Status createMemory();
  absl::Status createParts();
  absl::Status openPorts();
  absl::Status startReading();
  void tickUntilStopped();
  void housekeep(TimePoint now);
  void openCallerPorts(const ConfigurationView &view);
  void onTicket(const std::string &text);
  void showPeerTraffic();
  void sendExceptions(TimePoint now);
  void handOverKeys();
  bool waitFor(TimePoint end, const std::function<bool()> &done);

  const Settings Values;
  const Clock &Time;
  const EntryVm Self;
  const Incarnation Run;
  const uint64_t Seed; ///< Differs from run to run.
  std::unique_ptr<Witness> Watch;
  std::unique_ptr<Recorder> Record; ///< Null when nothing is recorded.
  std::unique_ptr<ConfigurationStore> Store;
  std::unique_ptr<OwnershipFence> Fence;
  std::unique_ptr<OwnerFlows> Flows;
  std::unique_ptr<KeyStore> Keys;
  std::unique_ptr<ServerLink> Servers;
  std::unique_ptr<OwnerPart> Owner;
  std::unique_ptr<EntryPart> Entry;
  std::unique_ptr<ControlPart> Control;
  std::unique_ptr<PeerTransport> Transport;
  std::atomic<PeerTransport *> Sending{
      nullptr}; ///< Transport, once made: its threads send at once.
  std::unique_ptr<PlatformLink> Platform;
  std::unique_ptr<ReaderPart> Reader;
  std::unique_ptr<OperatorPart> Operators;
  std::unique_ptr<OperatorPort> OperatorSide;
  std::unique_ptr<CallerPort> CallerSide;
  std::mutex PortsLock;           ///< Guards the next one.
  std::set<uint16_t> FailedPorts; ///< Told once each.
  std::mutex StopLock;            ///< Guards Stopping.
  std::condition_variable StopChanged;
  bool Stopping = false;
  bool Stopped = false;
  std::thread Ticker;
  TimePoint HousekeptAt;
  TimePoint ExceptionsAt;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_DAEMON_H

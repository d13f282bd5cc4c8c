#ifndef BALSAMRACK_DAEMON_DAEMON_H
#define BALSAMRACK_DAEMON_DAEMON_H

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "Balsamrack/Daemon/ControlPlane.h"
#include "Balsamrack/Daemon/DaemonOperatorHandler.h"
#include "Balsamrack/Daemon/DaemonTelemetry.h"
#include "Balsamrack/Daemon/EntryHandler.h"
#include "Balsamrack/Daemon/OwnerDispatcher.h"
#include "Balsamrack/Daemon/PlatformReader.h"
#include "Balsamrack/Flows/KeyStore.h"
#include "Balsamrack/Peers/PeerTransport.h"
#include "Balsamrack/Settings/Settings.h"

namespace balsamrack {

/// A daemon on the HTTP carrier: owns the control plane, the entry and the
/// owner, and connects them to the network. Runs from create() until
/// shutDown().
class Daemon final : public PeerSender,
                     public PeerListener,
                     public ControlListener {
public:
  /// Opens all ports and starts all threads. Precondition: \p clock outlives
  /// the result. Errors (step listen or read-settings) name the resource that
  /// is unavailable; nothing is left running then. An unreachable platform is
  /// not an error: the daemon then gets its configuration from its peers.
  static absl::StatusOr<std::unique_ptr<Daemon>>
  create(const Settings &settings, const Clock &clock);
  ~Daemon() override;

  /// Shuts down gracefully: hands over owned servers, completes requests in
  /// progress and announces to peers that it leaves. Blocks for at most the
  /// shutdown limit of the settings. Returns true if all requests completed in
  /// time. Not thread-safe; call once.
  bool shutDown();

  absl::Status send(const EntryVm &to, PeerMessage message) override;
  absl::Status sendForward(const EntryVm &to, Forward message,
                           const std::atomic<bool> &cancelled) override;
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
  absl::Status openObservability();
  absl::Status createStores();
  absl::Status createComponents();
  absl::Status openPorts();
  absl::Status startThreads();
  void tickUntilStopped();
  void runHousekeeping(TimePoint now);
  void openCallerPorts(const ConfigurationView &view);
  void onTicket(const std::string &text);
  void publishPeerMetrics();
  void sendExceptions(TimePoint now);
  void handOverKeys();
  void claimKey(const EntryVm &from, const KeyClaim &claim);
  void settleKey(const EntryVm &from, const KeySettled &settled);
  void importKeys(const EntryVm &from, const KeysHandedOver &keys);
  void logShutdownStep(const char *step);
  bool waitFor(TimePoint end, const std::function<bool()> &done);

  const Settings Config;
  const Clock &Time;
  const EntryVm Self;
  const Incarnation Run;
  const uint64_t Seed; ///< Unique to each run.
  std::unique_ptr<DaemonTelemetry> TelemetrySink;
  std::unique_ptr<Recorder> Record; ///< Null when nothing is recorded.
  std::unique_ptr<ConfigurationStore> Store;
  std::unique_ptr<OwnershipFence> Fence;
  std::unique_ptr<OwnerFlows> Flows;
  std::unique_ptr<KeyStore> Keys;
  KeyReplicaView NextKeyReplicas; ///< Replicas without this daemon. Set before
                                  ///< Keys are exported, then constant.
  std::unique_ptr<ServerLink> Servers;
  std::unique_ptr<OwnerDispatcher> Owner;
  std::unique_ptr<EntryHandler> Entry;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<PeerTransport> Transport;
  std::atomic<PeerTransport *> ActiveTransport{
      nullptr}; ///< Transport once it exists, null before. Atomic, since the
                ///< transport's threads send as soon as they start.
  std::unique_ptr<PlatformLink> Platform;
  std::unique_ptr<PlatformReader> Reader;
  std::unique_ptr<DaemonOperatorHandler> Operators;
  std::unique_ptr<OperatorPort> OperatorListener;
  std::unique_ptr<CallerPort> CallerListener;
  std::mutex PortsLock;           ///< Guards FailedPorts.
  std::set<uint16_t> FailedPorts; ///< Logged once each.
  std::mutex StopLock;            ///< Guards Stopping.
  std::condition_variable StopChanged;
  bool Stopping = false;
  bool Stopped = false;
  std::thread Ticker;
  TimePoint LastHousekeepingAt;
  TimePoint LastExceptionsAt;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_DAEMON_H

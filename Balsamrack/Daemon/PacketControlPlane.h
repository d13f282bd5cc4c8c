#ifndef BALSAMRACK_DAEMON_PACKETCONTROLPLANE_H
#define BALSAMRACK_DAEMON_PACKETCONTROLPLANE_H

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Daemon/PacketTelemetry.h"
#include "Balsamrack/Daemon/TaskQueue.h"
#include "Balsamrack/Membership/Membership.h"
#include "Balsamrack/Packets/FleetPosition.h"
#include "Balsamrack/Packets/PacketRoutes.h"
#include "Balsamrack/Peers/DatagramTransport.h"
#include "Balsamrack/Published/PublishedSource.h"
#include "Balsamrack/Published/StateExchange.h"

namespace balsamrack {

/// Receives the results of a PacketControlPlane. Called on its thread; must not
/// block.
class PacketControlListener {
public:
  virtual ~PacketControlListener() = default;
  /// The routes or servers have changed.
  virtual void onPublishedChanged(const PacketUpdate &update) = 0;
  /// The set of live daemons has changed.
  virtual void onFleetChanged(const FleetPosition &position) = 0;
  /// Other daemons can be reached, or no longer; \p peers are the tags of all,
  /// in ascending order; \p isComplete is false shortly after the start. Called
  /// at once, unlike onFleetChanged().
  virtual void onPeersChanged(std::vector<DaemonTag> peers,
                              bool isComplete) = 0;
  /// Updates have arrived after a pause.
  virtual void onRefreshed() = 0;
  /// A peer sent load reports.
  virtual void onLoadReports(const LoadReports &reports) = 0;
  /// A peer has relayed a caller's packet.
  virtual void onPacketRelayed(RelayedPacket packet) = 0;
  /// Returns the load reports to send to a peer now.
  virtual LoadReports loadReports() = 0;
};

/// Control plane of a daemon on the packet carrier: runs membership, the
/// exchange of published state and the route book with the peer socket, on a
/// thread of its own. Public methods are thread-safe.
class PacketControlPlane {
public:
  /// Maximum number of packets that wait to be relayed.
  static constexpr size_t MaxPendingRelays = 1024;
  /// For this time after the start, packets for unknown daemons wait until
  /// these are known. Other daemons that start at the same time miss the first
  /// messages of this one.
  static constexpr Duration SettlingTime{1'000'000};

  /// Starts the thread. \p run orders the runs of this VM. Errors as for
  /// Membership::create(). Precondition: all references outlive the result.
  static absl::StatusOr<std::unique_ptr<PacketControlPlane>>
  create(const EntryVm &self, const std::vector<EntryVm> &seeds,
         Incarnation run, uint64_t seed,
         std::unique_ptr<DatagramTransport> peers, PublishedSource &source,
         const Clock &clock, PacketTelemetry &telemetry,
         PacketControlListener &listener);
  PacketControlPlane(const PacketControlPlane &) = delete;
  PacketControlPlane &operator=(const PacketControlPlane &) = delete;
  ~PacketControlPlane();

  /// True once every section of the published state is known.
  bool complete() const { return Complete.load(); }
  /// Replaces the seeds and contacts them.
  void addSeeds(const std::vector<EntryVm> &seeds);
  /// Requests updates from peers after this process was paused.
  void requestAfterPause();
  /// Sends a caller's packet to the other daemons with the tag \p to. Drops it
  /// if MaxPendingRelays wait, or if there is none after SettlingTime.
  void relay(DaemonTag to, RelayedPacket packet);
  /// Announces to peers that this daemon will stop soon.
  void announceLeaving();
  /// Announces that this daemon has left, and stops the thread. Idempotent.
  void stop();

private:
  PacketControlPlane(const EntryVm &self, Incarnation run, uint64_t seed,
                     std::unique_ptr<DatagramTransport> peers,
                     PublishedSource &source, const Clock &clock,
                     PacketTelemetry &telemetry,
                     PacketControlListener &listener);

  absl::Status startMembership();
  void run();
  void wait();
  void handleMessage(TimePoint now, const Address &from, PeerMessage message);
  void stepMembership(TimePoint now, const MembershipEvent &event);
  void onMembershipAction(const MembershipAction &action);
  void restartMembership(TimePoint now, Incarnation run);
  void runExchange(TimePoint now,
                   const std::vector<StateExchangeAction> &actions);
  void startRead(const PublishedRead &read);
  void onReadEnded(TimePoint now, const PublishedRead &read,
                   const absl::StatusOr<PublishedChanges> &result);
  void handleStateChange(TimePoint now, const StateChanged &changed);
  void logMember(const MemberChanged &changed);
  void logSuppressedMembers();
  void logChanges(const StateChanged &changed);
  void logChange(const PublishedObject &object, const VmId &from);
  void logHeldServers(TimePoint now, const char *event);
  void publishMembers(TimePoint now);
  void publishPeers(TimePoint now);
  bool sendToTag(DaemonTag tag, const RelayedPacket &packet);
  void notifyIfRefreshed();
  void send(const EntryVm &to, const PeerMessage &message);
  void sendAll(const std::vector<EntryVm> &to, const PeerMessage &message);
  void publishRoutes(TimePoint now);
  void publishMetrics(TimePoint now);
  EntryVm senderOf(const Address &from) const;

  const EntryVm Self;
  Incarnation Run;
  SeededRandom Random;
  const std::unique_ptr<DatagramTransport> Peers;
  PublishedSource &Source;
  const Clock &Time;
  PacketTelemetry &TelemetrySink;
  PacketControlListener &Listener;
  const std::shared_ptr<TaskQueue> Tasks; ///< Work for the thread.

  // Used by the thread only.
  std::vector<EntryVm> Seeds;
  std::unique_ptr<Membership> Members;
  StateExchange Exchange;
  PacketRoutesBuilder Book;
  TimePoint StartedAt;          ///< When the thread started.
  bool RoutesDue = true;        ///< An update is due once the state is usable.
  TimePoint NextRoutesAt;       ///< Earliest next update; see UpdatePeriod.
  bool MembersDue = true;       ///< The set of live daemons has changed.
  bool PeersDue = true;         ///< The same, for publishPeers().
  TimePoint NextMembersAt;      ///< Earliest next update; see UpdatePeriod.
  bool AwaitingRefresh = false; ///< No updates since the last pause.
  TimePoint NextMetricsAt;
  size_t LivePeers = 0;
  std::multimap<DaemonTag, EntryVm>
      PeersByTag; ///< All peers; see publishPeers().
  /// Packets for daemons that are not known yet; see SettlingTime.
  std::vector<std::pair<DaemonTag, RelayedPacket>> UnsentRelays;
  bool IsSettled = false;         ///< SettlingTime is over.
  size_t LoggedMemberChanges = 0; ///< Since NextMembersAt was set.
  std::array<uint64_t, 4> SuppressedMemberChanges{}; ///< By state.

  std::atomic<size_t> PendingRelays{0}; ///< Packets in Tasks.
  std::atomic<bool> Complete{false};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETCONTROLPLANE_H

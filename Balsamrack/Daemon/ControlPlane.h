#ifndef BALSAMRACK_DAEMON_CONTROLPLANE_H
#define BALSAMRACK_DAEMON_CONTROLPLANE_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "Balsamrack/Configuration/ConfigurationStore.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Daemon/OwnerDispatcher.h"
#include "Balsamrack/Daemon/PeerSender.h"
#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Flows/RoutingView.h"
#include "Balsamrack/Membership/Membership.h"
#include "Balsamrack/Membership/OwnershipFence.h"
#include "Balsamrack/Membership/OwnershipTracker.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Settings of a ControlPlane.
struct ControlSettings {
  MembershipSettings Membership;   ///< Timing of membership and ownership.
  EntryVm Self;                    ///< This daemon's VM.
  Incarnation Run;                 ///< Incarnation of this run.
  std::vector<EntryVm> Seeds;      ///< Peers known from the settings.
  Duration KeyMemory{600'000'000}; ///< Time departed daemons matter to keys.
  uint64_t Seed = 1;               ///< Unique to each run.
};

/// Receives the results of a ControlPlane. Called without its lock held, one
/// call at a time.
class ControlListener {
public:
  virtual ~ControlListener() = default;
  /// Sets the owned servers. Nothing may be dispatched to any other server once
  /// it returns.
  virtual void onOwned(const OwnedServers &owned) = 0;
  /// Ownership of \p server was lost to \p newOwner (empty id: to no daemon).
  /// Called after onOwned() has returned. Returns the number of requests still
  /// in progress at the server.
  virtual uint32_t onLost(const ServerId &server, const EntryVm &newOwner) = 0;
  /// Ownership of \p server was gained. This daemon may not know all flows
  /// bound to it.
  virtual void onGained(const ServerId &server) = 0;
  /// A later run of this VM exists: this process must exit.
  virtual void onSuperseded() = 0;
  /// A new routing view is available.
  virtual void onView(std::shared_ptr<const RoutingView> view) = 0;
};

/// State of a ControlPlane for operators.
struct ControlReport {
  MemberMap Members;            ///< All known daemons.
  std::vector<ServerId> Owned;  ///< Owned servers.
  std::vector<ServerId> Wanted; ///< Servers to be owned, but not owned yet.
  AuthorityState Authority = AuthorityState::Held; ///< Permission to dispatch.
  std::map<DomainId, bool> Reachable; ///< Reachability of each domain.
  bool Leaving = false;               ///< A graceful leave has begun.
};

/// Membership, ownership and configuration of one daemon under one lock.
class ControlPlane {
public:
  /// Precondition: all references outlive the result. Error kInvalidArgument
  /// for settings out of range. Thread-safe.
  static absl::StatusOr<std::unique_ptr<ControlPlane>>
  create(const ControlSettings &settings, const Clock &clock,
         ConfigurationStore &store, OwnershipFence &fence, PeerSender &sender,
         Telemetry &telemetry, ControlListener &listener);

  /// Handles a message of the control protocols; returns false for any other.
  /// Thread-safe.
  bool onMessage(const EntryVm &from, const PeerMessage &message);
  /// Merges configuration objects received from \p from, the platform or a
  /// peer. Thread-safe.
  void onObjects(const std::vector<ObjectState> &objects,
                 const std::string &from);
  /// Applies the platform's VM list. Thread-safe.
  void onVmList(const std::vector<EntryVm> &vms);
  /// Publishes the changed condition of an owned server to peers. Thread-safe.
  void onCondition(ServerCondition condition);
  /// Processes timeouts. Call every few tens of milliseconds. Thread-safe.
  void tick(TimePoint now);
  /// Begins a graceful leave: other daemons take over the owned servers.
  /// Thread-safe.
  void beginLeave();
  /// True if no server is owned that another daemon could take over.
  /// Thread-safe.
  bool isReleased() const;
  /// Announces to peers that this daemon has left. Precondition: isReleased().
  /// Thread-safe.
  void finishLeave();

  /// The current routing view; null before the first one. Thread-safe.
  std::shared_ptr<const RoutingView> view() const;
  /// Returns the state for operators. Thread-safe.
  ControlReport report(TimePoint now) const;

private:
  ControlPlane(const ControlSettings &settings, const Clock &clock,
               ConfigurationStore &store, OwnershipFence &fence,
               PeerSender &sender, Telemetry &telemetry,
               ControlListener &listener);

  // Called with Lock held.
  void stepMembership(TimePoint now, const MembershipEvent &event);
  void stepOwnership(TimePoint now, const OwnershipEvent &event);
  void onMembershipAction(TimePoint now, const MembershipAction &action);
  void onOwnershipAction(const OwnershipAction &action);
  void membersChanged(TimePoint now);
  void configurationChanged(TimePoint now);
  void handleLeaseExpiry(TimePoint now);
  void recordServerSets(const ConfigurationView &view);
  OwnedServers ownedServers() const;
  absl::StatusOr<std::shared_ptr<const RoutingView>> buildView(TimePoint now);
  EntryVm ownerOf(const BackendServer &server, const OwnershipMap &map) const;
  RoutedServer routeTo(const BackendServer &server,
                       const ConfigurationView &view,
                       const OwnershipMap &map) const;
  KeyReplicaView keyReplicas(TimePoint now) const;

  void applyChanges(); ///< Called without any lock.
  void applyOwned();   ///< Called with ApplyLock held.
  void applyView();    ///< Called with ApplyLock held.

  const ControlSettings Settings;
  const Clock &Time;
  ConfigurationStore &Store;
  OwnershipFence &Fence;
  PeerSender &Sender;
  Telemetry &TelemetrySink;
  ControlListener &Listener;

  std::mutex ApplyLock;    ///< Serialises applyChanges(); acquired before Lock.
  mutable std::mutex Lock; ///< Guards all members below.
  std::unique_ptr<Membership> Members;
  std::unique_ptr<OwnershipTracker> Ownership;
  std::map<ServerId, ServerAcquired>
      Gains; ///< How each owned server was gained.
  std::map<ServerId, ServerCondition> Conditions; ///< Latest, by owned server.
  std::vector<StopDispatching> Losses; ///< Losses that are not applied yet.
  std::vector<ServerId> GainedServers; ///< Not reported to Listener yet.
  std::vector<std::pair<EntryVm, PeerMessage>> Outbox; ///< Not sent yet.
  std::map<ServiceId, std::deque<std::vector<RankedServer>>>
      EarlierServerSets; ///< Server sets of each service, newest first.
  std::map<VmId, TimePoint> StateRequestedAt; ///< Last request to each peer.
  std::shared_ptr<const RoutingView> View;
  bool OwnedChanged = false; ///< applyOwned() is due.
  bool ViewStale = true;     ///< applyView() is due.
  TimePoint ViewBuiltAt;     ///< When the view was last built.
  bool Leaving = false;
  bool IsSuperseded = false;             ///< Not reported to Listener yet.
  std::optional<uint64_t> ExpiryToClear; ///< Fence.restart() is due after
                                         ///< applyOwned().
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_CONTROLPLANE_H

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

/// Settings of a ControlPart.
struct ControlSettings {
  MembershipSettings Membership;   ///< Times of membership and ownership.
  EntryVm Self;                    ///< This daemon's VM.
  Incarnation Run;                 ///< This run.
  std::vector<EntryVm> Seeds;      ///< Peers known from the settings.
  Duration KeyMemory{600'000'000}; ///< How long the departed matter to keys.
  uint64_t Seed = 1;               ///< Differs from run to run.
};

/// Receives what the control part works out. Called without its lock held, one
/// call at a time.
class ControlListener {
public:
  virtual ~ControlListener() = default;
  /// The servers owned from now on. Nothing may be dispatched to another server
  /// once it returns.
  virtual void onOwned(const OwnedServers &owned) = 0;
  /// A server has been lost to \p newOwner (empty id: to nobody), and onOwned
  /// has returned. Returns what is left in progress there.
  virtual uint32_t onLost(const ServerId &server, const EntryVm &newOwner) = 0;
  /// A server has been won; flows that live on it may be unknown here.
  virtual void onGained(const ServerId &server) = 0;
  /// A later run of this VM is there: this process must end.
  virtual void onSuperseded() = 0;
  /// A new view for routing.
  virtual void onView(std::shared_ptr<const RoutingView> view) = 0;
};

/// What operators may know of the control part.
struct ControlReport {
  MemberMap Members;            ///< All daemons known.
  std::vector<ServerId> Owned;  ///< Owned servers.
  std::vector<ServerId> Wanted; ///< Wanted, but not owned yet.
  AuthorityState Authority = AuthorityState::Held; ///< May it dispatch?
  std::map<DomainId, bool> Reachable; ///< Domains that members stand in.
  bool Leaving = false;               ///< It is on its way out.
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

  /// Takes in a message of the control protocols; false for any other.
  /// Thread-safe.
  bool onMessage(const EntryVm &from, const PeerMessage &message);
  /// Objects came from the platform. Thread-safe.
  void onObjects(const std::vector<ObjectState> &objects,
                 const std::string &from);
  /// The platform's VM list. Thread-safe.
  void onVmList(const std::vector<EntryVm> &vms);
  /// An owned server's condition changed. Thread-safe.
  void onCondition(ServerCondition condition);
  /// Time has passed. Call every few tens of milliseconds. Thread-safe.
  void tick(TimePoint now);
  /// Begins a graceful leave: others take over what is owned. Thread-safe.
  void beginLeave();
  /// True when nothing is owned that another daemon could take. Thread-safe.
  bool isReleased() const;
  /// Announces that it leaves. Precondition: released(). Thread-safe.
  void finishLeave();

  /// The view in force; null before the first one. Thread-safe.
  std::shared_ptr<const RoutingView> view() const;
  /// State for operators. Thread-safe.
  ControlReport report(TimePoint now) const;

private:
  ControlPlane(const ControlSettings &settings, const Clock &clock,
               ConfigurationStore &store, OwnershipFence &fence,
               PeerSender &sender, Telemetry &telemetry,
               ControlListener &listener);

  // All of these are called with the lock held.
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
  KeyReplicaView guardians(TimePoint now) const;

  void applyChanges(); ///< Called without any lock.
  void applyOwned();   ///< Called with ApplyLock.
  void applyView();    ///< Called with ApplyLock.

  const ControlSettings Settings;
  const Clock &Time;
  ConfigurationStore &Store;
  OwnershipFence &Fence;
  PeerSender &Sender;
  Telemetry &TelemetrySink;
  ControlListener &Listener;

  std::mutex ApplyLock;    ///< One application at a time; taken before Lock.
  mutable std::mutex Lock; ///< Guards all below.
  std::unique_ptr<Membership> Members;
  std::unique_ptr<OwnershipTracker> Ownership;
  std::map<ServerId, ServerAcquired> Gains; ///< How each owned server came.
  std::map<ServerId, ServerCondition> Conditions; ///< Newest of owned servers.
  std::vector<StopDispatching> Losses;            ///< Not applied yet.
  std::vector<ServerId> GainedServers;            ///< Not told yet.
  std::vector<std::pair<EntryVm, PeerMessage>> Outbox; ///< Not sent yet.
  std::map<ServiceId, std::deque<std::vector<RankedServer>>>
      EarlierServerSets; ///< Server sets, newest first.
  std::map<VmId, TimePoint>
      StateRequestedAt; ///< Last StateRequest to each peer.
  std::shared_ptr<const RoutingView> View;
  bool OwnedChanged = false; ///< applyOwned is due.
  bool ViewStale = true;     ///< applyView is due.
  TimePoint ViewBuiltAt;     ///< When the view was last built.
  bool Leaving = false;
  bool IsSuperseded = false;             ///< Not told yet.
  std::optional<uint64_t> ExpiryToClear; ///< Fence.restart() is due after
                                         ///< applyOwned().
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_CONTROLPLANE_H

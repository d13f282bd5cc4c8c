#ifndef BALSAMRACK_MEMBERSHIP_OWNERSHIPTRACKER_H
#define BALSAMRACK_MEMBERSHIP_OWNERSHIPTRACKER_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Balsamrack/Membership/MembershipSettings.h"
#include "Balsamrack/Membership/OwnershipEvents.h"
#include "Balsamrack/Membership/OwnershipMap.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Which servers of its domain this daemon owns. Guards against two owners
/// while daemons hold different views of the membership: it shows as two
/// daemons that each find themselves first in the rendezvous order. A daemon
/// therefore owns a server only after every live daemon of the domain has
/// released it to it (Ricart, Agrawala 1981), each holding the same daemons for
/// live, and after the leases of all others have ended. The present owner goes
/// on until it is asked last, so a planned move leaves the server unserved for
/// one round trip only. Deterministic; not thread-safe.
class OwnershipTracker {
public:
  /// A tracker that owns nothing. Error kInvalidArgument for bad settings.
  /// Thread-safe.
  static absl::StatusOr<std::unique_ptr<OwnershipTracker>>
  create(const MembershipSettings &settings, const EntryVm &self,
         Incarnation run, TimePoint now);

  /// Takes one event and says what to do. Precondition: \p now is not before
  /// that of the call before. Not thread-safe.
  std::vector<OwnershipAction> step(TimePoint now, const OwnershipEvent &event);

  /// True while this daemon owns \p server. Not thread-safe.
  bool owns(const ServerId &server) const;
  /// Owned servers, ordered by id. Not thread-safe.
  std::vector<ServerId> owned() const;
  /// Servers that are wanted, but not owned yet. Not thread-safe.
  std::vector<ServerId> wanted() const;
  /// Who said last that it holds a wanted server: where to send requests until
  /// it is released. Not thread-safe.
  std::optional<VmId> holderOf(const ServerId &server) const;
  /// When the next OwnershipTicked is due. Not thread-safe.
  TimePoint nextWakeup() const { return NextRequestAt; }

private:
  /// Where a server stands with this daemon.
  enum class Phase {
    NotOwned,   ///< Another daemon should own it, or does.
    Requesting, ///< This one should; it asks the others.
    Owned,      ///< This one does.
    Releasing,  ///< Lost, but the daemon may still be dispatching.
  };
  /// Whom to tell once a server has stopped.
  struct PendingRelease {
    EntryVm Vm;            ///< Who asked last; empty id for nobody.
    uint64_t Sequence = 0; ///< Of its question.
  };
  /// What is known of one server.
  struct Entry {
    Phase CurrentPhase = Phase::NotOwned; ///< Where it stands.
    bool RankedFirst = false;   ///< This daemon is first in rank for it.
    bool Configured = true;     ///< A ticket still places it here.
    std::set<VmId> ReleasedBy;  ///< Who released it under Sequence.
    std::set<VmId> HeldBy;      ///< Who said under Sequence that it holds it.
    bool HandedOver = false;    ///< Its owner was among those who released it.
    TimePoint OtherLeasesEnd;   ///< The others' leases have ended by then.
    HandedOverServer LastKnown; ///< What is known of it.
    PendingRelease Release;     ///< While Stopping.
  };

  OwnershipTracker(const MembershipSettings &settings, const EntryVm &self,
                   Incarnation run, TimePoint now);

  void on(const MembersChanged &event);
  void on(const ListedPeers &event);
  void on(const DomainServersChanged &event);
  void on(const HandOverReceived &event);
  void on(const DispatchStopped &event);
  void on(const PeerConditionReceived &event);
  void on(const AuthorityExpired &event);
  void on(const OwnershipTicked &event);

  void onRequest(const EntryVm &asker, const OwnershipHandOver &message);
  void onReply(const OwnershipHandOver &message);
  void addReplyFor(const EntryVm &asker, const OwnershipHandOver &question,
                   const ServerId &server, OwnershipHandOver &answer);
  void reconcile();
  void reconcileServer(const ServerId &id, Entry &entry);
  void restartRequests();
  void beginRequest(const ServerId &id, Entry &entry);
  void beginRelease(const ServerId &id, Entry &entry,
                    const PendingRelease &next);
  void sendDueRequests();
  bool sendRequestsTo(const MemberView &peer);
  void acquireReleased();
  bool allReleased(const Entry &entry) const;
  bool isOnlyHolderMissing(const Entry &entry, const VmId &peer) const;
  void acquire(const ServerId &id, Entry &entry);
  bool isStartupComplete() const;
  void updateRanks();
  void setPhase(const ServerId &id, Entry &entry, Phase phase);
  std::vector<const MemberView *> peers() const;
  const MemberView *findLivePeer(const VmId &id, Incarnation run) const;
  uint64_t liveHash() const;
  TimePoint othersLeasesEnd() const;
  Duration timeSinceDeadLease() const;
  OwnershipHandOver message(uint64_t sequence) const;
  void explain(const ServerId &server, const std::string &rule,
               const std::string &result, const VmId &peer);

  const MembershipSettings Settings;       ///< Times.
  const EntryVm Self;                      ///< This daemon's VM.
  const Incarnation Run;                   ///< This daemon's run.
  const TimePoint StartedAt;               ///< When it started.
  TimePoint Now;                           ///< Of the event being handled.
  OwnershipMap Map;                        ///< From Members.
  MemberMap Members;                       ///< Of the own domain, as last told.
  uint64_t LiveHash = 0;                   ///< Of Members.
  std::set<VmId> Listed;                   ///< As last told.
  std::map<ServerId, Entry> Servers;       ///< All that is known.
  std::set<ServerId> WantedIds;            ///< Those in Requesting.
  bool RanksOutdated = true;               ///< Mine is to be reckoned anew.
  bool PhasesOutdated = true;              ///< Phases are to be gone through.
  std::map<VmId, TimePoint> LastRequestAt; ///< Under Sequence.
  uint64_t Sequence = 1;                   ///< Of the present questions.
  TimePoint NextRequestAt;                 ///< When questions are due again.
  std::vector<OwnershipAction> Actions;    ///< Of the event being handled.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_OWNERSHIPTRACKER_H

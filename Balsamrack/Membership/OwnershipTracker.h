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

/// Tracks which servers of its domain this daemon owns. While daemons have
/// different views of the membership, two of them may each rank first for a
/// server by rendezvous hashing. To prevent two owners, a daemon owns a server
/// only after every live daemon of the domain has released it (Ricart, Agrawala
/// 1981) with the same view of the live daemons, and after the leases of dead
/// daemons and of earlier incarnations have ended. The current owner keeps the
/// server until all others have released it, so a planned move leaves the
/// server unserved for only one round trip. Deterministic; not thread-safe.
class OwnershipTracker {
public:
  /// Creates a tracker that owns no server. Returns kInvalidArgument for
  /// invalid settings. Thread-safe.
  static absl::StatusOr<std::unique_ptr<OwnershipTracker>>
  create(const MembershipSettings &settings, const EntryVm &self,
         Incarnation run, TimePoint now);

  /// Handles one event and returns the actions to carry out, in order.
  /// Precondition: \p now never decreases between calls. Not thread-safe.
  std::vector<OwnershipAction> step(TimePoint now, const OwnershipEvent &event);

  /// Returns whether this daemon owns \p server. Not thread-safe.
  bool owns(const ServerId &server) const;
  /// Returns the owned servers, ordered by id. Not thread-safe.
  std::vector<ServerId> owned() const;
  /// Returns the servers that are requested, but not owned yet. Not
  /// thread-safe.
  std::vector<ServerId> wanted() const;
  /// Returns a daemon that has reported to own the requested server \p server;
  /// callers' requests go there until it is released. Not thread-safe.
  std::optional<VmId> holderOf(const ServerId &server) const;
  /// Returns when the next OwnershipTicked is due. Not thread-safe.
  TimePoint nextWakeup() const { return NextRequestAt; }

private:
  /// Ownership state of a server on this daemon.
  enum class Phase {
    NotOwned,   ///< Owned, or to be owned, by another daemon.
    Requesting, ///< This daemon ranks first and requests it from the others.
    Owned,      ///< Owned by this daemon.
    Releasing,  ///< Given up, but dispatches may still be leaving.
  };
  /// The release message to send once dispatching has stopped.
  struct PendingRelease {
    EntryVm Vm;            ///< Latest requester; empty id for none.
    uint64_t Sequence = 0; ///< Sequence of its request.
  };
  /// State of one server.
  struct Entry {
    Phase CurrentPhase = Phase::NotOwned; ///< Ownership state.
    bool RankedFirst = false;             ///< This daemon ranks first for it.
    bool Configured =
        true; ///< The configuration in force lists it in this domain.
    std::set<VmId> ReleasedBy; ///< Peers that released it under Sequence.
    std::set<VmId> HeldBy;    ///< Peers that reported under Sequence to own it.
    bool HandedOver = false;  ///< One of ReleasedBy owned it.
    TimePoint OtherLeasesEnd; ///< By then the leases of daemons that the peers
                              ///< consider dead have ended.
    HandedOverServer LastKnown; ///< Latest known condition.
    PendingRelease Release;     ///< Set while Releasing.
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

  const MembershipSettings Settings; ///< Periods and lease times.
  const EntryVm Self;                ///< This daemon's VM.
  const Incarnation Run;             ///< Incarnation of this daemon.
  const TimePoint StartedAt;         ///< Start time of this daemon.
  TimePoint Now;                     ///< Time of the event being handled.
  OwnershipMap Map;                  ///< Built from Members.
  MemberMap Members;                 ///< Daemons of the own domain.
  uint64_t LiveHash = 0;             ///< Hash of the live daemons in Members.
  std::set<VmId> Listed;             ///< Latest ListedPeers.
  std::map<ServerId, Entry> Servers; ///< All known servers.
  std::set<ServerId> WantedIds;      ///< Servers in phase Requesting.
  bool RanksOutdated = true;         ///< RankedFirst must be recomputed.
  bool PhasesOutdated = true;        ///< reconcile() must visit all servers.
  std::map<VmId, TimePoint> LastRequestAt; ///< By peer, under Sequence.
  uint64_t Sequence = 1;                   ///< Number of the current requests.
  TimePoint NextRequestAt;                 ///< When requests are repeated.
  std::vector<OwnershipAction> Actions;    ///< Result of the current step.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_OWNERSHIPTRACKER_H

#ifndef BALSAMRACK_MEMBERSHIP_MEMBERTABLE_H
#define BALSAMRACK_MEMBERSHIP_MEMBERTABLE_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Balsamrack/Membership/HintList.h"
#include "Balsamrack/Membership/MemberView.h"
#include "Balsamrack/Membership/MembershipSettings.h"

namespace balsamrack {

/// True when \p a is higher than \p b: by Run, then Refutation, then State.
/// Thread-safe.
bool isHigher(const MemberRecord &a, const MemberRecord &b);

/// One change of the table.
struct MemberChange {
  MemberRecord Record;      ///< The state after it.
  bool Unreachable = false; ///< Reachability after it.
  std::string Rule;         ///< Why.
  VmId Peer;                ///< On whose word; may be empty.
  bool ShouldGossip = true; ///< Whether others should hear of it.
};

/// What is known of the daemons, and the rules by which record change it: the
/// higher record wins, a suspicion that is not refuted becomes death, and a
/// domain that is silent as a whole is unreachable instead. Not thread-safe.
class MemberTable {
public:
  /// A table that knows \p self only. Thread-safe.
  MemberTable(const MembershipSettings &settings, const EntryVm &self,
              Incarnation run);

  /// All known daemons, this one included. Not thread-safe.
  const MemberMap &all() const { return Members; }
  /// Record of this daemon. Not thread-safe.
  const MemberRecord &self() const { return Members.at(Self).Record; }
  /// This daemon shuts down (\p state Alive) or is gone (Left). Not
  /// thread-safe.
  void announceLeaving(TimePoint now, MemberState state);

  /// Takes record from \p peer. Not thread-safe.
  void apply(TimePoint now, const MemberRecord &record, const VmId &peer);
  /// \p vm answered or spoke itself. Not thread-safe.
  void recordContact(TimePoint now, const VmId &vm);
  /// We answer a probe of \p vm. Its lease is renewed when we hold this run of
  /// it for alive; says whether we do. Not thread-safe.
  bool renewLease(TimePoint now, const VmId &vm, Incarnation run);
  /// \p vm did not answer, nor through others. Not thread-safe.
  void suspect(TimePoint now, const VmId &vm);
  /// Ends suspicions that are over and, once in a while, forgets the long dead;
  /// returns whom it forgot. Not thread-safe.
  std::vector<VmId> expire(TimePoint now, const HintList &hints);
  /// This process did not run for \p gap: what others said meanwhile was not
  /// read, so running suspicions are prolonged by it. Not thread-safe.
  void extendSuspicions(Duration gap);

  /// True unless \p domain is silent as a whole. Not thread-safe.
  bool reachable(const DomainId &domain) const;
  /// A domain of which a member is suspect and nobody was heard since. Not
  /// thread-safe.
  std::optional<DomainId> findSilentDomain() const;
  /// Whether \p vm of run \p run is held for alive. Not thread-safe.
  bool isAlive(const VmId &vm, Incarnation run) const;
  /// True when others held this daemon for dead since the last call. Not
  /// thread-safe.
  bool takeDeclaredDead();
  /// A later run of this daemon, when one was heard of since the last call. Not
  /// thread-safe.
  std::optional<MemberRecord> takeSuperseded();
  /// Changes since the last call, in order. Not thread-safe.
  std::vector<MemberChange> takeChanges();

private:
  /// A suspicion that runs.
  struct Suspicion {
    TimePoint Since;          ///< Since when.
    TimePoint Until;          ///< When it becomes death.
    bool ProbedAgain = false; ///< Its domain got a second chance to be heard.
  };
  void refute(TimePoint now, const MemberRecord &record, const VmId &peer);
  void replace(TimePoint now, MemberView &member, const MemberRecord &record,
               const std::string &rule, const VmId &peer);
  Duration suspicionTimeOf(const MemberView &member) const;
  void endSuspicion(TimePoint now, const VmId &vm, Suspicion suspicion);
  void setUnreachable(TimePoint now, const DomainId &domain);
  void setReachable(TimePoint now, const DomainId &domain);
  void recordChange(const MemberView &member, const std::string &rule,
                    const VmId &peer, bool spread);
  std::vector<VmId> forgetDeparted(TimePoint now, const HintList &hints);

  const MembershipSettings Settings;         ///< Times.
  const VmId Self;                           ///< This daemon.
  const DomainId OwnDomain;                  ///< Its domain.
  MemberMap Members;                         ///< All known.
  std::map<VmId, Suspicion> Suspicions;      ///< Of suspect members.
  std::map<DomainId, TimePoint> DomainHeard; ///< Last direct message of any.
  std::set<DomainId> UnreachableDomains;     ///< Silent as a whole.
  bool WasDeclaredDead = false;              ///< Not taken yet.
  std::optional<MemberRecord> SupersededBy;  ///< Not taken yet.
  std::vector<MemberChange> Changes;         ///< Not taken yet.
  TimePoint NextForget; ///< forget() goes through all members.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERTABLE_H

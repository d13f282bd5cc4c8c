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

/// Returns whether \p a supersedes \p b: by Run, then Refutation, then State.
/// Thread-safe.
bool isHigher(const MemberRecord &a, const MemberRecord &b);

/// A change of one member in the table.
struct MemberChange {
  MemberRecord Record;      ///< Record after the change.
  bool Unreachable = false; ///< Reachability after the change.
  std::string Rule;         ///< Rule that caused it.
  VmId Peer;                ///< Source of the record; may be empty.
  bool ShouldGossip = true; ///< Whether to gossip it to peers.
};

/// Table of all known daemons. The higher record wins, a suspicion that is not
/// refuted in time turns into death, and the members of a domain that is silent
/// as a whole become unreachable instead of dead. Not thread-safe.
class MemberTable {
public:
  /// Creates a table with \p self only. Thread-safe.
  MemberTable(const MembershipSettings &settings, const EntryVm &self,
              Incarnation run);

  /// Returns all known daemons, this one included. Not thread-safe.
  const MemberMap &all() const { return Members; }
  /// Returns the record of this daemon. Not thread-safe.
  const MemberRecord &self() const { return Members.at(Self).Record; }
  /// Marks this daemon as shutting down (\p state Alive) or as departed (Left).
  /// Not thread-safe.
  void announceLeaving(TimePoint now, MemberState state);

  /// Merges \p record received from \p peer. Not thread-safe.
  void apply(TimePoint now, const MemberRecord &record, const VmId &peer);
  /// Records a direct message from \p vm. Not thread-safe.
  void recordContact(TimePoint now, const VmId &vm);
  /// Called when a probe of \p vm is answered. Renews its lease if \p run is
  /// considered alive; returns whether it was renewed. Not thread-safe.
  bool renewLease(TimePoint now, const VmId &vm, Incarnation run);
  /// Marks \p vm as suspect: it answered neither a direct nor an indirect
  /// probe. Not thread-safe.
  void suspect(TimePoint now, const VmId &vm);
  /// Ends suspicions that have timed out and periodically forgets daemons that
  /// departed long ago; returns the forgotten ones. Not thread-safe.
  std::vector<VmId> expire(TimePoint now, const HintList &hints);
  /// Extends running suspicions by \p gap, during which this process was paused
  /// and could not read refutations. Not thread-safe.
  void extendSuspicions(Duration gap);

  /// Returns false if \p domain is silent as a whole. Not thread-safe.
  bool reachable(const DomainId &domain) const;
  /// Returns another domain with a suspect member and no direct message from
  /// any member since the suspicion began. Not thread-safe.
  std::optional<DomainId> findSilentDomain() const;
  /// Returns whether incarnation \p run of \p vm is considered alive. Not
  /// thread-safe.
  bool isAlive(const VmId &vm, Incarnation run) const;
  /// Returns whether a peer has declared this daemon dead since the last call.
  /// Not thread-safe.
  bool takeDeclaredDead();
  /// Returns the record of a later incarnation of this daemon, if one was
  /// received since the last call. Not thread-safe.
  std::optional<MemberRecord> takeSuperseded();
  /// Returns the changes since the last call, in order. Not thread-safe.
  std::vector<MemberChange> takeChanges();

private:
  /// A running suspicion.
  struct Suspicion {
    TimePoint Since;          ///< Start.
    TimePoint Until;          ///< When the member is declared dead.
    bool ProbedAgain = false; ///< The silent domain got extra time to answer.
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

  const MembershipSettings Settings;    ///< Periods and limits.
  const VmId Self;                      ///< This daemon.
  const DomainId OwnDomain;             ///< Its domain.
  MemberMap Members;                    ///< All known daemons.
  std::map<VmId, Suspicion> Suspicions; ///< Suspicions of suspect members.
  std::map<DomainId, TimePoint>
      DomainHeard; ///< Last direct message from any member.
  std::set<DomainId>
      UnreachableDomains;       ///< Domains that are silent as a whole.
  bool WasDeclaredDead = false; ///< Not yet reported.
  std::optional<MemberRecord> SupersededBy; ///< Not yet reported.
  std::vector<MemberChange> Changes;        ///< Not yet reported.
  TimePoint NextForget; ///< When forgetDeparted() is due again.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERTABLE_H

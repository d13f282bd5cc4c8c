#ifndef BALSAMRACK_MEMBERSHIP_SWIMMEMBERSHIP_H
#define BALSAMRACK_MEMBERSHIP_SWIMMEMBERSHIP_H

#include <map>
#include <set>
#include <string>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Membership/GossipComposer.h"
#include "Balsamrack/Membership/HintList.h"
#include "Balsamrack/Membership/MemberTable.h"
#include "Balsamrack/Membership/Membership.h"
#include "Balsamrack/Membership/ProbeOrder.h"

namespace balsamrack {

/// The Membership that Membership::create makes. Each ProbePeriod it sends one
/// probe, by turns to the own domain, on which ownership depends, and to the
/// rest of the fleet. Not thread-safe.
class SwimMembership final : public Membership {
public:
  /// Preconditions: \p settings were checked, \p self has an id, \p run is not
  /// zero. Thread-safe.
  SwimMembership(const MembershipSettings &settings, const EntryVm &self,
                 Incarnation run, uint64_t seed);

  std::vector<MembershipAction> step(TimePoint now,
                                     const MembershipEvent &event) override;
  const MemberMap &members() const override { return Table.all(); }
  bool domainReachable(const DomainId &domain) const override;
  std::vector<VmId> recentlyDeparted(TimePoint now,
                                     Duration span) const override;
  std::vector<VmId> listedDomainPeers() const override;
  std::vector<VmId> liveDomainPeers() const override;
  std::optional<TimePoint> nextWakeup() const override;

private:
  /// A probe of ours that has no answer yet.
  struct Probe {
    EntryVm Target;        ///< Who is probed.
    TimePoint SentAt;      ///< When.
    bool Indirect = false; ///< Others were asked to probe it too.
  };
  /// A probe that a peer asked us for.
  struct RelayedProbe {
    EntryVm Requester;     ///< Who asked.
    uint64_t Sequence = 0; ///< Its number of the probe.
    TimePoint SentAt;      ///< When we passed it on.
  };

  void on(const MembershipTicked &event);
  void on(const MessageReceived &event);
  void on(const PlatformList &event);
  void on(const Seeds &event);
  void on(const DigestChanged &event);
  void on(const ConditionLearned &event);
  void on(const MembershipLeaving &event);
  void on(const MembershipLeft &event);
  void on(const EntryVm &from, const Ping &ping);
  void on(const EntryVm &from, const PingRequest &request);
  void on(const EntryVm &from, const Ack &ack);

  void probe(const EntryVm &target);
  void probeNext();
  void probeHints();
  void probeUnreachable();
  void expireProbes();
  void expireRelays();
  void sendPingRequests(uint64_t sequence, const EntryVm &target);
  void onProbeTimeout(const EntryVm &target);
  void detectPause();
  bool mayRenewLeases() const;
  void sendAck(const EntryVm &to, const Ping &ping, bool started);
  void onProbeAnswered(const Probe &probe, const EntryVm &from, const Ack &ack);
  void mergeGossip(const EntryVm &from, const Gossip &updates);
  void compareDigests(const EntryVm &from, const StateDigest &theirs);
  void reportTableChanges();
  void explain(const MemberChange &change);
  void send(const EntryVm &to, std::variant<Ping, PingRequest, Ack> content);
  bool isPeer(const MemberView &member) const;
  bool isDomainPeer(const MemberView &member) const;

  const MembershipSettings Settings;       ///< Times and limits.
  const EntryVm Self;                      ///< This daemon's VM, as it started.
  const Incarnation Run;                   ///< This daemon's run.
  SeededRandom Random;                     ///< Order and jitter.
  MemberTable Table;                       ///< Who is there.
  HintList Hints;                          ///< Who may be there.
  GossipComposer Composer;                 ///< What rides along.
  ProbeOrder DomainOrder;                  ///< Own domain's round.
  ProbeOrder FleetOrder;                   ///< The other domains' round.
  std::map<uint64_t, Probe> Probes;        ///< Unanswered, by sequence.
  std::map<uint64_t, RelayedProbe> Relays; ///< Passed on, by sequence.
  uint64_t LastSequence = 0;               ///< Of probes.
  TimePoint Now;                           ///< Of the event being handled.
  TimePoint LastTick;                      ///< Zero before the first one.
  TimePoint StartupEnd;                    ///< Probes come quicker until then.
  TimePoint NextProbe;                     ///< When the next probe is due.
  TimePoint NextUnreachableProbe;          ///< When the next one there is due.
  TimePoint NextFullTable;                 ///< Whole tables are sent this late.
  TimePoint NextStateRequest;              ///< PeerHasNewer is told this late.
  TimePoint PauseEndedAt;         ///< End of the last pause; zero: none.
  bool RenewedSincePause = true;  ///< A peer renewed us since PauseEndedAt.
  TimePoint LastRenewal;          ///< Newest SentAt of a renewal.
  bool ProbeOwnDomainNext = true; ///< Whose turn the next probe is.
  std::vector<MembershipAction> Actions; ///< Of the event being handled.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_SWIMMEMBERSHIP_H

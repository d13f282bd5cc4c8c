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

/// SWIM implementation of Membership. Each ProbePeriod it sends one probe,
/// alternately to the own domain, on which ownership depends, and to the rest
/// of the fleet. Not thread-safe.
class SwimMembership final : public Membership {
public:
  /// Preconditions: settings.check() passed, \p self has an id, \p run is not
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
  /// A probe sent by this daemon that is not answered yet.
  struct Probe {
    EntryVm Target;        ///< Probed daemon.
    TimePoint SentAt;      ///< Send time.
    bool Indirect = false; ///< PingRequests were sent to other daemons.
  };
  /// A probe sent on behalf of a peer.
  struct RelayedProbe {
    EntryVm Requester;     ///< Sender of the PingRequest.
    uint64_t Sequence = 0; ///< Sequence of the PingRequest.
    TimePoint SentAt;      ///< Send time of the probe.
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

  const MembershipSettings Settings; ///< Periods and limits.
  const EntryVm Self;                ///< This daemon's VM at its start.
  const Incarnation Run;             ///< Incarnation of this daemon.
  SeededRandom Random;               ///< For probe order and jitter.
  MemberTable Table;                 ///< Known daemons.
  HintList Hints;                    ///< VMs that have not answered yet.
  GossipComposer Composer;           ///< Selects piggybacked updates.
  ProbeOrder DomainOrder;            ///< Probe round of the own domain.
  ProbeOrder FleetOrder;             ///< Probe round of the other domains.
  std::map<uint64_t, Probe> Probes;  ///< Unanswered probes by sequence.
  std::map<uint64_t, RelayedProbe> Relays; ///< Relayed probes by sequence.
  uint64_t LastSequence = 0;               ///< Of the last probe sent.
  TimePoint Now;                           ///< Time of the event being handled.
  TimePoint LastTick;                      ///< Zero before the first one.
  TimePoint StartupEnd;                    ///< StartPeriod applies until then.
  TimePoint NextProbe;                     ///< When the next probe is due.
  TimePoint NextUnreachableProbe; ///< When the next probe of an unreachable or
                                  ///< dead daemon is due.
  TimePoint NextFullTable;        ///< No full table is sent before.
  TimePoint NextStateRequest;     ///< No PeerHasNewer is reported before.
  TimePoint PauseEndedAt;         ///< End of the last pause; zero if none.
  bool RenewedSincePause =
      true; ///< False from a pause until a peer renews this daemon's lease.
  TimePoint LastRenewal;          ///< Latest SentAt of a lease renewal.
  bool ProbeOwnDomainNext = true; ///< The next probe goes to the own domain.
  std::vector<MembershipAction> Actions; ///< Result of the current step.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_SWIMMEMBERSHIP_H

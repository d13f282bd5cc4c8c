#include "Balsamrack/Membership/SwimMembership.h"

#include <algorithm>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// A process whose last tick is more than this many probe periods ago counts as
/// paused.
constexpr int PausePeriods = 2;
/// Minimum time between two full tables sent to newly started daemons. When a
/// whole fleet starts, every daemon is new to every other one.
constexpr Duration FullTablePeriod{500'000};
/// Minimum time between two PeerHasNewer actions.
constexpr Duration StateRequestPeriod{250'000};
/// When the last renewal is older than this fraction (1/N) of the lease, the
/// next probe goes to the own domain, out of turn.
constexpr int RenewalAgeDivisor = 3;

} // namespace

absl::StatusOr<std::unique_ptr<Membership>>
Membership::create(const MembershipSettings &settings, const EntryVm &self,
                   Incarnation run, uint64_t seed) {
  absl::Status checked = settings.check();
  if (!checked.ok())
    return checked;
  if (self.Id.empty() || self.Domain.empty() || run.Value == 0)
    return makeError(absl::StatusCode::kInvalidArgument, Step::Probe, "",
                     "a daemon needs an id, a domain and a run");
  return std::unique_ptr<Membership>(
      std::make_unique<SwimMembership>(settings, self, run, seed));
}

SwimMembership::SwimMembership(const MembershipSettings &settings,
                               const EntryVm &self, Incarnation run,
                               uint64_t seed)
    : Settings(settings), Self(self), Run(run), Random(seed),
      Table(settings, self, run), Hints(settings, self),
      Composer(settings, self.Domain) {}

std::vector<MembershipAction>
SwimMembership::step(TimePoint now, const MembershipEvent &event) {
  Now = now;
  Actions.clear();
  detectPause();
  std::visit([this](const auto &what) { on(what); }, event);
  reportTableChanges();
  return std::exchange(Actions, {});
}

void SwimMembership::on(const MembershipTicked &) {
  // The first probe is sent relative to the first tick, so that daemons that
  // start together do not probe in lockstep.
  if (LastTick == TimePoint{}) {
    NextProbe = Now;
    StartupEnd = Now + Settings.StartSpan;
  }
  LastTick = Now;
  expireRelays();
  expireProbes();
  for (const VmId &vm : Table.expire(Now, Hints)) {
    Composer.removeMember(vm);
    Hints.onMemberForgotten(Now, vm);
  }
  reportTableChanges();
  if (Now < NextProbe)
    return;
  // Do not send probes for periods missed by a late tick.
  NextProbe = std::max(NextProbe + (Now < StartupEnd ? Settings.StartPeriod
                                                     : Settings.ProbePeriod),
                       Now);
  if (Table.self().State == MemberState::Left)
    return;
  probeNext();
  probeHints();
  probeUnreachable();
}

void SwimMembership::detectPause() {
  Duration gap = Now - LastTick;
  bool slept = gap > Settings.ProbePeriod * PausePeriods;
  if (LastTick == TimePoint{} || !slept)
    return;
  LastTick = Now;
  // Two daemons that were paused and resume together may both be considered
  // dead by the rest. They must not renew each other's leases: after a pause a
  // daemon renews no lease until its own has been renewed.
  RenewedSincePause = false;
  PauseEndedAt = Now;
  // A paused process must not take its own pause for a failure of its peers
  // (Lifeguard: Dadgar, Phillips, Currey 2017): when it resumes, all its probes
  // have timed out, although answers wait unread in its sockets.
  Probes.clear();
  Table.extendSuspicions(gap);
}

bool SwimMembership::mayRenewLeases() const {
  // If the whole domain was paused, no daemon can be renewed first; after
  // takeoverWait all leases have ended.
  return RenewedSincePause || Now - PauseEndedAt >= Settings.takeoverWait();
}

void SwimMembership::expireRelays() {
  Duration limit = Settings.ProbeTimeout + Settings.IndirectTimeout;
  for (auto it = Relays.begin(); it != Relays.end();)
    it = Now - it->second.SentAt > limit ? Relays.erase(it) : std::next(it);
}

void SwimMembership::expireProbes() {
  Duration limit = Settings.ProbeTimeout + Settings.IndirectTimeout;
  for (auto it = Probes.begin(); it != Probes.end();) {
    Probe &probe = it->second;
    if (Now - probe.SentAt >= limit) {
      onProbeTimeout(probe.Target);
      it = Probes.erase(it);
      continue;
    }
    if (!probe.Indirect && Now - probe.SentAt >= Settings.ProbeTimeout) {
      probe.Indirect = true;
      sendPingRequests(it->first, probe.Target);
    }
    ++it;
  }
}

void SwimMembership::sendPingRequests(uint64_t sequence,
                                      const EntryVm &target) {
  // Indirect probes are sent for members only; hints are retried later.
  if (Table.all().count(target.Id) == 0)
    return;
  auto others = pickRandom(
      Table.all(),
      [&](const MemberView &member) {
        return isPeer(member) && member.Record.State == MemberState::Alive &&
               member.Record.Vm.Id != target.Id;
      },
      Settings.IndirectProbes, Random);
  for (const EntryVm &other : others)
    send(other,
         PingRequest{sequence, target, Composer.compose(Table.all(), other)});
}

void SwimMembership::onProbeTimeout(const EntryVm &target) {
  auto it = Table.all().find(target.Id);
  if (it == Table.all().end() || it->second.Unreachable)
    return;
  Table.suspect(Now, target.Id);
}

bool SwimMembership::isPeer(const MemberView &member) const {
  return member.live() && member.Record.Vm.Id != Self.Id;
}

bool SwimMembership::isDomainPeer(const MemberView &member) const {
  return isPeer(member) && member.Record.Vm.Domain == Self.Domain;
}

void SwimMembership::probe(const EntryVm &target) {
  Probes[++LastSequence] = {target, Now, false};
  send(target,
       Ping{LastSequence, Table.self(), Composer.compose(Table.all(), target)});
}

void SwimMembership::probeNext() {
  auto ofDomain = [this](const MemberView &m) { return isDomainPeer(m); };
  auto ofFleet = [this](const MemberView &m) {
    return isPeer(m) && m.Record.Vm.Domain != Self.Domain;
  };
  bool leaseAges = Now - LastRenewal > Settings.LeaseTime / RenewalAgeDivisor;
  bool domain = (ProbeOwnDomainNext || leaseAges) && !liveDomainPeers().empty();
  ProbeOwnDomainNext = !domain;
  std::optional<EntryVm> target;
  // A domain that may have become silent is probed before the usual round.
  std::optional<DomainId> silent = Table.findSilentDomain();
  if (!domain && silent) {
    auto there = pickRandom(
        Table.all(),
        [&](const MemberView &m) {
          return isPeer(m) && m.Record.Vm.Domain == *silent;
        },
        1, Random);
    if (!there.empty())
      target = there.front();
  }
  if (!target && domain)
    target = DomainOrder.next(Table.all(), ofDomain, Random);
  if (!target)
    target = FleetOrder.next(Table.all(), ofFleet, Random);
  if (!target)
    target = DomainOrder.next(Table.all(), ofDomain, Random);
  if (target)
    probe(*target);
}

void SwimMembership::probeHints() {
  for (const EntryVm &vm : Hints.takeDue(Now))
    probe(vm);
}

void SwimMembership::probeUnreachable() {
  if (Now < NextUnreachableProbe)
    return;
  // Dead daemons are probed too: after a partition inside the own domain each
  // side considers the other dead, and without probes they would never find
  // each other again.
  auto gone = [](const MemberView &m) {
    return m.Unreachable || m.Record.State == MemberState::Dead;
  };
  auto goneHere = [&](const MemberView &m) {
    return gone(m) && m.Record.Vm.Domain == Self.Domain;
  };
  // Prefer the own domain: an unreachable region must not delay contact with a
  // daemon that shares ownership with this one.
  auto targets = pickRandom(Table.all(), goneHere, 1, Random);
  if (targets.empty() || Random.below(2) == 0)
    targets = pickRandom(Table.all(), gone, 1, Random);
  // Jitter spreads the fleet's probes of a domain that recovers.
  Duration wait = Settings.UnreachableProbePeriod;
  NextUnreachableProbe = Now + wait / 2 +
                         Duration(static_cast<int64_t>(Random.below(
                             static_cast<uint64_t>(wait.count()))));
  if (!targets.empty())
    probe(targets.front());
}

void SwimMembership::on(const MessageReceived &event) {
  std::visit([&](const auto &content) { on(event.From, content); },
             event.Content);
}

void SwimMembership::on(const EntryVm &from, const Ping &ping) {
  const MemberRecord &sender = ping.Sender;
  if (sender.Vm.Id != from.Id || sender.Vm.Id == Self.Id)
    return;
  auto it = Table.all().find(sender.Vm.Id);
  bool started = it == Table.all().end() || it->second.Record.Run < sender.Run;
  // Merge updates about this daemon before answering, so that the answer
  // carries the refutation.
  mergeGossip(from, ping.Updates);
  Table.apply(Now, sender, from.Id);
  Hints.forget(sender.Vm.Id);
  Table.recordContact(Now, sender.Vm.Id);
  reportTableChanges();
  // The leave message of an unknown daemon adds no entry to the table, and its
  // sender does not wait for an answer.
  bool known = Table.all().count(sender.Vm.Id) != 0;
  if (known && Table.self().State != MemberState::Left)
    sendAck(sender.Vm, ping, started);
}

void SwimMembership::sendAck(const EntryVm &to, const Ping &ping,
                             bool started) {
  bool renews =
      mayRenewLeases() && Table.renewLease(Now, to.Id, ping.Sender.Run);
  bool full = started && Now >= NextFullTable;
  if (full)
    NextFullTable = Now + FullTablePeriod;
  Gossip updates = full ? Composer.composeFull(Table.all(), to)
                        : Composer.compose(Table.all(), to);
  // An outdated incarnation is told of its successor; its lease is not renewed.
  const MemberRecord &known = Table.all().at(to.Id).Record;
  if (known.Run > ping.Sender.Run)
    updates.Members.insert(updates.Members.begin(), known);
  send(to,
       Ack{ping.Sequence, Self.Id, Table.self(), std::move(updates), renews});
}

void SwimMembership::on(const EntryVm &from, const PingRequest &request) {
  mergeGossip(from, request.Updates);
  if (request.Target.Id == Self.Id)
    return;
  Relays[++LastSequence] = {from, request.Sequence, Now};
  send(request.Target, Ping{LastSequence, Table.self(),
                            Composer.compose(Table.all(), request.Target)});
}

void SwimMembership::on(const EntryVm &from, const Ack &ack) {
  if (ack.Sender.Vm.Id != ack.About)
    return;
  mergeGossip(from, ack.Updates);
  auto relay = Relays.find(ack.Sequence);
  if (relay != Relays.end()) {
    Table.apply(Now, ack.Sender, from.Id);
    const EntryVm asker = relay->second.Requester;
    send(asker, Ack{relay->second.Sequence, ack.About, ack.Sender,
                    Composer.compose(Table.all(), asker), false});
    Relays.erase(relay);
    return;
  }
  auto it = Probes.find(ack.Sequence);
  if (it == Probes.end() || it->second.Target.Id != ack.About)
    return;
  Probe answered = it->second;
  Probes.erase(it);
  onProbeAnswered(answered, from, ack);
}

void SwimMembership::onProbeAnswered(const Probe &probe, const EntryVm &from,
                                     const Ack &ack) {
  Table.apply(Now, ack.Sender, from.Id);
  Hints.forget(ack.About);
  Table.recordContact(Now, ack.About);
  reportTableChanges();
  // An indirect answer proves that the target is alive, but it does not renew
  // this daemon's lease, since the target answered another daemon.
  bool direct = from.Id == ack.About;
  if (!direct || !ack.Renews || ack.Sender.Vm.Domain != Self.Domain)
    return;
  // The peer renews only an incarnation that it considers alive; otherwise its
  // answer contains a record that says so (GossipComposer).
  for (const MemberRecord &record : ack.Updates.Members)
    if (record.Vm.Id == Self.Id &&
        (record.State != MemberState::Alive || record.Run != Run))
      return;
  RenewedSincePause = RenewedSincePause || probe.SentAt >= PauseEndedAt;
  LastRenewal = std::max(LastRenewal, probe.SentAt);
  Actions.push_back(LeaseRenewed{ack.About, probe.SentAt});
}

void SwimMembership::mergeGossip(const EntryVm &from, const Gossip &updates) {
  for (const MemberRecord &member : updates.Members)
    Table.apply(Now, member, from.Id);
  for (const ServerCondition &condition : updates.Conditions)
    if (from.Domain == Self.Domain && Composer.queueCondition(condition))
      Actions.push_back(ConditionReceived{condition});
  compareDigests(from, updates.Held);
  // DeclaredDead must precede any message that is sent.
  reportTableChanges();
}

void SwimMembership::compareDigests(const EntryVm &from,
                                    const StateDigest &theirs) {
  const StateDigest &ours = Composer.digest();
  if (theirs.Highest < ours.Highest) {
    Actions.push_back(PeerHasOlder{from, theirs});
    return;
  }
  bool same = theirs.Highest == ours.Highest && theirs.Hash == ours.Hash;
  if (same || Now < NextStateRequest)
    return;
  NextStateRequest = Now + StateRequestPeriod;
  Actions.push_back(PeerHasNewer{from, theirs});
}

void SwimMembership::on(const PlatformList &event) {
  Hints.setListed(Now, event.Vms, Table.all());
  for (const EntryVm &vm : event.Vms)
    if (vm.Id == Self.Id && vm.Leaving && !Table.self().Vm.Leaving)
      Table.announceLeaving(Now, MemberState::Alive);
}

void SwimMembership::on(const Seeds &event) {
  Hints.addSeeds(Now, event.Vms, Table.all());
}

void SwimMembership::on(const DigestChanged &event) {
  Composer.setDigest(event.Held);
}

void SwimMembership::on(const ConditionLearned &event) {
  Composer.queueCondition(event.Condition);
}

void SwimMembership::on(const MembershipLeaving &) {
  if (!Table.self().Vm.Leaving)
    Table.announceLeaving(Now, MemberState::Alive);
}

void SwimMembership::on(const MembershipLeft &) {
  if (Table.self().State == MemberState::Left)
    return;
  Table.announceLeaving(Now, MemberState::Left);
  reportTableChanges();
  // No daemon probes this one any more, so the leave record is sent in probes
  // of its own.
  auto ofDomain = [this](const MemberView &m) { return isDomainPeer(m); };
  auto anyone = [this](const MemberView &m) { return isPeer(m); };
  auto receivers =
      pickRandom(Table.all(), ofDomain, Settings.IndirectProbes, Random);
  for (const EntryVm &vm :
       pickRandom(Table.all(), anyone, Settings.IndirectProbes, Random))
    receivers.push_back(vm);
  for (const EntryVm &vm : receivers)
    send(vm,
         Ping{++LastSequence, Table.self(), Composer.compose(Table.all(), vm)});
}

void SwimMembership::reportTableChanges() {
  if (Table.takeDeclaredDead())
    Actions.push_back(DeclaredDead{});
  if (auto later = Table.takeSuperseded())
    Actions.push_back(Superseded{*later});
  for (const MemberChange &change : Table.takeChanges()) {
    if (change.ShouldGossip && Table.all().count(change.Record.Vm.Id))
      Composer.queueMember(change.Record.Vm.Id);
    Actions.push_back(MemberChanged{change.Record, change.Unreachable});
    explain(change);
  }
}

void SwimMembership::explain(const MemberChange &change) {
  static const char *const names[] = {"alive", "suspect", "dead", "left"};
  Decision decision;
  decision.At = Now;
  decision.Kind = DecisionKind::MemberChanged;
  decision.Rule = change.Rule;
  decision.Result = absl::StrCat(
      change.Record.Vm.Id.str(), " is held for ",
      change.Unreachable ? "unreachable"
                         : names[static_cast<size_t>(change.Record.State)]);
  decision.Ticket = Composer.digest().Highest;
  decision.AtStep = stepName(Step::Probe);
  decision.AtPeer = change.Peer.str();
  decision.Inputs = {{"run", absl::StrCat(change.Record.Run.Value)},
                     {"refutation", absl::StrCat(change.Record.Refutation)},
                     {"domain", change.Record.Vm.Domain.str()}};
  Actions.push_back(Explain{std::move(decision)});
}

void SwimMembership::send(const EntryVm &to,
                          std::variant<Ping, PingRequest, Ack> content) {
  Actions.push_back(SendTo{to, std::move(content)});
}

bool SwimMembership::domainReachable(const DomainId &domain) const {
  return Table.reachable(domain);
}

std::vector<VmId> SwimMembership::recentlyDeparted(TimePoint now,
                                                   Duration span) const {
  std::vector<VmId> departed;
  for (const auto &[id, member] : Table.all())
    if (!member.live() && !member.Unreachable &&
        now - member.StateChangedAt <= span)
      departed.push_back(id);
  return departed;
}

std::vector<VmId> SwimMembership::listedDomainPeers() const {
  return Hints.domainPeers();
}

std::vector<VmId> SwimMembership::liveDomainPeers() const {
  std::vector<VmId> peers;
  for (const auto &[id, member] : Table.all())
    if (isDomainPeer(member))
      peers.push_back(id);
  return peers;
}

std::optional<TimePoint> SwimMembership::nextWakeup() const {
  if (LastTick == TimePoint{})
    return std::nullopt;
  TimePoint next = NextProbe;
  for (const auto &[sequence, probe] : Probes) {
    TimePoint due = probe.SentAt + Settings.ProbeTimeout;
    if (probe.Indirect)
      due += Settings.IndirectTimeout;
    next = std::min(next, due);
  }
  return next;
}

} // namespace balsamrack

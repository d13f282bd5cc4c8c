#include "Balsamrack/Membership/MemberTable.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace balsamrack {

namespace {

/// A silent domain is probed for this many more periods before it is marked
/// unreachable.
constexpr int DomainCheckPeriods = 4;
/// Factor on the suspicion time of members of a domain that becomes reachable
/// again, so that they can refute records from the time of the partition.
constexpr int HealedSuspicionFactor = 3;
/// Period of forgetDeparted().
constexpr Duration ForgetPeriod{250'000};

} // namespace

bool isHigher(const MemberRecord &a, const MemberRecord &b) {
  return std::make_tuple(a.Run.Value, a.Refutation, a.State) >
         std::make_tuple(b.Run.Value, b.Refutation, b.State);
}

MemberTable::MemberTable(const MembershipSettings &settings,
                         const EntryVm &self, Incarnation run)
    : Settings(settings), Self(self.Id), OwnDomain(self.Domain) {
  Members[Self].Record = {self, run, 0, MemberState::Alive};
}

void MemberTable::recordChange(const MemberView &member,
                               const std::string &rule, const VmId &peer,
                               bool spread) {
  Changes.push_back({member.Record, member.Unreachable, rule, peer, spread});
}

bool MemberTable::takeDeclaredDead() {
  return std::exchange(WasDeclaredDead, false);
}

std::optional<MemberRecord> MemberTable::takeSuperseded() {
  return std::exchange(SupersededBy, std::nullopt);
}

std::vector<MemberChange> MemberTable::takeChanges() {
  return std::exchange(Changes, {});
}

void MemberTable::announceLeaving(TimePoint now, MemberState state) {
  MemberView &self = Members.at(Self);
  MemberRecord record = self.Record;
  record.Vm.Leaving = true;
  ++record.Refutation;
  record.State = state;
  replace(now, self, record, "leaving", Self);
}

void MemberTable::replace(TimePoint now, MemberView &member,
                          const MemberRecord &record, const std::string &rule,
                          const VmId &peer) {
  if (member.Record.State == MemberState::Alive &&
      record.State != MemberState::Alive)
    member.AliveUntil = now;
  member.Record = record;
  member.StateChangedAt = now;
  Suspicions.erase(record.Vm.Id);
  if (record.State == MemberState::Suspect && !member.Unreachable)
    Suspicions[record.Vm.Id] = {now, now + suspicionTimeOf(member), false};
  if (record.State == MemberState::Dead || record.State == MemberState::Left)
    member.Unreachable = false;
  recordChange(member, rule, peer, !member.Unreachable);
}

void MemberTable::refute(TimePoint now, const MemberRecord &record,
                         const VmId &peer) {
  MemberView &self = Members.at(Self);
  // A later incarnation means that the VM was replaced while this process was
  // paused; the new process may own this one's servers.
  if (record.Run > self.Record.Run) {
    SupersededBy = record;
    return;
  }
  if (record.Run != self.Record.Run || record.State == MemberState::Alive ||
      self.Record.State == MemberState::Left ||
      record.Refutation < self.Record.Refutation)
    return;
  // Prevents two owners: if a peer considers this daemon dead, a new owner of
  // its servers may be waiting only for its lease to end. All servers must be
  // given up before any peer learns that this daemon is alive and renews the
  // lease.
  WasDeclaredDead = WasDeclaredDead || record.State == MemberState::Dead;
  MemberRecord refuted = self.Record;
  refuted.Refutation = record.Refutation + 1;
  replace(now, self, refuted, "refuted", peer);
}

void MemberTable::apply(TimePoint now, const MemberRecord &record,
                        const VmId &peer) {
  if (record.Vm.Id == Self) {
    refute(now, record, peer);
    return;
  }
  auto it = Members.find(record.Vm.Id);
  bool gone =
      record.State == MemberState::Dead || record.State == MemberState::Left;
  // Departed daemons that are unknown here are not added.
  if (it == Members.end() && gone)
    return;
  if (it == Members.end()) {
    MemberView &member = Members[record.Vm.Id];
    member.Unreachable = !reachable(record.Vm.Domain);
    replace(now, member, record, "first-record", peer);
  } else if (isHigher(record, it->second.Record)) {
    MemberView &member = it->second;
    if (record.Run > member.Record.Run) {
      bool left = member.Record.State == MemberState::Left;
      member.PreviousRunLeaseRenewal =
          left ? TimePoint{} : member.LastLeaseRenewal;
      member.LastLeaseRenewal = {};
    }
    replace(now, it->second, record, "higher-record", peer);
  }
}

void MemberTable::recordContact(TimePoint now, const VmId &vm) {
  auto it = Members.find(vm);
  if (it == Members.end())
    return;
  it->second.LastHeard = now;
  const DomainId &domain = it->second.Record.Vm.Domain;
  DomainHeard[domain] = now;
  if (UnreachableDomains.count(domain))
    setReachable(now, domain);
}

bool MemberTable::isAlive(const VmId &vm, Incarnation run) const {
  auto it = Members.find(vm);
  return it != Members.end() && it->second.Record.State == MemberState::Alive &&
         it->second.Record.Run == run;
}

bool MemberTable::renewLease(TimePoint now, const VmId &vm, Incarnation run) {
  if (!isAlive(vm, run))
    return false;
  Members.at(vm).LastLeaseRenewal = now;
  return true;
}

Duration MemberTable::suspicionTimeOf(const MemberView &member) const {
  const DomainId &domain = member.Record.Vm.Domain;
  if (domain != OwnDomain)
    return Settings.suspicionTime(Members.size());
  // Every second probe goes to the own domain, so its records spread as fast as
  // in a fleet of the domain's size.
  auto here = std::count_if(Members.begin(), Members.end(), [&](const auto &m) {
    return m.second.Record.Vm.Domain == domain;
  });
  return Settings.suspicionTime(static_cast<size_t>(here));
}

void MemberTable::suspect(TimePoint now, const VmId &vm) {
  auto it = Members.find(vm);
  if (it == Members.end() || it->second.Record.State != MemberState::Alive)
    return;
  MemberRecord record = it->second.Record;
  record.State = MemberState::Suspect;
  replace(now, it->second, record, "probe-unanswered", Self);
}

void MemberTable::extendSuspicions(Duration gap) {
  for (auto &[vm, suspicion] : Suspicions)
    suspicion.Until += gap;
}

std::vector<VmId> MemberTable::expire(TimePoint now, const HintList &hints) {
  std::vector<std::pair<VmId, Suspicion>> over;
  for (const auto &[vm, suspicion] : Suspicions)
    if (suspicion.Until <= now)
      over.emplace_back(vm, suspicion);
  for (const auto &[vm, suspicion] : over)
    if (Suspicions.count(vm))
      endSuspicion(now, vm, suspicion);
  if (now < NextForget)
    return {};
  NextForget = now + ForgetPeriod;
  return forgetDeparted(now, hints);
}

void MemberTable::endSuspicion(TimePoint now, const VmId &vm,
                               Suspicion suspicion) {
  MemberView &member = Members.at(vm);
  const DomainId domain = member.Record.Vm.Domain;
  // Do not mistake a partition for many deaths: if no member of the other
  // domain has answered since the suspicion began, the link has probably
  // failed. Its members must not be replaced, since they may still be serving
  // on the other side.
  bool silent = domain != OwnDomain && DomainHeard[domain] < suspicion.Since;
  if (silent && !suspicion.ProbedAgain) {
    suspicion.ProbedAgain = true;
    suspicion.Until = now + Settings.ProbePeriod * DomainCheckPeriods;
    Suspicions[vm] = suspicion;
    return;
  }
  if (silent) {
    setUnreachable(now, domain);
    return;
  }
  MemberRecord record = member.Record;
  record.State = MemberState::Dead;
  replace(now, member, record, "suspicion-expired", Self);
}

void MemberTable::setUnreachable(TimePoint now, const DomainId &domain) {
  UnreachableDomains.insert(domain);
  for (auto &[id, member] : Members) {
    if (member.Record.Vm.Domain != domain || !member.live())
      continue;
    member.Unreachable = true;
    member.StateChangedAt = now;
    Suspicions.erase(id);
    recordChange(member, "domain-silent", Self, false);
  }
}

void MemberTable::setReachable(TimePoint now, const DomainId &domain) {
  UnreachableDomains.erase(domain);
  for (auto &[id, member] : Members) {
    if (member.Record.Vm.Domain != domain || !member.Unreachable)
      continue;
    member.Unreachable = false;
    member.StateChangedAt = now;
    if (member.Record.State == MemberState::Suspect) {
      Duration time = suspicionTimeOf(member) * HealedSuspicionFactor;
      Suspicions[id] = {now, now + time, false};
    }
    recordChange(member, "domain-heard-again", Self, false);
  }
}

std::vector<VmId> MemberTable::forgetDeparted(TimePoint now,
                                              const HintList &hints) {
  std::vector<VmId> forgotten;
  for (auto it = Members.begin(); it != Members.end();) {
    MemberView &member = it->second;
    bool gone = member.Record.State == MemberState::Dead ||
                member.Record.State == MemberState::Left;
    bool old = gone && now - member.StateChangedAt > Settings.ForgetAfter;
    // Removed from the platform's list: it will not return when the domain
    // becomes reachable.
    bool removed = member.Unreachable && hints.isUnlisted(it->first);
    bool lost = member.Unreachable &&
                now - member.StateChangedAt > Settings.ForgetUnreachableAfter;
    if (!old && !removed && !lost) {
      ++it;
      continue;
    }
    if (!gone) {
      member.Record.State = MemberState::Dead;
      member.Unreachable = false;
      recordChange(member, "unlisted-behind-cut", Self, false);
    }
    forgotten.push_back(it->first);
    it = Members.erase(it);
  }
  return forgotten;
}

bool MemberTable::reachable(const DomainId &domain) const {
  return UnreachableDomains.count(domain) == 0;
}

std::optional<DomainId> MemberTable::findSilentDomain() const {
  for (const auto &[vm, suspicion] : Suspicions) {
    const DomainId &domain = Members.at(vm).Record.Vm.Domain;
    auto it = DomainHeard.find(domain);
    if (domain != OwnDomain &&
        (it == DomainHeard.end() || it->second < suspicion.Since))
      return domain;
  }
  return std::nullopt;
}

} // namespace balsamrack

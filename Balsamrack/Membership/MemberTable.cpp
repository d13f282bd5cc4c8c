#include "Balsamrack/Membership/MemberTable.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace balsamrack {

namespace {

/// A domain that falls silent is asked for so many periods more before it is
/// called unreachable.
constexpr int DomainCheckPeriods = 4;
/// After a domain is heard again its members get so many times the usual time
/// to refute what was said of them while it was cut off.
constexpr int HealSuspicions = 3;
/// Between two looks for members to forget.
constexpr Duration ForgetPeriod{250'000};

} // namespace

bool isHigher(const MemberNews &a, const MemberNews &b) {
  return std::make_tuple(a.Run.Value, a.Refutation, a.State) >
         std::make_tuple(b.Run.Value, b.Refutation, b.State);
}

MemberTable::MemberTable(const MembershipSettings &settings,
                         const EntryVm &self, Incarnation run)
    : Settings(settings), Self(self.Id), OwnDomain(self.Domain) {
  Members[Self].News = {self, run, 0, MemberState::Alive};
}

void MemberTable::note(const MemberView &member, const std::string &rule,
                       const VmId &peer, bool spread) {
  Changes.push_back({member.News, member.Unreachable, rule, peer, spread});
}

bool MemberTable::takeHeldForDead() {
  return std::exchange(HeldForDead, false);
}

std::optional<MemberNews> MemberTable::takeSuperseded() {
  return std::exchange(SupersededBy, std::nullopt);
}

std::vector<MemberChange> MemberTable::takeChanges() {
  return std::exchange(Changes, {});
}

void MemberTable::leave(TimePoint now, MemberState state) {
  MemberView &self = Members.at(Self);
  MemberNews news = self.News;
  news.Vm.Leaving = true;
  ++news.Refutation;
  news.State = state;
  replace(now, self, news, "leaving", Self);
}

void MemberTable::replace(TimePoint now, MemberView &member,
                          const MemberNews &news, const std::string &rule,
                          const VmId &peer) {
  if (member.News.State == MemberState::Alive &&
      news.State != MemberState::Alive)
    member.SilentSince = now;
  member.News = news;
  member.Since = now;
  Suspicions.erase(news.Vm.Id);
  if (news.State == MemberState::Suspect && !member.Unreachable)
    Suspicions[news.Vm.Id] = {now, now + suspicionOf(member), false};
  if (news.State == MemberState::Dead || news.State == MemberState::Left)
    member.Unreachable = false;
  note(member, rule, peer, !member.Unreachable);
}

void MemberTable::refute(TimePoint now, const MemberNews &news,
                         const VmId &peer) {
  MemberView &self = Members.at(Self);
  // Guards against two processes under one name: the VM was replaced while
  // this process was paused, and the new run may own what this one owned.
  if (news.Run > self.News.Run) {
    SupersededBy = news;
    return;
  }
  if (news.Run != self.News.Run || news.State == MemberState::Alive ||
      self.News.State == MemberState::Left ||
      news.Refutation < self.News.Refutation)
    return;
  // Guards against two owners: whoever holds us for dead may have a new owner
  // for our servers that waits for our lease only, so we own nothing from here
  // on, before anyone hears that we live and renews that lease.
  HeldForDead = HeldForDead || news.State == MemberState::Dead;
  MemberNews refuted = self.News;
  refuted.Refutation = news.Refutation + 1;
  replace(now, self, refuted, "refuted", peer);
}

void MemberTable::apply(TimePoint now, const MemberNews &news,
                        const VmId &peer) {
  if (news.Vm.Id == Self) {
    refute(now, news, peer);
    return;
  }
  auto it = Members.find(news.Vm.Id);
  bool gone =
      news.State == MemberState::Dead || news.State == MemberState::Left;
  // News of the death of an unknown daemon is of no use here.
  if (it == Members.end() && gone)
    return;
  if (it == Members.end()) {
    MemberView &member = Members[news.Vm.Id];
    member.Unreachable = !reachable(news.Vm.Domain);
    replace(now, member, news, "first-news", peer);
  } else if (isHigher(news, it->second.News)) {
    MemberView &member = it->second;
    if (news.Run > member.News.Run) {
      bool left = member.News.State == MemberState::Left;
      member.PreviousRunRenewed = left ? TimePoint{} : member.LastRenewed;
      member.LastRenewed = {};
    }
    replace(now, it->second, news, "higher-news", peer);
  }
}

void MemberTable::heard(TimePoint now, const VmId &vm) {
  auto it = Members.find(vm);
  if (it == Members.end())
    return;
  it->second.LastHeard = now;
  const DomainId &domain = it->second.News.Vm.Domain;
  DomainHeard[domain] = now;
  if (UnreachableDomains.count(domain))
    setReachable(now, domain);
}

bool MemberTable::isAlive(const VmId &vm, Incarnation run) const {
  auto it = Members.find(vm);
  return it != Members.end() && it->second.News.State == MemberState::Alive &&
         it->second.News.Run == run;
}

bool MemberTable::renew(TimePoint now, const VmId &vm, Incarnation run) {
  if (!isAlive(vm, run))
    return false;
  Members.at(vm).LastRenewed = now;
  return true;
}

Duration MemberTable::suspicionOf(const MemberView &member) const {
  const DomainId &domain = member.News.Vm.Domain;
  if (domain != OwnDomain)
    return Settings.suspicionTime(Members.size());
  // Every second probe stays in the own domain, so news of it spread as fast as
  // in a fleet of that size.
  auto here = std::count_if(Members.begin(), Members.end(), [&](const auto &m) {
    return m.second.News.Vm.Domain == domain;
  });
  return Settings.suspicionTime(static_cast<size_t>(here));
}

void MemberTable::suspect(TimePoint now, const VmId &vm) {
  auto it = Members.find(vm);
  if (it == Members.end() || it->second.News.State != MemberState::Alive)
    return;
  MemberNews news = it->second.News;
  news.State = MemberState::Suspect;
  replace(now, it->second, news, "probe-unanswered", Self);
}

void MemberTable::slept(Duration gap) {
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
      end(now, vm, suspicion);
  if (now < NextForget)
    return {};
  NextForget = now + ForgetPeriod;
  return forget(now, hints);
}

void MemberTable::end(TimePoint now, const VmId &vm, Suspicion suspicion) {
  MemberView &member = Members.at(vm);
  const DomainId domain = member.News.Vm.Domain;
  // Guards against taking a cut for many deaths: if nobody of the other domain
  // was heard since the suspicion began, the link is the likelier fault, and
  // members must not be replaced while they may be serving behind the cut.
  bool silent = domain != OwnDomain && DomainHeard[domain] < suspicion.Since;
  if (silent && !suspicion.Checked) {
    suspicion.Checked = true;
    suspicion.Until = now + Settings.ProbePeriod * DomainCheckPeriods;
    Suspicions[vm] = suspicion;
    return;
  }
  if (silent) {
    setUnreachable(now, domain);
    return;
  }
  MemberNews news = member.News;
  news.State = MemberState::Dead;
  replace(now, member, news, "suspicion-expired", Self);
}

void MemberTable::setUnreachable(TimePoint now, const DomainId &domain) {
  UnreachableDomains.insert(domain);
  for (auto &[id, member] : Members) {
    if (member.News.Vm.Domain != domain || !member.live())
      continue;
    member.Unreachable = true;
    member.Since = now;
    Suspicions.erase(id);
    note(member, "domain-silent", Self, false);
  }
}

void MemberTable::setReachable(TimePoint now, const DomainId &domain) {
  UnreachableDomains.erase(domain);
  for (auto &[id, member] : Members) {
    if (member.News.Vm.Domain != domain || !member.Unreachable)
      continue;
    member.Unreachable = false;
    member.Since = now;
    if (member.News.State == MemberState::Suspect) {
      Duration time = suspicionOf(member) * HealSuspicions;
      Suspicions[id] = {now, now + time, false};
    }
    note(member, "domain-heard-again", Self, false);
  }
}

std::vector<VmId> MemberTable::forget(TimePoint now, const HintList &hints) {
  std::vector<VmId> forgotten;
  for (auto it = Members.begin(); it != Members.end();) {
    MemberView &member = it->second;
    bool gone = member.News.State == MemberState::Dead ||
                member.News.State == MemberState::Left;
    bool old = gone && now - member.Since > Settings.ForgetAfter;
    // The platform took it off its list: it won't come back behind the cut.
    bool removed = member.Unreachable && hints.unlisted(it->first);
    bool lost =
        member.Unreachable && now - member.Since > Settings.UnreachableKeep;
    if (!old && !removed && !lost) {
      ++it;
      continue;
    }
    if (!gone) {
      member.News.State = MemberState::Dead;
      member.Unreachable = false;
      note(member, "unlisted-behind-cut", Self, false);
    }
    forgotten.push_back(it->first);
    it = Members.erase(it);
  }
  return forgotten;
}

bool MemberTable::reachable(const DomainId &domain) const {
  return UnreachableDomains.count(domain) == 0;
}

std::optional<DomainId> MemberTable::silentDomain() const {
  for (const auto &[vm, suspicion] : Suspicions) {
    const DomainId &domain = Members.at(vm).News.Vm.Domain;
    auto it = DomainHeard.find(domain);
    if (domain != OwnDomain &&
        (it == DomainHeard.end() || it->second < suspicion.Since))
      return domain;
  }
  return std::nullopt;
}

} // namespace balsamrack

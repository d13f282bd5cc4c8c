#include "Balsamrack/Membership/HintList.h"

#include <algorithm>
#include <set>

namespace balsamrack {

namespace {

/// Hints of the own domain probed at once: enough to find its few daemons in
/// one round.
constexpr size_t OwnDomainProbes = 3;
/// Hints of other domains are probed one at a time, so that a long list of dead
/// VMs costs little.
constexpr size_t OtherDomainProbes = 1;
/// Seeds are few, and their domain may be unknown, so several are probed at
/// once.
constexpr size_t SeedProbes = 3;

} // namespace

HintList::HintList(const MembershipSettings &settings, const EntryVm &self)
    : Settings(settings), Self(self) {}

void HintList::add(TimePoint now, const EntryVm &vm) {
  Hints.try_emplace(
      vm.Id,
      Hint{vm, now, std::min(Settings.StartPeriod, Settings.ProbePeriod)});
}

void HintList::addMissing(TimePoint now, const std::vector<EntryVm> &vms,
                          const MemberMap &members) {
  for (const EntryVm &vm : vms)
    if (vm.Id != Self.Id && members.count(vm.Id) == 0)
      add(now, vm);
}

void HintList::setListed(TimePoint now, const std::vector<EntryVm> &vms,
                         const MemberMap &members) {
  Listed.clear();
  for (const EntryVm &vm : vms)
    Listed[vm.Id] = vm;
  for (auto it = Hints.begin(); it != Hints.end();)
    it = Listed.count(it->first) || Seeded.count(it->first) ? std::next(it)
                                                            : Hints.erase(it);
  // A VM that was replaced under the same id may have another address.
  for (auto &[id, hint] : Hints)
    if (Listed.count(id))
      hint.Vm = Listed[id];
  addMissing(now, vms, members);
}

void HintList::addSeeds(TimePoint now, const std::vector<EntryVm> &vms,
                        const MemberMap &members) {
  for (const EntryVm &vm : vms)
    Seeded[vm.Id] = vm;
  addMissing(now, vms, members);
}

void HintList::onMemberForgotten(TimePoint now, const VmId &vm) {
  for (const auto *named : {&Listed, &Seeded}) {
    auto it = named->find(vm);
    if (it != named->end())
      add(now, it->second);
  }
}

std::vector<EntryVm> HintList::takeDue(TimePoint now) {
  std::vector<EntryVm> own, others;
  for (auto &[id, hint] : Hints) {
    bool sameDomain = hint.Vm.Domain == Self.Domain;
    bool seed = Seeded.count(id) != 0;
    auto &list = sameDomain ? own : others;
    size_t most = sameDomain ? OwnDomainProbes
                  : seed     ? SeedProbes
                             : OtherDomainProbes;
    if (hint.Next > now || list.size() >= most)
      continue;
    list.push_back(hint.Vm);
    hint.Next = now + hint.Wait;
    hint.Wait = std::min(hint.Wait * 2, Settings.MaxHintRetryPeriod);
  }
  own.insert(own.end(), others.begin(), others.end());
  return own;
}

std::vector<VmId> HintList::domainPeers() const {
  std::set<VmId> peers;
  for (const auto *named : {&Listed, &Seeded})
    for (const auto &[id, vm] : *named)
      if (vm.Domain == Self.Domain && id != Self.Id)
        peers.insert(id);
  return {peers.begin(), peers.end()};
}

} // namespace balsamrack

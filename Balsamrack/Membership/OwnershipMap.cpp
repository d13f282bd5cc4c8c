#include "Balsamrack/Membership/OwnershipMap.h"

#include <algorithm>
#include <utility>

namespace balsamrack {

namespace {

uint64_t weightOf(const EntryVm &vm, const ServerId &server) {
  return combineHash(vm.Id.hash(), server.hash());
}

/// Orders by descending weight, then by id, so that all daemons agree.
bool ranksBefore(const EntryVm &a, const EntryVm &b, const ServerId &server) {
  uint64_t wa = weightOf(a, server), wb = weightOf(b, server);
  return wa != wb ? wa > wb : a.Id < b.Id;
}

const std::vector<EntryVm> NoCandidates;

} // namespace

OwnershipMap OwnershipMap::create(const MemberMap &members) {
  OwnershipMap map;
  for (const auto &[id, member] : members) {
    if (!member.live())
      continue;
    const EntryVm &vm = member.Record.Vm;
    Candidates &there = map.ByDomain[vm.Domain];
    (vm.Leaving ? there.Leaving : there.Staying).push_back(vm);
  }
  return map;
}

const std::vector<EntryVm> &
OwnershipMap::candidatesOf(const DomainId &domain) const {
  auto it = ByDomain.find(domain);
  if (it == ByDomain.end())
    return NoCandidates;
  return it->second.Staying.empty() ? it->second.Leaving : it->second.Staying;
}

std::optional<EntryVm> OwnershipMap::ownerOf(const ServerId &server,
                                             const DomainId &domain) const {
  const std::vector<EntryVm> &list = candidatesOf(domain);
  if (list.empty())
    return std::nullopt;
  uint64_t hash = server.hash();
  const EntryVm *best = nullptr;
  uint64_t bestWeight = 0;
  // The list is ordered by id, so the lower id wins among equal weights.
  for (const EntryVm &vm : list) {
    uint64_t weight = combineHash(vm.Id.hash(), hash);
    if (best && weight <= bestWeight)
      continue;
    best = &vm;
    bestWeight = weight;
  }
  return *best;
}

std::optional<EntryVm> OwnershipMap::successorOf(const ServerId &server,
                                                 const DomainId &domain) const {
  std::vector<EntryVm> list = ranked(server, domain);
  if (list.size() < 2)
    return std::nullopt;
  return list[1];
}

std::vector<EntryVm> OwnershipMap::ranked(const ServerId &server,
                                          const DomainId &domain) const {
  auto it = ByDomain.find(domain);
  if (it == ByDomain.end())
    return {};
  auto order = [&](const EntryVm &a, const EntryVm &b) {
    return ranksBefore(a, b, server);
  };
  std::vector<EntryVm> list = it->second.Staying;
  std::vector<EntryVm> leaving = it->second.Leaving;
  std::sort(list.begin(), list.end(), order);
  std::sort(leaving.begin(), leaving.end(), order);
  list.insert(list.end(), leaving.begin(), leaving.end());
  return list;
}

size_t OwnershipMap::candidates(const DomainId &domain) const {
  return candidatesOf(domain).size();
}

} // namespace balsamrack

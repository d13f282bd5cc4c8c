#include "Balsamrack/Membership/ProbeOrder.h"

#include <utility>

namespace balsamrack {

namespace {

std::vector<VmId> matchingMembers(const MemberMap &members,
                                  const ProbeOrder::Filter &filter) {
  std::vector<VmId> list;
  for (const auto &[id, member] : members)
    if (filter(member))
      list.push_back(id);
  return list;
}

/// Fisher-Yates shuffle. std::shuffle differs between standard libraries, and a
/// replay must give the same order.
void shuffle(std::vector<VmId> &list, RandomSource &random) {
  for (size_t i = list.size(); i > 1; --i)
    std::swap(list[i - 1], list[random.below(i)]);
}

} // namespace

std::optional<EntryVm> ProbeOrder::next(const MemberMap &members,
                                        const Filter &filter,
                                        RandomSource &random) {
  for (int round = 0; round < 2; ++round) {
    while (!RemainingInRound.empty()) {
      auto it = members.find(RemainingInRound.back());
      RemainingInRound.pop_back();
      if (it != members.end() && filter(it->second))
        return it->second.Record.Vm;
    }
    RemainingInRound = matchingMembers(members, filter);
    shuffle(RemainingInRound, random);
  }
  return std::nullopt;
}

std::vector<EntryVm> pickRandom(const MemberMap &members,
                                const ProbeOrder::Filter &filter, size_t count,
                                RandomSource &random) {
  std::vector<VmId> list = matchingMembers(members, filter);
  std::vector<EntryVm> picked;
  while (!list.empty() && picked.size() < count) {
    std::swap(list.back(), list[random.below(list.size())]);
    picked.push_back(members.at(list.back()).Record.Vm);
    list.pop_back();
  }
  return picked;
}

} // namespace balsamrack

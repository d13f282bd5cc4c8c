#include "Balsamrack/Membership/ProbeOrder.h"

#include <utility>

namespace balsamrack {

namespace {

std::vector<VmId> takingPart(const MemberMap &members,
                             const ProbeOrder::Filter &takesPart) {
  std::vector<VmId> list;
  for (const auto &[id, member] : members)
    if (takesPart(member))
      list.push_back(id);
  return list;
}

/// Fisher-Yates, own code since std::shuffle differs between libraries and a
/// replay must see the same order.
void shuffle(std::vector<VmId> &list, RandomSource &random) {
  for (size_t i = list.size(); i > 1; --i)
    std::swap(list[i - 1], list[random.below(i)]);
}

} // namespace

std::optional<EntryVm> ProbeOrder::next(const MemberMap &members,
                                        const Filter &takesPart,
                                        RandomSource &random) {
  for (int round = 0; round < 2; ++round) {
    while (!Round.empty()) {
      auto it = members.find(Round.back());
      Round.pop_back();
      if (it != members.end() && takesPart(it->second))
        return it->second.Record.Vm;
    }
    Round = takingPart(members, takesPart);
    shuffle(Round, random);
  }
  return std::nullopt;
}

std::vector<EntryVm> pickRandom(const MemberMap &members,
                                const ProbeOrder::Filter &takesPart,
                                size_t count, RandomSource &random) {
  std::vector<VmId> list = takingPart(members, takesPart);
  std::vector<EntryVm> picked;
  while (!list.empty() && picked.size() < count) {
    std::swap(list.back(), list[random.below(list.size())]);
    picked.push_back(members.at(list.back()).Record.Vm);
    list.pop_back();
  }
  return picked;
}

} // namespace balsamrack

#include "Balsamrack/Packets/HeldOpenings.h"

#include <utility>

namespace balsamrack {

void HeldOpenings::add(const HeldOpening &opening) {
  ById[opening.Id] = opening;
  IdByFlow[opening.Opening.Head.Flow] = opening.Id;
}

HeldOpening *HeldOpenings::find(const FlowKey &flow) {
  auto it = IdByFlow.find(flow);
  return it == IdByFlow.end() ? nullptr : &ById.at(it->second);
}

std::optional<HeldOpening> HeldOpenings::take(uint64_t id) {
  auto it = ById.find(id);
  if (it == ById.end())
    return std::nullopt;
  HeldOpening opening = std::move(it->second);
  ById.erase(it);
  IdByFlow.erase(opening.Opening.Head.Flow);
  return opening;
}

} // namespace balsamrack

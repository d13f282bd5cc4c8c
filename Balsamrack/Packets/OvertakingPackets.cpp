#include "Balsamrack/Packets/OvertakingPackets.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsamrack {

bool OvertakingPackets::add(TimePoint now, const PacketHeader &head,
                            const uint8_t *bytes, size_t n) {
  if (Items.size() >= MaxPackets)
    return false;
  Items.push_back({now, head, std::vector<uint8_t>(bytes, bytes + n)});
  return true;
}

std::vector<OvertakingPackets::Item>
OvertakingPackets::take(const FlowKey &flow) {
  std::vector<Item> taken;
  if (Items.empty())
    return taken;
  auto isOther = [&](const Item &it) { return !(it.Head.Flow == flow); };
  auto rest = std::stable_partition(Items.begin(), Items.end(), isOther);
  std::move(rest, Items.end(), std::back_inserter(taken));
  Items.erase(rest, Items.end());
  return taken;
}

std::vector<OvertakingPackets::Item>
OvertakingPackets::takeExpired(TimePoint now) {
  std::vector<Item> expired;
  while (!Items.empty() && now - Items.front().At >= MaxWait) {
    expired.push_back(std::move(Items.front()));
    Items.pop_front();
  }
  return expired;
}

} // namespace balsamrack

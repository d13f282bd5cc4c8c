#include "Balsamrack/Packets/OpeningQueue.h"

#include <cassert>
#include <cstring>
#include <iterator>

namespace balsamrack {

bool BufferedOpening::assign(const PacketHeader &head, const uint8_t *bytes,
                             size_t n) {
  if (n > MaxBytes)
    return false;
  Head = head;
  Bytes = n;
  std::memcpy(Packet.data(), bytes, n);
  return true;
}

bool OpeningQueue::push(const Item &item) {
  assert(ByFlow.count(item.Opening.Head.Flow) == 0);
  if (Items.size() >= MaxOpenings)
    return false;
  Items.push_back(item);
  ByFlow[item.Opening.Head.Flow] = std::prev(Items.end());
  return true;
}

std::optional<OpeningQueue::Item> OpeningQueue::take(const FlowKey &flow) {
  auto it = ByFlow.find(flow);
  if (it == ByFlow.end())
    return std::nullopt;
  Item item = *it->second;
  Items.erase(it->second);
  ByFlow.erase(it);
  return item;
}

OpeningQueue::Item OpeningQueue::pop() {
  assert(!Items.empty());
  return *take(Items.front().Opening.Head.Flow);
}

} // namespace balsamrack

#include "Balsamrack/Packets/PacketFlowTable.h"

#include <algorithm>
#include <cassert>

namespace balsamrack {

namespace {

/// More than the bytes that a caller has in flight, and a small part of all
/// sequence numbers. A flow that has sent more elsewhere meanwhile is found by
/// its token.
constexpr uint32_t SequenceWindow = 1U << 16;

} // namespace

bool TrackedFlow::hasTried(ServerIndex server) const {
  const auto *end = Tried.begin() + Tries;
  return std::find(Tried.begin(), end, server) != end;
}

bool TrackedFlow::matches(const PacketHeader &head) const {
  // The sequence number of a reset may be any.
  if (head.Resets)
    return true;
  if (Stage == FlowStage::Opening) {
    uint32_t sent = head.Sequence - FirstSequence;
    return sent > 0 && sent < SequenceWindow;
  }
  uint32_t ahead = head.Sequence - LastSequence;
  return ahead < SequenceWindow || -ahead < SequenceWindow;
}

uint8_t TrackedFlow::indexOfTried(ServerIndex server) const {
  assert(hasTried(server));
  return static_cast<uint8_t>(std::find(Tried.begin(), Tried.end(), server) -
                              Tried.begin());
}

TrackedFlow *PacketFlowTable::find(const FlowKey &key) {
  auto it = Flows.find(key);
  return it == Flows.end() ? nullptr : &it->second;
}

TrackedFlow *PacketFlowTable::add(TimePoint now, const FlowKey &key) {
  assert(!find(key));
  // Timers of erased flows remain until they expire, so their number is bounded
  // too.
  if (Flows.size() >= MaxFlows || Timers.size() >= MaxFlows)
    return nullptr;
  TrackedFlow &flow = Flows[key];
  flow.OpenedAt = now;
  flow.LastSeen = now;
  Timers.push({now + MinTimerInterval, key});
  return &flow;
}

void PacketFlowTable::eraseFlowsAt(
    ServerIndex server, const std::function<void(TrackedFlow &)> &onErase) {
  absl::erase_if(Flows, [&](auto &it) {
    bool isThere = it.second.Server == server;
    if (isThere)
      onErase(it.second);
    return isThere;
  });
}

void PacketFlowTable::processTimers(TimePoint now, const DurationOf &idleLimit,
                                    const DurationOf &retention,
                                    const IdleCallback &onIdle) {
  while (!Timers.empty() && Timers.top().At <= now) {
    FlowKey key = Timers.top().Key;
    Timers.pop();
    auto it = Flows.find(key);
    if (it == Flows.end())
      continue;
    Duration idle = now - it->second.LastSeen;
    bool isExpired = idle >= retention(it->second);
    Duration idleSpan = idleLimit(it->second);
    if (isExpired || idle >= idleSpan)
      onIdle(key, it->second, isExpired);
    if (isExpired) {
      Flows.erase(it);
      continue;
    }
    Duration next = idle >= idleSpan ? retention(it->second) : idleSpan;
    Timers.push(
        {std::max(it->second.LastSeen + next, now + MinTimerInterval), key});
  }
}

} // namespace balsamrack

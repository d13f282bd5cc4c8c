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

TrackedFlow *PacketFlowTable::find(const FlowKey &key) {
  auto it = Flows.find(key);
  return it == Flows.end() ? nullptr : &it->second;
}

TrackedFlow *PacketFlowTable::add(TimePoint now, const FlowKey &key) {
  assert(!find(key));
  if (isFull())
    return nullptr;
  TrackedFlow &flow = Flows[key];
  flow.OpenedAt = now;
  flow.LastSeen = now;
  Timers.push({now + MinTimerInterval, key});
  return &flow;
}

void PacketFlowTable::makeRoom(TimePoint now, const RemovalCallback &onRemove) {
  constexpr int MaxChecks = 8;
  for (int i = 0; i < MaxChecks && isFull() && !Timers.empty(); ++i) {
    Timer timer = Timers.top();
    Timers.pop();
    auto it = Flows.find(timer.Key);
    if (it == Flows.end())
      continue;
    if (it->second.Stage == FlowStage::Opening) {
      Timers.push({std::max(timer.At, now) + MinTimerInterval, timer.Key});
      continue;
    }
    onRemove(it->second);
    Flows.erase(it);
  }
}

void PacketFlowTable::eraseFlowsAt(ServerIndex server,
                                   const RemovalCallback &onRemove) {
  absl::erase_if(Flows, [&](auto &it) {
    bool isThere = it.second.Server == server;
    if (isThere)
      onRemove(it.second);
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

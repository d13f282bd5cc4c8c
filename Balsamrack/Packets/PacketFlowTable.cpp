#include "Balsamrack/Packets/PacketFlowTable.h"

#include <algorithm>

namespace balsamrack {

bool TrackedFlow::hasTried(ServerIndex server) const {
  const auto *end = Tried.begin() + Tries;
  return std::find(Tried.begin(), end, server) != end;
}

TrackedFlow *PacketFlowTable::find(const FlowKey &key) {
  auto it = Flows.find(key);
  return it == Flows.end() ? nullptr : &it->second;
}

TrackedFlow *PacketFlowTable::add(TimePoint now, const FlowKey &key) {
  // Turns of forgotten flows still wait for their time, so they bound it too.
  if (Flows.size() >= MaxFlows || Timers.size() >= MaxFlows)
    return nullptr;
  TrackedFlow &flow = Flows[key];
  flow.OpenedAt = now;
  flow.LastSeen = now;
  Timers.push({now + MinTimerInterval, key});
  return &flow;
}

void PacketFlowTable::processTimers(TimePoint now, const DurationOf &quiet,
                                    const DurationOf &keep,
                                    const IdleCallback &onQuiet) {
  while (!Timers.empty() && Timers.top().At <= now) {
    FlowKey key = Timers.top().Key;
    Timers.pop();
    auto it = Flows.find(key);
    if (it == Flows.end())
      continue;
    Duration silent = now - it->second.LastSeen;
    bool over = silent >= keep(it->second);
    Duration quietSpan = quiet(it->second);
    if (over || silent >= quietSpan)
      onQuiet(key, it->second, over);
    if (over) {
      Flows.erase(it);
      continue;
    }
    Duration next = silent >= quietSpan ? keep(it->second) : quietSpan;
    Timers.push(
        {std::max(it->second.LastSeen + next, now + MinTimerInterval), key});
  }
}

} // namespace balsamrack

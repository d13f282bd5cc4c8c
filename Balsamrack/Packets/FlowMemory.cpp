#include "Balsamrack/Packets/FlowMemory.h"

#include <algorithm>

namespace balsamrack {

bool RememberedFlow::tried(ServerIndex server) const {
  const auto *end = Tried.begin() + Tries;
  return std::find(Tried.begin(), end, server) != end;
}

RememberedFlow *FlowMemory::find(const FlowKey &key) {
  auto it = Flows.find(key);
  return it == Flows.end() ? nullptr : &it->second;
}

RememberedFlow *FlowMemory::add(TimePoint now, const FlowKey &key) {
  // Turns of forgotten flows still wait for their time, so they bound it too.
  if (Flows.size() >= Most || Turns.size() >= Most)
    return nullptr;
  RememberedFlow &flow = Flows[key];
  flow.OpenedAt = now;
  flow.LastSeen = now;
  Turns.push({now + TurnPeriod, key});
  return &flow;
}

void FlowMemory::sweep(TimePoint now, const SpanOf &quiet, const SpanOf &keep,
                       const OnQuiet &onQuiet) {
  while (!Turns.empty() && Turns.top().At <= now) {
    FlowKey key = Turns.top().Key;
    Turns.pop();
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
    Turns.push({std::max(it->second.LastSeen + next, now + TurnPeriod), key});
  }
}

} // namespace balsamrack

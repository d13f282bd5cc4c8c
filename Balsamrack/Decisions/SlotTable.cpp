#include "Balsamrack/Decisions/SlotTable.h"

#include <algorithm>

namespace balsamrack {

void SlotTable::start(RunningRequest request) {
  RequestId id = request.What.Head.Request;
  Running.emplace(id, std::move(request));
}

std::optional<RunningRequest> SlotTable::end(RequestId request) {
  auto it = Running.find(request);
  if (it == Running.end())
    return std::nullopt;
  RunningRequest ended = std::move(it->second);
  Running.erase(it);
  return ended;
}

void SlotTable::abandon(TimePoint now, TimePoint deadline, Duration slow,
                        bool warm) {
  Duration held = std::max(deadline - now, slow);
  if (!warm)
    held = std::max(held, Duration(MinHoldCold));
  Abandoned.push_back({now, now + std::min(held, Duration(MaxHold))});
}

void SlotTable::releaseExpired(TimePoint now) {
  auto over = [now](const AbandonedSlot &slot) { return slot.Until <= now; };
  Abandoned.erase(std::remove_if(Abandoned.begin(), Abandoned.end(), over),
                  Abandoned.end());
}

void SlotTable::releaseAbandonedUntil(TimePoint since) {
  auto over = [since](const AbandonedSlot &s) { return s.Since <= since; };
  Abandoned.erase(std::remove_if(Abandoned.begin(), Abandoned.end(), over),
                  Abandoned.end());
}

RunningRequest *SlotTable::find(RequestId request) {
  auto it = Running.find(request);
  return it == Running.end() ? nullptr : &it->second;
}

uint32_t SlotTable::used() const { return running() + abandoned(); }

std::optional<TimePoint> SlotTable::nextRelease() const {
  std::optional<TimePoint> next;
  for (const AbandonedSlot &slot : Abandoned)
    next = next ? std::min(*next, slot.Until) : slot.Until;
  return next;
}

uint32_t SlotTable::longRunningCount(TimePoint now,
                                     const LongWorkGuard &guard) const {
  return static_cast<uint32_t>(
      std::count_if(Running.begin(), Running.end(), [&](const auto &entry) {
        const RunningRequest &run = entry.second;
        return run.What.LongWork || guard.isLong(now - run.StartedAt);
      }));
}

std::optional<TimePoint>
SlotTable::nextLongAt(TimePoint now, const LongWorkGuard &guard) const {
  std::optional<TimePoint> next;
  for (const auto &[id, run] : Running) {
    TimePoint when = run.StartedAt + guard.longThreshold();
    if (when > now)
      next = next ? std::min(*next, when) : when;
  }
  return next;
}

Duration SlotTable::shortestRemaining(TimePoint now,
                                      const WaitEstimate &waits) const {
  std::optional<Duration> least;
  for (const auto &[id, run] : Running) {
    Duration remaining = waits.remaining(now - run.StartedAt);
    least = least ? std::min(*least, remaining) : remaining;
  }
  return std::max(least.value_or(Duration(0)), Duration(0));
}

} // namespace balsamrack

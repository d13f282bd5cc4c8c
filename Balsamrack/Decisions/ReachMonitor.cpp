#include "Balsamrack/Decisions/ReachMonitor.h"

namespace balsamrack {

const char *reachStateName(ReachState state) {
  static const char *const names[] = {"unproved", "reached", "lost"};
  return names[static_cast<size_t>(state)];
}

void ReachMonitor::reportLost(TimePoint now) {
  if (State == ReachState::Lost)
    return;
  State = ReachState::Lost;
  LostAt = now;
  NextProbe = now + ProbePeriod;
}

bool ReachMonitor::startProbeIfDue(TimePoint now) {
  if (State == ReachState::Reached || now < NextProbe)
    return false;
  NextProbe = now + ProbePeriod;
  return true;
}

TimePoint ReachMonitor::nextProbeAt() const {
  return State == ReachState::Reached ? TimePoint(Duration::max()) : NextProbe;
}

} // namespace balsamrack

#ifndef BALSAMRACK_DECISIONS_REACHMONITOR_H
#define BALSAMRACK_DECISIONS_REACHMONITOR_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Connectivity to backend servers.
enum class ReachState {
  Unknown, ///< No server has been reached since the start.
  Reached, ///< A server that accepts new flows was reached.
  Lost, ///< No such server could be reached, and none has been reached since.
};

/// Returns the name of \p state in lower case. Thread-safe.
const char *reachStateName(ReachState state);

/// Tracks whether this daemon can reach any backend server that accepts new
/// flows.
///
/// Guards against a failure domain that is partitioned from the others while
/// none of its own servers accepts new flows. The fabric routes its callers to
/// daemons elsewhere only while none of the domain's daemons is ready; a single
/// ready one attracts all callers of the domain and has to refuse them. A
/// daemon that has just started, or that has lost its servers, is therefore not
/// ready until it has reached a server. A new published entry is no proof of
/// that.
///
/// Deterministic. Not thread-safe.
class ReachMonitor {
public:
  /// Interval between rounds of probes until a server is reached.
  static constexpr Duration ProbePeriod{200'000};

  /// Current state.
  ReachState state() const { return State; }
  /// Time at which the state became Lost. Precondition: state() is Lost.
  TimePoint lostAt() const { return LostAt; }
  /// Reports that a server that accepts new flows accepted a connection or
  /// opened a flow.
  void reportReached() { State = ReachState::Reached; }
  /// Reports that all servers that accept new flows are unreachable.
  void reportLost(TimePoint now);
  /// Returns true if some servers should be probed now, and schedules the next
  /// round.
  bool startProbeIfDue(TimePoint now);
  /// Time at which startProbeIfDue() next returns true; the maximum TimePoint
  /// for never.
  TimePoint nextProbeAt() const;

private:
  ReachState State = ReachState::Unknown;
  TimePoint LostAt;    ///< See lostAt().
  TimePoint NextProbe; ///< Earliest time of the next round of probes.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_REACHMONITOR_H

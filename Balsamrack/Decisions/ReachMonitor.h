#ifndef BALSAMRACK_DECISIONS_REACHMONITOR_H
#define BALSAMRACK_DECISIONS_REACHMONITOR_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// What is known of the way to backend servers.
enum class ReachState {
  Unknown, ///< Nothing has been tried since the start.
  Reached, ///< A server that takes new flows was reached.
  Lost,    ///< None of them could be reached, and none has been since.
};

/// Name of a state in lower case. Thread-safe.
const char *reachStateName(ReachState state);

/// Whether this daemon can reach any backend server that takes new flows.
///
/// Load that it answers: a failure domain that is cut off from the others while
/// none of its own servers takes new flows. The fabric sends its callers to
/// daemons elsewhere only while none of the domain's daemons is ready; one that
/// is ready brings all callers of the domain back, to be refused. So a daemon
/// that has just started, and one that has lost its servers, is not ready until
/// a server was reached. A new entry in what is published proves nothing.
///
/// Deterministic. Not thread-safe.
class ReachMonitor {
public:
  /// Between rounds of probes without a proof.
  static constexpr Duration ProbePeriod{200'000};

  /// What is known.
  ReachState state() const { return State; }
  /// Since when the state is Lost. Precondition: state() is Lost.
  TimePoint lostAt() const { return LostAt; }
  /// A server that takes new flows took a connection or opened a flow.
  void reportReached() { State = ReachState::Reached; }
  /// All servers that take new flows are unreachable.
  void reportLost(TimePoint now);
  /// True when some servers should be probed now; counts them as probed.
  bool startProbeIfDue(TimePoint now);
  /// When takeProbe() is true next; the far future for never.
  TimePoint nextProbeAt() const;

private:
  ReachState State = ReachState::Unknown;
  TimePoint LostAt;    ///< See lostAt().
  TimePoint NextProbe; ///< Not before.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_REACHMONITOR_H

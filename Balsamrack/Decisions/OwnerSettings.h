#ifndef BALSAMRACK_DECISIONS_OWNERSETTINGS_H
#define BALSAMRACK_DECISIONS_OWNERSETTINGS_H

#include <cstdint>

#include "Balsamrack/Core/Time.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Limits of the queue before each backend server, see AdmissionQueue.
struct QueueSettings {
  bool FairAmongCallers = true; ///< False: one queue in order of arrival.
  double ColdShare = 0.03;      ///< Part of the queue that new flows may fill
                                ///< while the server is cold.
};

/// Limits of what a refusal tells, see WaitEstimate.
struct WaitSettings {
  bool RefuseLate = true;     ///< Refuse what can't be served in time.
  double MostWaitShare = 0.5; ///< A request waits if that is expected to take
                              ///< no more than this part of its remaining time.
  Duration LeastRetryAfter{50'000}; ///< A refused request comes back no sooner.
  Duration MostRetryAfter{30'000'000}; ///< Nor is it sent away for longer.
  Duration AuthorityWait{500'000}; ///< A request waits so long for the owner's
                                   ///< authority to come back.
};

/// Limits of the ramp of a cold server, see ColdStartRamp.
struct RampSettings {
  bool Enabled = true;               ///< False: all slots at once.
  uint32_t SuccessesPerStep = 16;    ///< Answers that lift the limit by one.
  Duration LeastStepTime{1'000'000}; ///< Time at a limit before the next.
  Duration UnmeasuredStepTime{5'000'000}; ///< The same while no warm answers of
                                          ///< the server were seen yet.
  Duration MostStepTime{16'000'000};      ///< Bound of its doubling.
  Duration IdleSuspicion{2'000'000}; ///< Without an answer for so long, a warm
                                     ///< server is asked for one first.
  double SlowFactor = 1.5;  ///< A group of answers with a mean over this times
                            ///< the warm one doesn't count.
  double JumpFactor = 4.0;  ///< Recent answers all this many times over the
                            ///< warm median mean cold.
  double DriftFactor = 3.0; ///< As do most of them this many times over it.
};

/// Limits of long work, see LongWorkGuard.
struct LongWorkSettings {
  bool Enabled = true;             ///< False: long work may hold all slots.
  double LongFactor = 8.0;         ///< Over this many lower quartiles is long.
  Duration LeastLong{200'000};     ///< Nothing shorter counts as long.
  Duration ShortMemory{2'000'000}; ///< The free slot is kept for so long after
                                   ///< the last short request.
};

/// Limits of ejection, see OutlierEjection.
struct EjectionSettings {
  bool Enabled = true;           ///< False: nothing is ejected.
  uint32_t FailuresInRow = 5;    ///< Eject after so many failures in a row.
  double SlowFactor = 4.0;       ///< Eject when this much slower than peers.
  uint32_t LeastSamples = 16;    ///< Answers before slowness is judged.
  double MostEjected = 0.5;      ///< Part of the owned servers, at least one.
  Duration FirstHold{5'000'000}; ///< Before the first probe.
  Duration MostHold{60'000'000}; ///< Bound of its doubling.
  uint32_t ProbesToReturn = 3;   ///< Good probes in a row that return it.
};

/// Limits of retries, see RetryBudget.
struct RetrySettings {
  bool Enabled = true;       ///< False: no retry at all.
  uint32_t MostAttempts = 2; ///< Dispatches of one idempotent request.
  double PerSuccess = 0.1;   ///< Tokens that a success adds.
  double MostTokens = 10.0;  ///< Bound of the bucket.
};

/// All limits of a ServiceOwner that are not in the tickets.
struct OwnerSettings {
  QueueSettings Queue;       ///< Queueing.
  WaitSettings Waits;        ///< Refusals.
  RampSettings Ramp;         ///< Cold servers.
  LongWorkSettings LongWork; ///< Long work among short.
  EjectionSettings Ejection; ///< Slow and failing servers.
  RetrySettings Retries;     ///< Retries.

  /// Ok when every limit makes sense. Error kInvalidArgument (step
  /// read-settings) names the first that doesn't. Thread-safe.
  absl::Status check() const;
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNERSETTINGS_H

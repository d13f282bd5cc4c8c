#ifndef BALSAMRACK_DECISIONS_OWNERSETTINGS_H
#define BALSAMRACK_DECISIONS_OWNERSETTINGS_H

#include <cstdint>

#include "Balsamrack/Core/Time.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Settings of the queue for each backend server, see AdmissionQueue.
struct QueueSettings {
  bool FairAmongCallers = true; ///< If false, one queue in order of arrival.
  double ColdShare = 0.03; ///< Fraction of the queue that new flows may fill
                           ///< while the server is cold.
};

/// Settings of wait estimates and retry times, see WaitEstimate.
struct WaitSettings {
  bool RefuseLate = true; ///< Refuse requests that cannot be served in time.
  double MaxWaitFraction =
      0.5; ///< A request is queued if its expected wait is
           ///< at most this fraction of its remaining time.
  /// Minimum retry delay of a refused request.
  Duration MinRetryAfter{50'000};
  /// Maximum retry delay of a refused request.
  Duration MaxRetryAfter{30'000'000};
  Duration AuthorityWait{500'000}; ///< Maximum time that a request waits for
                                   ///< the owner's authority to be restored.
};

/// Settings of the ramp of a cold server, see ColdStartRamp.
struct RampSettings {
  bool Enabled = true; ///< If false, all slots are used at once.
  /// Number of answers in a group that counts towards a step.
  uint32_t SuccessesPerStep = 16;
  Duration MinStepTime{1'000'000}; ///< Minimum duration of a step.
  /// Minimum duration of a step until warm answers of the server were seen.
  Duration UnmeasuredStepTime{5'000'000};
  /// Upper bound of the step time, which doubles.
  Duration MaxStepTime{16'000'000};
  /// After this long without an answer, a warm server must answer one request
  /// first.
  Duration IdleRestartTimeout{2'000'000};
  double SlowFactor = 1.5; ///< A group of answers counts only if its mean is at
                           ///< most this multiple of the warm mean.
  double JumpFactor = 4.0; ///< Recent answers that all exceed this multiple of
                           ///< the warm median indicate a cold server.
  /// So do recent answers of which most exceed this multiple of it.
  double DriftFactor = 3.0;
};

/// Settings for long work, see LongWorkGuard.
struct LongWorkSettings {
  bool Enabled = true;     ///< If false, long work may occupy all slots.
  double LongFactor = 8.0; ///< Work is long from this multiple of the lower
                           ///< quartile of answer times.
  Duration MinLongTime{200'000};   ///< Minimum duration of long work.
  Duration ShortMemory{2'000'000}; ///< The slot is reserved for this long after
                                   ///< the last short request.
};

/// Settings of ejection, see OutlierEjection.
struct EjectionSettings {
  bool Enabled = true; ///< If false, no server is ejected.
  /// Consecutive failures after which a server is ejected.
  uint32_t FailuresInRow = 5;
  double SlowFactor = 4.0; ///< A server is ejected when it is slower than its
                           ///< peers by more than this factor.
  /// Number of answers needed to evaluate slowness.
  uint32_t MinSamples = 16;
  double MaxEjectedFraction =
      0.5; ///< Maximum fraction of the owned servers that may
           ///< be ejected, at least one server.
  Duration FirstHold{5'000'000}; ///< Hold time before the first probe.
  /// Upper bound of the hold time, which doubles.
  Duration MaxHold{60'000'000};
  /// Consecutive good probes that readmit a server.
  uint32_t ProbesToReturn = 3;
};

/// Settings of retries, see RetryBudget.
struct RetrySettings {
  bool Enabled = true; ///< If false, no request is retried.
  /// Maximum number of dispatches of one idempotent request.
  uint32_t MaxAttempts = 2;
  double PerSuccess = 0.1; ///< Tokens added by a success.
  double MaxTokens = 10.0; ///< Capacity of the token bucket.
};

/// All settings of a ServiceOwner that are not in the tickets.
struct OwnerSettings {
  QueueSettings Queue;       ///< Queueing of requests.
  WaitSettings Waits;        ///< Wait estimates and retry times.
  RampSettings Ramp;         ///< Cold servers.
  LongWorkSettings LongWork; ///< Long work among short.
  EjectionSettings Ejection; ///< Slow and failing servers.
  RetrySettings Retries;     ///< Retries.

  /// Returns OK if all settings are valid, otherwise kInvalidArgument (step
  /// read-settings) naming the first that is not. Thread-safe.
  absl::Status check() const;
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNERSETTINGS_H

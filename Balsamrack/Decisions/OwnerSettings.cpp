#include "Balsamrack/Decisions/OwnerSettings.h"

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

/// Result of checking one setting.
struct Check {
  bool Good;           ///< True if the setting is valid.
  const char *Message; ///< Error message otherwise.
};

} // namespace

absl::Status OwnerSettings::check() const {
  const Duration zero{0};
  const Check checks[] = {
      {Queue.ColdShare > 0 && Queue.ColdShare <= 1,
       "Queue.ColdShare is not in (0, 1]"},
      {Waits.LeastRetryAfter > zero &&
           Waits.MostRetryAfter >= Waits.LeastRetryAfter,
       "Waits.LeastRetryAfter is not in (0, MostRetryAfter]"},
      {Waits.MostWaitShare > 0 && Waits.MostWaitShare <= 1,
       "Waits.MostWaitShare is not in (0, 1]"},
      {Waits.AuthorityWait >= zero, "Waits.AuthorityWait is negative"},
      {Ramp.SuccessesPerStep > 0, "Ramp.SuccessesPerStep is zero"},
      {Ramp.LeastStepTime >= zero && Ramp.MostStepTime >= Ramp.LeastStepTime,
       "Ramp.LeastStepTime is not in [0, MostStepTime]"},
      {Ramp.IdleSuspicion > zero, "Ramp.IdleSuspicion is not positive"},
      {Ramp.SlowFactor >= 1 && Ramp.DriftFactor >= Ramp.SlowFactor &&
           Ramp.JumpFactor >= Ramp.DriftFactor,
       "Ramp factors are not 1 <= SlowFactor <= DriftFactor <= JumpFactor"},
      {LongWork.LongFactor > 1, "LongWork.LongFactor is not above 1"},
      {LongWork.LeastLong >= zero && LongWork.ShortMemory >= zero,
       "a duration of LongWork is negative"},
      {Ejection.FailuresInRow > 0, "Ejection.FailuresInRow is zero"},
      {Ejection.SlowFactor > 1, "Ejection.SlowFactor is not above 1"},
      {Ejection.LeastSamples > 0, "Ejection.LeastSamples is zero"},
      {Ejection.MostEjected >= 0 && Ejection.MostEjected <= 1,
       "Ejection.MostEjected is not in [0, 1]"},
      {Ejection.FirstHold > zero && Ejection.MostHold >= Ejection.FirstHold,
       "Ejection.FirstHold is not in (0, MostHold]"},
      {Ejection.ProbesToReturn > 0, "Ejection.ProbesToReturn is zero"},
      {Retries.MostAttempts > 0, "Retries.MostAttempts is zero"},
      {Retries.PerSuccess >= 0 && Retries.MostTokens >= 0,
       "a limit of Retries is negative"},
  };
  for (const Check &c : checks)
    if (!c.Good)
      return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings,
                       "", c.Message);
  return absl::OkStatus();
}

} // namespace balsamrack

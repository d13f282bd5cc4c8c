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
      {Waits.MinRetryAfter > zero && Waits.MaxRetryAfter >= Waits.MinRetryAfter,
       "Waits.MinRetryAfter is not in (0, MaxRetryAfter]"},
      {Waits.MaxWaitFraction > 0 && Waits.MaxWaitFraction <= 1,
       "Waits.MaxWaitFraction is not in (0, 1]"},
      {Waits.AuthorityWait >= zero, "Waits.AuthorityWait is negative"},
      {Ramp.SuccessesPerStep > 0, "Ramp.SuccessesPerStep is zero"},
      {Ramp.MinStepTime >= zero && Ramp.MaxStepTime >= Ramp.MinStepTime,
       "Ramp.MinStepTime is not in [0, MaxStepTime]"},
      {Ramp.IdleRestartTimeout > zero,
       "Ramp.IdleRestartTimeout is not positive"},
      {Ramp.SlowFactor >= 1 && Ramp.DriftFactor >= Ramp.SlowFactor &&
           Ramp.JumpFactor >= Ramp.DriftFactor,
       "Ramp factors are not 1 <= SlowFactor <= DriftFactor <= JumpFactor"},
      {LongWork.LongFactor > 1, "LongWork.LongFactor is not above 1"},
      {LongWork.MinLongTime >= zero && LongWork.ShortMemory >= zero,
       "a duration of LongWork is negative"},
      {Ejection.FailuresInRow > 0, "Ejection.FailuresInRow is zero"},
      {Ejection.SlowFactor > 1, "Ejection.SlowFactor is not above 1"},
      {Ejection.MinSamples > 0, "Ejection.MinSamples is zero"},
      {Ejection.MaxEjectedFraction >= 0 && Ejection.MaxEjectedFraction <= 1,
       "Ejection.MaxEjectedFraction is not in [0, 1]"},
      {Ejection.FirstHold > zero && Ejection.MaxHold >= Ejection.FirstHold,
       "Ejection.FirstHold is not in (0, MaxHold]"},
      {Ejection.ProbesToReturn > 0, "Ejection.ProbesToReturn is zero"},
      {Retries.MaxAttempts > 0, "Retries.MaxAttempts is zero"},
      {Retries.PerSuccess >= 0 && Retries.MaxTokens >= 0,
       "a limit of Retries is negative"},
  };
  for (const Check &c : checks)
    if (!c.Good)
      return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings,
                       "", c.Message);
  return absl::OkStatus();
}

} // namespace balsamrack

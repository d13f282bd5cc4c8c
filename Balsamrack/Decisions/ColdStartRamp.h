#ifndef BALSAMRACK_DECISIONS_COLDSTARTRAMP_H
#define BALSAMRACK_DECISIONS_COLDSTARTRAMP_H

#include <cstdint>
#include <deque>
#include <optional>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/AnswerTimes.h"
#include "Balsamrack/Decisions/OwnerSettings.h"

namespace balsamrack {

/// How many requests one backend server may have in progress.
///
/// Answers: a server in cold start, told or not. Without it a server that has
/// just come up, or turned cold again, gets all that its slots and the queue
/// hold, falls over, comes up cold, and falls over again.
///
/// How: from one request at a time; answers that are about as fast as when the
/// server was warm lift the limit by one, up to the slots (slow start: Jacobson
/// 1988, with one step a group of answers since there are few slots). A warm
/// server that was idle for a while may have been restarted unseen: it gets one
/// request until an answer names the same instance. A changed
/// instance, a shed, a broken dispatch, or a jump of answer times takes it back
/// to one at once. A new owner starts at one; when an earlier owner knew the
/// instance as warm, the first answer of that same instance lifts the limit to
/// all slots.
///
/// Thresholds: two groups of sixteen answers and one second a step: caches and
/// pools that fill by use need answers, those that fill by time need time. The
/// mean of a group must be at most 1.5 times the warm mean, or what operators
/// expect until that is known. Single answers tell little: of exponentially
/// distributed work, three times slower, one answer in four is still fast,
/// while the mean of sixteen passes once in a hundred groups; one of 36 cold
/// servers of a trial fell over by that, so two groups in a row are asked for.
/// After eight times sixteen answers the limit rises anyway, or a server that
/// has become slower for good would stay at one. A step that was followed by a
/// fall doubles the time (to 16 s at most) and this timeout, so that a server
/// that stays cold for long is not pushed over again and again. Until warm
/// answers were seen here a step takes five seconds: a server that is cold from
/// its first answer shows nothing that it could be told by, and half of a
/// server for some seconds costs less than one that falls over.
///
/// A jump is when the last six answers are all over four times the warm median,
/// or ten of the last sixteen over three times: one slow answer is no sign, and
/// long work among short leaves short ones between. By chance the first happens
/// once in 16 million answers of exponentially distributed work and the second
/// in 250,000; with five answers and three times a warm server was called cold
/// within ten seconds of a trial. Two idle seconds: a busy server that restarts
/// is noticed by what it breaks off, and a process hardly starts in less. Not
/// thread-safe.
class ColdStartRamp {
public:
  static constexpr size_t JumpWindow = 6;   ///< Of these all over a jump.
  static constexpr size_t DriftWindow = 16; ///< Or of these ...
  static constexpr size_t DriftSlow = 10;   ///< ... so many over a drift.
  static constexpr uint32_t GoodGroupsPerStep = 2; ///< In a row.
  static constexpr size_t MaxPastInstances =
      8; ///< Instances that are remembered.
  static constexpr uint32_t PatienceFactor =
      8; ///< Slow answers count this many times less.

  /// Starts at one request. Precondition: \p settings were checked, \p slots is
  /// not zero.
  ColdStartRamp(const RampSettings &settings, uint32_t slots, TimePoint now);

  /// An earlier owner knew \p instance as warm; it counts once that instance
  /// answers here.
  void trustInstance(const InstanceId &instance) { TrustedInstance = instance; }
  /// What operators expect of a warm server: the measure of slowness until
  /// warm answers were seen here.
  void setExpected(Duration usual) { Expected = usual; }
  /// The ticket's slots changed.
  void setSlots(uint32_t slots);
  /// The server named its instance. Returns the rule that changed the limit or
  /// null. An instance that is known to be past is ignored: answers may cross.
  const char *updateInstance(TimePoint now, const InstanceId &instance);
  /// A good answer came; without \p took when its time tells nothing, as that
  /// of work known to be long. Returns the rule that changed the limit or null.
  const char *recordAnswer(TimePoint now, std::optional<Duration> took);
  /// The server shed a request, broke off, could not be reached, or says that
  /// it is not ready: \p why. Returns \p why if that lowered the limit, else
  /// null.
  const char *recordFailure(TimePoint now, const char *why);

  /// Requests that may be in progress, in [1, slots].
  uint32_t limit() const { return MayHaveRestarted ? 1 : Limit; }
  /// A dispatch starts while nothing else is in progress.
  void recordStartFromIdle(TimePoint now);
  /// A dispatch ended, however it did: until now a restart would have shown.
  void recordDispatchEnd(TimePoint now) { LastDispatchEnd = now; }
  /// The domain of the server was out of service: starts again, but for the
  /// instance that was warm.
  void resetForDomainReturn(TimePoint now);
  /// True at all slots.
  bool isWarm() const { return Limit >= Slots; }
  /// Last seen instance; may be empty.
  const InstanceId &instance() const { return Instance; }
  /// Time that the next step takes at least.
  Duration stepTime() const { return StepTime; }

private:
  void resetLimit(TimePoint now);
  void startStep(TimePoint now);
  const char *raiseLimit(TimePoint now, uint32_t limit, const char *why);
  bool hasSlowedDown() const;
  bool isSlow(std::optional<Duration> took) const;
  void addToGroup(std::optional<Duration> took);
  size_t countRecentOver(size_t window, double factor) const;

  RampSettings Settings;              ///< Limits.
  uint32_t Slots;                     ///< As the ticket says.
  bool HasWarmSamples = false;        ///< Warm answers were seen here once.
  Duration Expected{0};               ///< Zero while nothing is expected.
  uint32_t Limit = 1;                 ///< See limit().
  uint32_t Answers = 0;               ///< Answers at this limit.
  uint32_t Patience = PatienceFactor; ///< Groups after which it rises anyway.
  uint32_t GroupSize = 0;        ///< Answers in the group that is being seen.
  Duration GroupTime{0};         ///< Sum of their times.
  uint32_t GoodGroups = 0;       ///< Fast enough ones in a row.
  TimePoint StepSince;           ///< When this limit began.
  TimePoint LastDispatchEnd;     ///< Up to here a restart would have shown.
  bool MayHaveRestarted = false; ///< May have been restarted while idle.
  Duration StepTime;             ///< See stepTime().
  InstanceId Instance;           ///< See instance().
  InstanceId TrustedInstance;    ///< See trust(); empty once used.
  std::deque<InstanceId> PastInstances; ///< Earlier instances, oldest first.
  AnswerTimes WarmAnswers;              ///< Answers given while warm.
  std::deque<Duration> RecentAnswers;   ///< Answers for jumped().
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_COLDSTARTRAMP_H

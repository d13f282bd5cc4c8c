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

/// Limits the number of requests in progress on one backend server.
///
/// Guards against overloading a server in cold start, whether announced or not.
/// Without it a server that has just started, or became cold again, receives
/// everything that its slots and the queue hold, crashes, restarts cold, and
/// crashes again.
///
/// The limit starts at one request. Answers that are about as fast as when the
/// server was warm raise it by one, up to the number of slots (slow start:
/// Jacobson 1988, with one step per group of answers because there are few
/// slots). A warm server that was idle for a while may have restarted
/// unnoticed: it gets one request until an answer names the same instance. A
/// changed instance, shed load, a broken dispatch, or a jump of answer times
/// resets the limit to one at once. A new owner starts at one; if an earlier
/// owner knew the instance as warm, the first answer of that instance raises
/// the limit to all slots.
///
/// A step takes two groups of sixteen answers and at least one second: caches
/// and pools that fill by use need answers, those that fill over time need
/// time. The mean of a group must be at most 1.5 times the warm mean, or the
/// time that operators expect until that is known. Single answers say little:
/// for exponentially distributed work that is three times slower, one answer in
/// four is still fast, while the mean of sixteen passes once in a hundred
/// groups. With a single group, one of 36 cold servers in a trial was
/// overloaded that way, so two groups in a row are required. After eight times
/// sixteen answers the limit rises anyway; otherwise a server that has become
/// permanently slower would stay at one. A step followed by a reset doubles the
/// step time (up to 16 s) and this answer count, so that a server that stays
/// cold for long is not overloaded again and again. Until warm answers were
/// seen by this owner a step takes five seconds: nothing distinguishes a server
/// that is cold from its first answer, and half of a server for some seconds
/// costs less than a crash.
///
/// Answer times have jumped if the last six answers are all over four times the
/// warm median, or ten of the last sixteen are over three times: one slow
/// answer is no indication, and long work is interleaved with short work. By
/// chance, the first happens once in 16 million answers of exponentially
/// distributed work and the second once in 250,000. With five answers and three
/// times the median, a warm server was classified as cold within ten seconds of
/// a trial. The idle time is two seconds: a restart of a busy server is noticed
/// by the connections that break, and a process hardly starts in less. Not
/// thread-safe.
class ColdStartRamp {
public:
  /// Number of answers that must all exceed JumpFactor.
  static constexpr size_t JumpWindow = 6;
  static constexpr size_t DriftWindow = 16; ///< Or, of this many answers...
  /// ...this many must exceed DriftFactor.
  static constexpr size_t DriftSlow = 10;
  /// Consecutive groups needed for a step.
  static constexpr uint32_t GoodGroupsPerStep = 2;
  /// Number of past instances remembered.
  static constexpr size_t MaxPastInstances = 8;
  /// The limit rises after this many groups of answers, even if they are slow.
  static constexpr uint32_t PatienceFactor = 8;

  /// Starts at a limit of one. Precondition: \p settings were checked, \p slots
  /// is not zero.
  ColdStartRamp(const RampSettings &settings, uint32_t slots, TimePoint now);

  /// Records that an earlier owner knew \p instance as warm; effective once
  /// that instance answers here.
  void trustInstance(const InstanceId &instance) { TrustedInstance = instance; }
  /// Sets the answer time that operators expect of a warm server, the reference
  /// for slowness until warm answers were seen here.
  void setExpected(Duration usual) { Expected = usual; }
  /// Sets the number of slots from the ticket.
  void setSlots(uint32_t slots);
  /// Processes the instance id named by the server. Returns the rule that
  /// changed the limit, or null. Known past instances are ignored, since
  /// answers may arrive out of order.
  const char *updateInstance(TimePoint now, const InstanceId &instance);
  /// Records a good answer; without \p took if its time is not meaningful, as
  /// for work known to be long. Returns the rule that changed the limit, or
  /// null.
  const char *recordAnswer(TimePoint now, std::optional<Duration> took);
  /// Records a failure \p why: the server shed a request, broke the connection,
  /// was unreachable, or reported that it is not ready. Returns \p why if that
  /// lowered the limit, else null.
  const char *recordFailure(TimePoint now, const char *why);

  /// Maximum number of requests in progress, in [1, slots].
  uint32_t limit() const { return MayHaveRestarted ? 1 : Limit; }
  /// Records a dispatch that starts while nothing else is in progress.
  void recordStartFromIdle(TimePoint now);
  /// Records the end of a dispatch with any result: a restart before this time
  /// would have been noticed.
  void recordDispatchEnd(TimePoint now) { LastDispatchEnd = now; }
  /// Starts over after the server's domain was out of service, but trusts the
  /// instance that was warm.
  void resetForDomainReturn(TimePoint now);
  /// True if the limit has reached the number of slots.
  bool isWarm() const { return Limit >= Slots; }
  /// Instance seen last; may be empty.
  const InstanceId &instance() const { return Instance; }
  /// Minimum duration of the next step.
  Duration stepTime() const { return StepTime; }

private:
  void resetLimit(TimePoint now);
  void startStep(TimePoint now);
  const char *raiseLimit(TimePoint now, uint32_t limit, const char *why);
  bool hasSlowedDown() const;
  bool isSlow(std::optional<Duration> took) const;
  void addToGroup(std::optional<Duration> took);
  size_t countRecentOver(size_t window, double factor) const;

  RampSettings Settings; ///< Limits.
  uint32_t Slots;        ///< Number of slots from the ticket.
  /// Enough warm answers have been seen by this owner.
  bool HasWarmSamples = false;
  Duration Expected{0}; ///< Expected answer time; zero if none is set.
  uint32_t Limit = 1;   ///< See limit().
  uint32_t Answers = 0; ///< Answers since the limit last changed.
  /// Number of groups after which the limit rises anyway.
  uint32_t Patience = PatienceFactor;
  uint32_t GroupSize = 0;  ///< Answers in the current group.
  Duration GroupTime{0};   ///< Sum of the answer times of the current group.
  uint32_t GoodGroups = 0; ///< Consecutive groups that were fast enough.
  TimePoint StepSince;     ///< Time at which the limit last changed.
  /// A restart before this time would have been noticed.
  TimePoint LastDispatchEnd;
  bool MayHaveRestarted = false; ///< The server may have restarted while idle.
  Duration StepTime;             ///< See stepTime().
  InstanceId Instance;           ///< See instance().
  InstanceId TrustedInstance;    ///< See trustInstance(); empty once used.
  std::deque<InstanceId> PastInstances; ///< Earlier instances, oldest first.
  AnswerTimes WarmAnswers;              ///< Answer times while warm.
  /// Recent answer times for hasSlowedDown().
  std::deque<Duration> RecentAnswers;
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_COLDSTARTRAMP_H

#include "Balsamrack/Decisions/ColdStartRamp.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Number of warm answers needed before answers can be classified as slow.
constexpr size_t MinWarmSamples = 32;
/// Answer times below this are noise of the network and of scheduling.
constexpr Duration NoiseFloor{20'000};

Duration scale(Duration base, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(base.count()) * factor));
}

} // namespace

ColdStartRamp::ColdStartRamp(const RampSettings &settings, uint32_t slots,
                             TimePoint now)
    : Settings(settings), Slots(std::max(slots, 1U)), StepSince(now),
      StepTime(settings.MinStepTime) {
  if (!Settings.Enabled)
    Limit = Slots;
}

void ColdStartRamp::setSlots(uint32_t slots) {
  bool all = isWarm();
  Slots = std::max(slots, 1U);
  // A warm server stays warm when it gets more slots.
  Limit = all ? Slots : std::min(Limit, Slots);
}

const char *ColdStartRamp::updateInstance(TimePoint now,
                                          const InstanceId &instance) {
  if (instance.empty() || instance == Instance ||
      std::find(PastInstances.begin(), PastInstances.end(), instance) !=
          PastInstances.end())
    return nullptr;
  bool first = Instance.empty();
  if (!first)
    PastInstances.push_back(Instance);
  if (PastInstances.size() > MaxPastInstances)
    PastInstances.pop_front();
  Instance = instance;
  // The first instance id that a new owner sees does not indicate a restart,
  // unless the earlier owner knew another one, in which case the limit is one
  // anyway.
  return first ? nullptr : recordFailure(now, "instance-changed");
}

void ColdStartRamp::recordStartFromIdle(TimePoint now) {
  if (Settings.Enabled && now - LastDispatchEnd > Settings.IdleRestartTimeout)
    MayHaveRestarted = true;
}

void ColdStartRamp::resetForDomainReturn(TimePoint now) {
  InstanceId known = isWarm() ? Instance : TrustedInstance;
  if (!Settings.Enabled)
    return;
  resetLimit(now);
  TrustedInstance = known;
}

const char *ColdStartRamp::recordAnswer(TimePoint now,
                                        std::optional<Duration> took) {
  MayHaveRestarted = false;
  if (took)
    RecentAnswers.push_back(*took);
  if (RecentAnswers.size() > DriftWindow)
    RecentAnswers.pop_front();
  if (hasSlowedDown() && Limit > 1)
    return recordFailure(now, "answers-slowed");
  if (isWarm()) {
    if (took)
      WarmAnswers.add(*took);
    HasWarmSamples = HasWarmSamples || WarmAnswers.count() >= MinWarmSamples;
    // A step that was kept for long was not too early.
    if (now - StepSince >= Settings.MaxStepTime) {
      StepTime = Settings.MinStepTime;
      Patience = PatienceFactor;
    }
    return nullptr;
  }
  if (!TrustedInstance.empty() && TrustedInstance == Instance &&
      !isSlow(took)) {
    TrustedInstance = InstanceId();
    return raiseLimit(now, Slots, "known-warm");
  }
  addToGroup(took);
  bool enough = GoodGroups >= GoodGroupsPerStep ||
                Answers >= Settings.SuccessesPerStep * Patience;
  const Duration atLeast =
      HasWarmSamples ? StepTime
                     : std::max(StepTime, Settings.UnmeasuredStepTime);
  if (!enough || now - StepSince < atLeast)
    return nullptr;
  return raiseLimit(now, Limit + 1, "answered-well");
}

const char *ColdStartRamp::recordFailure(TimePoint now, const char *why) {
  if (!Settings.Enabled)
    return nullptr;
  bool lowered = Limit > 1;
  if (lowered && StepTime < Settings.MaxStepTime) {
    StepTime =
        std::min(std::max(StepTime * 2, Duration(1)), Settings.MaxStepTime);
    Patience *= 2;
  }
  TrustedInstance = InstanceId();
  resetLimit(now);
  return lowered ? why : nullptr;
}

void ColdStartRamp::resetLimit(TimePoint now) {
  Limit = 1;
  startStep(now);
}

void ColdStartRamp::startStep(TimePoint now) {
  Answers = GroupSize = GoodGroups = 0;
  GroupTime = Duration(0);
  StepSince = now;
  RecentAnswers.clear();
}

void ColdStartRamp::addToGroup(std::optional<Duration> took) {
  ++Answers;
  if (!took)
    return;
  GroupTime += *took;
  if (++GroupSize < Settings.SuccessesPerStep)
    return;
  bool good = !isSlow(GroupTime / static_cast<int64_t>(GroupSize));
  GoodGroups = good ? GoodGroups + 1 : 0;
  GroupSize = 0;
  GroupTime = Duration(0);
}

const char *ColdStartRamp::raiseLimit(TimePoint now, uint32_t limit,
                                      const char *why) {
  Limit = std::min(limit, Slots);
  startStep(now);
  // The next warm answers become the new reference, since the server may have
  // become permanently slower.
  if (isWarm())
    WarmAnswers.clear();
  return why;
}

size_t ColdStartRamp::countRecentOver(size_t window, double factor) const {
  Duration bound =
      std::max(scale(WarmAnswers.quantile(0.5), factor), NoiseFloor);
  size_t from =
      RecentAnswers.size() > window ? RecentAnswers.size() - window : 0;
  return std::count_if(RecentAnswers.begin() + static_cast<ptrdiff_t>(from),
                       RecentAnswers.end(),
                       [bound](Duration took) { return took > bound; });
}

bool ColdStartRamp::hasSlowedDown() const {
  if (WarmAnswers.count() < MinWarmSamples)
    return false;
  return countRecentOver(JumpWindow, Settings.JumpFactor) == JumpWindow ||
         countRecentOver(DriftWindow, Settings.DriftFactor) >= DriftSlow;
}

bool ColdStartRamp::isSlow(std::optional<Duration> took) const {
  // A new owner has seen no warm answers, and a server that starts cold answers
  // slowly from the start. Without the expected time, a cold server's own pace
  // would count as normal.
  const Duration usual =
      WarmAnswers.count() >= MinWarmSamples ? WarmAnswers.mean() : Expected;
  return took && usual > Duration::zero() &&
         *took > scale(usual, Settings.SlowFactor);
}

} // namespace balsamrack

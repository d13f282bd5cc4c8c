#include "Balsamrack/Decisions/ColdStartRamp.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Warm answers that are needed before answers can be called slow.
constexpr size_t LeastWarm = 32;
/// Jumps below this are noise of the network and of scheduling.
constexpr Duration NoiseFloor{20'000};

Duration times(Duration base, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(base.count()) * factor));
}

} // namespace

ColdStartRamp::ColdStartRamp(const RampSettings &settings, uint32_t slots,
                             TimePoint now)
    : Settings(settings), Slots(std::max(slots, 1U)), StepSince(now),
      StepTime(settings.LeastStepTime) {
  if (!Settings.Enabled)
    Limit = Slots;
}

void ColdStartRamp::setSlots(uint32_t slots) {
  bool all = warm();
  Slots = std::max(slots, 1U);
  // More slots on a warm server are no reason to call it cold.
  Limit = all ? Slots : std::min(Limit, Slots);
}

const char *ColdStartRamp::instanceSeen(TimePoint now,
                                        const InstanceId &instance) {
  if (instance.empty() || instance == Instance ||
      std::find(Past.begin(), Past.end(), instance) != Past.end())
    return nullptr;
  bool first = Instance.empty();
  if (!first)
    Past.push_back(Instance);
  if (Past.size() > MostPast)
    Past.pop_front();
  Instance = instance;
  // The first name that a new owner learns tells nothing of a restart, unless
  // the earlier owner knew another one; the limit is one then anyway.
  return first ? nullptr : faltered(now, "instance-changed");
}

void ColdStartRamp::startsFromIdle(TimePoint now) {
  if (Settings.Enabled && now - LastProof > Settings.IdleSuspicion)
    Suspected = true;
}

void ColdStartRamp::returned(TimePoint now) {
  InstanceId known = warm() ? Instance : Trusted;
  if (!Settings.Enabled)
    return;
  fall(now);
  Trusted = known;
}

const char *ColdStartRamp::answered(TimePoint now,
                                    std::optional<Duration> took) {
  Suspected = false;
  if (took)
    Last.push_back(*took);
  if (Last.size() > DriftWindow)
    Last.pop_front();
  if (jumped() && Limit > 1)
    return faltered(now, "answers-slowed");
  if (warm()) {
    if (took)
      Warm.add(*took);
    Measured = Measured || Warm.count() >= LeastWarm;
    // A step that held for long was not too early.
    if (now - StepSince >= Settings.MostStepTime) {
      StepTime = Settings.LeastStepTime;
      Patience = PatienceFactor;
    }
    return nullptr;
  }
  if (!Trusted.empty() && Trusted == Instance && !slow(took)) {
    Trusted = InstanceId();
    return lift(now, Slots, "known-warm");
  }
  countAnswer(took);
  bool enough = GoodGroups >= GoodGroupsPerStep ||
                Answers >= Settings.SuccessesPerStep * Patience;
  const Duration atLeast =
      Measured ? StepTime : std::max(StepTime, Settings.BlindStepTime);
  if (!enough || now - StepSince < atLeast)
    return nullptr;
  return lift(now, Limit + 1, "answered-well");
}

const char *ColdStartRamp::faltered(TimePoint now, const char *why) {
  if (!Settings.Enabled)
    return nullptr;
  bool lowered = Limit > 1;
  if (lowered && StepTime < Settings.MostStepTime) {
    StepTime =
        std::min(std::max(StepTime * 2, Duration(1)), Settings.MostStepTime);
    Patience *= 2;
  }
  Trusted = InstanceId();
  fall(now);
  return lowered ? why : nullptr;
}

void ColdStartRamp::fall(TimePoint now) {
  Limit = 1;
  startLevel(now);
}

void ColdStartRamp::startLevel(TimePoint now) {
  Answers = GroupSize = GoodGroups = 0;
  GroupTime = Duration(0);
  StepSince = now;
  Last.clear();
}

void ColdStartRamp::countAnswer(std::optional<Duration> took) {
  ++Answers;
  if (!took)
    return;
  GroupTime += *took;
  if (++GroupSize < Settings.SuccessesPerStep)
    return;
  bool good = !slow(GroupTime / static_cast<int64_t>(GroupSize));
  GoodGroups = good ? GoodGroups + 1 : 0;
  GroupSize = 0;
  GroupTime = Duration(0);
}

const char *ColdStartRamp::lift(TimePoint now, uint32_t limit,
                                const char *why) {
  Limit = std::min(limit, Slots);
  startLevel(now);
  // The next warm answers are the new measure: the server may have become
  // slower for good.
  if (warm())
    Warm.clear();
  return why;
}

size_t ColdStartRamp::lastOver(size_t window, double factor) const {
  Duration bound = std::max(times(Warm.quantile(0.5), factor), NoiseFloor);
  size_t from = Last.size() > window ? Last.size() - window : 0;
  return std::count_if(Last.begin() + static_cast<ptrdiff_t>(from), Last.end(),
                       [bound](Duration took) { return took > bound; });
}

bool ColdStartRamp::jumped() const {
  if (Warm.count() < LeastWarm)
    return false;
  return lastOver(JumpWindow, Settings.JumpFactor) == JumpWindow ||
         lastOver(DriftWindow, Settings.DriftFactor) >= DriftSlow;
}

bool ColdStartRamp::slow(std::optional<Duration> took) const {
  // A new owner has seen no warm answer, and a server that starts cold answers
  // slowly from the first: without the operators' word a cold server's own
  // pace would pass for its usual one.
  const Duration usual = Warm.count() >= LeastWarm ? Warm.mean() : Expected;
  return took && usual > Duration::zero() &&
         *took > times(usual, Settings.SlowFactor);
}

} // namespace balsamrack

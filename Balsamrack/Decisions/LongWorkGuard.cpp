#include "Balsamrack/Decisions/LongWorkGuard.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Quantile of the answer times that represents short work.
constexpr double ShortQuantile = 0.25;
/// Weight of the latest answer in the moving average.
constexpr double LearnRate = 0.3;
/// Initial fraction after a first answer that was long.
constexpr double InitialLongShare = 0.3;
/// Fraction of long answers from which work is expected to be long.
constexpr double LongCallerShare = 0.5;
/// Distinguishes the keys of flows and callers.
constexpr uint64_t FlowSalt = 1;
constexpr uint64_t CallerSalt = 2;

uint64_t keyOf(uint64_t id, uint64_t salt, Semantics kind) {
  return combineHash(combineHash(id, salt), static_cast<uint64_t>(kind));
}

} // namespace

LongWorkGuard::LongWorkGuard(const LongWorkSettings &settings)
    : Settings(settings) {}

void LongWorkGuard::recordAnswer(const Envelope &head, Duration took) {
  Times.add(took);
  bool wasLong = isLong(took);
  updateHistory(keyOf(head.Flow.Value, FlowSalt, head.Kind), wasLong);
  updateHistory(keyOf(head.Caller.Value, CallerSalt, head.Kind), wasLong);
}

bool LongWorkGuard::isExpectedLong(const Envelope &head,
                                   Duration typicalLong) const {
  if (!Settings.Enabled || head.Remaining <= typicalLong)
    return false;
  auto share = longShare(keyOf(head.Flow.Value, FlowSalt, head.Kind));
  if (!share)
    share = longShare(keyOf(head.Caller.Value, CallerSalt, head.Kind));
  return share && *share >= LongCallerShare;
}

bool LongWorkGuard::isLong(Duration took) const {
  return Settings.Enabled && took >= longThreshold();
}

Duration LongWorkGuard::longThreshold() const {
  auto quartile = static_cast<double>(Times.quantile(ShortQuantile).count());
  Duration from(static_cast<int64_t>(quartile * Settings.LongFactor));
  return std::max(from, Settings.MinLongTime);
}

bool LongWorkGuard::mayStart(TimePoint now, bool longWork, uint32_t limit,
                             uint32_t longRunning) const {
  if (!Settings.Enabled || !longWork || limit < 2 || !LastShort)
    return true;
  return now >= reservedUntil() || longRunning + 1 < limit;
}

TimePoint LongWorkGuard::reservedUntil() const {
  return LastShort ? *LastShort + Settings.ShortMemory : TimePoint();
}

void LongWorkGuard::updateHistory(uint64_t key, bool wasLong) {
  double last = wasLong ? 1.0 : 0.0;
  auto [it, fresh] =
      Histories.try_emplace(key, History{last * InitialLongShare});
  if (!fresh) {
    it->second.LongShare += LearnRate * (last - it->second.LongShare);
    return;
  }
  Order.push_back(key);
  if (Order.size() > MaxHistories) {
    Histories.erase(Order.front());
    Order.pop_front();
  }
}

std::optional<double> LongWorkGuard::longShare(uint64_t key) const {
  auto it = Histories.find(key);
  if (it == Histories.end())
    return std::nullopt;
  return it->second.LongShare;
}

} // namespace balsamrack

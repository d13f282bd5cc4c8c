#include "Balsamrack/Decisions/LateOpenings.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Callers give an attempt up when its opening has no answer for so long.
constexpr Duration AttemptTimeout{1'400'000};
/// One part in so many of the timeout is left for the work itself.
constexpr int ReservedTimeoutDivisor = 4;
/// One before the work, one after it.
constexpr int HandshakesPerRequest = 2;
/// Of a request's time, should a handshake be measured longer than that.
constexpr double MinWorkFraction = 0.25;

} // namespace

Duration lateOpeningMaxWait(const OpeningTimes &times) {
  if (times.Objective == Duration{0} || times.Age < times.Objective)
    return Duration{0};
  Duration timeout = AttemptTimeout;
  if (times.Timeout > Duration{0})
    timeout = std::min(timeout, times.Timeout);
  Duration most = timeout - timeout / ReservedTimeoutDivisor;
  return std::max(Duration{0}, most - times.Age);
}

bool areOwnSlotsBusy(const OwnSlotUsage &slots) {
  double atWork = 1;
  if (slots.RequestTime > Duration{0}) {
    auto whole = static_cast<double>(slots.RequestTime.count());
    auto work = static_cast<double>(
        (slots.RequestTime - HandshakesPerRequest * slots.Handshake).count());
    atWork = std::max(work / whole, MinWorkFraction);
  }
  return slots.Load * atWork >= 1;
}

} // namespace balsamrack

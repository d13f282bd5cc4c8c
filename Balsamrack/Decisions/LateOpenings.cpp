#include "Balsamrack/Decisions/LateOpenings.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Callers abandon an attempt whose opening is not answered within this time.
constexpr Duration AttemptTimeout{1'400'000};
/// The fraction 1/N of the timeout is reserved for processing the request.
constexpr int ReservedTimeoutDivisor = 4;
/// One before and one after the processing.
constexpr int HandshakesPerRequest = 2;
/// Lower bound on the fraction of the request time that occupies a slot, for
/// when the measured handshake time is longer than that allows.
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

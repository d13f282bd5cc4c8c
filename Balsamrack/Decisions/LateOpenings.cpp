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
  return std::max(Duration{0}, lateOpeningMaxAge(times.Timeout) - times.Age);
}

Duration lateOpeningMaxAge(Duration timeout) {
  Duration whole = AttemptTimeout;
  if (timeout > Duration{0})
    whole = std::min(whole, timeout);
  return whole - whole / ReservedTimeoutDivisor;
}

double slotUse(Duration requestTime, Duration handshake) {
  if (requestTime == Duration{0})
    return 1;
  auto whole = static_cast<double>(requestTime.count());
  auto work = static_cast<double>(
      (requestTime - HandshakesPerRequest * handshake).count());
  return std::max(work / whole, MinWorkFraction);
}

bool areOwnSlotsBusy(const OwnSlotUsage &slots) {
  return slots.Load * slotUse(slots.RequestTime, slots.Handshake) >= 1;
}

} // namespace balsamrack

#include "Balsamrack/Decisions/ColdServerRateLimiter.h"

#include <algorithm>

namespace balsamrack {

namespace {

constexpr double MicrosPerSecond = 1e6;

} // namespace

bool ColdServerRateLimiter::mayAdmit(TimePoint now, double perSecond,
                                     double part) {
  if (RefilledAt != TimePoint{}) {
    double seconds =
        static_cast<double>((now - RefilledAt).count()) / MicrosPerSecond;
    Tokens = std::min(1.0, Tokens + seconds * perSecond * part * UsedFraction);
  }
  RefilledAt = now;
  return Tokens >= 1;
}

} // namespace balsamrack

#include "Balsamrack/Decisions/ColdAllowance.h"

#include <algorithm>

namespace balsamrack {

namespace {

constexpr double MicrosPerSecond = 1e6;

} // namespace

bool ColdAllowance::allows(TimePoint now, double perSecond, double part) {
  if (At != TimePoint{}) {
    double seconds = static_cast<double>((now - At).count()) / MicrosPerSecond;
    Credit = std::min(1.0, Credit + seconds * perSecond * part * UsedPart);
  }
  At = now;
  return Credit >= 1;
}

} // namespace balsamrack

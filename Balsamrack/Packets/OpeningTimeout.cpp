#include "Balsamrack/Packets/OpeningTimeout.h"

#include <algorithm>
#include <cmath>

namespace balsamrack {

namespace {

// Weights of RFC 6298.
constexpr double MeanWeight = 1.0 / 8;
constexpr double SpreadWeight = 1.0 / 4;
constexpr double Spreads = 4;

} // namespace

void OpeningTimeout::measured(Duration took) {
  auto sample = static_cast<double>(took.count());
  if (Mean == 0) {
    Mean = sample;
    Spread = sample / 2;
    return;
  }
  Spread += SpreadWeight * (std::abs(Mean - sample) - Spread);
  Mean += MeanWeight * (sample - Mean);
}

Duration OpeningTimeout::value() const {
  if (Mean == 0)
    return Initial;
  Duration wait(static_cast<int64_t>(Mean + Spreads * Spread));
  return std::clamp(wait, Least, Most);
}

} // namespace balsamrack

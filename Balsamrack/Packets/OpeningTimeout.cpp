#include "Balsamrack/Packets/OpeningTimeout.h"

#include <algorithm>
#include <cmath>

namespace balsamrack {

namespace {

// Smoothing weights and deviation factor of RFC 6298.
constexpr double MeanWeight = 1.0 / 8;
constexpr double DeviationWeight = 1.0 / 4;
constexpr double DeviationFactor = 4;

} // namespace

void OpeningTimeout::addSample(Duration took) {
  auto sample = static_cast<double>(took.count());
  if (Mean == 0) {
    Mean = sample;
    Deviation = sample / 2;
    return;
  }
  Deviation += DeviationWeight * (std::abs(Mean - sample) - Deviation);
  Mean += MeanWeight * (sample - Mean);
}

Duration OpeningTimeout::value() const {
  if (Mean == 0)
    return Initial;
  Duration wait(static_cast<int64_t>(Mean + DeviationFactor * Deviation));
  return std::clamp(wait, Min, Max);
}

} // namespace balsamrack

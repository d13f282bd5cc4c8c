#include "Balsamrack/Decisions/WaitEstimate.h"

#include <algorithm>

namespace balsamrack {

namespace {

constexpr double FastShare = 0.1; ///< See fast().
constexpr double SlowShare = 0.9; ///< See slow().
/// Maximum random part, as a fraction of the delay.
constexpr double JitterShare = 0.5;

} // namespace

WaitEstimate::WaitEstimate(const WaitSettings &settings) : Settings(settings) {}

Duration WaitEstimate::waitFor(uint32_t ahead, uint32_t slots) const {
  int64_t turns = static_cast<int64_t>(ahead) + 1;
  return mean() * turns / static_cast<int64_t>(std::max(slots, 1U));
}

Duration WaitEstimate::maxWait(Duration left) const {
  auto share = static_cast<double>(left.count()) * Settings.MaxWaitFraction;
  return std::min(left - fast(), Duration(static_cast<int64_t>(share)));
}

Duration WaitEstimate::remaining(Duration age) const {
  return hasSamples() ? typical() - age : age;
}

Duration WaitEstimate::mean() const {
  return hasSamples() ? Times.mean() : Expected;
}

Duration WaitEstimate::fast() const {
  return hasSamples() ? Times.quantile(FastShare) : Expected / 2;
}

Duration WaitEstimate::slow() const {
  return hasSamples() ? Times.quantile(SlowShare) : Expected * 2;
}

Duration WaitEstimate::typical() const {
  return hasSamples() ? Times.quantile(0.5) : Expected;
}

Duration WaitEstimate::scheduleRetry(TimePoint now, Duration backlog,
                                     uint32_t slots, RandomSource &random) {
  Duration pace = mean() / static_cast<int64_t>(std::max(slots, 1U));
  // Retry times are reserved no further ahead than the maximum delay, so that
  // callers that never return cannot delay the others indefinitely.
  TimePoint first = now + std::max(backlog, Settings.MinRetryAfter);
  NextRetry = std::clamp(NextRetry + pace, first,
                         std::max(first, now + Settings.MaxRetryAfter));
  Duration base = NextRetry - now;
  double jitter = static_cast<double>(base.count()) * JitterShare;
  base += Duration(static_cast<int64_t>(jitter * random.nextDouble()));
  return std::clamp(base, Settings.MinRetryAfter, Settings.MaxRetryAfter);
}

} // namespace balsamrack

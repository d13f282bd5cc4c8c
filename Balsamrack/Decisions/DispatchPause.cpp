#include "Balsamrack/Decisions/DispatchPause.h"

#include <algorithm>

namespace balsamrack {

void DispatchPause::reportAnswered() {
  ConsecutiveUnreachable = 0;
  NextPause = MinPause;
}

void DispatchPause::reportShed(TimePoint now, Duration retryAfter) {
  ConsecutiveUnreachable = 0;
  extend(now, std::min(retryAfter, Duration(MaxRetryAfter)));
}

void DispatchPause::reportUnreachable(TimePoint now) {
  ++ConsecutiveUnreachable;
  extend(now, Duration(0));
}

void DispatchPause::extend(TimePoint now, Duration retryAfter) {
  Until = std::max(Until, now + std::max(NextPause, retryAfter));
  NextPause = std::min(NextPause * 2, Duration(MaxPause));
}

} // namespace balsamrack

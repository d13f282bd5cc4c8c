#include "Balsamrack/Core/Time.h"

#include <ctime>

namespace balsamrack {

TimePoint SystemClock::now() const {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

} // namespace balsamrack

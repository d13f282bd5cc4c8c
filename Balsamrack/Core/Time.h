#ifndef BALSAMRACK_CORE_TIME_H
#define BALSAMRACK_CORE_TIME_H

#include <atomic>
#include <chrono>
#include <cstdint>

namespace balsamrack {

/// All durations inside the system. Microseconds keep recorded traces exact.
using Duration = std::chrono::microseconds;

/// Names the monotonic time line of one process; times of two VMs can't be
/// mixed up with wall time.
struct MonotonicTimeBase {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeBase, Duration>;
  static constexpr bool is_steady = true;
};

/// A moment on the monotonic clock of this process.
using TimePoint = MonotonicTimeBase::time_point;

/// Source of the current time; decisions never read a clock on their own, they
/// are handed a TimePoint.
class Clock {
public:
  virtual ~Clock() = default;
  /// The current monotonic time. Thread-safe.
  virtual TimePoint now() const = 0;
};

/// The operating system's monotonic clock (CLOCK_BOOTTIME, so that a suspended
/// VM sees the time it lost).
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
};

/// A clock that moves only when it is told to: for tests and replay.
/// Thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return TimePoint(Duration(Micros.load())); }
  /// Moves the clock on. Precondition: \p step is not negative.
  void advance(Duration step) { Micros += step.count(); }
  /// Sets the clock. Precondition: \p when is not before now().
  void set(TimePoint when) { Micros = when.time_since_epoch().count(); }

private:
  std::atomic<int64_t> Micros{
      1'000'000}; ///< Starts at one second, so that zero stays "never".
};

/// Event of a decision class: time has passed. Due when its nextWakeup() says
/// so, harmless otherwise.
struct Ticked {};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_TIME_H

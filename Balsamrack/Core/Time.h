#ifndef BALSAMRACK_CORE_TIME_H
#define BALSAMRACK_CORE_TIME_H

#include <atomic>
#include <chrono>
#include <cstdint>

namespace balsamrack {

/// Type of all durations. Integer microseconds are recorded in traces without
/// loss.
using Duration = std::chrono::microseconds;

/// Time base of one process's monotonic clock. As a type of its own, it
/// prevents mixing monotonic time with wall clock time.
struct MonotonicTimeBase {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeBase, Duration>;
  static constexpr bool is_steady = true;
};

/// A point in time on the monotonic clock of this process.
using TimePoint = MonotonicTimeBase::time_point;

/// Source of the current time. Decision classes never read a clock; they get
/// the TimePoint as a parameter.
class Clock {
public:
  virtual ~Clock() = default;
  /// Returns the current monotonic time. Thread-safe.
  virtual TimePoint now() const = 0;
};

/// The operating system's monotonic clock (CLOCK_BOOTTIME, so that time during
/// which the VM was suspended counts).
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
};

/// A clock that is advanced explicitly, for tests and replay. Thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return TimePoint(Duration(Micros.load())); }
  /// Advances the clock. Precondition: \p step is not negative.
  void advance(Duration step) { Micros += step.count(); }
  /// Sets the clock. Precondition: \p when is not before now().
  void set(TimePoint when) { Micros = when.time_since_epoch().count(); }

private:
  std::atomic<int64_t> Micros{
      1'000'000}; ///< Starts at one second, because zero means "never".
};

/// Timer event of a decision class. Due at the time returned by its
/// nextWakeup(); has no effect at other times.
struct Ticked {};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_TIME_H

#ifndef BALSAMRACK_DAEMON_PROGRESSMONITOR_H
#define BALSAMRACK_DAEMON_PROGRESSMONITOR_H

#include <atomic>
#include <cstdint>
#include <mutex>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Detects that a thread's loop has stopped, from checks that another thread
/// makes. A suspension of the whole process suspends the checks too, so it does
/// not count. Thread-safe.
class ProgressMonitor {
public:
  /// Checks that follow each other sooner count as one.
  static constexpr Duration MinCheckInterval{400'000};
  /// Number of checks without progress in between after which the loop counts
  /// as stalled.
  static constexpr int MaxChecksWithoutProgress = 4;

  /// Records that the loop has finished an iteration.
  void recordProgress() { ++Iterations; }
  /// Makes a check at \p now; true if the loop is stalled. Precondition: the
  /// loop iterates at least once in MinCheckInterval unless it is stalled.
  bool checkStalled(TimePoint now);

private:
  std::atomic<uint64_t> Iterations{0};
  std::mutex Lock;             ///< Guards the members below.
  uint64_t SeenIterations = 0; ///< Iterations at the last progress seen.
  int ChecksWithoutProgress = 0;
  TimePoint LastCheckAt; ///< Last check that counted.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PROGRESSMONITOR_H

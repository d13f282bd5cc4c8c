#include "Balsamrack/Daemon/ProgressMonitor.h"

namespace balsamrack {

bool ProgressMonitor::checkStalled(TimePoint now) {
  std::lock_guard<std::mutex> hold(Lock);
  uint64_t iterations = Iterations;
  if (iterations != SeenIterations) {
    SeenIterations = iterations;
    ChecksWithoutProgress = 0;
    LastCheckAt = now;
  } else if (now - LastCheckAt >= MinCheckInterval) {
    ++ChecksWithoutProgress;
    LastCheckAt = now;
  }
  return ChecksWithoutProgress >= MaxChecksWithoutProgress;
}

} // namespace balsamrack

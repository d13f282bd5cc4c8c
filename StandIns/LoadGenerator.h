#ifndef BALSAMRACK_STANDINS_LOADGENERATOR_H
#define BALSAMRACK_STANDINS_LOADGENERATOR_H

#include <memory>
#include <thread>
#include <vector>

#include "StandIns/Caller.h"

namespace balsamrack::standins {

/// A run of many callers, one thread each.
class LoadGenerator {
public:
  /// Starts the callers. Precondition: \p settings has a target.
  explicit LoadGenerator(CallSettings settings);
  /// Stops the callers.
  ~LoadGenerator();
  /// Tells the callers to stop and waits until each has its last ending.
  /// Idempotent. Not thread-safe.
  void stop();
  /// A copy of what they saw so far. Thread-safe.
  LoadReport report();

private:
  const CallSettings Settings;      ///< Shared by the callers.
  SharedLoadState Shared;           ///< Shared by the callers.
  std::vector<std::thread> Threads; ///< One a caller.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_LOADGENERATOR_H

#ifndef BALSAMRACK_STANDINS_LOADGENERATOR_H
#define BALSAMRACK_STANDINS_LOADGENERATOR_H

#include <memory>
#include <thread>
#include <vector>

#include "StandIns/Caller.h"

namespace balsamrack::standins {

/// Runs many callers, each on its own thread.
class LoadGenerator {
public:
  /// Starts the callers. Precondition: \p settings has at least one target.
  explicit LoadGenerator(CallSettings settings);
  /// Stops the callers.
  ~LoadGenerator();
  /// Stops the callers and waits until their last attempts have ended.
  /// Idempotent. Not thread-safe.
  void stop();
  /// Returns a copy of the results so far. Thread-safe.
  LoadReport report();

private:
  const CallSettings Settings;      ///< Shared by the callers.
  SharedLoadState Shared;           ///< Shared by the callers.
  std::vector<std::thread> Threads; ///< One per caller.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_LOADGENERATOR_H

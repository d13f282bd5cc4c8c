#ifndef BALSAMRACK_SOAK_SOAKCALLERS_H
#define BALSAMRACK_SOAK_SOAKCALLERS_H

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Soak/SoakFleet.h"

namespace balsamrack::soak {

/// What callers saw.
struct CallCounts {
  uint64_t Calls = 0;    ///< Flows.
  uint64_t Answered = 0; ///< All their requests were.
  uint64_t Reset = 0;    ///< By a balancer or a server.
  uint64_t TimedOut = 0; ///< No answer in time.
};

/// Callers on threads of their own: short flows and long sessions to both
/// services through the fabric, until stopped. They check what they see.
/// Thread-safe.
class SoakCallers {
public:
  /// Starts the callers. Precondition: \p fleet outlives them.
  SoakCallers(SoakFleet &fleet, uint64_t seed);
  ~SoakCallers();

  /// Ends them all. Idempotent.
  void stop();
  /// What they saw so far.
  CallCounts counts() const;
  /// Broken promises.
  std::vector<std::string> violations() const;

private:
  void run(size_t caller, uint64_t seed);
  void recordCall(size_t caller, const platform::CallResult &result);

  SoakFleet &Fleet;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Lock; ///< Guards what follows.
  CallCounts Counts;
  std::vector<std::string> Violations;
  std::vector<std::thread> Threads; ///< Last.
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_SOAKCALLERS_H

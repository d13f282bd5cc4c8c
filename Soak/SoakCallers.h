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

/// Results of the callers.
struct CallCounts {
  uint64_t Calls = 0;    ///< Number of flows.
  uint64_t Answered = 0; ///< Flows with all requests answered.
  uint64_t Reset = 0;    ///< Flows reset by a load balancer or a server.
  uint64_t TimedOut = 0; ///< Flows without an answer in time.
};

/// Callers, each on its own thread, that open short flows and long sessions to
/// both services through the fabric until stopped, and check the results.
/// Thread-safe.
class SoakCallers {
public:
  /// Starts the callers. Precondition: \p fleet outlives them.
  SoakCallers(SoakFleet &fleet, uint64_t seed);
  ~SoakCallers();

  /// Stops all callers. Idempotent.
  void stop();
  /// Results so far.
  CallCounts counts() const;
  /// Violated guarantees.
  std::vector<std::string> violations() const;

private:
  void run(size_t caller, uint64_t seed);
  void recordCall(size_t caller, const platform::CallResult &result);

  SoakFleet &Fleet;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Lock; ///< Guards Counts and Violations.
  CallCounts Counts;
  std::vector<std::string> Violations;
  std::vector<std::thread> Threads; ///< Last: uses all of the above.
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_SOAKCALLERS_H

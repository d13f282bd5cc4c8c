#ifndef BALSAMRACK_FAILURETESTS_FLEETTEST_H
#define BALSAMRACK_FAILURETESTS_FLEETTEST_H

#include <memory>
#include <string>

#include "FailureTests/Fleet.h"

#include <gtest/gtest.h>

namespace balsamrack {

/// Base class of tests that start a Fleet.
class FleetTest : public testing::Test {
protected:
  using Json = nlohmann::json;

  /// Starts the fleet. Call it within ASSERT_NO_FATAL_FAILURE.
  void startFleet(const FleetPlan &plan);
  /// Waits until \p count more requests have been answered.
  void awaitAnswers(standins::LoadGenerator &load, uint64_t count);
  /// Expects no broken flows, wrong services or answers, second runs, false
  /// refusals or overloaded cold servers, and that at least
  /// \p minAnsweredFraction of the requests were answered.
  static void expectNoViolations(const standins::LoadReport &report,
                                 double minAnsweredFraction);
  /// Sends a request for service booking to daemon \p i, as packet 1 of a new
  /// flow, with Idempotency-Key \p key. The servers count runs by \p attempt.
  absl::StatusOr<Answer> postBooking(size_t i, const std::string &target,
                                     const std::string &key,
                                     const std::string &attempt);
  /// Returns the number of runs of all attempts of \p operation at all servers.
  uint64_t countRuns(const std::string &operation);
  /// Returns the number of requests in progress at the booking servers.
  uint64_t countBookingInProgress();

  FleetPlan Plan;                   ///< Plan of the started fleet.
  std::unique_ptr<Fleet> TestFleet; ///< Fleet under test.
  uint32_t FlowsOpened = 0; ///< Number of flows that postBooking() opened.
};

/// Returns the Balsamrack-Ending header of \p answer, or the name of the error
/// code.
std::string outcomeOf(const absl::StatusOr<Answer> &answer);

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_FLEETTEST_H

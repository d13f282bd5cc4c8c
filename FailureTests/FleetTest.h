#ifndef BALSAMRACK_FAILURETESTS_FLEETTEST_H
#define BALSAMRACK_FAILURETESTS_FLEETTEST_H

#include <memory>
#include <string>

#include "FailureTests/Fleet.h"

#include <gtest/gtest.h>

namespace balsamrack {

/// A test with a fleet of its own.
class FleetTest : public testing::Test {
protected:
  using Json = nlohmann::json;

  /// Starts the fleet; use within ASSERT_NO_FATAL_FAILURE.
  void startFleet(const FleetPlan &plan);
  /// Waits until \p count more requests were answered.
  void awaitAnswers(standins::LoadGenerator &load, uint64_t count);
  /// Expects nothing that must never happen, no cold server that got more than
  /// it bears, and that \p share of the requests were answered.
  static void expectNoViolations(const standins::LoadReport &report,
                                 double minAnsweredFraction);
  /// Sends a request for booking to daemon \p i, as packet 1 of a new flow,
  /// with Idempotency-Key \p key; \p attempt is what the servers count.
  absl::StatusOr<Answer> postBooking(size_t i, const std::string &target,
                                     const std::string &key,
                                     const std::string &attempt);
  /// Runs of all attempts of operation \p operation at all booking servers.
  uint64_t countRuns(const std::string &operation);
  /// Runs that all booking servers have in progress.
  uint64_t countBookingInProgress();

  FleetPlan Plan;                   ///< As started.
  std::unique_ptr<Fleet> TestFleet; ///< The fleet.
  uint32_t FlowsOpened = 0;         ///< Each post is a flow of its own.
};

/// The Balsamrack-Ending of \p answer, or the error's code.
std::string outcomeOf(const absl::StatusOr<Answer> &answer);

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_FLEETTEST_H

#include <functional>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/DispatchPause.h"
#include "Balsamrack/Decisions/DrainTracker.h"
#include "Balsamrack/Decisions/LongWorkGuard.h"
#include "Balsamrack/Decisions/OwnerSettings.h"
#include "Balsamrack/Decisions/RetryBudget.h"
#include "Balsamrack/Decisions/SlotTable.h"
#include "Balsamrack/Decisions/WaitEstimate.h"

namespace balsamrack {
namespace {

constexpr TimePoint Start{Duration(1'000'000)};
constexpr Duration Second{1'000'000};

struct SettingsCase {
  const char *Name;
  std::function<void(OwnerSettings &)> Change;
  bool Good;
};

class SettingsTest : public testing::TestWithParam<SettingsCase> {};

TEST_P(SettingsTest, AreCheckedBeforeUse) {
  OwnerSettings settings;
  GetParam().Change(settings);
  EXPECT_EQ(settings.check().ok(), GetParam().Good) << settings.check();
}

INSTANTIATE_TEST_SUITE_P(
    Limits, SettingsTest,
    testing::Values(
        SettingsCase{"Shipped", [](auto &) {}, true},
        SettingsCase{"NoColdShare", [](auto &s) { s.Queue.ColdShare = 0; },
                     false},
        SettingsCase{"StepTimes",
                     [](auto &s) { s.Ramp.MaxStepTime = Duration(1); }, false},
        SettingsCase{"WaitShare",
                     [](auto &s) { s.Waits.MaxWaitFraction = 1.5; }, false},
        SettingsCase{"NoAttempts", [](auto &s) { s.Retries.MaxAttempts = 0; },
                     false},
        SettingsCase{"EjectsMoreThanAll",
                     [](auto &s) { s.Ejection.MaxEjectedFraction = 1.1; },
                     false}),
    [](const auto &info) { return info.param.Name; });

// Guards against retries that amplify an overload and sustain it after its
// cause is gone.
TEST(RetryBudgetTest, ShrinksToNothingUnderOverload) {
  RetryBudget budget{RetrySettings()};
  uint32_t calm = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.recordSuccess();
    calm += budget.tryConsume() ? 1 : 0;
  }
  EXPECT_LE(calm, 110U); // A tenth of the successes, plus the initial budget.
  uint32_t overloaded = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.recordSuccess();
    budget.recordRefusal();
    overloaded += budget.tryConsume() ? 1 : 0;
  }
  EXPECT_LE(overloaded, 1U);
}

// The same ticket is applied again with each update. If that restarted the
// limit, a draining server would never become empty.
TEST(DrainTrackerTest, RepeatedTicketDoesNotMoveTheLimit) {
  DrainTracker drain;
  BackendServer server;
  server.Mode = ServerMode::Draining;
  EXPECT_TRUE(drain.update(Start, server, true));
  EXPECT_FALSE(drain.update(Start + Second, server, true));
  EXPECT_EQ(*drain.limit(), Start + server.DrainLimit);
  EXPECT_TRUE(drain.checkRefusal(Start, true).has_value());
  EXPECT_FALSE(drain.checkRefusal(Start, false).has_value());
  server.Mode = ServerMode::Active;
  EXPECT_TRUE(drain.update(Start + Second, server, true));
  EXPECT_FALSE(drain.checkRefusal(Start + Second, true).has_value());
}

// A server is down for a minute. Without a pause all queued requests would be
// dispatched and fail within milliseconds; with an unbounded pause the
// recovered server would wait long for its first request.
TEST(DispatchPauseTest, GrowsToASecondAndEndsWithAnAnswer) {
  DispatchPause pause;
  pause.reportUnreachable(Start);
  EXPECT_EQ(pause.until(), Start + Duration(20'000));
  EXPECT_FALSE(pause.isUnreachable());
  for (int n = 0; n < 20; ++n)
    pause.reportUnreachable(Start);
  EXPECT_EQ(pause.until(), Start + Second);
  EXPECT_TRUE(pause.isUnreachable());
  pause.reportAnswered();
  EXPECT_FALSE(pause.isUnreachable());
  pause.reportShed(Start + Second, Second * 60);
  EXPECT_EQ(pause.until(), Start + Second * 6);
}

TEST(WaitEstimateTest, FollowsAnswersOverTheSlotsInUse) {
  WaitEstimate waits{WaitSettings()};
  waits.setExpected(Duration(50'000));
  EXPECT_EQ(waits.waitFor(3, 2), Duration(100'000));
  for (int n = 0; n < 64; ++n)
    waits.recordAnswer(Duration(200'000));
  EXPECT_EQ(waits.waitFor(3, 2), Duration(400'000));
  EXPECT_EQ(waits.waitFor(3, 1), Duration(800'000));
  EXPECT_EQ(waits.slow(), Duration(200'000));
}

// Callers that never return must not delay those that do indefinitely.
TEST(WaitEstimateTest, BookedReturnsAreBounded) {
  WaitEstimate waits{WaitSettings()};
  SeededRandom random(1);
  Duration last(0);
  for (int n = 0; n < 100'000; ++n)
    last = waits.scheduleRetry(Start, Second, 2, random);
  EXPECT_LE(last, WaitSettings().MaxRetryAfter);
  last = waits.scheduleRetry(Start + Second * 60, Second, 2, random);
  EXPECT_LE(last, Second * 2);
}

Envelope from(uint64_t caller) {
  Envelope head;
  head.Caller.Value = caller;
  head.Flow.Value = caller;
  head.Remaining = Second * 10;
  return head;
}

// Two site plans of seconds occupy both slots, and lookups of milliseconds
// wait. The guard must recognise callers that send plans, but must neither
// classify a caller by one slow lookup nor classify it forever.
TEST(LongWorkGuardTest, LearnsCallersAndKeepsASlot) {
  LongWorkGuard guard{LongWorkSettings()};
  for (int n = 0; n < 32; ++n)
    guard.recordAnswer(from(1), Duration(50'000));
  guard.recordAnswer(from(2), Second * 2);
  EXPECT_FALSE(guard.isExpectedLong(from(2), Second));
  guard.recordAnswer(from(2), Second * 2);
  EXPECT_TRUE(guard.isExpectedLong(from(2), Second));
  EXPECT_FALSE(guard.isExpectedLong(from(1), Second));
  EXPECT_FALSE(guard.isExpectedLong(from(3), Second));
  EXPECT_FALSE(guard.isExpectedLong(from(2), Second * 10));
  guard.recordShortArrival(Start);
  EXPECT_TRUE(guard.mayStart(Start, true, 2, 0));
  EXPECT_FALSE(guard.mayStart(Start, true, 2, 1));
  EXPECT_TRUE(guard.mayStart(Start, false, 2, 1));
  // Without short work, long work may use all slots.
  EXPECT_TRUE(guard.mayStart(Start + Second * 2, true, 2, 1));
  guard.recordAnswer(from(2), Duration(50'000));
  EXPECT_FALSE(guard.isExpectedLong(from(2), Second));
}

TEST(SlotTableTest, AbandonedSlotsAreFreedInTime) {
  SlotTable slots;
  RunningRequest run;
  run.What.Head.Request.Value = 1;
  slots.start(run);
  slots.abandon(Start, Start + Second, Duration(50'000), true);
  EXPECT_EQ(slots.used(), 2U);
  slots.releaseAbandonedUntil(Start - Second);
  slots.releaseExpired(Start + Second - Duration(1));
  EXPECT_EQ(slots.used(), 2U);
  slots.releaseExpired(*slots.nextRelease());
  EXPECT_EQ(slots.used(), 1U);
  EXPECT_TRUE(slots.end(RequestId{1}).has_value());
  EXPECT_FALSE(slots.end(RequestId{1}).has_value());
}

} // namespace
} // namespace balsamrack

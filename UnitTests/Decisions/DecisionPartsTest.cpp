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
                     [](auto &s) { s.Ramp.MostStepTime = Duration(1); }, false},
        SettingsCase{"WaitShare", [](auto &s) { s.Waits.MostWaitShare = 1.5; },
                     false},
        SettingsCase{"NoAttempts", [](auto &s) { s.Retries.MostAttempts = 0; },
                     false},
        SettingsCase{"EjectsMoreThanAll",
                     [](auto &s) { s.Ejection.MostEjected = 1.1; }, false}),
    [](const auto &info) { return info.param.Name; });

// A service is over its capacity, and failures lead to retries, which make the
// overload worse and keep it up when its cause is gone.
TEST(RetryBudgetTest, ShrinksToNothingUnderOverload) {
  RetryBudget budget{RetrySettings()};
  uint32_t calm = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.succeeded();
    calm += budget.take() ? 1 : 0;
  }
  EXPECT_LE(calm, 110U); // A tenth, and the bucket.
  uint32_t overloaded = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.succeeded();
    budget.refused();
    overloaded += budget.take() ? 1 : 0;
  }
  EXPECT_LE(overloaded, 1U);
}

// The same ticket is seen again with each update. If each moved the limit, a
// server that drains would never be empty.
TEST(DrainTrackerTest, RepeatedTicketDoesNotMoveTheLimit) {
  DrainTracker drain;
  BackendServer server;
  server.Mode = ServerMode::Draining;
  EXPECT_TRUE(drain.update(Start, server, true));
  EXPECT_FALSE(drain.update(Start + Second, server, true));
  EXPECT_EQ(*drain.limit(), Start + server.DrainLimit);
  EXPECT_TRUE(drain.refuses(Start, true).has_value());
  EXPECT_FALSE(drain.refuses(Start, false).has_value());
  server.Mode = ServerMode::Active;
  EXPECT_TRUE(drain.update(Start + Second, server, true));
  EXPECT_FALSE(drain.refuses(Start + Second, true).has_value());
}

// A server is down for a minute. Sent one by one, all that wait would come back
// in milliseconds; with a pause without bound the server, once back, would wait
// for its first request.
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
    waits.seen(Duration(200'000));
  EXPECT_EQ(waits.waitFor(3, 2), Duration(400'000));
  EXPECT_EQ(waits.waitFor(3, 1), Duration(800'000));
  EXPECT_EQ(waits.slow(), Duration(200'000));
}

// Callers who never return must not push those who do away for good.
TEST(WaitEstimateTest, BookedReturnsAreBounded) {
  WaitEstimate waits{WaitSettings()};
  SeededRandom random(1);
  Duration last(0);
  for (int n = 0; n < 100'000; ++n)
    last = waits.bookReturn(Start, Second, 2, random);
  EXPECT_LE(last, WaitSettings().MostRetryAfter);
  last = waits.bookReturn(Start + Second * 60, Second, 2, random);
  EXPECT_LE(last, Second * 2);
}

Envelope from(uint64_t caller) {
  Envelope head;
  head.Caller.Value = caller;
  head.Flow.Value = caller;
  head.Remaining = Second * 10;
  return head;
}

// Two plans of seconds take both slots, and lookups of milliseconds wait. The
// guard must know who sends plans, and must not take a caller with one slow
// lookup for one of them, nor hold a caller's past against him for ever.
TEST(LongWorkGuardTest, LearnsCallersAndKeepsASlot) {
  LongWorkGuard guard{LongWorkSettings()};
  for (int n = 0; n < 32; ++n)
    guard.learn(from(1), Duration(50'000));
  guard.learn(from(2), Second * 2);
  EXPECT_FALSE(guard.expectsLong(from(2), Second));
  guard.learn(from(2), Second * 2);
  EXPECT_TRUE(guard.expectsLong(from(2), Second));
  EXPECT_FALSE(guard.expectsLong(from(1), Second));
  EXPECT_FALSE(guard.expectsLong(from(3), Second));
  EXPECT_FALSE(guard.expectsLong(from(2), Second * 10));
  guard.shortCame(Start);
  EXPECT_TRUE(guard.mayStart(Start, true, 2, 0));
  EXPECT_FALSE(guard.mayStart(Start, true, 2, 1));
  EXPECT_TRUE(guard.mayStart(Start, false, 2, 1));
  // Without short work long work gets all slots.
  EXPECT_TRUE(guard.mayStart(Start + Second * 2, true, 2, 1));
  guard.learn(from(2), Duration(50'000));
  EXPECT_FALSE(guard.expectsLong(from(2), Second));
}

TEST(SlotTableTest, AbandonedSlotsAreFreedInTime) {
  SlotTable slots;
  RunningRequest run;
  run.What.Head.Request.Value = 1;
  slots.start(run);
  slots.abandon(Start, Start + Second, Duration(50'000), true);
  EXPECT_EQ(slots.used(), 2U);
  slots.releaseSince(Start - Second);
  slots.release(Start + Second - Duration(1));
  EXPECT_EQ(slots.used(), 2U);
  slots.release(*slots.nextRelease());
  EXPECT_EQ(slots.used(), 1U);
  EXPECT_TRUE(slots.end(RequestId{1}).has_value());
  EXPECT_FALSE(slots.end(RequestId{1}).has_value());
}

} // namespace
} // namespace balsamrack

#include "Balsamrack/Decisions/ColdStartRamp.h"

#include <functional>

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Fast{50'000};
constexpr Duration Slow{400'000};
constexpr Duration Second{1'000'000};

/// A ramp with a simulated clock.
struct RampFixture {
  explicit RampFixture(bool enabled = true)
      : Ramp(settings(enabled), 2, TimePoint(Second)) {}
  static RampSettings settings(bool enabled) {
    RampSettings s;
    s.Enabled = enabled;
    // The scenarios assume steps of one second; steps without warm answers are
    // tested below.
    s.UnmeasuredStepTime = s.MinStepTime;
    return s;
  }
  void answers(int count, Duration took, const char *instance = "a") {
    for (int n = 0; n < count; ++n) {
      Now += took;
      Ramp.recordStartFromIdle(Now);
      Ramp.recordDispatchEnd(Now);
      Ramp.updateInstance(Now, InstanceId(instance));
      Ramp.recordAnswer(Now, took);
    }
  }
  TimePoint Now{Second};
  ColdStartRamp Ramp;
};

struct RampCase {
  const char *Name;
  std::function<void(RampFixture &)> Scenario;
  uint32_t Limit;
};

class RampTest : public testing::TestWithParam<RampCase> {};

// Guards against a server that becomes cold, announced or not, but receives as
// much load as before. It crashes, restarts cold and crashes again, and callers
// see broken requests for minutes.
TEST_P(RampTest, LimitFollowsWhatTheServerShows) {
  const RampCase &test = GetParam();
  RampFixture fixture;
  test.Scenario(fixture);
  EXPECT_EQ(fixture.Ramp.limit(), test.Limit);
  // The baseline always allows all slots.
  RampFixture baseline(false);
  test.Scenario(baseline);
  EXPECT_EQ(baseline.Ramp.limit(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Signs, RampTest,
    testing::Values(
        RampCase{"StartsAtOne", [](RampFixture &) {}, 1},
        RampCase{"TooFewAnswers", [](RampFixture &s) { s.answers(31, Slow); },
                 1},
        RampCase{"TooSoon", [](RampFixture &s) { s.answers(99, Fast / 5); }, 1},
        RampCase{"AnsweredWell", [](RampFixture &s) { s.answers(32, Fast); },
                 2},
        RampCase{"NewInstance",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.answers(1, Fast, "b");
                 },
                 1},
        RampCase{"LateAnswerOfThePastInstance",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.answers(80, Fast, "b");
                   s.answers(1, Fast, "a");
                 },
                 2},
        RampCase{"Sheds",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.Ramp.recordFailure(s.Now, "server-shed");
                 },
                 1},
        RampCase{"OneSlowAnswerIsNoSign",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.answers(1, Slow);
                 },
                 2},
        RampCase{"AllAnswersSlow",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.answers(6, Slow);
                 },
                 1},
        RampCase{"SlowerForGoodRisesInTheEnd",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.answers(6 + 16 * 16, Slow);
                 },
                 2},
        RampCase{"MostAnswersThreeTimesSlower",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   for (int n = 0; n < 5; ++n) {
                     s.answers(3, Fast * 7 / 2);
                     s.answers(1, Fast);
                   }
                 },
                 1},
        RampCase{"SomeFastAnswersOfAColdServerAreNoGroup",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.Ramp.recordFailure(s.Now, "server-shed");
                   for (int n = 0; n < 15; ++n) {
                     s.answers(1, Fast);
                     s.answers(3, Fast * 3);
                   }
                 },
                 1},
        RampCase{"SlowAnswersOfANewOwnersColdServer",
                 [](RampFixture &s) {
                   s.Ramp.setExpected(Fast);
                   s.answers(80, Fast * 3);
                 },
                 1},
        RampCase{"SecondFallTakesLonger",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.Ramp.recordFailure(s.Now, "server-shed");
                   s.answers(39, Fast); // Under the 2 s that a step now takes.
                 },
                 1},
        RampCase{"IdleServerIsAskedFirst",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.Now += Second * 3;
                   s.Ramp.recordStartFromIdle(s.Now);
                 },
                 1},
        RampCase{"IdleServerAnsweredTheSame",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.Now += Second * 3;
                   s.answers(1, Fast);
                 },
                 2},
        RampCase{"KnownWarmInstance",
                 [](RampFixture &s) {
                   s.Ramp.trustInstance(InstanceId("a"));
                   s.answers(1, Fast);
                 },
                 2},
        RampCase{"AnotherInstanceThanKnown",
                 [](RampFixture &s) {
                   s.Ramp.trustInstance(InstanceId("z"));
                   s.answers(1, Fast);
                 },
                 1},
        RampCase{"DomainReturnsRestarted",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.Ramp.resetForDomainReturn(s.Now);
                   s.answers(1, Fast, "b");
                 },
                 1},
        RampCase{"DomainReturnsWarm",
                 [](RampFixture &s) {
                   s.answers(80, Fast);
                   s.Ramp.resetForDomainReturn(s.Now);
                   s.answers(1, Fast);
                 },
                 2}),
    [](const auto &info) { return info.param.Name; });

// Guards against ramping too fast when a whole fleet starts. All servers are
// cold and answer slowly but evenly, so there is no warm answer to compare
// with. With one second per step, each server got all its slots while still
// cold and crashed, and bookings failed in the first seconds of the day.
TEST(ColdStartRampTest, FirstStepsAreBlindAndTakeLonger) {
  ColdStartRamp ramp(RampSettings(), 2, TimePoint(Second));
  TimePoint now(Second);
  for (int n = 0; n < 49; ++n) {
    now += Duration(100'000);
    ramp.updateInstance(now, InstanceId("a"));
    ramp.recordAnswer(now, Fast);
    EXPECT_EQ(ramp.limit(), 1U) << "after " << n << " answers";
  }
  now += Duration(200'000);
  ramp.recordAnswer(now, Fast);
  EXPECT_EQ(ramp.limit(), 2U);
}

} // namespace
} // namespace balsamrack

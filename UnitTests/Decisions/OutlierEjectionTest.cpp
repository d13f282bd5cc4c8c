#include "Balsamrack/Decisions/OutlierEjection.h"

#include <functional>

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Fast{50'000};
constexpr Duration Slow{500'000};

ServerId server(int n) { return ServerId("s" + std::to_string(n)); }

/// Ejection for servers s1 to s4 of one owner.
struct EjectionFixture {
  explicit EjectionFixture(int servers = 4) : Ejection(EjectionSettings()) {
    std::set<ServerId> all;
    for (int n = 1; n <= servers; ++n)
      all.insert(server(n));
    Ejection.setServers(all);
  }
  void answers(int n, int count, Duration took, bool good = true) {
    for (int i = 0; i < count; ++i)
      Ejection.recordResult(Now, server(n), good, took);
  }
  void peersAnswer() {
    for (int n = 2; n <= 4; ++n)
      answers(n, 16, Fast);
  }
  TimePoint Now{Duration(1'000'000)};
  OutlierEjection Ejection;
};

struct EjectionCase {
  const char *Name;
  std::function<void(EjectionFixture &)> Scenario;
  bool Ejected; // Expected state of server s1 at the end.
};

class EjectionTest : public testing::TestWithParam<EjectionCase> {};

// Guards against new flows being placed on a server that fails or is slow while
// its health check reports "ready". Each such flow waits or fails.
TEST_P(EjectionTest, JudgesByWhatWasSeen) {
  EjectionFixture fixture;
  GetParam().Scenario(fixture);
  EXPECT_EQ(fixture.Ejection.isEjected(server(1)), GetParam().Ejected);
}

INSTANTIATE_TEST_SUITE_P(
    Signs, EjectionTest,
    testing::Values(
        EjectionCase{"FourFailures",
                     [](auto &s) { s.answers(1, 4, Fast, false); }, false},
        EjectionCase{"FiveFailures",
                     [](auto &s) { s.answers(1, 5, Fast, false); }, true},
        EjectionCase{"FailuresWithAnAnswerBetween",
                     [](auto &s) {
                       s.answers(1, 4, Fast, false);
                       s.answers(1, 1, Fast);
                       s.answers(1, 4, Fast, false);
                     },
                     false},
        EjectionCase{"SlowWithoutPeers",
                     [](auto &s) { s.answers(1, 64, Slow); }, false},
        EjectionCase{"SlowerThanPeers",
                     [](auto &s) {
                       s.peersAnswer();
                       s.answers(1, 16, Slow);
                     },
                     true},
        EjectionCase{"LongWorkAmongFastAnswers",
                     [](auto &s) {
                       s.peersAnswer();
                       for (int n = 0; n < 32; ++n)
                         s.answers(1, 1, n % 2 == 0 ? Fast : Slow);
                     },
                     false},
        EjectionCase{"HalfAreEjectedAlready",
                     [](auto &s) {
                       s.answers(2, 5, Fast, false);
                       s.answers(3, 5, Fast, false);
                       s.answers(1, 5, Fast, false);
                     },
                     false},
        EjectionCase{"GoodProbesReturnIt",
                     [](auto &s) {
                       s.peersAnswer();
                       s.answers(1, 5, Fast, false);
                       s.Now += Duration(5'000'000);
                       s.answers(1, 3, Fast);
                     },
                     false},
        EjectionCase{"SlowProbesDont",
                     [](auto &s) {
                       s.peersAnswer();
                       s.answers(1, 5, Fast, false);
                       s.Now += Duration(5'000'000);
                       s.answers(1, 3, Slow);
                     },
                     true},
        EjectionCase{"AnswersDuringTheHoldDont",
                     [](auto &s) {
                       s.answers(1, 5, Fast, false);
                       s.answers(1, 30, Fast);
                     },
                     true}),
    [](const auto &info) { return info.param.Name; });

// After the hold, all waiting flows would go to the server at once. Only one
// request may probe it, and a probe that never reached the server must not
// block the next one.
TEST(OutlierEjectionTest, ProbesOneAtATime) {
  EjectionFixture s;
  s.answers(1, 5, Fast, false);
  EXPECT_FALSE(s.Ejection.tryAdmit(s.Now, server(1), RequestId{1}));
  s.Now += Duration(5'000'000);
  EXPECT_TRUE(s.Ejection.tryAdmit(s.Now, server(1), RequestId{2}));
  EXPECT_FALSE(s.Ejection.tryAdmit(s.Now, server(1), RequestId{3}));
  s.Ejection.finishProbe(server(1), RequestId{2});
  EXPECT_TRUE(s.Ejection.tryAdmit(s.Now, server(1), RequestId{4}));
}

// A daemon that owns a single server of a service has no peer to compare it
// with, but must not send new flows to it when it is dead.
TEST(OutlierEjectionTest, SingleServerIsEjectedByFailures) {
  EjectionFixture s(1);
  s.answers(1, 5, Fast, false);
  EXPECT_TRUE(s.Ejection.isEjected(server(1)));
}

} // namespace
} // namespace balsamrack

#include <cmath>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/OpeningChoice.h"
#include "Balsamrack/Decisions/ServerSpeeds.h"
#include "Balsamrack/Decisions/SlowServerEjection.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

/// Eight servers that answer requests of 40 ms in turn, server 0 at \p speed.
struct SpeedCase {
  const char *Name;
  double Speed;
  int Rounds;      ///< Requests of each server.
  double Expected; ///< Speed of server 0.
  double Tolerance;
};

class EachSpeed : public testing::TestWithParam<SpeedCase> {};

// Guards against a speed from too few samples, from chance or out of bounds.
TEST_P(EachSpeed, IsRelativeToPeers) {
  ServerSpeeds speeds;
  TimePoint now(Duration(1'000'000));
  auto answer = [&](size_t server, double speed) {
    now += Millisecond * 10;
    auto took = Duration(static_cast<int64_t>(40'000 / speed));
    speeds.addAnswer(now, {server, 1, now - took, took}, true);
  };
  for (int i = 0; i < 8 * 8; ++i)
    answer(static_cast<size_t>(i % 7) + 1, 1);
  for (int i = 0; i < GetParam().Rounds; ++i)
    for (size_t server = 0; server < 8; ++server)
      answer(server, server == 0 ? GetParam().Speed : 1);
  EXPECT_NEAR(speeds.speed(now, 0), GetParam().Expected, GetParam().Tolerance);
  EXPECT_EQ(speeds.speed(now, 1), 1);
  speeds.forget(0);
  EXPECT_EQ(speeds.speed(now, 0), 1) << "a new instance starts at 1";
}

INSTANTIATE_TEST_SUITE_P(
    Speeds, EachSpeed,
    testing::Values(SpeedCase{"Even", 1, 100, 1, 0},
                    SpeedCase{"OneSample", 0.25, 1, 1, 0},
                    SpeedCase{"Slow", 0.7, 100, 0.7, 0.05},
                    SpeedCase{"Fast", 1.7, 100, 1.7, 0.12},
                    SpeedCase{"NearlyEven", 0.9, 100, 1, 0},
                    SpeedCase{"OutOfBounds", 0.01, 200, 0.25, 0.05}),
    [](const auto &info) { return std::string(info.param.Name); });

/// Slow requests at server 0, then what its peers show.
struct EjectionCase {
  const char *Name;
  const char *Requests; ///< s: slow, o: overdue, f: fast, m: in between,
                        ///< r: an overdue request was lost on its way.
  std::vector<SlowServerPeer> Peers;
  bool AloneInDomain;
  size_t Accepting;
  bool IsEjected;
};

class EachEjection : public testing::TestWithParam<EjectionCase> {};

TEST_P(EachEjection, IsDecidedByItsRequestsAndPeers) {
  const EjectionCase &c = GetParam();
  SlowServerEjection ejection;
  TimePoint now(Duration(1'000'000));
  for (const char *it = c.Requests; *it != 0; ++it) {
    now += Millisecond * 100;
    SlowServerSample sample{0, now - Millisecond * 150, std::log(8)};
    if (*it == 'o')
      ejection.recordOverdue(now, sample);
    else if (*it == 'r')
      ejection.retractOverdue(0);
    else
      ejection.recordAnswer(now, {0, sample.StartedAt,
                                  std::log(*it == 's'   ? 8
                                           : *it == 'm' ? 2
                                                        : 1)});
  }
  for (size_t server : ejection.suspects())
    ejection.decide(now, server, c.Peers, c.AloneInDomain, c.Accepting);
  EXPECT_EQ(ejection.state(0) == SlowServerState::Ejected, c.IsEjected);
}

const std::vector<SlowServerPeer> FastPeers{
    {0, 3, true}, {0.1, 3, true}, {-0.1, 3, false}};
INSTANTIATE_TEST_SUITE_P(
    Cases, EachEjection,
    testing::Values(
        EjectionCase{"FiveSlow", "sssss", FastPeers, false, 12, true},
        EjectionCase{"Unanswered", "ooooo", FastPeers, false, 12, true},
        EjectionCase{"TooFew", "ssss", FastPeers, false, 12, false},
        EjectionCase{"MixedWork", "sfsfsmsfffsfs", FastPeers, false, 12, false},
        EjectionCase{"LostOnTheWay", "ooorroo", FastPeers, false, 12, false},
        EjectionCase{"NoPeers", "sssss", {}, false, 12, false},
        EjectionCase{
            "TooFewPeerRequests", "sssss", {{0, 2, true}}, false, 12, false},
        EjectionCase{"AllSlow",
                     "sssss",
                     {{2, 3, true}, {1.8, 3, true}, {0, 3, false}},
                     false,
                     12,
                     false},
        EjectionCase{"DomainSlow",
                     "sssss",
                     {{2, 3, true}, {0, 3, false}, {0, 3, false}},
                     false,
                     12,
                     false},
        EjectionCase{
            "NoPeerInDomain", "sssss", {{0, 9, false}}, false, 12, false},
        EjectionCase{"AloneInDomain", "sssss", {{0, 9, false}}, true, 12, true},
        EjectionCase{"MostOfAThird", "sssss", FastPeers, false, 2, false}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a server that stays ejected after it has recovered, and
// against one that returns while it is slow.
TEST(SlowServerEjectionTest, ReturnsInStepsAndStaysAwayWhileSlow) {
  using Change = SlowServerEjection::Change;
  SlowServerEjection ejection;
  TimePoint now(Duration(1'000'000));
  auto answer = [&](double ratio) {
    now += Millisecond * 50;
    return ejection.recordAnswer(now,
                                 {0, now - Millisecond * 40, std::log(ratio)});
  };
  for (int i = 0; i < 5; ++i)
    answer(8);
  ASSERT_EQ(ejection.decide(now, 0, FastPeers, false, 12), Change::Ejected);
  EXPECT_FALSE(ejection.mayProbe(now, 0));
  EXPECT_EQ(answer(1), Change::None) << "sent before the end of the hold";
  Duration hold = SlowServerEjection::FirstHold;
  for (int i = 0; i < 5; ++i) {
    now += hold;
    ASSERT_TRUE(ejection.mayProbe(now, 0));
    EXPECT_EQ(answer(8), Change::HoldExtended);
    hold = std::min(hold * 2, SlowServerEjection::MaxHold);
    EXPECT_FALSE(ejection.mayProbe(now + hold - Millisecond, 0)) << i;
  }
  now += hold;
  EXPECT_EQ(answer(1), Change::None);
  EXPECT_EQ(answer(1), Change::None);
  EXPECT_EQ(answer(1), Change::ReturnedHalf);
  EXPECT_EQ(ejection.state(0), SlowServerState::Returning);
  for (int i = 0; i < 7; ++i)
    EXPECT_EQ(answer(1), Change::None);
  EXPECT_EQ(answer(1), Change::ReturnedFull);
  EXPECT_EQ(ejection.state(0), SlowServerState::Normal);
}

// Guards against requests of healthy servers that are ejected by chance: log-
// normal times with spread .5, 3% of them seven times as long.
TEST(SlowServerEjectionTest, MixedWorkSeldomMakesAServerSuspect) {
  SeededRandom random(1);
  SlowServerEjection ejection;
  TimePoint now(Duration(1'000'000));
  int suspected = 0;
  constexpr int Requests = 200'000;
  for (int i = 0; i < Requests; ++i) {
    now += Millisecond * 100;
    double normal = -6;
    for (int k = 0; k < 12; ++k)
      normal += random.nextDouble();
    double ratio = 0.5 * normal;
    ratio += random.nextDouble() < 0.03 ? std::log(7) : 0;
    ejection.recordAnswer(now, {0, now - Millisecond * 50, ratio});
    if (ejection.suspects().empty())
      continue;
    ++suspected;
    ejection.forget(0);
  }
  // Five slow ones in a row have a probability of .042 to the power of five,
  // one in 7 million; some in between make it several times as likely.
  EXPECT_LE(suspected, 1);
}

// Guards against a price that differs from the wait at speed 1, and against
// work that goes to a slow idle server although a fast one is done sooner.
TEST(OpeningCostTest, FollowsTheSpeed) {
  OpeningCandidate busy;
  busy.Slots = 2;
  busy.Share = 2;
  busy.InProgress = 3;
  EXPECT_EQ(openingCost(busy, 0.9), expectedWait(busy, 0.9));
  OpeningCandidate idle = busy;
  idle.InProgress = 0;
  EXPECT_LT(openingCost(idle, 0.9), openingCost(busy, 0.9));
  idle.Speed = 0.5;
  busy.Speed = 2;
  EXPECT_DOUBLE_EQ(openingCost(idle, 0.9), 1 / 0.5 - 1);
  EXPECT_DOUBLE_EQ(openingCost(busy, 0.9), (1 + 1) / 2.0 - 1);
  EXPECT_LT(openingCost(busy, 0.9), openingCost(idle, 0.9));
}

} // namespace
} // namespace balsamrack

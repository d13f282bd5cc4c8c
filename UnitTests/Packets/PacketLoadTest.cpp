#include <cstdio>
#include <string>

#include <gtest/gtest.h>

#include "UnitTests/Packets/LoadedSite.h"

namespace balsamrack {
namespace {

/// A load, and the maximum ratio of the wait with slot shares to that without.
struct SharesCase {
  const char *Name;
  double PerSecond;
  double MaxRatioToBaseline;
};

class EachLoad : public testing::TestWithParam<SharesCase> {};

// Nine daemons each see a ninth of the flows to 14 servers with two slots. The
// baseline selects the least loaded server by the daemon's own counts alone.
TEST_P(EachLoad, SlotSharesShortenTheWait) {
  double with = 0, without = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    LoadedSite::Options options;
    options.PerSecond = GetParam().PerSecond;
    options.Seed = seed;
    with +=
        LoadedSite(options)
            .run(Duration(6'000'000), Duration(1'000'000), Duration(6'000'000))
            .MeanWaitMillis;
    options.UseShares = false;
    without +=
        LoadedSite(options)
            .run(Duration(6'000'000), Duration(1'000'000), Duration(6'000'000))
            .MeanWaitMillis;
  }
  RecordProperty("with_ms", std::to_string(with / 3));
  RecordProperty("without_ms", std::to_string(without / 3));
  printf("mean wait in queues: %.2f ms with shares, %.2f ms without\n",
         with / 3, without / 3);
  EXPECT_LT(with, without * GetParam().MaxRatioToBaseline);
}

INSTANTIATE_TEST_SUITE_P(Loads, EachLoad,
                         testing::Values(SharesCase{"Half", 440, 0.6},
                                         SharesCase{"Seventy", 610, 0.85}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// All daemons lose power for about a second and a half. Afterwards the callers
// that called meanwhile return together with new ones. In the baseline the
// daemons do not know the size of the fleet after the restart.
TEST(PacketLoadTest, AfterAnOutageOfAllDaemonsMostAreInTime) {
  int with = 0;
  int without = 0;
  int asked = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    LoadedSite::Options options;
    options.Seed = seed;
    options.Outage = {Duration(1'000'000), Duration(2'600'000)};
    auto play = [&] {
      return LoadedSite(options).run(Duration(6'000'000), Duration(2'600'000),
                                     Duration(4'600'000));
    };
    LoadedSite::Result result = play();
    asked += result.Asked;
    with += result.InTime;
    options.UseShares = false;
    without += play().InTime;
  }
  printf("two seconds after the return: asked %d, in time %d; without shares "
         "%d\n",
         asked, with, without);
  EXPECT_GT(with, asked * 7 / 10);
  EXPECT_GT(with, without * 95 / 100);
}

// An outage at more than half load: earlier openings, new calls and second
// attempts together exceed the capacity of the servers. The baseline serves
// them in the order of arrival.
TEST(PacketLoadTest, LateOpeningsYieldToThoseStillInTime) {
  LoadedSite::Result first, second;
  int lostWith = 0, lostWithout = 0;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    LoadedSite::Options options;
    options.Seed = seed;
    options.PerSecond = 520;
    options.Outage = {Duration(1'000'000), Duration(2'300'000)};
    auto play = [&](LoadedSite::Result &sum, int &lost) {
      LoadedSite::Result it = LoadedSite(options).run(
          Duration(6'000'000), Duration(1'000'000), Duration(4'300'000));
      sum.Asked += it.Asked;
      sum.InTime += it.InTime;
      sum.Late += it.Late;
      lost += it.Asked - it.InTime - it.Late;
    };
    play(first, lostWith);
    options.DelayLateOpenings = false;
    play(second, lostWithout);
  }
  printf("asked %d: in time %d, late %d, lost %d; in order of arrival %d, %d, "
         "%d\n",
         first.Asked, first.InTime, first.Late, lostWith, second.InTime,
         second.Late, lostWithout);
  EXPECT_GT(first.InTime, second.InTime * 103 / 100);
  EXPECT_LE(lostWith, lostWithout + first.Asked / 100);
}

} // namespace
} // namespace balsamrack

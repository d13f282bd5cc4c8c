#include <cstdio>

#include <gtest/gtest.h>

#include "UnitTests/Packets/LoadedSite.h"

namespace balsamrack {
namespace {

/// 14 servers with 2 slots and a mean service time of 32 ms.
constexpr double CapacityPerSecond = 14 * 2 / 0.032;
constexpr Duration Second{1'000'000};

void add(LoadedSite::Counts &sum, const LoadedSite::Counts &one) {
  sum.Asked += one.Asked;
  sum.InTime += one.InTime;
  sum.Late += one.Late;
}

/// The value of the answers: 1 in time, .3 late, and twice as much for urgent
/// requests.
double worth(const LoadedSite::Result &it) {
  return it.InTime + .3 * it.Late + it.Urgent.InTime + .3 * it.Urgent.Late;
}

/// Runs a load three times and prints the sums.
LoadedSite::Result run(LoadedSite::Options options, bool admission,
                       LoadedSite::Span counted) {
  LoadedSite::Result sum;
  options.Load.Admission = admission;
  options.ShedWhenFull = true;
  for (options.Seed = 1; options.Seed <= 3; ++options.Seed) {
    LoadedSite::Result one = LoadedSite(options).run(counted.To + 2 * Second,
                                                     counted.From, counted.To);
    add(sum, one);
    add(sum.Urgent, one.Urgent);
    add(sum.HotCaller, one.HotCaller);
    sum.Refused += one.Refused;
    sum.Sheds += one.Sheds;
  }
  printf("%s: %d asked, %d in time, %d late; urgent %d, %d, %d; hot caller %d, "
         "%d, %d; resets %d, failed by full servers %d; value %.0f\n",
         admission ? "admission" : "baseline", sum.Asked, sum.InTime, sum.Late,
         sum.Urgent.Asked, sum.Urgent.InTime, sum.Urgent.Late,
         sum.HotCaller.Asked, sum.HotCaller.InTime, sum.HotCaller.Late,
         sum.Refused, sum.Sheds, worth(sum));
  return sum;
}

// Half of the servers are lost for four seconds; the rest can do 7 * 2 / 32 ms
// of the 700 requests a second. Guards against an overload in which all wait in
// the servers' queues until most answers are late.
TEST(AdmissionLoadTest, InAShortageCapacityServesCallersInTime) {
  LoadedSite::Options options;
  options.PerSecond = 700;
  options.Loss = {1 * Second, 5 * Second};
  options.LostServers = 7;
  options.UrgentPart = .2;
  // The lost servers are found within half a second.
  LoadedSite::Span counted{3 * Second / 2, 5 * Second};
  LoadedSite::Result before = run(options, false, counted);
  LoadedSite::Result with = run(options, true, counted);
  EXPECT_GT(with.InTime, .9 * 3 * 3.5 * CapacityPerSecond / 2);
  EXPECT_GT(with.Urgent.InTime, .95 * with.Urgent.Asked);
  EXPECT_LT(with.Sheds, before.Sheds / 10);
  EXPECT_GT(worth(with), 1.7 * worth(before));
}

// Guards against a caller with two fifths of all requests who takes the room of
// the others. These ask for 1.4 * .6 = 84% of the capacity; when the caller
// gets as much of it as they do, 1 / 1.4 = 71% of theirs are in time.
TEST(AdmissionLoadTest, AHotCallerDoesNotDisplaceOthers) {
  LoadedSite::Options options;
  options.PerSecond = 1.4 * CapacityPerSecond;
  options.HotCallerPart = .4;
  LoadedSite::Span counted{1 * Second, 5 * Second};
  LoadedSite::Result before = run(options, false, counted);
  LoadedSite::Result with = run(options, true, counted);
  int others = with.Asked - with.HotCaller.Asked;
  EXPECT_GT(with.InTime - with.HotCaller.InTime, .85 * others);
  EXPECT_GT(with.InTime, .85 * 3 * 4 * CapacityPerSecond);
  EXPECT_GT(worth(with), 1.5 * worth(before));
}

// Guards against overload whose queues outlast a burst, and against refusals
// after it. The burst of a second asks for 1.5 times the capacity.
TEST(AdmissionLoadTest, ABurstThatEnds) {
  LoadedSite::Options options;
  options.PerSecond = .5 * CapacityPerSecond;
  options.Burst = {1 * Second, 2 * Second};
  options.BurstFactor = 3;
  options.UrgentPart = .2;
  LoadedSite::Result before = run(options, false, options.Burst);
  LoadedSite::Result with = run(options, true, options.Burst);
  EXPECT_GT(with.InTime, .85 * 3 * CapacityPerSecond);
  EXPECT_GT(worth(with), 1.3 * worth(before));
  LoadedSite::Result after = run(options, true, {5 * Second / 2, 4 * Second});
  EXPECT_EQ(after.InTime, after.Asked);
}

// All daemons restart during overload and lose their queues and request times.
// Guards against callers who fare worse than without admission.
TEST(AdmissionLoadTest, DaemonsThatRestartWithFullQueues) {
  LoadedSite::Options options;
  options.PerSecond = 1.4 * CapacityPerSecond;
  options.Outage = {1 * Second, 2 * Second};
  options.UrgentPart = .2;
  LoadedSite::Span counted{2 * Second, 4 * Second};
  LoadedSite::Result before = run(options, false, counted);
  LoadedSite::Result with = run(options, true, counted);
  EXPECT_GT(worth(with), 1.2 * worth(before));
}

// Guards against openings that wait or are refused though there is room. At 85%
// a share of three slots is short at times while other daemons have room; one
// request in a hundred may be lost by that.
TEST(AdmissionLoadTest, CalmLoadIsServedAsBefore) {
  for (double load : {.5, .7, .85}) {
    LoadedSite::Options options;
    options.PerSecond = load * CapacityPerSecond;
    LoadedSite::Span counted{1 * Second, 6 * Second};
    LoadedSite::Result before = run(options, false, counted);
    LoadedSite::Result with = run(options, true, counted);
    EXPECT_GT(with.InTime, .99 * with.Asked);
    if (load > .7)
      continue;
    EXPECT_EQ(with.InTime, before.InTime);
    EXPECT_EQ(with.Refused, 0);
  }
}

} // namespace
} // namespace balsamrack

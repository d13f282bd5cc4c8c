#include <cstdio>

#include <gtest/gtest.h>

#include "UnitTests/Packets/LoadedSite.h"

namespace balsamrack {
namespace {

/// 14 servers with 2 slots and a mean service time of 32 ms.
constexpr double CapacityPerSecond = 14 * 2 / 0.032;
constexpr Duration Second{1'000'000};

/// The value of the answers: 1 in time, .3 late, and twice as much for urgent
/// requests.
double worth(const LoadedSite::Counts &all, const LoadedSite::Counts &urgent) {
  return all.InTime + .3 * all.Late + urgent.InTime + .3 * urgent.Late;
}

void add(LoadedSite::Counts &sum, const LoadedSite::Counts &one) {
  sum.Asked += one.Asked;
  sum.InTime += one.InTime;
  sum.Late += one.Late;
}

/// Sums of the same runs without and with admission.
struct Comparison {
  struct Sums {
    LoadedSite::Counts All, Urgent, HotCaller;
    int Refused = 0;
    int Sheds = 0;
    double worth() const { return balsamrack::worth(All, Urgent); }
  };
  Sums Baseline, Admission;
};

void addRun(Comparison::Sums &sums, const LoadedSite::Options &options,
            LoadedSite::Span length, LoadedSite::Span counted) {
  LoadedSite::Result result =
      LoadedSite(options).run(length.To, counted.From, counted.To);
  add(sums.All, result);
  add(sums.Urgent, result.Urgent);
  add(sums.HotCaller, result.HotCaller);
  sums.Refused += result.Refused;
  sums.Sheds += result.Sheds;
}

void print(const char *name, const Comparison::Sums &it) {
  printf("%s: %d asked, %d in time, %d late; urgent %d, %d, %d; hot caller %d, "
         "%d, %d; resets %d, failed by full servers %d; value %.0f\n",
         name, it.All.Asked, it.All.InTime, it.All.Late, it.Urgent.Asked,
         it.Urgent.InTime, it.Urgent.Late, it.HotCaller.Asked,
         it.HotCaller.InTime, it.HotCaller.Late, it.Refused, it.Sheds,
         it.worth());
}

Comparison compare(LoadedSite::Options options, LoadedSite::Span counted) {
  Comparison result;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    options.Seed = seed;
    LoadedSite::Span length{Duration(0), counted.To + 2 * Second};
    options.Load.Admission = false;
    addRun(result.Baseline, options, length, counted);
    options.Load.Admission = true;
    addRun(result.Admission, options, length, counted);
  }
  print("baseline", result.Baseline);
  print("admission", result.Admission);
  return result;
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
  options.ShedWhenFull = true;
  // The lost servers are found within half a second.
  Comparison result = compare(options, {3 * Second / 2, 5 * Second});
  double capacity = 3 * 3.5 * CapacityPerSecond / 2;
  EXPECT_GT(result.Admission.All.InTime, .8 * capacity);
  EXPECT_GT(result.Admission.Urgent.InTime,
            .85 * result.Admission.Urgent.Asked);
  EXPECT_GT(result.Admission.worth(), 1.2 * result.Baseline.worth());
}

// Guards against a caller with a third of all requests who takes the place of
// those with a single one.
TEST(AdmissionLoadTest, AHotCallerDoesNotDisplaceOthers) {
  LoadedSite::Options options;
  options.PerSecond = 1.4 * CapacityPerSecond;
  options.HotCallerPart = .4;
  options.ShedWhenFull = true;
  Comparison result = compare(options, {1 * Second, 5 * Second});
  EXPECT_GT(result.Admission.worth(), result.Baseline.worth());
}

// Guards against a shortage that is still assumed after a burst, and against
// refusals of work that could be done after it.
TEST(AdmissionLoadTest, ABurstThatEnds) {
  LoadedSite::Options options;
  options.PerSecond = .5 * CapacityPerSecond;
  options.Burst = {1 * Second, 2 * Second};
  options.BurstFactor = 3;
  options.UrgentPart = .2;
  options.ShedWhenFull = true;
  compare(options, {1 * Second, 2 * Second});
  compare(options, {2 * Second + Second / 2, 4 * Second});
}

// Guards against openings that wait or are refused though there is enough room.
TEST(AdmissionLoadTest, CalmLoadIsServedAsBefore) {
  for (double load : {.5, .7, .85}) {
    LoadedSite::Options options;
    options.PerSecond = load * CapacityPerSecond;
    options.ShedWhenFull = true;
    options.UrgentPart = .2;
    compare(options, {1 * Second, 6 * Second});
  }
}

} // namespace
} // namespace balsamrack

#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "Balsamrack/Decisions/DomainDemand.h"
#include "Balsamrack/Decisions/SlotShares.h"

namespace balsamrack {
namespace {

constexpr TimePoint Start{Duration(1'000'000'000)};
constexpr Duration Second{1'000'000};

// Weights from figures that differ slightly between daemons must not change
// shares at all when they are equal: a service with even demand is served as
// before.
TEST(WeightedSharesTest, EqualOrInvalidWeightsChangeNothing) {
  const std::vector<uint32_t> slots{2, 3, 2, 5, 1, 1, 2};
  double inf = std::numeric_limits<double>::infinity();
  const std::vector<std::vector<WeightedDaemons>> groups{
      {},
      {{2, 1}, {3, 1}},
      {{2, 0.3}, {3, 0.3}},
      {{2, 2}, {2, 1}},
      {{2, 2}, {3, 0}},
      {{2, -1}, {3, 1}},
      {{2, inf}, {3, 1}},
      {{2, std::nan("")}, {3, 1}}};
  for (const auto &it : groups)
    for (size_t self = 0; self < 5; ++self)
      EXPECT_EQ(slotShares(slots, 5, self, it), slotShares(slots, 5, self));
}

// A slot without an owner would be idle while callers wait; this must not
// happen either when a domain has lost its servers or its daemons.
TEST(WeightedSharesTest, EachSlotIsOwnedOnceInProportionToWeights) {
  const std::vector<WeightedDaemons> groups{{3, 6}, {0, 2}, {2, 1}, {4, 0.5}};
  for (const auto &slots :
       {std::vector<uint32_t>{2, 2, 2, 2, 2, 2}, std::vector<uint32_t>{7},
        std::vector<uint32_t>{1, 9, 2}}) {
    double total = std::accumulate(slots.begin(), slots.end(), 0.0);
    std::vector<double> owned(slots.size());
    for (size_t self = 0; self < 9; ++self) {
      std::vector<double> shares = slotShares(slots, 9, self, groups);
      double weight = self < 3 ? 6 : self < 5 ? 1 : 0.5;
      EXPECT_NEAR(std::accumulate(shares.begin(), shares.end(), 0.0),
                  total * weight / 22, 1e-9);
      for (size_t i = 0; i < owned.size(); ++i)
        owned[i] += shares[i];
    }
    for (size_t i = 0; i < owned.size(); ++i)
      EXPECT_NEAR(owned[i], slots[i], 1e-9);
  }
}

std::vector<FleetDomain> fleet() {
  return {{DomainId("a"), 10}, {DomainId("b"), 10}, {DomainId("c"), 10}};
}

DemandReport issued(double rate, Duration age = Duration(0), double load = 0) {
  DemandReport report;
  report.Issued = DemandFigures{rate, load};
  report.Age = age;
  return report;
}

struct WeightsCase {
  const char *Name;
  std::vector<double> Rates; ///< By domain; negative: invalid.
  double MinRatio;           ///< Bounds of the first weight to the last one.
  double MaxRatio;
};

class EachDemand : public testing::TestWithParam<WeightsCase> {};

TEST_P(EachDemand, GivesItsWeights) {
  DomainDemand demand;
  demand.setFleet(fleet(), 1, false);
  for (size_t i = 0; i < 3; ++i)
    EXPECT_EQ(demand.merge(Start, i, issued(GetParam().Rates[i])),
              GetParam().Rates[i] >= 0);
  demand.updateWeights(Start + Second);
  const auto &weights = demand.weights();
  double ratio = weights[0].Weight / weights[2].Weight;
  EXPECT_GE(ratio, GetParam().MinRatio);
  EXPECT_LE(ratio, GetParam().MaxRatio);
}

INSTANTIATE_TEST_SUITE_P(
    Rates, EachDemand,
    testing::Values(WeightsCase{"Even", {20, 20, 20}, 1, 1},
                    WeightsCase{"BelowTheThreshold", {24, 20, 20}, 1, 1},
                    WeightsCase{"AboutTheThreshold", {27, 20, 20}, 1, 1.2},
                    WeightsCase{"SixTimes", {120, 20, 20}, 5, 6},
                    WeightsCase{"BoundedToEight", {2000, 20, 20}, 8, 8},
                    WeightsCase{"FewRequestsMayBeRandom", {2, 1, 1}, 1, 1.6},
                    WeightsCase{
                        "UnknownCountsAsTheMean", {60, 20, -1}, 1.4, 1.5},
                    WeightsCase{"BelowOneIsUnknown", {60, 20, 0.5}, 1.4, 1.5},
                    WeightsCase{"OnlyOneKnown", {60, -1, -1}, 1, 1},
                    WeightsCase{"NoneKnown", {-1, -1, -1}, 1, 1}),
    [](const auto &info) { return std::string(info.param.Name); });

// Figures of a faulty or forged message must neither be used nor relayed.
TEST(DomainDemandTest, InvalidReportsAreIgnored) {
  DomainDemand demand;
  demand.setFleet(fleet(), 0, false);
  double inf = std::numeric_limits<double>::infinity();
  DemandReport badEstimate;
  badEstimate.Estimate = DemandFigures{-1, 0};
  for (const DemandReport &bad :
       {issued(-1), issued(inf), issued(std::nan("")), issued(1e9),
        issued(5, Duration(0), -1), issued(5, Duration(0), inf),
        issued(5, Second * 6), issued(5, -Second), badEstimate, DemandReport()})
    EXPECT_FALSE(demand.merge(Start, 1, bad));
  EXPECT_FALSE(demand.merge(Start, 3, issued(5)));
  EXPECT_FALSE(demand.report(Start, 1));
  EXPECT_FALSE(demand.siteLoad(Start));
}

// A domain that is cut off gets no figures any more: equal shares again.
TEST(DomainDemandTest, OldFiguresEndWithTheirWeights) {
  DomainDemand demand;
  demand.setFleet(fleet(), 0, false);
  demand.merge(Start, 1, issued(100, Duration(0), 2));
  demand.merge(Start, 2, issued(20, Duration(0), 0.5));
  EXPECT_TRUE(demand.updateWeights(Start + Second));
  EXPECT_TRUE(demand.report(Start + Second * 5, 1));
  // Two and a half times the slots for five times the demand and so on: the
  // load of all slots, not of the domains.
  double load = *demand.siteLoad(Start + Second);
  EXPECT_GT(load, 1.5);
  EXPECT_LT(load, 2);
  TimePoint later = Start + Second * 5 + Duration(1);
  EXPECT_FALSE(demand.report(later, 1));
  EXPECT_FALSE(demand.siteLoad(later));
  EXPECT_TRUE(demand.updateWeights(later));
  for (const WeightedDaemons &it : demand.weights())
    EXPECT_EQ(it.Weight, 1);
}

/// Lets callers of \p demand start \p perTenth requests every 100 ms.
TimePoint drive(DomainDemand &demand, TimePoint from, Duration length,
                int perTenth) {
  TimePoint now = from;
  for (; now < from + length; now += DomainDemand::UpdatePeriod) {
    demand.update(now, 0.5);
    for (int i = 0; i < perTenth; ++i)
      demand.recordRequest();
  }
  return now;
}

// A daemon that has just started has counted few requests. Taken for its rate,
// they would take the slots of its whole domain away.
TEST(DomainDemandTest, RateIsUnknownAtFirst) {
  DomainDemand demand;
  demand.setFleet(fleet(), 0, true);
  TimePoint now = drive(demand, Start, Second, 2);
  EXPECT_FALSE(demand.report(now, 0));
  now = drive(demand, now, Duration(200'000), 2);
  EXPECT_NEAR(demand.report(now, 0)->Estimate->Rate, 20, 1);
  // A pause of the process looks like a second without requests.
  now = drive(demand, now + Second * 3, Duration(300'000), 2);
  EXPECT_FALSE(demand.report(now, 0)->Estimate);
}

// A jump of issued figures would move the ranges of all daemons at once, while
// some of them still have the earlier figures.
TEST(DomainDemandTest, IssuedFiguresChangeByHalfAndSkipNoise) {
  DomainDemand demand;
  demand.setFleet(fleet(), 0, true);
  TimePoint now = drive(demand, Start, Second * 3, 20);
  EXPECT_NEAR(demand.report(now, 0)->Issued->Rate, 200, 1);
  double last = demand.report(now, 0)->Issued->Rate;
  for (int i = 0; i < 20; ++i) {
    now = drive(demand, now, Duration(500'000), 120);
    double next = demand.report(now, 0)->Issued->Rate;
    EXPECT_LE(next, last * 1.5 + 1e-9);
    last = next;
  }
  EXPECT_NEAR(last, 1200, 60);
  now = drive(demand, now, Second * 3, 123);
  EXPECT_EQ(demand.report(now, 0)->Issued->Rate, last);
}

// The first daemon of a domain dies. The next one must not begin with the
// figures that it measured alone, which are random.
TEST(DomainDemandTest, NextDaemonContinuesFromTheLastFigures) {
  DomainDemand demand;
  demand.setFleet(fleet(), 0, false);
  TimePoint now = drive(demand, Start, Second * 2, 4);
  demand.merge(now, 0, issued(50));
  EXPECT_EQ(demand.report(now, 0)->Issued->Rate, 50);
  demand.setFleet({{DomainId("a"), 9}, {DomainId("c"), 10}}, 0, true);
  now = drive(demand, now, Duration(300'000), 4);
  EXPECT_EQ(demand.report(now, 0)->Issued->Rate, 40);
}

// Peers hold different samples of the same demand. Estimates that are mixed
// must be nearer to the mean than a single measurement.
TEST(DomainDemandTest, EstimatesOfPeersAreMixedIn) {
  DomainDemand demand;
  demand.setFleet(fleet(), 0, false);
  TimePoint now = drive(demand, Start, Second * 3, 3);
  DemandReport peer;
  peer.Estimate = DemandFigures{60, 1};
  demand.merge(now, 0, peer);
  EXPECT_NEAR(demand.report(now, 0)->Estimate->Rate, 50, 1);
  // Estimates of another domain's daemons say nothing about this one.
  peer.Estimate = DemandFigures{600, 1};
  demand.merge(now, 1, peer);
  EXPECT_NEAR(demand.report(now, 0)->Estimate->Rate, 50, 1);
}

// Two daemons get the same figures at different times. If each used them at
// once, their ranges of slots would overlap meanwhile.
TEST(DomainDemandTest, DaemonsUseFiguresAtTheSameTime) {
  DomainDemand early, late;
  for (DomainDemand *it : {&early, &late}) {
    it->setFleet(fleet(), 0, false);
    for (size_t domain = 0; domain < 3; ++domain)
      it->merge(Start, domain, issued(20));
  }
  TimePoint changed = Start + Second * 2;
  early.merge(changed, 2, issued(100));
  late.merge(changed + Duration(400'000), 2, issued(100, Duration(400'000)));
  for (int tenths = 0; tenths < 20; ++tenths) {
    TimePoint now = changed + Duration(100'000) * tenths;
    EXPECT_EQ(early.updateWeights(now), tenths == 5);
    if (tenths >= 4) {
      EXPECT_EQ(late.updateWeights(now), tenths == 5);
    }
  }
}

// Membership changes while weights are in force: the remaining domains keep
// theirs, and a new one starts with the mean.
TEST(DomainDemandTest, MembershipChangesKeepWeights) {
  DomainDemand demand;
  demand.setFleet(fleet(), 2, false);
  for (size_t domain = 0; domain < 3; ++domain)
    demand.merge(Start, domain, issued(domain == 2 ? 100 : 20));
  EXPECT_TRUE(demand.updateWeights(Start + Second));
  double weight = demand.weights()[2].Weight;
  demand.setFleet({{DomainId("b"), 3}, {DomainId("c"), 4}, {DomainId("d"), 5}},
                  1, false);
  EXPECT_EQ(demand.weights()[1].Weight, weight);
  EXPECT_EQ(demand.weights()[1].Daemons, 4U);
  EXPECT_EQ(demand.weights()[2].Weight, 1);
  EXPECT_FALSE(demand.report(Start, 2));
}

} // namespace
} // namespace balsamrack

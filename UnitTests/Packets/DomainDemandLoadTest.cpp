#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <vector>

#include <gtest/gtest.h>

#include "UnitTests/Packets/LoadedSite.h"

namespace balsamrack {
namespace {

constexpr size_t Daemons = 24;
constexpr size_t Domains = 4;
constexpr size_t Servers = 48;
constexpr size_t DaemonsPerDomain = Daemons / Domains;

/// Exchanges load reports between the routers of a site as daemons do: each one
/// sends to a random peer every 250 ms, in turn within its domain and outside.
/// Observes how the shares of all daemons add up.
class ReportExchange {
public:
  ReportExchange(LoadedSite &site, Duration delay, TimePoint observeFrom,
                 bool cutOff)
      : Site(site), Delay(delay), ObserveFrom(observeFrom), CutOff(cutOff) {
    Site.every(Duration(250'000 / Daemons), [this](TimePoint now) {
      deliver(now);
      send(now, Next++ % Daemons);
    });
    Site.every(Duration(100'000), [this](TimePoint now) { observe(now); });
  }

  /// Mean part of the slots that more than one daemon counts as its own.
  double meanOverlap() const { return Overlap / Observations; }
  /// Highest sum of all daemons' shares of a server in the mean of the time, to
  /// its slots.
  double highestSum() const {
    return *std::max_element(Sums.begin(), Sums.end()) / Observations;
  }
  /// Highest slots of a daemon, to an even part.
  double highestWeight() const { return HighestWeight; }

private:
  struct Sent {
    TimePoint At;
    size_t To;
    LoadReports Reports;
  };
  void send(TimePoint now, size_t from) {
    size_t domain = from / DaemonsPerDomain;
    bool own = Next / Daemons % 2 == 0;
    size_t to = from;
    while (to == from || (to / DaemonsPerDomain == domain) != own)
      to = Random.below(Daemons);
    LoadReports reports = Site.router(from).loadReports(now);
    EXPECT_LE(reports.Reports.size(), LoadReports::MaxReports);
    if (!CutOff)
      Messages.push_back({now + Delay, to, std::move(reports)});
  }
  void deliver(TimePoint now) {
    for (; !Messages.empty() && Messages.front().At <= now;
         Messages.pop_front())
      Site.router(Messages.front().To)
          .handleLoadReports(now, Messages.front().Reports);
  }
  void observe(TimePoint now) {
    if (now < ObserveFrom)
      return;
    std::vector<double> sums(Servers);
    for (size_t i = 0; i < Daemons; ++i) {
      const auto &all = Site.router(i).servers().all();
      double own = 0;
      for (size_t s = 0; s < Servers; ++s) {
        sums[s] += all[s].Share / LoadedSite::Slots;
        own += all[s].Share / LoadedSite::Slots;
      }
      HighestWeight = std::max(HighestWeight, own * Daemons / Servers);
    }
    for (size_t s = 0; s < Servers; ++s) {
      Sums[s] += sums[s];
      Overlap += std::max(0.0, sums[s] - 1) / Servers;
    }
    ++Observations;
  }

  LoadedSite &Site;
  const Duration Delay;
  const TimePoint ObserveFrom;
  const bool CutOff;
  SeededRandom Random{7};
  size_t Next = 0;
  std::deque<Sent> Messages;
  std::vector<double> Sums = std::vector<double>(Servers);
  double Overlap = 0;
  double HighestWeight = 0;
  double Observations = 0;
};

using Rates = std::vector<double>;

/// A load and its measured interval.
struct Scenario {
  const char *Name;
  double PerSecond;
  std::function<Rates(Duration)> RatesAt;
  Duration From;
  Duration To;
  Duration Delay{1'000}; ///< Of each message between daemons.
  bool CutOff = false;   ///< No message arrives.
};

struct Outcome {
  LoadedSite::Result Calls;
  double Overlap = 0;
  double HighestSum = 0;
  double HighestWeight = 0;
  /// Part of the calls that were not answered in time.
  double missed() const {
    return 1 - static_cast<double>(Calls.InTime) / Calls.Asked;
  }
};

void print(const Scenario &scenario, bool weighted, const Outcome &it) {
  const LoadedSite::Result &r = it.Calls;
  printf("%s, %s: asked %d, in time %d, late %d, lost %d, 503 %d, wait %.1f "
         "ms, p99 %.0f ms, busiest %.2f, weight %.2f, overlap %.3f, sum %.2f;",
         scenario.Name, weighted ? "weighted" : "baseline", r.Asked, r.InTime,
         r.Late, r.lost(), r.Sheds, r.MeanWaitMillis,
         static_cast<double>(r.Slowest99.count()) / 1000, r.BusiestToMean,
         it.HighestWeight, it.Overlap, it.HighestSum);
  for (const LoadedSite::Counts &d : r.ByDomain)
    printf(" %.3f", static_cast<double>(d.InTime) / d.Asked);
  printf("\n");
}

Outcome play(const Scenario &scenario, bool weighted, uint64_t seed = 1) {
  LoadedSite::Options options;
  options.Daemons = Daemons;
  options.Domains = Domains;
  options.Servers = Servers;
  options.PerSecond = scenario.PerSecond;
  options.RatesAt = scenario.RatesAt;
  options.ShedWhenFull = true;
  options.Load.DomainDemand = weighted;
  options.Seed = seed;
  LoadedSite site(options);
  ReportExchange exchange(site, scenario.Delay,
                          LoadedSite::Start + scenario.From, scenario.CutOff);
  Outcome it;
  it.Calls =
      site.run(scenario.To + Duration(1'000'000), scenario.From, scenario.To);
  it.Overlap = exchange.meanOverlap();
  it.HighestSum = exchange.highestSum();
  it.HighestWeight = exchange.highestWeight();
  print(scenario, weighted, it);
  return it;
}

// All of these use 48 servers with 96 slots and requests of 32 ms: 3,000
// requests a second.
constexpr Duration Second{1'000'000};

Rates sixTimes(Duration) { return {6, 1, 1, 1}; }

Rates burst(Duration at) {
  return {at >= Second * 5 && at < Second * 12 ? 6.0 : 1.0, 1, 1, 1};
}

Rates swing(Duration at) {
  constexpr double Turn = 6.283185;
  Rates rates;
  for (size_t domain = 0; domain < Domains; ++domain) {
    double turns = static_cast<double>(at.count()) / 17e6 +
                   static_cast<double>(domain) / Domains;
    rates.push_back(1 + 0.55 * std::sin(Turn * turns));
  }
  return rates;
}

// One domain's callers send six times as much: 1,800 requests a second, for
// which its daemons have slots for 750 with equal shares. In proportion to
// demand, all daemons are loaded to 90%, so nearly all calls are in time.
TEST(DomainDemandLoadTest, OneDomainAtSixTimesItsRate) {
  const Scenario six{"six times", 1200, sixTimes, Second * 5, Second * 12};
  Outcome baseline = play(six, false);
  Outcome weighted = play(six, true);
  EXPECT_GT(baseline.missed(), 0.2);
  EXPECT_LT(weighted.missed(), 0.05);
  EXPECT_LT(weighted.Calls.BusiestToMean, 1.3);
  // 6 of 9 parts of the slots for a quarter of the daemons: 2.67.
  EXPECT_NEAR(weighted.HighestWeight, 6.0 / 9 * 4, 0.3);
}

// The same for 7 s only. Weights follow some 2.5 s after the start of the
// burst, a bit more than a third of it; another fifth is allowed for the queues
// of that time.
TEST(DomainDemandLoadTest, OneDomainAtSixTimesItsRateForSevenSeconds) {
  const Scenario seven{"burst", 1200, burst, Second * 5, Second * 12};
  double baseline = 0, weighted = 0;
  for (uint64_t seed : {1, 2, 3}) {
    baseline += play(seven, false, seed).missed();
    weighted += play(seven, true, seed).missed();
  }
  EXPECT_LT(weighted, baseline * 0.55);
}

// Demand of all domains swings by 55%, out of phase; 75% of the capacity in all
// and 116% of the equal share of the domain at its peak. A lag of a quarter of
// the period would give slots to the wrong domains and be worse than equal
// shares; with half of that lag the remaining imbalance is 0.8 of it.
TEST(DomainDemandLoadTest, SwingingDemand) {
  const Scenario swinging{"swing", 2250, swing, Second * 5, Second * 22};
  double baseline = 0, weighted = 0;
  for (uint64_t seed : {1, 2, 3}) {
    baseline += play(swinging, false, seed).missed();
    weighted += play(swinging, true, seed).missed();
  }
  EXPECT_LT(weighted, baseline * 0.8);
}

// Even demand: random differences must not move slots.
TEST(DomainDemandLoadTest, EvenDemandIsServedAsBefore) {
  const Scenario even{"even", 2250,
                      [](Duration) {
                        return Rates{1, 1, 1, 1};
                      },
                      Second * 3, Second * 10};
  Outcome baseline = play(even, false);
  Outcome weighted = play(even, true);
  EXPECT_NEAR(weighted.missed(), baseline.missed(), 0.01);
  EXPECT_LT(weighted.Calls.MeanWaitMillis,
            baseline.Calls.MeanWaitMillis * 1.15);
  EXPECT_LT(weighted.Overlap, 0.01);
}

// Daemons that exchange nothing know one domain only, which must not change
// anything.
TEST(DomainDemandLoadTest, CutOffDaemonsHaveEqualShares) {
  const Scenario cutOff{"cut off",  1200,        sixTimes, Second * 5,
                        Second * 8, Duration(0), true};
  Outcome baseline = play(cutOff, false);
  Outcome weighted = play(cutOff, true);
  EXPECT_EQ(weighted.Calls.InTime, baseline.Calls.InTime);
  EXPECT_EQ(weighted.Calls.Openings, baseline.Calls.Openings);
  EXPECT_EQ(weighted.HighestWeight, baseline.HighestWeight);
}

// Views that differ could send all daemons to the same servers. Messages take a
// second each, so that views lag by one to three: the shares of a server still
// add up to about its slots.
TEST(DomainDemandLoadTest, DaemonsDoNotHerdWhenTheirViewsLag) {
  const Scenario steady{"lag 1 s",  1200,        sixTimes,
                        Second * 8, Second * 15, Second};
  Outcome it = play(steady, true);
  EXPECT_LT(it.Overlap, 0.1);
  EXPECT_LT(it.HighestSum, 1.3);
  const Scenario changing{"burst, lag 1 s", 1200,        burst,
                          Second * 5,       Second * 12, Second};
  Outcome worst = play(changing, true);
  // For up to 3 of 7 s, half of the daemons have other ranges than the rest,
  // which overlap to a half: 0.21. The rest is for the return to equal shares.
  EXPECT_LT(worst.Overlap, 0.25);
  EXPECT_LT(worst.missed(), play(changing, false).missed() * 1.1);
}

// Reports about a service or domain that does not exist come from foreign
// senders or during a change of the fleet; they must leave the shares alone.
TEST(DomainDemandLoadTest, ForeignReportsAreCountedAndIgnored) {
  LoadedSite::Options options;
  options.Domains = 2;
  options.Load.DomainDemand = true;
  LoadedSite site(options);
  site.run(Second, Duration(0), Second);
  PacketRouter &router = site.router(0);
  TimePoint now = LoadedSite::Start + Second;
  auto report = [](const char *service, const char *domain, double rate) {
    LoadReport it;
    it.Service = static_cast<uint32_t>(ServiceId(service).hash());
    it.Domain = static_cast<uint32_t>(DomainId(domain).hash());
    it.Rate = rate;
    return it;
  };
  LoadReports reports;
  reports.Reports = {report("payment", "bern-a", 5),
                     report("booking", "bern-z", 5),
                     report("booking", "bern-b", -5)};
  router.handleLoadReports(now, reports);
  LoadReports unreadable;
  unreadable.Invalid = true;
  router.handleLoadReports(now, unreadable);
  EXPECT_EQ(router.loadReportCounts().Ignored, 4U);
  EXPECT_EQ(router.loadReportCounts().Used, 0U);
  reports.Reports = {report("booking", "bern-b", 5)};
  router.handleLoadReports(now, reports);
  EXPECT_EQ(router.loadReportCounts().Used, 1U);
}

} // namespace
} // namespace balsamrack

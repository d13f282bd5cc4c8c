#include <cstdio>
#include <deque>
#include <numeric>
#include <string>

#include <gtest/gtest.h>

#include "UnitTests/Packets/LoadedSite.h"

namespace balsamrack {
namespace {

constexpr size_t Daemons = 24;
constexpr size_t Domains = 4;
constexpr size_t DaemonsPerDomain = Daemons / Domains;

/// Exchanges load reports between the routers of a site as daemons do: each one
/// sends to a random peer every 250 ms, in turn within its domain and outside.
class ReportExchange {
public:
  ReportExchange(LoadedSite &site, Duration delay) : Site(site), Delay(delay) {
    Site.every(Duration(250'000 / Daemons), [this](TimePoint now) {
      deliver(now);
      send(now, Next++ % Daemons);
    });
    Site.every(Duration(100'000), [this](TimePoint now) { observe(now); });
  }

  bool CutOff = false;      ///< No message arrives.
  double WorstServer = 0;   ///< Highest sum of shares of a server's slots, per
                            ///< slot.
  double MeanExcess = 0;    ///< Mean excess of those sums, per slot.
  double HighestWeight = 0; ///< Highest slots of a daemon to an even part.
  size_t Observations = 0;

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
  void observe(TimePoint) {
    size_t servers = Site.router(0).servers().all().size();
    std::vector<double> sums(servers);
    for (size_t i = 0; i < Daemons; ++i) {
      const auto &all = Site.router(i).servers().all();
      double own = 0;
      for (size_t s = 0; s < servers; ++s) {
        sums[s] += all[s].Share / LoadedSite::Slots;
        own += all[s].Share / LoadedSite::Slots;
      }
      HighestWeight =
          std::max(HighestWeight, own * Daemons / static_cast<double>(servers));
    }
    double excess = 0;
    for (double sum : sums) {
      WorstServer = std::max(WorstServer, sum);
      excess += std::max(0.0, sum - 1) / static_cast<double>(servers);
    }
    MeanExcess += (excess - MeanExcess) / static_cast<double>(++Observations);
  }

  LoadedSite &Site;
  const Duration Delay;
  SeededRandom Random{7};
  size_t Next = 0;
  std::deque<Sent> Messages;
};

LoadedSite::Options siteOptions(bool weighted) {
  LoadedSite::Options options;
  options.Daemons = Daemons;
  options.Domains = Domains;
  options.Servers = 48;
  options.PerSecond = 1200; // 40% of the capacity of 96 slots.
  options.ShedWhenFull = true;
  options.Load.DomainDemand = weighted;
  return options;
}

struct Outcome {
  LoadedSite::Result Result;
  double WorstServer = 0;
  double MeanExcess = 0;
  double HighestWeight = 0;
};

Outcome play(const LoadedSite::Options &options, Duration from, Duration to,
             Duration delay = Duration(1'000)) {
  LoadedSite site(options);
  ReportExchange exchange(site, delay);
  Outcome outcome;
  outcome.Result = site.run(to + Duration(1'000'000), from, to);
  outcome.WorstServer = exchange.WorstServer;
  outcome.MeanExcess = exchange.MeanExcess;
  outcome.HighestWeight = exchange.HighestWeight;
  return outcome;
}

void print(const char *name, const Outcome &it) {
  const LoadedSite::Result &r = it.Result;
  printf("%s: asked %d, in time %d, late %d, lost %d, sheds %d, wait %.1f ms, "
         "p99 %.0f ms, busiest %.2f, weight %.2f, worst server %.2f, excess "
         "%.3f;",
         name, r.Asked, r.InTime, r.Late, r.lost(), r.Sheds, r.MeanWaitMillis,
         static_cast<double>(r.Slowest99.count()) / 1000, r.BusiestToMean,
         it.HighestWeight, it.WorstServer, it.MeanExcess);
  for (const LoadedSite::Counts &d : r.ByDomain)
    printf(" %.3f", static_cast<double>(d.InTime) / d.Asked);
  printf("\n");
}

TEST(DomainDemandLoadTest, Explore) {
  for (bool on : {false, true}) {
    auto o = siteOptions(on);
    print("even", play(o, Duration(3'000'000), Duration(10'000'000)));
    o.RatesAt = [](Duration) { return std::vector<double>{6, 1, 1, 1}; };
    print("steady six", play(o, Duration(5'000'000), Duration(12'000'000)));
    o.RatesAt = [](Duration at) {
      bool burst = at >= Duration(5'000'000) && at < Duration(12'000'000);
      return std::vector<double>{burst ? 6.0 : 1.0, 1, 1, 1};
    };
    print("burst six", play(o, Duration(5'000'000), Duration(12'000'000)));
    print("burst six, lag 1 s",
          play(o, Duration(5'000'000), Duration(12'000'000),
               Duration(1'000'000)));
    o.PerSecond = 2250;
    o.RatesAt = [](Duration at) {
      std::vector<double> rates;
      for (size_t d = 0; d < Domains; ++d)
        rates.push_back(1 +
                        .55 * std::sin(2 * 3.14159265 *
                                       (static_cast<double>(at.count()) / 17e6 +
                                        static_cast<double>(d) / Domains)));
      return rates;
    };
    print("swing", play(o, Duration(5'000'000), Duration(22'000'000)));
  }
}

} // namespace
} // namespace balsamrack

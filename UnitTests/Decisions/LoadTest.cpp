#include <functional>
#include <ostream>
#include <string>

#include <gtest/gtest.h>

#include "PerformanceTest/LoadModel.h"
#include "PerformanceTest/LoadScenarios.h"

namespace balsamrack {
namespace {

/// Result for callers under one load pattern, with our decision and with the
/// baseline that replaces it.
struct LoadCase {
  const char *Name;
  std::function<double(const ScenarioLimits &)> Run;
  ScenarioLimits Baseline;
  double AtLeast; // Bound on our result: a minimum, or if negative, a maximum
                  // of its absolute value.
  double BaselineWorstBy; // Minimum difference by which the baseline is worse.
};

double answeredBesideColdServer(const ScenarioLimits &limits) {
  return runColdServerScenario(limits, true).AnsweredFraction;
}

double peakOnColdServer(const ScenarioLimits &limits) {
  ColdServerFigures figures = runColdServerScenario(limits, true);
  return figures.PeakInProgress + figures.OverloadCrashes * 10;
}

double lastPacketToOutDomain(const ScenarioLimits &limits) {
  return runDomainOutageScenario(limits, true).LastPacketSeconds;
}

double returnOfDomain(const ScenarioLimits &limits) {
  return runDomainOutageScenario(limits, true).ReturnP99Ms;
}

std::vector<LoadCase> loadCases() {
  auto twice = [](const ScenarioLimits &l) {
    return measureGoodput(l, 2, true);
  };
  auto tenfold = [](const ScenarioLimits &l) {
    return measureGoodput(l, 10, true);
  };
  auto shorts = [](const ScenarioLimits &l) {
    return measureP99ShortBehindLong(l, true);
  };
  auto hot = [](const ScenarioLimits &l) {
    return measureFairnessWithHotCaller(l, true);
  };
  return {
      {"SaturationTwofold", twice, fifoUnbounded(), 0.95, 0.3},
      {"SaturationTenfold", tenfold, fifoUnbounded(), 0.95, 0.5},
      {"LongAmongShort", shorts, withoutLongWorkGuard(), -900, 500},
      {"HotCaller", hot, withoutFairness(), 0.98, 0.1},
      {"BurstOfOneCaller", answeredFractionDuringBurst, fifoUnbounded(), 0.95,
       0.2},
      {"BurstWithoutRounds", answeredFractionDuringBurst, withoutFairness(),
       0.95, 0.04},
      {"ColdUnderLoadAnswers", answeredBesideColdServer, withoutRamp(), 0.95,
       0.03},
      {"ColdUnderLoadPeak", peakOnColdServer, withoutRamp(), -1, 1},
      {"DomainOutLastPacket", lastPacketToOutDomain, withoutDomainOut(), -0.1,
       5},
      {"DomainReturns", returnOfDomain, withoutRamp(), -800, 100},
      {"SlowServer", promptFractionWithSlowServer, withoutEjection(), 0.9,
       0.03},
  };
}

std::ostream &operator<<(std::ostream &out, const LoadCase &test) {
  return out << test.Name;
}

class LoadTest : public testing::TestWithParam<LoadCase> {};

// Guards against callers with normal load waiting or being refused during
// bursts, hot callers, long work, cold or slow servers, or saturation. In each
// case the server does work that helps nobody while useful work waits. Each
// case fails if its decision is replaced by the baseline.
TEST_P(LoadTest, CallersGetMoreThanUnderTheBaseline) {
  const LoadCase &test = GetParam();
  double ours = test.Run(defaultLimits());
  double baseline = test.Run(test.Baseline);
  RecordProperty("ours", std::to_string(ours));
  RecordProperty("baseline", std::to_string(baseline));
  SCOPED_TRACE(std::to_string(ours) + " ours, " + std::to_string(baseline) +
               " baseline");
  if (test.AtLeast < 0) {
    EXPECT_LE(ours, -test.AtLeast);
    EXPECT_GE(baseline, ours + test.BaselineWorstBy);
  } else {
    EXPECT_GE(ours, test.AtLeast);
    EXPECT_LE(baseline, ours - test.BaselineWorstBy);
  }
}

INSTANTIATE_TEST_SUITE_P(Patterns, LoadTest, testing::ValuesIn(loadCases()),
                         [](const auto &info) { return info.param.Name; });

/// Faults under which every reported result must still be correct.
struct TruthCase {
  const char *Name;
  Semantics Kind;
  bool Restarts;
  bool Broken;
};

class TruthTest : public testing::TestWithParam<TruthCase> {};

// Guards against false results when a server crashes or breaks connections
// during a reservation. "Not run" makes the caller try again; if it is false,
// the deposit is charged twice. Each request ends once, and RunOnce requests
// reach a server once.
TEST_P(TruthTest, EndingsAreTrueAndSlotsKept) {
  const TruthCase &test = GetParam();
  ScenarioLimits limits = defaultLimits();
  LoadModel model(limits.Owner, limits.Config, std::vector<ModelServer>(4), 7);
  ModelTraffic traffic;
  traffic.RequestsPerSecond = 200;
  traffic.CallerCount = 50;
  traffic.Kind = test.Kind;
  model.addTraffic(traffic);
  if (test.Restarts)
    for (int n = 1; n < 9; ++n)
      model.scheduleAt(Duration(n * 1'000'000), [&model, n] {
        model.restartServer(n % 4, Duration(100'000));
      });
  if (test.Broken)
    model.scheduleAt(Duration(2'000'000),
                     [&model] { model.server(1).AlwaysFails = true; });
  model.run();
  EXPECT_EQ(countFalseOutcomes(model.results()), 0U);
  EXPECT_EQ(model.maxOverSlots(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, TruthTest,
    testing::Values(TruthCase{"OnceRestarts", Semantics::RunOnce, true, false},
                    TruthCase{"OnceBroken", Semantics::RunOnce, false, true},
                    TruthCase{"OnceBoth", Semantics::RunOnce, true, true},
                    TruthCase{"AgainBoth", Semantics::Idempotent, true, true}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace balsamrack

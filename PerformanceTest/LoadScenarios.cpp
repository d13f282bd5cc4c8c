#include "PerformanceTest/LoadScenarios.h"

#include <algorithm>

#include "PerformanceTest/LoadModel.h"

namespace balsamrack {

namespace {

constexpr uint32_t LargeServiceServers = 14; // Servers of a large service.
constexpr uint32_t SmallServiceServers = 4;  // Servers of a small service.
constexpr uint32_t FourDomainServers = 16;   // Servers in four failure domains.
constexpr uint32_t SlotsPerServer = 2;
constexpr Duration WorkTime{50'000};
constexpr uint64_t FirstSeed = 20240901;
// Small scenarios run with several seeds, so that their figures don't depend on
// a single random sequence.
constexpr uint64_t SeedCount = 10;
constexpr double MicrosPerSecond = 1e6;

Duration scenarioLength(bool quick) {
  return Duration(quick ? 10'000'000 : 60'000'000);
}

double capacityPerSecond(uint32_t servers) {
  return servers * SlotsPerServer * MicrosPerSecond /
         static_cast<double>(WorkTime.count());
}

ModelTraffic makeTraffic(double perSecond, Duration length) {
  ModelTraffic t;
  t.RequestsPerSecond = perSecond;
  t.To = length;
  t.CallerCount = 200;
  return t;
}

std::vector<ModelServer> makeServers(uint32_t count) {
  std::vector<ModelServer> all(count);
  const char *domains[] = {"bern-a", "bern-b", "thun-a", "biel-a"};
  for (uint32_t n = 0; n < count; ++n)
    all[n].Domain = DomainId(domains[n % 4]);
  return all;
}

LoadModel makeModel(const ScenarioLimits &limits, uint32_t count,
                    uint64_t seed = FirstSeed) {
  return {limits.Owner, limits.Config, makeServers(count), seed};
}

} // namespace

ScenarioLimits defaultLimits() {
  ScenarioLimits limits;
  limits.Config.Id = ServiceId("booking");
  return limits;
}

ScenarioLimits fifoUnbounded() {
  ScenarioLimits limits = defaultLimits();
  limits.Config.QueuePerServer = 1'000'000;
  limits.Owner.Queue.FairAmongCallers = false;
  limits.Owner.Waits.RefuseLate = false;
  return limits;
}

ScenarioLimits withoutFairness() {
  ScenarioLimits limits = defaultLimits();
  limits.Owner.Queue.FairAmongCallers = false;
  return limits;
}

ScenarioLimits withoutRamp() {
  ScenarioLimits limits = defaultLimits();
  limits.Owner.Ramp.Enabled = false;
  return limits;
}

ScenarioLimits withoutLongWorkGuard() {
  ScenarioLimits limits = defaultLimits();
  limits.Owner.LongWork.Enabled = false;
  return limits;
}

ScenarioLimits withoutEjection() {
  ScenarioLimits limits = defaultLimits();
  limits.Owner.Ejection.Enabled = false;
  return limits;
}

ScenarioLimits withoutDomainOut() {
  ScenarioLimits limits = defaultLimits();
  limits.DomainOutDrains = true;
  return limits;
}

double measureGoodput(const ScenarioLimits &limits, double factor, bool quick) {
  Duration length(quick ? 4'000'000 : 20'000'000);
  LoadModel model = makeModel(limits, LargeServiceServers);
  model.addTraffic(
      makeTraffic(capacityPerSecond(LargeServiceServers) * factor, length));
  model.run();
  return goodput(model.results(), LargeServiceServers * SlotsPerServer, length);
}

double measureP99ShortBehindLong(const ScenarioLimits &limits, bool quick) {
  constexpr int ShortLabel = 1;
  constexpr int LongLabel = 2;
  constexpr Duration LongWork{1'500'000};
  constexpr Duration RefusedLatency{2'000'000};
  constexpr Duration LearningTime{10'000'000};
  Duration length = scenarioLength(quick) + LearningTime;
  std::vector<ModelResult> all;
  for (uint64_t seed = 0; seed < SeedCount; ++seed) {
    LoadModel model = makeModel(limits, SmallServiceServers, FirstSeed + seed);
    ModelTraffic shortTraffic =
        makeTraffic(capacityPerSecond(SmallServiceServers) * 0.2, LearningTime);
    model.addTraffic(shortTraffic);
    shortTraffic.From = LearningTime;
    shortTraffic.To = length;
    shortTraffic.Label = ShortLabel;
    ModelTraffic longTraffic =
        makeTraffic(SmallServiceServers * SlotsPerServer * 0.6 / 1.5, length);
    longTraffic.Label = LongLabel;
    longTraffic.FirstCaller = 1000;
    longTraffic.CallerCount = 8;
    longTraffic.MeanWork = LongWork;
    longTraffic.ExponentialWork = false;
    longTraffic.Deadline = Duration(10'000'000);
    model.addTraffic(shortTraffic);
    model.addTraffic(longTraffic);
    model.run();
    std::vector<ModelResult> results = model.results();
    all.insert(all.end(), results.begin(), results.end());
  }
  Duration p99 = latency(all, ShortLabel, 0.99, RefusedLatency);
  return static_cast<double>(p99.count()) / 1000;
}

double measureFairnessWithHotCaller(const ScenarioLimits &limits, bool quick) {
  Duration length = scenarioLength(quick);
  LoadModel model = makeModel(limits, LargeServiceServers);
  ModelTraffic hotTraffic =
      makeTraffic(capacityPerSecond(LargeServiceServers) * 1.6, length);
  hotTraffic.FirstCaller = 1000;
  hotTraffic.CallerCount = 1;
  ModelTraffic otherTraffic =
      makeTraffic(capacityPerSecond(LargeServiceServers) * 0.6, length);
  otherTraffic.CallerCount = 20;
  model.addTraffic(hotTraffic);
  model.addTraffic(otherTraffic);
  model.run();
  return jainFairness(model.results());
}

double answeredFractionDuringBurst(const ScenarioLimits &limits) {
  constexpr int OthersLabel = 1;
  double sum = 0;
  for (uint64_t seed = 0; seed < SeedCount; ++seed) {
    LoadModel model = makeModel(limits, LargeServiceServers, FirstSeed + seed);
    ModelTraffic burstTraffic = makeTraffic(80'000, Duration(10'000));
    burstTraffic.FirstCaller = 1000;
    burstTraffic.CallerCount = 1;
    ModelTraffic otherTraffic = makeTraffic(
        capacityPerSecond(LargeServiceServers) * 0.3, Duration(500'000));
    otherTraffic.Deadline = Duration(250'000);
    otherTraffic.Label = OthersLabel;
    model.addTraffic(burstTraffic);
    model.addTraffic(otherTraffic);
    model.run();
    sum += answeredFraction(model.results(), OthersLabel);
  }
  return sum / SeedCount;
}

ColdServerFigures runColdServerScenario(const ScenarioLimits &limits,
                                        bool quick) {
  Duration length = scenarioLength(quick);
  ColdServerFigures figures;
  for (uint64_t seed = 0; seed < SeedCount; ++seed) {
    LoadModel model = makeModel(limits, SmallServiceServers, FirstSeed + seed);
    model.addTraffic(
        makeTraffic(capacityPerSecond(SmallServiceServers) * 0.75, length));
    model.scheduleAt(length / 4,
                     [&model] { model.restartServer(0, Duration(200'000)); });
    model.run();
    const ModelServer &cold = model.server(0);
    figures.PeakInProgress =
        std::max<double>(figures.PeakInProgress, cold.PeakInProgressCold);
    figures.OverloadCrashes += cold.OverloadCrashes;
    figures.AnsweredFraction +=
        answeredFraction(model.results(), 0) / SeedCount;
  }
  return figures;
}

DomainFigures runDomainOutageScenario(const ScenarioLimits &limits,
                                      bool quick) {
  constexpr int EstablishedLabel = 1;
  constexpr int ReturnedLabel = 2;
  constexpr Duration OutageTime{10'000'000};
  constexpr Duration TimeAfterReturn{5'000'000};
  const DomainId domain("bern-a");
  Duration outageStart = scenarioLength(quick) / 4;
  Duration outageEnd = outageStart + OutageTime;
  LoadModel model = makeModel(limits, FourDomainServers);
  double load = capacityPerSecond(FourDomainServers) * 0.45;
  model.addTraffic(makeTraffic(load, outageEnd));
  ModelTraffic returnTraffic = makeTraffic(load, outageEnd + TimeAfterReturn);
  returnTraffic.From = outageEnd;
  returnTraffic.Label = ReturnedLabel;
  ModelTraffic establishedTraffic =
      makeTraffic(capacityPerSecond(FourDomainServers) * 0.1, outageEnd);
  establishedTraffic.OpensFlow = false;
  establishedTraffic.Label = EstablishedLabel;
  model.addTraffic(returnTraffic);
  model.addTraffic(establishedTraffic);
  TimePoint lastRequest;
  model.scheduleAt(outageStart, [&] {
    // If they only drain, the domain's servers keep their established flows.
    std::set<size_t> draining;
    for (size_t n = 0; n < FourDomainServers; n += 4)
      draining.insert(n);
    if (limits.DomainOutDrains)
      model.configureServers({}, draining);
    else
      model.configureServers({domain});
  });
  model.scheduleAt(outageEnd - Duration(1), [&] {
    for (size_t n = 0; n < FourDomainServers; n += 4)
      lastRequest = std::max(lastRequest, model.server(n).LastRequestTime);
  });
  model.scheduleAt(outageEnd, [&] {
    for (size_t n = 0; n < FourDomainServers; n += 4)
      model.restartServer(n, Duration(0));
    model.configureServers({});
  });
  model.run();
  DomainFigures figures;
  TimePoint ticketTime = TimePoint(LoadModel::Start) + outageStart;
  lastRequest = std::max(lastRequest, ticketTime);
  figures.LastPacketSeconds =
      static_cast<double>((lastRequest - ticketTime).count()) / MicrosPerSecond;
  auto results = model.results();
  Duration p99 = latency(results, ReturnedLabel, 0.99, Duration(1'000'000));
  figures.ReturnP99Ms = static_cast<double>(p99.count()) / 1000;
  figures.AnsweredFraction = answeredFraction(results, 0);
  for (size_t n = 0; n < FourDomainServers; n += 4)
    figures.OverloadCrashes += model.server(n).OverloadCrashes;
  figures.FalseOutcomes = countFalseOutcomes(results);
  return figures;
}

double promptFractionWithSlowServer(const ScenarioLimits &limits) {
  uint32_t all = 0;
  uint32_t promptCount = 0;
  for (uint64_t seed = 0; seed < SeedCount; ++seed) {
    LoadModel model = makeModel(limits, SmallServiceServers, FirstSeed + seed);
    model.server(0).SlowdownFactor = 10;
    model.addTraffic(makeTraffic(capacityPerSecond(SmallServiceServers) * 0.4,
                                 Duration(20'000'000)));
    model.run();
    for (const ModelResult &r : model.results()) {
      bool prompt = r.How == OutcomeKind::Answered &&
                    r.Ended - r.Arrived <= Duration(300'000);
      ++all;
      promptCount += prompt ? 1 : 0;
    }
  }
  return static_cast<double>(promptCount) / all;
}

} // namespace balsamrack

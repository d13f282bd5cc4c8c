#include "PerformanceTest/LoadScenarios.h"

#include <algorithm>

#include "PerformanceTest/LoadModel.h"

namespace balsamrack {

namespace {

constexpr uint32_t Many = 14;      // Servers of the large services.
constexpr uint32_t Few = 4;        // Servers of the small services.
constexpr uint32_t InDomains = 16; // Servers of four domains.
constexpr uint32_t Slots = 2;
constexpr Duration Work{50'000};
constexpr uint64_t FirstSeed = 20240901;
// Small scenarios are played with several seeds, so that their figures tell of
// the decisions and not of one draw.
constexpr uint64_t Seeds = 10;
constexpr double Second = 1e6;

Duration lengthOf(bool quick) {
  return Duration(quick ? 10'000'000 : 60'000'000);
}

double capacity(uint32_t servers) {
  return servers * Slots * Second / static_cast<double>(Work.count());
}

ModelTraffic traffic(double perSecond, Duration length) {
  ModelTraffic t;
  t.PerSecond = perSecond;
  t.To = length;
  t.Callers = 200;
  return t;
}

std::vector<ModelServer> servers(uint32_t count) {
  std::vector<ModelServer> all(count);
  const char *domains[] = {"bern-a", "bern-b", "thun-a", "biel-a"};
  for (uint32_t n = 0; n < count; ++n)
    all[n].Domain = DomainId(domains[n % 4]);
  return all;
}

LoadModel modelOf(const ScenarioLimits &limits, uint32_t count,
                  uint64_t seed = FirstSeed) {
  return {limits.Owner, limits.Config, servers(count), seed};
}

} // namespace

ScenarioLimits ourLimits() {
  ScenarioLimits limits;
  limits.Config.Id = ServiceId("booking");
  return limits;
}

ScenarioLimits fifoUnbounded() {
  ScenarioLimits limits = ourLimits();
  limits.Config.QueuePerServer = 1'000'000;
  limits.Owner.Queue.FairAmongCallers = false;
  limits.Owner.Waits.RefuseHopeless = false;
  return limits;
}

ScenarioLimits withoutFairness() {
  ScenarioLimits limits = ourLimits();
  limits.Owner.Queue.FairAmongCallers = false;
  return limits;
}

ScenarioLimits withoutRamp() {
  ScenarioLimits limits = ourLimits();
  limits.Owner.Ramp.Enabled = false;
  return limits;
}

ScenarioLimits withoutLongWorkGuard() {
  ScenarioLimits limits = ourLimits();
  limits.Owner.LongWork.Enabled = false;
  return limits;
}

ScenarioLimits withoutEjection() {
  ScenarioLimits limits = ourLimits();
  limits.Owner.Ejection.Enabled = false;
  return limits;
}

ScenarioLimits withoutDomainOut() {
  ScenarioLimits limits = ourLimits();
  limits.DomainOutDrains = true;
  return limits;
}

double goodputAt(const ScenarioLimits &limits, double factor, bool quick) {
  Duration length(quick ? 4'000'000 : 20'000'000);
  LoadModel model = modelOf(limits, Many);
  model.offer(traffic(capacity(Many) * factor, length));
  model.run();
  return goodput(model.results(), Many * Slots, length);
}

double p99ShortBehindLong(const ScenarioLimits &limits, bool quick) {
  constexpr int ShortLabel = 1;
  constexpr int LongLabel = 2;
  constexpr Duration LongWork{1'500'000};
  constexpr Duration Refused{2'000'000};
  constexpr Duration Learning{10'000'000};
  Duration length = lengthOf(quick) + Learning;
  std::vector<ModelResult> all;
  for (uint64_t seed = 0; seed < Seeds; ++seed) {
    LoadModel model = modelOf(limits, Few, FirstSeed + seed);
    ModelTraffic brief = traffic(capacity(Few) * 0.2, Learning);
    model.offer(brief);
    brief.From = Learning;
    brief.To = length;
    brief.Label = ShortLabel;
    ModelTraffic plans = traffic(Few * Slots * 0.6 / 1.5, length);
    plans.Label = LongLabel;
    plans.Caller = 1000;
    plans.Callers = 8;
    plans.Work = LongWork;
    plans.Varies = false;
    plans.Deadline = Duration(10'000'000);
    model.offer(brief);
    model.offer(plans);
    model.run();
    std::vector<ModelResult> results = model.results();
    all.insert(all.end(), results.begin(), results.end());
  }
  Duration p99 = latency(all, ShortLabel, 0.99, Refused);
  return static_cast<double>(p99.count()) / 1000;
}

double fairnessOfHotCaller(const ScenarioLimits &limits, bool quick) {
  Duration length = lengthOf(quick);
  LoadModel model = modelOf(limits, Many);
  ModelTraffic hot = traffic(capacity(Many) * 1.6, length);
  hot.Caller = 1000;
  hot.Callers = 1;
  ModelTraffic rest = traffic(capacity(Many) * 0.6, length);
  rest.Callers = 20;
  model.offer(hot);
  model.offer(rest);
  model.run();
  return fairness(model.results());
}

double othersDuringBurst(const ScenarioLimits &limits) {
  constexpr int Others = 1;
  double sum = 0;
  for (uint64_t seed = 0; seed < Seeds; ++seed) {
    LoadModel model = modelOf(limits, Many, FirstSeed + seed);
    ModelTraffic burst = traffic(80'000, Duration(10'000));
    burst.Caller = 1000;
    burst.Callers = 1;
    ModelTraffic rest = traffic(capacity(Many) * 0.3, Duration(500'000));
    rest.Deadline = Duration(250'000);
    rest.Label = Others;
    model.offer(burst);
    model.offer(rest);
    model.run();
    sum += answeredShare(model.results(), Others);
  }
  return sum / Seeds;
}

ColdServerFigures coldServer(const ScenarioLimits &limits, bool quick) {
  Duration length = lengthOf(quick);
  ColdServerFigures figures;
  for (uint64_t seed = 0; seed < Seeds; ++seed) {
    LoadModel model = modelOf(limits, Few, FirstSeed + seed);
    model.offer(traffic(capacity(Few) * 0.75, length));
    model.at(length / 4, [&model] { model.restart(0, Duration(200'000)); });
    model.run();
    const ModelServer &cold = model.server(0);
    figures.PeakInProgress =
        std::max<double>(figures.PeakInProgress, cold.PeakCold);
    figures.FellOver += cold.FellOver;
    figures.AnsweredShare += answeredShare(model.results(), 0) / Seeds;
  }
  return figures;
}

DomainFigures domainOutAndBack(const ScenarioLimits &limits, bool quick) {
  constexpr int Established = 1;
  constexpr int Returned = 2;
  constexpr Duration OutFor{10'000'000};
  constexpr Duration After{5'000'000};
  const DomainId domain("bern-a");
  Duration out = lengthOf(quick) / 4;
  Duration back = out + OutFor;
  LoadModel model = modelOf(limits, InDomains);
  double load = capacity(InDomains) * 0.45;
  model.offer(traffic(load, back));
  ModelTraffic later = traffic(load, back + After);
  later.From = back;
  later.Label = Returned;
  ModelTraffic desks = traffic(capacity(InDomains) * 0.1, back);
  desks.Opens = false;
  desks.Label = Established;
  model.offer(later);
  model.offer(desks);
  TimePoint last;
  model.at(out, [&] {
    // Drained only, the domain's servers keep their established flows.
    std::set<size_t> draining;
    for (size_t n = 0; n < InDomains; n += 4)
      draining.insert(n);
    if (limits.DomainOutDrains)
      model.configure({}, draining);
    else
      model.configure({domain});
  });
  model.at(back - Duration(1), [&] {
    for (size_t n = 0; n < InDomains; n += 4)
      last = std::max(last, model.server(n).LastPacket);
  });
  model.at(back, [&] {
    for (size_t n = 0; n < InDomains; n += 4)
      model.restart(n, Duration(0));
    model.configure({});
  });
  model.run();
  DomainFigures figures;
  TimePoint ticket = TimePoint(LoadModel::Start) + out;
  last = std::max(last, ticket);
  figures.LastPacketSeconds =
      static_cast<double>((last - ticket).count()) / Second;
  auto results = model.results();
  Duration p99 = latency(results, Returned, 0.99, Duration(1'000'000));
  figures.ReturnP99Millis = static_cast<double>(p99.count()) / 1000;
  figures.AnsweredShare = answeredShare(results, 0);
  for (size_t n = 0; n < InDomains; n += 4)
    figures.FellOver += model.server(n).FellOver;
  figures.FalseEndings = falseEndings(results);
  return figures;
}

double newFlowsBesideSlowServer(const ScenarioLimits &limits) {
  uint32_t all = 0;
  uint32_t soon = 0;
  for (uint64_t seed = 0; seed < Seeds; ++seed) {
    LoadModel model = modelOf(limits, Few, FirstSeed + seed);
    model.server(0).Slowness = 10;
    model.offer(traffic(capacity(Few) * 0.4, Duration(20'000'000)));
    model.run();
    for (const ModelResult &r : model.results()) {
      bool good = r.How == OutcomeKind::Answered &&
                  r.Ended - r.Arrived <= Duration(300'000);
      ++all;
      soon += good ? 1 : 0;
    }
  }
  return static_cast<double>(soon) / all;
}

} // namespace balsamrack

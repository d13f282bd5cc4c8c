#include "PerformanceTest/FlowsMeasure.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <numeric>
#include <thread>

#include "Balsamrack/Flows/Placement.h"
#include "PerformanceTest/FlowBaselines.h"
#include "PerformanceTest/FlowFleet.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

using WallClock = std::chrono::steady_clock;

constexpr size_t FullFlowCount = 20'000;
constexpr size_t QuickFlowCount = 5'000;
constexpr size_t RoundsAfterChange =
    3; ///< Packets that each flow sends after a change.
constexpr double FlowCapacityFactor =
    1.03; ///< Flow limit of a server relative to the mean.
constexpr size_t ReactivatedServer =
    1; ///< Server that is drained and reactivated.
constexpr uint32_t MaxServerConnections =
    2000; ///< Required connection limit of a server.
constexpr size_t ThreadCount = 12;

/// Layers of the flow subsystem that a run uses.
struct Layers {
  std::string Suffix;
  bool Token = false;
  bool Rank = true;
  bool Exceptions = true;
  bool Question = true;
};

/// A change while flows are open.
struct Change {
  std::string Name;
  std::function<void(FlowFleet &)>
      Begin; ///< Brings it into force at some daemons.
  std::function<void(FlowFleet &)>
      Finish; ///< Brings it into force at all daemons.
};

/// Result of a run.
struct ChangeResult {
  double BrokenPercent = 0;         ///< Flows that moved or were given up.
  double RefusedPercent = 0;        ///< Packets refused with a retry delay.
  double HopsPerPacket = 0;         ///< Forwards and question rounds.
  double ControlBytesPerSecond = 0; ///< Per daemon, after the change.
};

struct Flow {
  ServerId Home;
  std::string Token;
  bool Broken = false;
};

FlowFleetSettings makeFleetSettings(const Layers &layers, size_t flows) {
  FlowFleetSettings s;
  s.FlowsPerServer =
      static_cast<uint32_t>(FlowCapacityFactor * static_cast<double>(flows) /
                            static_cast<double>(s.Servers - 1));
  s.Entry.TokenKey = layers.Token ? "fleet" : "";
  s.Entry.UseRank = layers.Rank;
  s.Entry.UseQuestion = layers.Question;
  s.Entry.Explain = false;
  // Enough retries for flows that find their first candidates full.
  s.Entry.RetryBurst = 1000;
  s.Owner.KeepExceptions = layers.Exceptions;
  s.Owner.Flows.Shards = s.Owner.Exceptions.Shards = 16;
  s.Owner.Flows.MaxServers = s.Owner.Exceptions.MaxServers = 64;
  return s;
}

/// Opens flows. Flows that find their first candidate full are placed
/// elsewhere.
std::vector<Flow> openFlows(FlowFleet &fleet, size_t count, size_t firstId) {
  std::vector<Flow> flows(count);
  for (size_t i = 0; i < count; ++i) {
    FlowPacketResult r = fleet.sendPacket(FlowId{firstId + i + 1}, true, "");
    if (r.Result.Kind == OutcomeKind::Answered)
      flows[i] = {r.Result.Server, r.Token, false};
  }
  return flows;
}

struct RoundTotals {
  size_t Packets = 0, Refused = 0, Hops = 0;
};

/// Sends one packet of each flow. A flow is broken if another server answers it
/// or if it is given up. A refusal with a true outcome and a retry delay does
/// not break it.
void sendRound(FlowFleet &fleet, std::vector<Flow> &flows, size_t firstId,
               RoundTotals &totals) {
  for (size_t i = 0; i < flows.size(); ++i) {
    Flow &it = flows[i];
    if (it.Home.empty())
      continue;
    FlowPacketResult r =
        fleet.sendPacket(FlowId{firstId + i + 1}, false, it.Token);
    ++totals.Packets;
    totals.Hops += r.Forwards + r.Rounds;
    if (r.Result.Kind == OutcomeKind::NotRun)
      ++totals.Refused;
    else
      it.Broken = it.Broken || r.Result.Server != it.Home ||
                  r.Result.Kind == OutcomeKind::GivenUp;
  }
}

size_t countBrokenFlows(const std::vector<Flow> &flows) {
  return static_cast<size_t>(std::count_if(
      flows.begin(), flows.end(), [](const Flow &it) { return it.Broken; }));
}

ChangeResult measureChange(const Change &change, const Layers &layers,
                           size_t count) {
  FlowFleetSettings settings = makeFleetSettings(layers, count);
  FlowFleet fleet(settings);
  RoundTotals totalsBefore;
  // The flows are opened while a server drains, which is then reactivated. So
  // flows that rank it first are at other servers, as are flows that found
  // their first candidate full.
  fleet.drainServer(ReactivatedServer);
  fleet.applyTicket();
  std::vector<Flow> flows = openFlows(fleet, count, 0);
  fleet.reactivateServer(ReactivatedServer);
  fleet.applyTicket();
  sendRound(fleet, flows, 0, totalsBefore);
  constexpr size_t SettleSeconds = 10;
  for (size_t i = 0; i < SettleSeconds; ++i)
    fleet.advanceOneSecond();
  // Make the change, and open new flows while it propagates.
  size_t bytesBefore = fleet.controlBytes();
  RoundTotals totals;
  change.Begin(fleet);
  size_t newFlowCount = count / 10;
  std::vector<Flow> newFlows = openFlows(fleet, newFlowCount, count);
  sendRound(fleet, flows, 0, totals);
  sendRound(fleet, newFlows, count, totals);
  change.Finish(fleet);
  for (size_t i = 1; i < RoundsAfterChange; ++i) {
    fleet.advanceOneSecond();
    sendRound(fleet, flows, 0, totals);
    sendRound(fleet, newFlows, count, totals);
  }
  ChangeResult b;
  auto all = static_cast<double>(count + newFlowCount);
  auto packets = static_cast<double>(totals.Packets);
  b.BrokenPercent = 100.0 *
                    static_cast<double>(countBrokenFlows(flows) +
                                        countBrokenFlows(newFlows)) /
                    all;
  b.RefusedPercent = 100.0 * static_cast<double>(totals.Refused) / packets;
  b.HopsPerPacket = static_cast<double>(totals.Hops) / packets;
  // Each flow sends a packet every ten seconds, RoundsAfterChange in total.
  constexpr double SecondsPerRound = 10;
  b.ControlBytesPerSecond =
      static_cast<double>(fleet.controlBytes() - bytesBefore) /
      (RoundsAfterChange * SecondsPerRound) /
      static_cast<double>(settings.Daemons);
  return b;
}

std::vector<Change> allChanges() {
  auto doNothing = [](FlowFleet &) {};
  auto applyToAll = [](void (*edit)(FlowFleet &)) {
    return [edit](FlowFleet &f) {
      edit(f);
      f.applyTicket();
    };
  };
  return {
      {"server_join", applyToAll([](FlowFleet &f) { f.addServer(); }),
       doNothing},
      {"server_drain", applyToAll([](FlowFleet &f) { f.drainServer(3); }),
       doNothing},
      {"ticket_skew",
       [](FlowFleet &f) {
         f.addServer();
         f.drainServer(3);
         f.applyTicket(4);
       },
       [](FlowFleet &f) { f.applyTicket(); }},
      {"daemon_join", applyToAll([](FlowFleet &f) {
         f.joinDaemon();
         f.joinDaemon();
       }),
       doNothing},
      {"daemon_leave",
       applyToAll([](FlowFleet &f) { f.stopDaemon(f.busiestDaemon()); }),
       doNothing},
      {"daemon_death_1",
       applyToAll([](FlowFleet &f) { f.killDaemon(f.busiestDaemon()); }),
       doNothing},
      {"daemon_death_2", applyToAll([](FlowFleet &f) {
         size_t first = f.busiestDaemon();
         size_t second = f.busiestDaemon(f.domainOfDaemon(first));
         f.killDaemon(first);
         f.killDaemon(second);
       }),
       doNothing},
      {"daemon_death_2_same_domain", applyToAll([](FlowFleet &f) {
         f.killDaemon(f.busiestDaemon());
         f.killDaemon(f.busiestDaemon());
       }),
       doNothing},
      {"daemon_death_1_unnoticed",
       [](FlowFleet &f) { f.killDaemon(f.busiestDaemon()); },
       [](FlowFleet &f) { f.applyTicket(); }},
  };
}

/// Returns the figure of \p b with that of the baseline under the same change.
Figure makeBrokenFlowsFigure(const std::string &name, const ChangeResult &b,
                             const std::string &change, size_t flows) {
  BaselineResult base = baselineFor(change, flows);
  return {name, b.BrokenPercent, "percent", base.BrokenPercent, base.Name};
}

void measureBrokenFlows(size_t flows, std::vector<Figure> &figures) {
  const std::vector<Layers> variants = {
      {"", false},
      {"_token", true},
      {"_no_exceptions", false, true, false},
      {"_no_question", false, true, true, false},
      {"_rank_only", false, true, false, false},
      {"_no_rank", false, false}};
  for (const Change &change : allChanges()) {
    double plainHops = 0;
    double plainBytes = 0;
    for (const Layers &layers : variants) {
      ChangeResult b = measureChange(change, layers, flows);
      std::string name = absl::StrCat(change.Name, layers.Suffix);
      figures.push_back(makeBrokenFlowsFigure(
          absl::StrCat("broken_flows_", name), b, change.Name, flows));
      if (layers.Suffix.empty()) {
        plainHops = b.HopsPerPacket;
        plainBytes = b.ControlBytesPerSecond;
      }
      if (layers.Suffix == "_no_rank")
        continue;
      figures.push_back({absl::StrCat("refused_packets_", name),
                         b.RefusedPercent, "percent", 0, "none"});
      figures.push_back({absl::StrCat("hops_per_packet_", name),
                         b.HopsPerPacket, "hops", plainHops,
                         "all_layers_without_token"});
      figures.push_back({absl::StrCat("control_bytes_per_second_", name),
                         b.ControlBytesPerSecond, "bytes", plainBytes,
                         "all_layers_without_token"});
    }
  }
}

/// Measures hops and control bytes without changes.
void measureSteadyState(size_t flows, std::vector<Figure> &figures) {
  Change none{"steady", [](FlowFleet &) {}, [](FlowFleet &) {}};
  ChangeResult plain = measureChange(none, {"", false}, flows);
  ChangeResult noExceptions =
      measureChange(none, {"", false, true, false}, flows);
  ChangeResult token = measureChange(none, {"", true}, flows);
  figures.push_back({"hops_per_packet", plain.HopsPerPacket, "hops",
                     noExceptions.HopsPerPacket, "without_exceptions"});
  figures.push_back({"hops_per_packet_token", token.HopsPerPacket, "hops",
                     plain.HopsPerPacket, "no_token"});
  // Replication of each new flow, 32 bytes, to the seven other daemons.
  constexpr double BytesPerFlowToAll = 32.0 * 7;
  constexpr double NewFlowsPerSecond = 2000.0 / 8;
  figures.push_back({"control_bytes_per_second", plain.ControlBytesPerSecond,
                     "bytes", BytesPerFlowToAll * NewFlowsPerSecond,
                     "each_flow_replicated_at_2000_new_a_second"});
  figures.push_back({"control_bytes_per_second_token",
                     token.ControlBytesPerSecond, "bytes",
                     plain.ControlBytesPerSecond, "no_token"});
}

double maxOverMean(const std::vector<uint32_t> &counts) {
  double sum = std::accumulate(counts.begin(), counts.end(), 0.0);
  double max = *std::max_element(counts.begin(), counts.end());
  return max * static_cast<double>(counts.size()) / sum;
}

/// Returns the mean over several sets of flows, since the imbalance of a single
/// small set varies strongly.
double meanImbalance(size_t flows, uint32_t flowsPerServer) {
  constexpr size_t Trials = 20;
  double sum = 0;
  for (size_t t = 0; t < Trials; ++t) {
    FlowFleetSettings settings = makeFleetSettings({"", false}, flows);
    settings.FlowsPerServer = flowsPerServer;
    FlowFleet fleet(settings);
    openFlows(fleet, flows, t * flows);
    sum += maxOverMean(fleet.flowsPerServer());
  }
  return sum / Trials;
}

double meanModuloImbalance(size_t flows) {
  constexpr size_t Trials = 20;
  double sum = 0;
  for (size_t t = 0; t < Trials; ++t)
    sum += maxOverMean(moduloFlowsPerServer(flows, t * flows));
  return sum / Trials;
}

void measureImbalance(size_t flows, std::vector<Figure> &figures) {
  constexpr size_t FewFlows = 280;
  for (size_t n : {flows, FewFlows}) {
    std::string name = "imbalance_max_over_mean";
    if (n == FewFlows)
      absl::StrAppend(&name, "_", n, "_flows");
    // As in the daemons, servers refuse flows beyond their connection limit.
    double plain = meanImbalance(n, MaxServerConnections);
    figures.push_back(
        {name, plain, "ratio", meanModuloImbalance(n), "modulo_hashing"});
    // For comparison, a limit close to the mean.
    double bounded =
        meanImbalance(n, makeFleetSettings({"", false}, n).FlowsPerServer);
    figures.push_back(
        {absl::StrCat(name, "_bounded"), bounded, "ratio", plain, "no_bound"});
  }
}

/// Calls \p work repeatedly for \p seconds and returns the items per second.
/// Each call processes \p items.
double measureRate(double seconds, size_t items,
                   const std::function<void()> &work) {
  size_t done = 0;
  auto start = WallClock::now();
  std::chrono::duration<double> took{0};
  while (took.count() < seconds) {
    work();
    done += items;
    took = WallClock::now() - start;
  }
  return static_cast<double>(done) / took.count();
}

/// Returns a view of 5,400 servers in services of 17 servers.
RoutingView makeLargeView(uint32_t weightStep) {
  RoutingView v;
  constexpr size_t AllServers = 5400;
  constexpr size_t ServersPerService = 17;
  for (size_t i = 0; i < AllServers; ++i) {
    ServiceId id(absl::StrCat("service-", i / ServersPerService));
    RoutedServer s;
    s.Server.Id = ServerId(absl::StrCat("server-", i));
    s.Server.Service = id;
    s.Server.Weight =
        100 + weightStep * static_cast<uint32_t>(i % ServersPerService);
    s.Owner.Id = VmId("vm-0");
    s.OwnerReachable = true;
    v.Services[id].Servers.push_back(s);
  }
  return v;
}

void measurePlacement(double seconds, std::vector<Figure> &figures) {
  constexpr size_t Batch = 100'000;
  uint64_t flow = 1;
  size_t sink = 0;
  double modulo = measureRate(seconds, Batch, [&] {
    for (size_t i = 0; i < Batch; ++i)
      sink += stableHash("x", ++flow) % 17;
  });
  for (uint32_t weightStep : {0U, 10U}) {
    auto view = *RoutingView::create(makeLargeView(weightStep));
    std::vector<const ServiceRoute *> routes;
    for (const auto &[id, route] : view->Services)
      routes.push_back(&route);
    double rate = measureRate(seconds, Batch, [&] {
      for (size_t i = 0; i < Batch; ++i) {
        const ServiceRoute &route = *routes[++flow % routes.size()];
        sink += chooseForNewFlow(route, FlowId{flow}, {}) != nullptr ? 1 : 0;
      }
    });
    figures.push_back({weightStep == 0
                           ? "placement_decisions_per_second"
                           : "placement_decisions_per_second_unequal_weights",
                       rate, "per_second", modulo, "modulo_hashing"});
  }
  if (sink == 0)
    figures.clear();
}

std::unique_ptr<FlowTable> makeFilledTable(uint64_t flows) {
  auto table = std::move(*FlowTable::create({}));
  for (uint64_t f = 1; f <= flows; ++f)
    table->bind(TimePoint(), FlowId{f}, ServerId(absl::StrCat("s-", f % 17)));
  return table;
}

double measureLookupRate(const FlowTable &table, uint64_t flows, size_t threads,
                         double seconds) {
  std::atomic<uint64_t> total{0};
  std::vector<std::thread> workers;
  for (size_t t = 0; t < threads; ++t)
    workers.emplace_back([&, t] {
      SeededRandom random(t);
      uint64_t found = 0;
      constexpr size_t Batch = 10'000;
      double rate = measureRate(seconds, Batch, [&] {
        for (size_t i = 0; i < Batch; ++i)
          found += table.find(TimePoint(), FlowId{random.below(flows) + 1})
                           .has_value()
                       ? 1
                       : 0;
      });
      if (found > 0)
        total += static_cast<uint64_t>(rate);
    });
  for (std::thread &it : workers)
    it.join();
  return static_cast<double>(total.load());
}

void measureFlowTable(bool quick, std::vector<Figure> &figures) {
  const uint64_t flows = quick ? 100'000 : 300'000;
  double seconds = quick ? 0.3 : 1.5;
  auto table = makeFilledTable(flows);
  double singleThreadRate = measureLookupRate(*table, flows, 1, seconds);
  double multiThreadRate =
      measureLookupRate(*table, flows, ThreadCount, seconds);
  figures.push_back({"flow_lookups_per_second_1_thread", singleThreadRate,
                     "per_second", lockedMapLookups(flows, 1, seconds),
                     "one_locked_map"});
  figures.push_back(
      {"flow_lookups_per_second_12_threads", multiThreadRate, "per_second",
       lockedMapLookups(flows, ThreadCount, seconds), "one_locked_map"});
  figures.push_back({"flow_lookups_scaling_12_threads",
                     multiThreadRate / singleThreadRate, "ratio", 1,
                     "1_thread"});
  figures.push_back(
      {"bytes_per_flow",
       static_cast<double>(table->bytes()) / static_cast<double>(flows),
       "bytes", bytesPerFlowInHashMap(flows), "hash_map_of_server_names"});
}

} // namespace

std::vector<Figure> measureFlows(bool quick) {
  std::vector<Figure> figures;
  size_t flows = quick ? QuickFlowCount : FullFlowCount;
  measureBrokenFlows(flows, figures);
  measureSteadyState(flows, figures);
  measureImbalance(flows, figures);
  measurePlacement(quick ? 0.2 : 1.0, figures);
  measureFlowTable(quick, figures);
  return figures;
}

} // namespace balsamrack

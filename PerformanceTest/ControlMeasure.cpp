#include "PerformanceTest/ControlMeasure.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <string>

#include "Balsamrack/Peers/PeerCodec.h"
#include "UnitTests/Membership/FleetSimulation.h"

namespace balsamrack {

namespace {

constexpr Duration Second{1'000'000};
constexpr size_t DomainCount = 5;
constexpr size_t ServersPerDaemon = 9;
/// Size of the WebSocket header and mask, the TCP and IP headers and the
/// acknowledgement of the peer, as calculated from the formats.
constexpr size_t FrameOverheadBytes = 90;
constexpr Duration SettleTime = 40 * Second;
constexpr Duration SteadyTime = 20 * Second;

/// Collects figures and passes each to a callback.
struct FigureCollector {
  std::function<void(const Figure &)> OnFigure; ///< Called with each figure.
  std::vector<Figure> All;                      ///< All figures so far.
};

std::string vmName(size_t i) { return "vm-" + std::to_string(i); }
std::string domainName(size_t i) {
  return "domain-" + std::to_string(i % DomainCount);
}

/// Returns a fleet of \p count daemons whose ownership has settled.
std::unique_ptr<FleetSimulation> makeFleet(size_t count, double loss) {
  FleetSimulation::Options options;
  options.Loss = loss;
  options.Tick = Duration(100'000);
  auto fleet = std::make_unique<FleetSimulation>(options);
  std::vector<EntryVm> vms;
  for (size_t i = 0; i < count; ++i)
    vms.push_back({VmId(vmName(i)), DomainId(domainName(i)),
                   Address{"10.0.0.1", static_cast<uint16_t>(i + 1)}, false});
  fleet->list(vms);
  for (size_t d = 0; d < DomainCount; ++d) {
    std::vector<std::string> servers;
    for (size_t i = 0; i < count * ServersPerDaemon / DomainCount; ++i)
      servers.push_back("server-" + std::to_string(d) + "-" +
                        std::to_string(i));
    fleet->setServers("domain-" + std::to_string(d), servers);
  }
  for (const EntryVm &vm : vms)
    fleet->start(vm.Id.str(), vm.Domain.str());
  fleet->run(SettleTime);
  return fleet;
}

void enableByteCounting(FleetSimulation &fleet) {
  fleet.setSizeOf([](const PeerMessage &message) {
    return encodePeerMessage(message).size() + FrameOverheadBytes;
  });
}

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double toSeconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

double maxBytesPerSecond(FleetSimulation &fleet, TimePoint start) {
  uint64_t maxBytes = 0;
  for (const auto &node : fleet.nodes())
    for (const auto &[second, bytes] : node->BytesOfSecond)
      if (second >= start.time_since_epoch().count() / 1'000'000)
        maxBytes = std::max(maxBytes, bytes);
  return static_cast<double>(maxBytes);
}

struct LinearFit {
  double Intercept = 0;      ///< Value for zero daemons.
  double SlopePerDaemon = 0; ///< Increase per daemon.
  double Residual = 0;       ///< Root mean square distance from the line.
};

LinearFit fitLine(const std::vector<std::pair<double, double>> &points) {
  double n = static_cast<double>(points.size()), sx = 0, sy = 0, sxx = 0,
         sxy = 0;
  for (const auto &[x, y] : points) {
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
  }
  LinearFit line;
  line.SlopePerDaemon = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  line.Intercept = (sy - line.SlopePerDaemon * sx) / n;
  for (const auto &[x, y] : points)
    line.Residual +=
        std::pow(y - line.Intercept - line.SlopePerDaemon * x, 2) / n;
  line.Residual = std::sqrt(line.Residual);
  return line;
}

void addFigure(FigureCollector &figures, const std::string &name, double value,
               const std::string &unit) {
  figures.All.push_back({name, value, unit, 0, "none"});
  figures.OnFigure(figures.All.back());
}

void addLinearFit(FigureCollector &figures, const std::string &name,
                  const std::vector<std::pair<double, double>> &points,
                  const std::string &unit) {
  LinearFit line = fitLine(points);
  addFigure(figures, name + "_slope_per_daemon", line.SlopePerDaemon, unit);
  addFigure(figures, name + "_at_zero", line.Intercept, unit);
  addFigure(figures, name + "_residual", line.Residual, unit);
}

/// Measures the time until a ticket that one daemon reads is in force at all
/// running daemons.
void measureTicketPropagation(FleetSimulation &fleet, const std::string &name,
                              double pausedFraction, FigureCollector &figures) {
  auto &nodes = fleet.nodes();
  size_t pausedCount =
      static_cast<size_t>(pausedFraction * static_cast<double>(nodes.size()));
  for (size_t i = 1; i <= pausedCount; ++i)
    fleet.pause(i * (nodes.size() / (pausedCount + 1)));
  ObjectState object{{ObjectKind::Domain, "domain-0"},
                     {1},
                     FailureDomain{DomainId("domain-0"), RegionId("r"), true}};
  TimePoint start = fleet.now();
  fleet.merge(0, {object});
  std::vector<double> times(nodes.size(), -1);
  fleet.runUntil(
      [&] {
        bool all = true;
        for (size_t i = 0; i < nodes.size(); ++i) {
          if (times[i] < 0 && nodes[i]->Store->isInForce({1}))
            times[i] = toSeconds(fleet.now() - start);
          all = all && (times[i] >= 0 || nodes[i]->Paused);
        }
        return all;
      },
      60 * Second);
  std::vector<double> sortedTimes;
  for (size_t i = 0; i < nodes.size(); ++i)
    if (!nodes[i]->Paused)
      sortedTimes.push_back(times[i] < 0 ? 60 : times[i]);
  std::sort(sortedTimes.begin(), sortedTimes.end());
  addFigure(figures, name + "_median", sortedTimes[sortedTimes.size() / 2],
            "s");
  addFigure(figures, name + "_p99", sortedTimes[sortedTimes.size() * 99 / 100],
            "s");
  addFigure(figures, name + "_max", sortedTimes.back(), "s");
  for (size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i]->Paused)
      fleet.resume(i);
}

size_t countOwnedServers(FleetSimulation &fleet, const std::string &domain) {
  size_t owned = 0;
  for (const auto &node : fleet.nodes())
    if (node->Running && node->Vm.Domain.str() == domain)
      owned += node->Tracker->owned().size();
  return owned;
}

/// Kills \p count daemons of one domain at once.
void measureDaemonDeaths(size_t size, size_t count, FigureCollector &figures) {
  auto fleet = makeFleet(size, 0);
  enableByteCounting(*fleet);
  TimePoint start = fleet->now();
  size_t ownedBefore = countOwnedServers(*fleet, "domain-0");
  for (size_t i = 0; i < count; ++i)
    fleet->kill(i * DomainCount);
  std::string name = "deaths_" + std::to_string(count);
  TimePoint deadline = start + 60 * Second;
  // Checking ownership is expensive, so it is done once per virtual second.
  while (fleet->now() < deadline && count * DomainCount < size &&
         countOwnedServers(*fleet, "domain-0") < ownedBefore)
    fleet->run(Second);
  double settled = toSeconds(fleet->now() - start);
  fleet->run(20 * Second);
  addFigure(figures, name + "_worst_second", maxBytesPerSecond(*fleet, start),
            "B");
  if (count * DomainCount < size)
    addFigure(figures, name + "_owners_settled_after", settled, "s");
}

void measureRegionPartition(size_t size, FigureCollector &figures) {
  auto fleet = makeFleet(size, 0);
  enableByteCounting(*fleet);
  auto inRegion = [](const EntryVm &vm) {
    return vm.Domain.str() == "domain-0" || vm.Domain.str() == "domain-1";
  };
  TimePoint start = fleet->now();
  fleet->setCut([&](const EntryVm &a, const EntryVm &b) {
    return inRegion(a) != inRegion(b);
  });
  fleet->run(60 * Second);
  addFigure(figures, "region_cut_worst_second",
            maxBytesPerSecond(*fleet, start), "B");
  TimePoint healed = fleet->now();
  fleet->setCut({});
  auto allMembersLive = [&] {
    for (const auto &node : fleet->nodes())
      for (const auto &[id, member] : node->Members->members())
        if (!member.live())
          return false;
    return true;
  };
  while (!allMembersLive() && fleet->now() - healed < 120 * Second)
    fleet->run(Second);
  addFigure(figures, "region_heal_seconds", toSeconds(fleet->now() - healed),
            "s");
  addFigure(figures, "region_heal_worst_second",
            maxBytesPerSecond(*fleet, healed), "B");
}

} // namespace

std::vector<Figure>
measureControlPlane(size_t maxDaemons,
                    const std::function<void(const Figure &)> &onFigure) {
  FigureCollector figures{onFigure, {}};
  std::vector<std::pair<double, double>> bytes, cpu, memory;
  for (size_t size :
       {size_t(9), size_t(60), size_t(150), size_t(300), maxDaemons}) {
    if (size > maxDaemons)
      continue;
    double heap = heapBytes();
    auto fleet = makeFleet(size, 0);
    double count = static_cast<double>(size);
    double bytesPerDaemon = (heapBytes() - heap) / count;
    double cpuBefore = cpuSeconds();
    fleet->run(SteadyTime);
    double cpuMicros =
        (cpuSeconds() - cpuBefore) * 1e6 / toSeconds(SteadyTime) / count;
    enableByteCounting(*fleet);
    uint64_t before = 0, after = 0;
    for (const auto &node : fleet->nodes())
      before += node->SentBytes;
    fleet->run(SteadyTime);
    for (const auto &node : fleet->nodes())
      after += node->SentBytes;
    double rate =
        static_cast<double>(after - before) / toSeconds(SteadyTime) / count;
    std::string suffix = "_at_" + std::to_string(size);
    addFigure(figures, "control_bytes_per_second" + suffix, rate, "B/s");
    addFigure(figures, "control_cpu" + suffix, cpuMicros, "us/s");
    addFigure(figures, "control_memory" + suffix, bytesPerDaemon, "B");
    bytes.emplace_back(count, rate);
    cpu.emplace_back(count, cpuMicros);
    memory.emplace_back(count, bytesPerDaemon);
    fleet.reset();
    if (size == 9 || size == 60 || size == maxDaemons) {
      auto lossy = makeFleet(size, 0.02);
      measureTicketPropagation(*lossy, "ticket_in_force" + suffix, 0.05,
                               figures);
    }
  }
  addLinearFit(figures, "control_bytes_per_second", bytes, "B/s");
  addLinearFit(figures, "control_cpu", cpu, "us/s");
  addLinearFit(figures, "control_memory", memory, "B");
  measureDaemonDeaths(maxDaemons, maxDaemons / 20, figures);
  measureDaemonDeaths(maxDaemons, maxDaemons / DomainCount, figures);
  measureRegionPartition(maxDaemons, figures);
  return figures.All;
}

} // namespace balsamrack

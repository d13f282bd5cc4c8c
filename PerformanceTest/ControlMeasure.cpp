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
constexpr size_t Domains = 5;
constexpr size_t ServersPerDaemon = 9;
/// WebSocket header and mask, TCP and IP headers, and the acknowledgement that
/// the other side sends: reckoned, not measured.
constexpr size_t FrameBytes = 90;
constexpr Duration Settle = 40 * Second;
constexpr Duration Calm = 20 * Second;

/// What was measured so far, and whom to tell.
struct Figures {
  std::function<void(const Figure &)> OnFigure; ///< Called with each.
  std::vector<Figure> All;                      ///< All so far.
};

std::string vmName(size_t i) { return "vm-" + std::to_string(i); }
std::string domainName(size_t i) {
  return "domain-" + std::to_string(i % Domains);
}

/// A settled fleet of \p count daemons.
std::unique_ptr<FleetSimulation> makeFleet(size_t count, double loss) {
  FleetSimulation::Options how;
  how.Loss = loss;
  how.Tick = Duration(100'000);
  auto fleet = std::make_unique<FleetSimulation>(how);
  std::vector<EntryVm> vms;
  for (size_t i = 0; i < count; ++i)
    vms.push_back({VmId(vmName(i)), DomainId(domainName(i)),
                   Address{"10.0.0.1", static_cast<uint16_t>(i + 1)}, false});
  fleet->list(vms);
  for (size_t d = 0; d < Domains; ++d) {
    std::vector<std::string> servers;
    for (size_t i = 0; i < count * ServersPerDaemon / Domains; ++i)
      servers.push_back("server-" + std::to_string(d) + "-" +
                        std::to_string(i));
    fleet->setServers("domain-" + std::to_string(d), servers);
  }
  for (const EntryVm &vm : vms)
    fleet->start(vm.Id.str(), vm.Domain.str());
  fleet->run(Settle);
  return fleet;
}

void countBytes(FleetSimulation &fleet) {
  fleet.setSizeOf([](const PeerMessage &message) {
    return encodePeerMessage(message).size() + FrameBytes;
  });
}

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

double worstSecond(FleetSimulation &fleet, TimePoint from) {
  uint64_t worst = 0;
  for (const auto &node : fleet.nodes())
    for (const auto &[second, bytes] : node->BytesOfSecond)
      if (second >= from.time_since_epoch().count() / 1'000'000)
        worst = std::max(worst, bytes);
  return static_cast<double>(worst);
}

struct Slope {
  double At0 = 0;      ///< Value at size zero.
  double PerOne = 0;   ///< Growth for each daemon.
  double Residual = 0; ///< Root of the mean squared distance from the line.
};

Slope fit(const std::vector<std::pair<double, double>> &points) {
  double n = static_cast<double>(points.size()), sx = 0, sy = 0, sxx = 0,
         sxy = 0;
  for (const auto &[x, y] : points) {
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
  }
  Slope line;
  line.PerOne = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  line.At0 = (sy - line.PerOne * sx) / n;
  for (const auto &[x, y] : points)
    line.Residual += std::pow(y - line.At0 - line.PerOne * x, 2) / n;
  line.Residual = std::sqrt(line.Residual);
  return line;
}

void add(Figures &figures, const std::string &name, double value,
         const std::string &unit) {
  figures.All.push_back({name, value, unit, 0, "none"});
  figures.OnFigure(figures.All.back());
}

void addSlope(Figures &figures, const std::string &name,
              const std::vector<std::pair<double, double>> &points,
              const std::string &unit) {
  Slope line = fit(points);
  add(figures, name + "_slope_per_daemon", line.PerOne, unit);
  add(figures, name + "_at_zero", line.At0, unit);
  add(figures, name + "_residual", line.Residual, unit);
}

/// Time until a ticket, read by one daemon, is in force at all that run.
void measureTicket(FleetSimulation &fleet, const std::string &name,
                   double paused, Figures &figures) {
  auto &nodes = fleet.nodes();
  size_t asleep =
      static_cast<size_t>(paused * static_cast<double>(nodes.size()));
  for (size_t i = 1; i <= asleep; ++i)
    fleet.pause(i * (nodes.size() / (asleep + 1)));
  ObjectState object{{ObjectKind::Domain, "domain-0"},
                     {1},
                     FailureDomain{DomainId("domain-0"), RegionId("r"), true}};
  TimePoint from = fleet.now();
  fleet.merge(0, {object});
  std::vector<double> times(nodes.size(), -1);
  fleet.runUntil(
      [&] {
        bool all = true;
        for (size_t i = 0; i < nodes.size(); ++i) {
          if (times[i] < 0 && nodes[i]->Store->isInForce({1}))
            times[i] = seconds(fleet.now() - from);
          all = all && (times[i] >= 0 || nodes[i]->Paused);
        }
        return all;
      },
      60 * Second);
  std::vector<double> reached;
  for (size_t i = 0; i < nodes.size(); ++i)
    if (!nodes[i]->Paused)
      reached.push_back(times[i] < 0 ? 60 : times[i]);
  std::sort(reached.begin(), reached.end());
  add(figures, name + "_median", reached[reached.size() / 2], "s");
  add(figures, name + "_p99", reached[reached.size() * 99 / 100], "s");
  add(figures, name + "_max", reached.back(), "s");
  for (size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i]->Paused)
      fleet.resume(i);
}

size_t ownedCount(FleetSimulation &fleet, const std::string &domain) {
  size_t owned = 0;
  for (const auto &node : fleet.nodes())
    if (node->Running && node->Vm.Domain.str() == domain)
      owned += node->Tracker->owned().size();
  return owned;
}

/// Kills \p count daemons of one domain at once.
void measureDeaths(size_t size, size_t count, Figures &figures) {
  auto fleet = makeFleet(size, 0);
  countBytes(*fleet);
  TimePoint from = fleet->now();
  size_t all = ownedCount(*fleet, "domain-0");
  for (size_t i = 0; i < count; ++i)
    fleet->kill(i * Domains);
  std::string name = "deaths_" + std::to_string(count);
  TimePoint until = from + 60 * Second;
  // Ownership is looked at once a virtual second only, since it is costly.
  while (fleet->now() < until && count * Domains < size &&
         ownedCount(*fleet, "domain-0") < all)
    fleet->run(Second);
  double settled = seconds(fleet->now() - from);
  fleet->run(20 * Second);
  add(figures, name + "_worst_second", worstSecond(*fleet, from), "B");
  if (count * Domains < size)
    add(figures, name + "_owners_settled_after", settled, "s");
}

void measureRegionCut(size_t size, Figures &figures) {
  auto fleet = makeFleet(size, 0);
  countBytes(*fleet);
  auto region = [](const EntryVm &vm) {
    return vm.Domain.str() == "domain-0" || vm.Domain.str() == "domain-1";
  };
  TimePoint from = fleet->now();
  fleet->setCut([&](const EntryVm &a, const EntryVm &b) {
    return region(a) != region(b);
  });
  fleet->run(60 * Second);
  add(figures, "region_cut_worst_second", worstSecond(*fleet, from), "B");
  TimePoint healed = fleet->now();
  fleet->setCut({});
  auto whole = [&] {
    for (const auto &node : fleet->nodes())
      for (const auto &[id, member] : node->Members->members())
        if (!member.live())
          return false;
    return true;
  };
  while (!whole() && fleet->now() - healed < 120 * Second)
    fleet->run(Second);
  add(figures, "region_heal_seconds", seconds(fleet->now() - healed), "s");
  add(figures, "region_heal_worst_second", worstSecond(*fleet, healed), "B");
}

} // namespace

std::vector<Figure>
measureControl(size_t largest,
               const std::function<void(const Figure &)> &onFigure) {
  Figures figures{onFigure, {}};
  std::vector<std::pair<double, double>> bytes, cpu, memory;
  for (size_t size :
       {size_t(9), size_t(60), size_t(150), size_t(300), largest}) {
    if (size > largest)
      continue;
    double heap = heapBytes();
    auto fleet = makeFleet(size, 0);
    double count = static_cast<double>(size);
    double each = (heapBytes() - heap) / count;
    double started = cpuSeconds();
    fleet->run(Calm);
    double micros = (cpuSeconds() - started) * 1e6 / seconds(Calm) / count;
    countBytes(*fleet);
    uint64_t before = 0, after = 0;
    for (const auto &node : fleet->nodes())
      before += node->SentBytes;
    fleet->run(Calm);
    for (const auto &node : fleet->nodes())
      after += node->SentBytes;
    double rate = static_cast<double>(after - before) / seconds(Calm) / count;
    std::string at = "_at_" + std::to_string(size);
    add(figures, "control_bytes_per_second" + at, rate, "B/s");
    add(figures, "control_cpu" + at, micros, "us/s");
    add(figures, "control_memory" + at, each, "B");
    bytes.emplace_back(count, rate);
    cpu.emplace_back(count, micros);
    memory.emplace_back(count, each);
    fleet.reset();
    if (size == 9 || size == 60 || size == largest) {
      auto lossy = makeFleet(size, 0.02);
      measureTicket(*lossy, "ticket_in_force" + at, 0.05, figures);
    }
  }
  addSlope(figures, "control_bytes_per_second", bytes, "B/s");
  addSlope(figures, "control_cpu", cpu, "us/s");
  addSlope(figures, "control_memory", memory, "B");
  measureDeaths(largest, largest / 20, figures);
  measureDeaths(largest, largest / Domains, figures);
  measureRegionCut(largest, figures);
  return figures.All;
}

} // namespace balsamrack

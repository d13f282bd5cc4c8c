#include "PerformanceTest/PathMeasure.h"

#include <chrono>
#include <iostream>
#include <thread>

#include "FailureTests/Fleet.h"

namespace balsamrack {

namespace {

using std::chrono::steady_clock;

/// Time for the ramps of the servers to reach all slots. A step takes 5 s
/// until warm answer times are known.
constexpr std::chrono::seconds WarmUpTime{8};
constexpr uint32_t WorkMs = 1;

/// Throughput and latency over a period of time.
struct LoadSample {
  double AnsweredPerSecond = 0;
  double MedianMs = 0;
};

LoadSample measureLoad(standins::LoadGenerator &load,
                       std::chrono::seconds duration) {
  const standins::LoadReport before = load.report();
  const auto start = steady_clock::now();
  std::this_thread::sleep_for(duration);
  standins::LoadReport after = load.report();
  const std::chrono::duration<double> took = steady_clock::now() - start;
  after.AnswerMillis.erase(
      after.AnswerMillis.begin(),
      after.AnswerMillis.begin() +
          static_cast<int64_t>(before.AnswerMillis.size()));
  return {static_cast<double>(after.Answered - before.Answered) / took.count(),
          static_cast<double>(after.quantile(0.5))};
}

standins::CallSettings withoutThinkTime(standins::CallSettings calls) {
  calls.MaxThinkTime = Duration(0);
  calls.LongRunPercent = 0;
  return calls;
}

} // namespace

std::vector<Figure> measurePath(bool quick) {
  const std::chrono::seconds duration(quick ? 4 : 15);
  FleetPlan plan = makeSmallPlan();
  for (ServerPlan &it : plan.Servers)
    it.WorkMs = WorkMs;
  auto fleet = Fleet::start(plan);
  if (!fleet.ok()) {
    std::cerr << "measure: cannot start the fleet: " << fleet.status().message()
              << "\n";
    return {};
  }

  // Through the fabric and the daemons.
  LoadSample system;
  {
    standins::LoadGenerator load(
        withoutThinkTime((*fleet)->makeCallSettings()));
    std::this_thread::sleep_for(WarmUpTime);
    system = measureLoad(load, duration);
  }

  // The same callers directly to the same stand-ins, each flow to one of them.
  standins::CallSettings directCalls =
      withoutThinkTime((*fleet)->makeCallSettings());
  directCalls.Targets.clear();
  for (const ServerPlan &it : plan.Servers)
    directCalls.Targets.push_back({it.Service, (*fleet)->serverAddress(it.Id)});
  LoadSample direct;
  {
    standins::LoadGenerator load(directCalls);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    direct = measureLoad(load, duration);
  }
  return {{"path_requests_per_second", system.AnsweredPerSecond, "1/s",
           direct.AnsweredPerSecond, "straight_to_server"},
          {"path_answer_time_p50", system.MedianMs, "ms", direct.MedianMs,
           "straight_to_server"}};
}

} // namespace balsamrack

#include "PerformanceTest/PathMeasure.h"

#include <chrono>
#include <iostream>
#include <thread>

#include "FailureTests/Fleet.h"

namespace balsamrack {

namespace {

using std::chrono::steady_clock;

/// Until the servers' ramps have reached all slots: blind steps take 5 s.
constexpr std::chrono::seconds WarmUp{8};
constexpr uint32_t WorkMs = 1;

/// What callers got in a stretch of time.
struct Stretch {
  double AnsweredPerSecond = 0;
  double MedianMs = 0;
};

Stretch measureLoad(standins::LoadGenerator &load, std::chrono::seconds span) {
  const standins::LoadReport before = load.report();
  const auto from = steady_clock::now();
  std::this_thread::sleep_for(span);
  standins::LoadReport after = load.report();
  const std::chrono::duration<double> took = steady_clock::now() - from;
  after.AnswerMillis.erase(
      after.AnswerMillis.begin(),
      after.AnswerMillis.begin() +
          static_cast<int64_t>(before.AnswerMillis.size()));
  return {static_cast<double>(after.Answered - before.Answered) / took.count(),
          static_cast<double>(after.quantile(0.5))};
}

standins::CallSettings busyCallers(standins::CallSettings calls) {
  calls.MaxThinkTime = Duration(0);
  calls.LongRunPercent = 0;
  return calls;
}

} // namespace

std::vector<Figure> measurePath(bool quick) {
  const std::chrono::seconds span(quick ? 4 : 15);
  FleetPlan plan = smallPlan();
  for (ServerPlan &it : plan.Servers)
    it.WorkMs = WorkMs;
  auto fleet = Fleet::start(plan);
  if (!fleet.ok()) {
    std::cerr << "measure: the fleet does not start: "
              << fleet.status().message() << "\n";
    return {};
  }

  // Through the system.
  Stretch system;
  {
    standins::LoadGenerator load(busyCallers((*fleet)->calls()));
    std::this_thread::sleep_for(WarmUp);
    system = measureLoad(load, span);
  }

  // The same callers straight at the same stand-ins, each flow at one of them.
  standins::CallSettings straight = busyCallers((*fleet)->calls());
  straight.Targets.clear();
  for (const ServerPlan &it : plan.Servers)
    straight.Targets.push_back({it.Service, (*fleet)->serverAt(it.Id)});
  Stretch direct;
  {
    standins::LoadGenerator load(straight);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    direct = measureLoad(load, span);
  }
  return {{"path_requests_per_second", system.AnsweredPerSecond, "1/s",
           direct.AnsweredPerSecond, "straight_to_server"},
          {"path_answer_time_p50", system.MedianMs, "ms", direct.MedianMs,
           "straight_to_server"}};
}

} // namespace balsamrack

#include "PerformanceTest/DecisionsMeasure.h"

#include "PerformanceTest/LoadScenarios.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr const char *FifoBaseline = "fifo_unbounded";
constexpr const char *NoRampBaseline = "no_ramp";
constexpr double LoadFactors[] = {0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 4.0, 10.0};

void measureSaturation(bool quick, std::vector<Figure> &out) {
  for (double factor : {2.0, 10.0})
    out.push_back({absl::StrCat("goodput_at_", factor, "x"),
                   measureGoodput(defaultLimits(), factor, quick), "share",
                   measureGoodput(fifoUnbounded(), factor, quick),
                   FifoBaseline});
}

void measureFairness(bool quick, std::vector<Figure> &out) {
  out.push_back({"p99_short_behind_long",
                 measureP99ShortBehindLong(defaultLimits(), quick), "ms",
                 measureP99ShortBehindLong(withoutLongWorkGuard(), quick),
                 "no_long_work_guard"});
  out.push_back({"fairness_hot_caller",
                 measureFairnessWithHotCaller(defaultLimits(), quick), "jain",
                 measureFairnessWithHotCaller(withoutFairness(), quick),
                 "fifo_bounded"});
  out.push_back({"others_answered_in_burst",
                 answeredFractionDuringBurst(defaultLimits()), "share",
                 answeredFractionDuringBurst(fifoUnbounded()), FifoBaseline});
  out.push_back({"soon_beside_slow_server",
                 promptFractionWithSlowServer(defaultLimits()), "share",
                 promptFractionWithSlowServer(withoutEjection()),
                 "no_ejection"});
}

void measureColdServer(bool quick, std::vector<Figure> &out) {
  ColdServerFigures ours = runColdServerScenario(defaultLimits(), quick);
  ColdServerFigures noRamp = runColdServerScenario(withoutRamp(), quick);
  out.push_back({"cold_server_peak_in_progress", ours.PeakInProgress,
                 "requests", noRamp.PeakInProgress, NoRampBaseline});
  out.push_back({"cold_server_fell_over", ours.OverloadCrashes, "times",
                 noRamp.OverloadCrashes, NoRampBaseline});
  out.push_back({"cold_server_answered", ours.AnsweredFraction, "share",
                 noRamp.AnsweredFraction, NoRampBaseline});
}

void measureDomainOutage(bool quick, std::vector<Figure> &out) {
  DomainFigures ours = runDomainOutageScenario(defaultLimits(), quick);
  DomainFigures drained = runDomainOutageScenario(withoutDomainOut(), quick);
  DomainFigures noRamp = runDomainOutageScenario(withoutRamp(), quick);
  out.push_back({"domain_out_last_packet_seconds", ours.LastPacketSeconds, "s",
                 drained.LastPacketSeconds, "drain_only"});
  out.push_back({"domain_return_p99", ours.ReturnP99Ms, "ms",
                 noRamp.ReturnP99Ms, NoRampBaseline});
  out.push_back({"domain_return_fell_over", ours.OverloadCrashes, "times",
                 noRamp.OverloadCrashes, NoRampBaseline});
}

} // namespace

std::vector<Figure> measureDecisions(bool quick) {
  std::vector<Figure> out;
  measureSaturation(quick, out);
  measureFairness(quick, out);
  measureColdServer(quick, out);
  measureDomainOutage(quick, out);
  return out;
}

std::vector<Figure> goodputCurve(bool quick) {
  std::vector<Figure> out;
  for (double factor : LoadFactors)
    out.push_back({absl::StrCat(factor),
                   measureGoodput(defaultLimits(), factor, quick), "share",
                   measureGoodput(fifoUnbounded(), factor, quick),
                   FifoBaseline});
  return out;
}

} // namespace balsamrack

#include "Balsamrack/Daemon/ProgressMonitor.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

/// Checks of a loop at one interval.
struct CheckSeries {
  const char *Name;
  Duration Interval;
  int Checks;
  bool Iterates; ///< The loop iterates between the checks.
  bool IsStalled;
};

class EachCheckSeries : public testing::TestWithParam<CheckSeries> {};

TEST_P(EachCheckSeries, FindsAStalledLoopOnly) {
  ProgressMonitor monitor;
  TimePoint now{Duration(10'000'000)};
  monitor.recordProgress();
  bool isStalled = monitor.checkStalled(now);
  for (int i = 0; i < GetParam().Checks; ++i) {
    now += GetParam().Interval;
    if (GetParam().Iterates)
      monitor.recordProgress();
    isStalled = monitor.checkStalled(now);
  }
  EXPECT_EQ(isStalled, GetParam().IsStalled);
  monitor.recordProgress();
  EXPECT_FALSE(monitor.checkStalled(now)) << "it iterates again";
}

INSTANTIATE_TEST_SUITE_P(
    Series, EachCheckSeries,
    testing::Values(
        CheckSeries{"Running", Duration(500'000), 20, true, false},
        CheckSeries{"Stalled", Duration(500'000), 4, false, true},
        CheckSeries{"NotYetStalled", Duration(500'000), 3, false, false},
        // The process was suspended; its loop has not run again yet.
        CheckSeries{"Suspended", Duration(60'000'000), 1, false, false},
        CheckSeries{"ManyChecksAtOnce", Duration(1'000), 100, false, false}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

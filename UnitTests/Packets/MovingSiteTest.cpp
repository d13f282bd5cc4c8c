#include "UnitTests/Packets/MovingSite.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace balsamrack {
namespace {

struct SiteCase {
  const char *Name;
  MovingSiteSettings Settings;
};

MovingSiteSettings settings(double freezes, double restarts, double loss,
                            double slow, double dark, bool reusesPorts = false,
                            bool hasTimeStamps = false) {
  MovingSiteSettings s;
  s.FreezeChance = freezes;
  s.RestartChance = restarts;
  s.Loss = loss;
  s.SlowServerShare = slow;
  s.DarkServerShare = dark;
  s.ReusePorts = reusesPorts;
  s.HasTimeStamps = hasTimeStamps;
  return s;
}

class EachMovingSite : public testing::TestWithParam<SiteCase> {};

// Guards against open flows that are sent to another server, or reset, while
// the fabric moves handshakes and flows between daemons all the time.
TEST_P(EachMovingSite, BreaksNoOpenFlow) {
  const char *most = std::getenv("BALSAMRACK_TEST_SEEDS");
  size_t answered = 0;
  size_t unanswered = 0;
  size_t misforwarded = 0;
  size_t resets = 0;
  const char *only = std::getenv("BALSAMRACK_TEST_SEED");
  const uint64_t from = only ? std::stoull(only) : 1;
  const uint64_t seeds = only ? from : most ? std::stoull(most) : 20;
  for (uint64_t seed = from; seed <= seeds; ++seed) {
    MovingSiteSettings drawn = GetParam().Settings;
    drawn.Seed = seed;
    if (const char *caller = std::getenv("BALSAMRACK_TEST_TRACE"))
      drawn.TracedCaller = std::stoull(caller);
    MovingSiteResult result = MovingSite(drawn).play();
    EXPECT_EQ(result.Misforwarded, 0U) << "seed " << seed;
    EXPECT_EQ(result.ResetByDaemon, 0U) << "seed " << seed;
    for (const std::string &it : result.Faults)
      ADD_FAILURE() << "seed " << seed << ", " << it;
    answered += result.Answered;
    unanswered += result.Unanswered;
    misforwarded += result.Misforwarded;
    resets += result.ResetByDaemon;
  }
  std::printf("%s: answered %zu, unanswered on open flows %zu, misforwarded "
              "%zu, reset %zu\n",
              GetParam().Name, answered, unanswered, misforwarded, resets);
}

INSTANTIATE_TEST_SUITE_P(
    Troubles, EachMovingSite,
    testing::Values(SiteCase{"MovesOnly", settings(0, 0, 0, 0, 0)},
                    SiteCase{"Restarts", settings(0, 0.5, 0, 0, 0)},
                    SiteCase{"Freezes", settings(0.5, 0, 0, 0, 0)},
                    SiteCase{"FreezesWithTimeStamps",
                             settings(0.5, 0, 0, 0, 0, false, true)},
                    SiteCase{"SlowServers", settings(0, 0, 0, 0.4, 0)},
                    SiteCase{"DarkServers", settings(0, 0, 0, 0, 0.4)},
                    SiteCase{"LossyLinks", settings(0, 0, 0.1, 0, 0)},
                    SiteCase{"ReusedPorts", settings(0.2, 0, 0.02, 0, 0, true)},
                    SiteCase{"All", settings(0.3, 0.1, 0.03, 0, 0.2, true)},
                    SiteCase{"AllWithSlowServers",
                             settings(0.3, 0.1, 0.03, 0.2, 0.2, true)}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

/// Callers' openings find out that no server that takes new flows answers.
void makeServersUnreachable(PacketRouterHarness &bench,
                            const std::vector<uint64_t> &reachable = {}) {
  for (uint16_t port = 1; port <= 40; ++port) {
    bench.sendOpening(port);
    bench.advance(Millisecond * 60);
    bench.finishAttempts([&](ServerIndex it) {
      return std::count(reachable.begin(), reachable.end(), bench.tagAt(it)) >
             0;
    });
  }
}

// Guards against a daemon that restarts in a failure domain that is cut off and
// takes itself for ready.
TEST(ReachTest, AStarterHasReachedNothing) {
  PacketRouterHarness bench;
  EXPECT_TRUE(bench.Router.hasProvenReachability());
  bench.publishDefaults();
  EXPECT_FALSE(bench.Router.hasProvenReachability());
  EXPECT_LE(bench.Router.nextWakeup(), bench.Now);
  bench.finishAttempts([](ServerIndex) { return false; });
  EXPECT_FALSE(bench.Router.hasProvenReachability());
  EXPECT_GT(bench.Router.nextWakeup(), bench.Now);
  bench.advance(ReachMonitor::ProbePeriod);
  bench.finishAttempts([](ServerIndex) { return true; });
  EXPECT_TRUE(bench.Router.hasProvenReachability());
  EXPECT_TRUE(bench.Router.dueAttempts(bench.Now).empty());
}

// Guards against a new entry in what is published that makes a daemon ready
// which can reach no server.
TEST(ReachTest, ANewEntryProvesNothing) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.finishAttempts([](ServerIndex) { return true; });
  ASSERT_TRUE(bench.Router.hasProvenReachability());
  makeServersUnreachable(bench);
  ASSERT_FALSE(bench.Router.hasProvenReachability());
  bench.publishServers({{"b9", "bern-b"}});
  bench.advance(Millisecond * 100);
  EXPECT_FALSE(bench.Router.hasProvenReachability());
  bench.advance(ReachMonitor::ProbePeriod);
  bench.finishAttempts([](ServerIndex) { return true; });
  EXPECT_TRUE(bench.Router.hasProvenReachability());
}

// Guards against servers that take no new flows and are all that a cut off
// failure domain can reach.
TEST(ReachTest, AServerOfADomainThatIsOutProvesNothing) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.finishAttempts([](ServerIndex) { return true; });
  bench.takeDomainOut("bern-a");
  makeServersUnreachable(bench, {1, 2});
  EXPECT_FALSE(bench.Router.hasProvenReachability());
}

// A flow that opens is a proof as good as a connection.
TEST(ReachTest, AnOpenedFlowIsAProof) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1);
  bench.sendOnFlow(1, bench.lastToken());
  EXPECT_TRUE(bench.Router.hasProvenReachability());
}

// Guards against callers whose tries are all refused before the fabric sends
// them to failure domains that can serve them.
TEST(ReachTest, FirstCopiesAreLeftToOthersWhileTheFabricTurnsAway) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.finishAttempts([](ServerIndex) { return true; });
  bench.takeDomainOut("bern-a");
  while (bench.Router.hasProvenReachability()) {
    static uint16_t port = 100;
    bench.sendOpening(++port);
    bench.advance(Millisecond * 60);
    bench.finishAttempts([](ServerIndex) { return false; });
  }
  bench.Out.Resets.clear();
  bench.sendOpening(1);
  EXPECT_TRUE(bench.Out.Resets.empty());
  bench.advance(PacketRouterHarness::settings().FabricFailoverTime);
  bench.sendOpening(2);
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
}

// Guards against callers that wait for nothing where no daemon can serve them:
// the domain's own servers, which no cut hides, are dead.
TEST(ReachTest, ADomainWhoseOwnServersAreDeadRefusesAtOnce) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.finishAttempts([](ServerIndex) { return true; });
  makeServersUnreachable(bench);
  ASSERT_FALSE(bench.Router.hasProvenReachability());
  bench.Out.Resets.clear();
  bench.sendOpening(99);
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
}

} // namespace
} // namespace balsamrack

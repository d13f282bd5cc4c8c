#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

/// Sends openings and fails probes until all servers except those with the tags
/// \p reachable are known to be unreachable.
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

// A daemon that restarts in a partitioned failure domain must not appear ready.
TEST(ReachTest, AStartedDaemonHasReachedNothing) {
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

// A newly published server must not make a daemon ready that can reach no
// server.
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

// Servers that accept no new flows must not count as reachable: they may be the
// only ones that a partitioned failure domain can reach.
TEST(ReachTest, AServerOfADomainOutOfServiceProvesNothing) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.finishAttempts([](ServerIndex) { return true; });
  bench.takeDomainOut("bern-a");
  makeServersUnreachable(bench, {1, 2});
  EXPECT_FALSE(bench.Router.hasProvenReachability());
}

// An opened flow proves reachability just like a successful probe.
TEST(ReachTest, AnOpenedFlowIsAProof) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1);
  bench.sendOnFlow(1, bench.lastToken());
  EXPECT_TRUE(bench.Router.hasProvenReachability());
}

// While the fabric switches to failure domains that can serve the callers,
// first copies must be dropped instead of refused, or all tries of a caller may
// be refused before the switch.
TEST(ReachTest, FirstCopiesAreDroppedWhileTheFabricSwitches) {
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

// When the servers of the daemon's own failure domain are dead, no daemon can
// serve the callers, so they must be refused at once.
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

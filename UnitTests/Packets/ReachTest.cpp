#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketBench.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

/// Callers' openings find out that no server that takes new flows answers.
void loseAll(PacketBench &bench, const std::vector<uint64_t> &reachable = {}) {
  for (uint16_t port = 1; port <= 40; ++port) {
    bench.opens(port);
    bench.pass(Millisecond * 60);
    bench.attempt([&](ServerIndex it) {
      return std::count(reachable.begin(), reachable.end(), bench.tagAt(it)) >
             0;
    });
  }
}

// Guards against a daemon that restarts in a failure domain that is cut off and
// takes itself for ready.
TEST(ReachTest, AStarterHasReachedNothing) {
  PacketBench bench;
  EXPECT_TRUE(bench.Router.provedReach());
  bench.usual();
  EXPECT_FALSE(bench.Router.provedReach());
  EXPECT_LE(bench.Router.nextWakeup(), bench.Now);
  bench.attempt([](ServerIndex) { return false; });
  EXPECT_FALSE(bench.Router.provedReach());
  EXPECT_GT(bench.Router.nextWakeup(), bench.Now);
  bench.pass(ReachMonitor::ProbePeriod);
  bench.attempt([](ServerIndex) { return true; });
  EXPECT_TRUE(bench.Router.provedReach());
  EXPECT_TRUE(bench.Router.dueAttempts(bench.Now).empty());
}

// Guards against a new entry in what is published that makes a daemon ready
// which can reach no server.
TEST(ReachTest, ANewEntryProvesNothing) {
  PacketBench bench;
  bench.usual();
  bench.attempt([](ServerIndex) { return true; });
  ASSERT_TRUE(bench.Router.provedReach());
  loseAll(bench);
  ASSERT_FALSE(bench.Router.provedReach());
  bench.servers({{"b9", "bern-b"}});
  bench.pass(Millisecond * 100);
  EXPECT_FALSE(bench.Router.provedReach());
  bench.pass(ReachMonitor::ProbePeriod);
  bench.attempt([](ServerIndex) { return true; });
  EXPECT_TRUE(bench.Router.provedReach());
}

// Guards against servers that take no new flows and are all that a cut off
// failure domain can reach.
TEST(ReachTest, AServerOfADomainThatIsOutProvesNothing) {
  PacketBench bench;
  bench.usual();
  bench.attempt([](ServerIndex) { return true; });
  bench.domainOut("bern-a");
  loseAll(bench, {1, 2});
  EXPECT_FALSE(bench.Router.provedReach());
}

// A flow that opens is a proof as good as a connection.
TEST(ReachTest, AnOpenedFlowIsAProof) {
  PacketBench bench;
  bench.usual();
  bench.opens(1);
  bench.speaks(1, bench.lastToken());
  EXPECT_TRUE(bench.Router.provedReach());
}

// Guards against callers whose tries are all refused before the fabric sends
// them to failure domains that can serve them.
TEST(ReachTest, FirstCopiesAreLeftToOthersWhileTheFabricTurnsAway) {
  PacketBench bench;
  bench.usual();
  bench.attempt([](ServerIndex) { return true; });
  bench.domainOut("bern-a");
  while (bench.Router.provedReach()) {
    static uint16_t port = 100;
    bench.opens(++port);
    bench.pass(Millisecond * 60);
    bench.attempt([](ServerIndex) { return false; });
  }
  bench.Out.Resets.clear();
  bench.opens(1);
  EXPECT_TRUE(bench.Out.Resets.empty());
  bench.pass(PacketBench::settings().RotationSpan);
  bench.opens(2);
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
}

// Guards against callers that wait for nothing where no daemon can serve them:
// the domain's own servers, which no cut hides, are dead.
TEST(ReachTest, ADomainWhoseOwnServersAreDeadRefusesAtOnce) {
  PacketBench bench;
  bench.usual();
  bench.attempt([](ServerIndex) { return true; });
  loseAll(bench);
  ASSERT_FALSE(bench.Router.provedReach());
  bench.Out.Resets.clear();
  bench.opens(99);
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
}

} // namespace
} // namespace balsamrack

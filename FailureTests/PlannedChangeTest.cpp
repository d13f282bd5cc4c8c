#include <chrono>
#include <csignal>

#include "FailureTests/FleetTest.h"

namespace balsamrack {
namespace {

using namespace std::chrono_literals;

class PlannedChangeTest : public FleetTest {
protected:
  /// Returns the time since the last packet to any server of \p domain.
  int64_t timeSinceLastPacketMs(const std::string &domain) {
    int64_t shortestMs = INT64_MAX;
    for (const ServerPlan &server : Plan.Servers) {
      int64_t agoMs =
          TestFleet->queryServerCounts(server.Id)["last_packet_ms_ago"];
      if (server.Domain == domain && agoMs >= 0)
        shortestMs = std::min(shortestMs, agoMs);
    }
    return shortestMs;
  }
  uint64_t countFlows(const std::string &id) {
    return TestFleet->queryServerCounts(id)["flows"];
  }
};

// Operators drain a server under load. Its flows must stay there until they
// end, new flows must go elsewhere within seconds, and no request may fail.
TEST_F(PlannedChangeTest, DrainUnderLoad) {
  ASSERT_NO_FATAL_FAILURE(startFleet(makeSmallPlan()));
  standins::LoadGenerator load(TestFleet->makeCallSettings());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 500));
  ASSERT_GT(countFlows("booking-a1"), 0U);
  uint64_t ticket = TestFleet->drainServer("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(TestFleet->awaitTicketInForce(i, ticket, 6s));
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 100));
  uint64_t flows = countFlows("booking-a1");
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 1000));
  EXPECT_EQ(countFlows("booking-a1"), flows)
      << "new flows at a draining server";
  standins::LoadReport report = TestFleet->stopAndVerify(load);
  expectNoViolations(report, 0.9);
  EXPECT_EQ(report.Unknown, 0U);
  EXPECT_EQ(report.GivenUp, 0U);
}

// Operators take a failure domain out of service under load. No packet may
// reach it after 3 s. Its flows must be given up with that outcome, and all
// others must continue. Then it returns with cold servers and must take flows
// again.
TEST_F(PlannedChangeTest, DomainOutAndBack) {
  ASSERT_NO_FATAL_FAILURE(startFleet(makeSmallPlan()));
  standins::LoadGenerator load(TestFleet->makeCallSettings());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 500));
  SystemClock clock;
  TimePoint publishedAt = clock.now();
  uint64_t ticket = TestFleet->setDomainInService("b", false);
  // The last packet is known once none has arrived for 2 s.
  ASSERT_TRUE(
      awaitUntil(10s, [&] { return timeSinceLastPacketMs("b") > 2000; }));
  Duration lastPacketAfter =
      clock.now() - publishedAt - timeSinceLastPacketMs("b") * 1ms;
  EXPECT_LE(lastPacketAfter, Duration(3s))
      << "last packet after the ticket, in us: " << lastPacketAfter.count();
  for (size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(TestFleet->awaitTicketInForce(i, ticket, 6s));
  for (const ServerPlan &server : Plan.Servers)
    if (server.Domain == "b")
      TestFleet->controlServer(server.Id, {{"cold_ms", 3000}});
  TestFleet->setDomainInService("b", true);
  EXPECT_TRUE(
      awaitUntil(10s, [&] { return timeSinceLastPacketMs("b") < 100; }));
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 500));
  expectNoViolations(TestFleet->stopAndVerify(load, {"b"}), 0.8);
}

// An upgrade restarts each daemon in turn by SIGTERM, after the fabric stops
// sending to it. No request may be cut off, each daemon must exit with 0 in
// time, and no flow may move.
TEST_F(PlannedChangeTest, RollingRestart) {
  ASSERT_NO_FATAL_FAILURE(startFleet(makeSmallPlan()));
  standins::CallSettings calls = TestFleet->makeCallSettings();
  calls.LongRunPercent = 30;
  standins::LoadGenerator load(calls);
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 200));
    std::set<size_t> others{0, 1, 2};
    others.erase(i);
    TestFleet->setFabricDaemons(others);
    TestFleet->daemon(i).signal(SIGTERM);
    auto code = TestFleet->daemon(i).awaitExit(12s);
    ASSERT_TRUE(code.ok()) << "daemon " << i << " does not end";
    EXPECT_EQ(*code, 0);
    ASSERT_TRUE(TestFleet->startDaemon(i).ok());
    ASSERT_TRUE(TestFleet->awaitTicketInForce(i, 1, 15s));
    TestFleet->setFabricDaemons({0, 1, 2});
  }
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 200));
  standins::LoadReport report = TestFleet->stopAndVerify(load);
  expectNoViolations(report, 0.8);
  EXPECT_EQ(report.Unknown, 0U)
      << "requests cut off or with an unknown outcome";
  EXPECT_EQ(report.Sheds, 0U) << "a server had two owners at the same time";
}

// Domain b is cut off from the platform, and all daemons of domain a are
// paused, so that b has no live peers. Its daemon must continue to serve new
// flows with its own servers and must refuse flows of other servers with a true
// outcome. After the recovery, a ticket that it missed must come into force.
TEST_F(PlannedChangeTest, CutOffDomainGoesOnServing) {
  FleetPlan plan = makeSmallPlan();
  plan.UsePlatformRelays = true;
  ASSERT_NO_FATAL_FAILURE(startFleet(plan));
  standins::LoadGenerator before(TestFleet->makeCallSettings());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(before, 300));
  before.stop();
  TestFleet->platformRelay(2).cut();
  TestFleet->daemon(0).signal(SIGSTOP);
  TestFleet->daemon(1).signal(SIGSTOP);
  TestFleet->setFabricDaemons({2});
  standins::CallSettings calls = TestFleet->makeCallSettings();
  calls.Seed += 1;
  standins::LoadGenerator load(calls);
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 300));
  EXPECT_LT(timeSinceLastPacketMs("b"), 1000);
  uint64_t missedTicket = TestFleet->drainServer("booking-b1");
  TestFleet->daemon(0).signal(SIGCONT);
  TestFleet->daemon(1).signal(SIGCONT);
  TestFleet->platformRelay(2).heal();
  TestFleet->setFabricDaemons({0, 1, 2});
  EXPECT_TRUE(TestFleet->awaitTicketInForce(2, missedTicket, 15s));
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 300));
  expectNoViolations(TestFleet->stopAndVerify(load), 0.3);
}

} // namespace
} // namespace balsamrack

#include <chrono>
#include <csignal>

#include "FailureTests/FleetTest.h"

namespace balsamrack {
namespace {

using namespace std::chrono_literals;

class PlannedChangeTest : public FleetTest {
protected:
  /// Time since each packet for a server of \p domain: the shortest.
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

// Story: operators drain a server under load. Its flows go on there until they
// end; new flows go elsewhere within seconds. No seller notices.
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
  EXPECT_EQ(countFlows("booking-a1"), flows) << "new flows at a drained server";
  standins::LoadReport report = TestFleet->stopAndVerify(load);
  expectNoViolations(report, 0.9);
  EXPECT_EQ(report.Unknown, 0U);
  EXPECT_EQ(report.GivenUp, 0U);
}

// Story: operators take a failure domain out under load. No packet reaches it
// after 3 s; flows that lived there are given up with a clear ending, the
// others go on. Then it comes back, cold, and takes flows again.
TEST_F(PlannedChangeTest, DomainOutAndBack) {
  ASSERT_NO_FATAL_FAILURE(startFleet(makeSmallPlan()));
  standins::LoadGenerator load(TestFleet->makeCallSettings());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 500));
  SystemClock clock;
  TimePoint publishedAt = clock.now();
  uint64_t ticket = TestFleet->setDomainInService("b", false);
  // Once nothing has come for 2 s, it is known when the last packet came.
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

// Story: an upgrade restarts each daemon in turn by SIGTERM, after the fabric
// has been told. No request is cut, each daemon exits with 0 in time, and no
// flow moves.
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
  EXPECT_EQ(report.Unknown, 0U) << "cut, or not to be known";
  EXPECT_EQ(report.Sheds, 0U) << "two owners at a time";
}

// Story: domain b is cut off from the platform, and all daemons of domain a
// stand still, so that b hears nobody. Its daemon must go on serving new flows
// with its own servers, and refuse the others' flows truthfully. Once all is
// well again, a ticket that it missed applies.
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

#include <chrono>
#include <csignal>

#include "FailureTests/FleetTest.h"

namespace balsamrack {
namespace {

using namespace std::chrono_literals;

class PlannedChangeTest : public FleetTest {
protected:
  /// Time since each packet for a server of \p domain: the shortest.
  int64_t lastPacketMs(const std::string &domain) {
    int64_t youngest = INT64_MAX;
    for (const ServerPlan &server : Plan.Servers) {
      int64_t ago = Up->counts(server.Id)["last_packet_ms_ago"];
      if (server.Domain == domain && ago >= 0)
        youngest = std::min(youngest, ago);
    }
    return youngest;
  }
  uint64_t flowsAt(const std::string &id) { return Up->counts(id)["flows"]; }
};

// Story: operators drain a server under load. Its flows go on there until they
// end; new flows go elsewhere within seconds. No seller notices.
TEST_F(PlannedChangeTest, DrainUnderLoad) {
  ASSERT_NO_FATAL_FAILURE(startFleet(smallPlan()));
  standins::LoadGenerator load(Up->calls());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 500));
  ASSERT_GT(flowsAt("booking-a1"), 0U);
  uint64_t ticket = Up->drain("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(Up->awaitInForce(i, ticket, 6s));
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 100));
  uint64_t flows = flowsAt("booking-a1");
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 1000));
  EXPECT_EQ(flowsAt("booking-a1"), flows) << "new flows at a drained server";
  standins::LoadReport report = Up->judge(load);
  expectKept(report, 0.9);
  EXPECT_EQ(report.Unknown, 0U);
  EXPECT_EQ(report.GivenUp, 0U);
}

// Story: operators take a failure domain out under load. No packet reaches it
// after 3 s; flows that lived there are given up with a clear ending, the
// others go on. Then it comes back, cold, and takes flows again.
TEST_F(PlannedChangeTest, DomainOutAndBack) {
  ASSERT_NO_FATAL_FAILURE(startFleet(smallPlan()));
  standins::LoadGenerator load(Up->calls());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 500));
  SystemClock clock;
  TimePoint out = clock.now();
  uint64_t ticket = Up->setDomain("b", false);
  // Once nothing has come for 2 s, it is known when the last packet came.
  ASSERT_TRUE(awaitUntil(10s, [&] { return lastPacketMs("b") > 2000; }));
  Duration last = clock.now() - out - lastPacketMs("b") * 1ms;
  EXPECT_LE(last, Duration(3s))
      << "last packet after the ticket, in us: " << last.count();
  for (size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(Up->awaitInForce(i, ticket, 6s));
  for (const ServerPlan &server : Plan.Servers)
    if (server.Domain == "b")
      Up->control(server.Id, {{"cold_ms", 3000}});
  Up->setDomain("b", true);
  EXPECT_TRUE(awaitUntil(10s, [&] { return lastPacketMs("b") < 100; }));
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 500));
  expectKept(Up->judge(load, {"b"}), 0.8);
}

// Story: an upgrade restarts each daemon in turn by SIGTERM, after the fabric
// has been told. No request is cut, each daemon exits with 0 in time, and no
// flow moves.
TEST_F(PlannedChangeTest, RollingRestart) {
  ASSERT_NO_FATAL_FAILURE(startFleet(smallPlan()));
  standins::CallSettings calls = Up->calls();
  calls.LongRunPercent = 30;
  standins::LoadGenerator load(calls);
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 200));
    std::set<size_t> others{0, 1, 2};
    others.erase(i);
    Up->setFabric(others);
    Up->daemon(i).signal(SIGTERM);
    auto code = Up->daemon(i).awaitEnd(12s);
    ASSERT_TRUE(code.ok()) << "daemon " << i << " does not end";
    EXPECT_EQ(*code, 0);
    ASSERT_TRUE(Up->startDaemon(i).ok());
    ASSERT_TRUE(Up->awaitInForce(i, 1, 15s));
    Up->setFabric({0, 1, 2});
  }
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 200));
  standins::LoadReport report = Up->judge(load);
  expectKept(report, 0.8);
  EXPECT_EQ(report.Unknown, 0U) << "cut, or not to be known";
  EXPECT_EQ(report.Sheds, 0U) << "two owners at a time";
}

// Story: domain b is cut off from the platform, and all daemons of domain a
// stand still, so that b hears nobody. Its daemon must go on serving new flows
// with its own servers, and refuse the others' flows truthfully. Once all is
// well again, a ticket that it missed applies.
TEST_F(PlannedChangeTest, CutOffDomainGoesOnServing) {
  FleetPlan plan = smallPlan();
  plan.PlatformRelays = true;
  ASSERT_NO_FATAL_FAILURE(startFleet(plan));
  standins::LoadGenerator before(Up->calls());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(before, 300));
  before.stop();
  Up->platformRelay(2).cut();
  Up->daemon(0).signal(SIGSTOP);
  Up->daemon(1).signal(SIGSTOP);
  Up->setFabric({2});
  standins::CallSettings calls = Up->calls();
  calls.Seed += 1;
  standins::LoadGenerator load(calls);
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 300));
  EXPECT_LT(lastPacketMs("b"), 1000);
  uint64_t missed = Up->drain("booking-b1");
  Up->daemon(0).signal(SIGCONT);
  Up->daemon(1).signal(SIGCONT);
  Up->platformRelay(2).heal();
  Up->setFabric({0, 1, 2});
  EXPECT_TRUE(Up->awaitInForce(2, missed, 15s));
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 300));
  expectKept(Up->judge(load), 0.3);
}

} // namespace
} // namespace balsamrack

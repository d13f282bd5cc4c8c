#include <chrono>
#include <csignal>

#include "FailureTests/FleetTest.h"

namespace balsamrack {
namespace {

using namespace std::chrono_literals;

class PlatformFailureTest : public FleetTest {
protected:
  /// Kills daemon \p i and starts it again.
  void killAndRestart(size_t i) {
    TestFleet->daemon(i).signal(SIGKILL);
    ASSERT_TRUE(TestFleet->daemon(i).awaitExit(5s).ok());
    ASSERT_TRUE(TestFleet->startDaemon(i).ok());
    ASSERT_TRUE(TestFleet->awaitReady(i).ok());
  }
  uint64_t ticketInForceAt(size_t i) {
    return TestFleet->queryDaemon(i, "status").value("ticket", 0);
  }
};

// The platform is down while a daemon restarts without any state. It must get
// the state from its peers and serve.
TEST_F(PlatformFailureTest, DownAtStart) {
  ASSERT_NO_FATAL_FAILURE(startFleet(makeSmallPlan()));
  uint64_t ticket = TestFleet->drainServer("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(TestFleet->awaitTicketInForce(i, ticket, 6s));
  TestFleet->setPlatformMode({{"mode", "down"}});
  ASSERT_NO_FATAL_FAILURE(killAndRestart(0));
  EXPECT_TRUE(TestFleet->awaitTicketInForce(0, ticket, 6s));
  TestFleet->setFabricDaemons({0});
  standins::LoadGenerator load(TestFleet->makeCallSettings());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 200));
  expectNoViolations(TestFleet->stopAndVerify(load), 0.5);
}

// The platform fails over to a replica without the latest ticket, a drain, and
// a daemon restarts next to live peers. No daemon may revert to the state
// before the drain, including the restarted one.
TEST_F(PlatformFailureTest, StaleAnswersRevertNothing) {
  ASSERT_NO_FATAL_FAILURE(startFleet(makeSmallPlan()));
  uint64_t ticket = TestFleet->drainServer("booking-b1");
  for (size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(TestFleet->awaitTicketInForce(i, ticket, 6s));
  TestFleet->setPlatformMode({{"mode", "stale"}, {"stale_at", ticket - 1}});
  ASSERT_NO_FATAL_FAILURE(killAndRestart(1));
  EXPECT_TRUE(TestFleet->awaitTicketInForce(1, ticket, 6s));
  for (size_t i = 0; i < 3; ++i)
    EXPECT_EQ(ticketInForceAt(i), ticket) << "at daemon " << i;
  // After a failback to the newest replica, later tickets come into force.
  TestFleet->setPlatformMode({{"mode", "up"}});
  uint64_t next = TestFleet->drainServer("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(TestFleet->awaitTicketInForce(i, next, 15s));
}

// Only one daemon can reach the platform; the connections of the others are
// cut. A ticket must still come into force at all daemons within 6 s.
TEST_F(PlatformFailureTest, OneReaderIsEnough) {
  FleetPlan plan = makeSmallPlan();
  plan.UsePlatformRelays = true;
  ASSERT_NO_FATAL_FAILURE(startFleet(plan));
  TestFleet->platformRelay(1).cut();
  TestFleet->platformRelay(2).cut();
  uint64_t ticket = TestFleet->drainServer("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(TestFleet->awaitTicketInForce(i, ticket, 6s))
        << "at daemon " << i;
}

} // namespace
} // namespace balsamrack

#include <chrono>
#include <csignal>

#include "FailureTests/FleetTest.h"

namespace balsamrack {
namespace {

using namespace std::chrono_literals;

class PlatformFailureTest : public FleetTest {
protected:
  /// Kills daemon \p i and starts it again.
  void restart(size_t i) {
    Up->daemon(i).signal(SIGKILL);
    ASSERT_TRUE(Up->daemon(i).awaitEnd(5s).ok());
    ASSERT_TRUE(Up->startDaemon(i).ok());
    ASSERT_TRUE(Up->awaitReady(i).ok());
  }
  uint64_t ticketAt(size_t i) {
    return Up->ask(i, "status").value("ticket", 0);
  }
};

// Story: the platform is down, and a VM is replaced. The new daemon keeps
// nothing and can't read the platform; it must get the state from its peers and
// serve.
TEST_F(PlatformFailureTest, DownAtStart) {
  ASSERT_NO_FATAL_FAILURE(startFleet(smallPlan()));
  uint64_t ticket = Up->drain("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(Up->awaitInForce(i, ticket, 6s));
  Up->platformMode({{"mode", "down"}});
  ASSERT_NO_FATAL_FAILURE(restart(0));
  EXPECT_TRUE(Up->awaitInForce(0, ticket, 6s));
  Up->setFabric({0});
  standins::LoadGenerator load(Up->calls());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 200));
  expectKept(Up->judge(load), 0.5);
}

// Story: a drain is in force. The platform fails over to a replica that doesn't
// know its ticket, and a daemon restarts next to live peers. No daemon may go
// back to the state before the drain, nor may the restarted one.
TEST_F(PlatformFailureTest, StaleAnswersRevertNothing) {
  ASSERT_NO_FATAL_FAILURE(startFleet(smallPlan()));
  uint64_t ticket = Up->drain("booking-b1");
  for (size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(Up->awaitInForce(i, ticket, 6s));
  Up->platformMode({{"mode", "stale"}, {"stale_at", ticket - 1}});
  ASSERT_NO_FATAL_FAILURE(restart(1));
  EXPECT_TRUE(Up->awaitInForce(1, ticket, 6s));
  for (size_t i = 0; i < 3; ++i)
    EXPECT_EQ(ticketAt(i), ticket) << "at daemon " << i;
  // Back to the newest replica: a later ticket comes into force as ever.
  Up->platformMode({{"mode", "up"}});
  uint64_t next = Up->drain("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(Up->awaitInForce(i, next, 15s));
}

// Story: only one daemon can reach the platform; the links of the others are
// cut. A ticket must still be in force everywhere within 6 s, through the one.
TEST_F(PlatformFailureTest, OneReaderIsEnough) {
  FleetPlan plan = smallPlan();
  plan.PlatformRelays = true;
  ASSERT_NO_FATAL_FAILURE(startFleet(plan));
  Up->platformRelay(1).cut();
  Up->platformRelay(2).cut();
  uint64_t ticket = Up->drain("booking-a1");
  for (size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(Up->awaitInForce(i, ticket, 6s)) << "at daemon " << i;
}

} // namespace
} // namespace balsamrack

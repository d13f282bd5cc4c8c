#include "Balsamrack/Membership/OwnershipFence.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};
const VmId Peer("vm-2");

class OwnershipFenceTest : public testing::Test {
protected:
  void SetUp() override {
    Fence = std::move(OwnershipFence::create(Settings, Now)).value();
  }
  /// Ticks every 50 ms, like a running process.
  void tickFor(Duration span) {
    for (TimePoint end = Now + span; Now < end; Now += Duration(50'000))
      Fence->onTick(Now);
  }
  void tickAndHearFor(Duration span) {
    for (TimePoint end = Now + span; Now < end; Now += Duration(50'000)) {
      Fence->onTick(Now);
      Fence->renewLease(Peer, Now, Now);
    }
  }
  bool mayDispatch() const { return Fence->mayDispatch(Now); }

  MembershipSettings Settings;           ///< Defaults.
  TimePoint Now{Second};                 ///< Virtual time.
  std::unique_ptr<OwnershipFence> Fence; ///< Under test.
};

TEST_F(OwnershipFenceTest, HoldsWhilePeersRenew) {
  Fence->setPeers({Peer}, Now);
  tickAndHearFor(60 * Second);
  EXPECT_TRUE(mayDispatch());
  EXPECT_EQ(Fence->expiries(), 0U);
}

// An owner is partitioned from its domain. Other daemons take over its servers
// once its lease has ended. From then on it must not dispatch, although it
// receives no message.
TEST_F(OwnershipFenceTest, StopsWhenNoPeerRenews) {
  Fence->setPeers({Peer}, Now);
  tickAndHearFor(Second);
  TimePoint last = Now - Duration(50'000);
  Now = last + Settings.LeaseTime - Duration(1);
  EXPECT_TRUE(mayDispatch());
  Now = last + Settings.LeaseTime;
  EXPECT_FALSE(mayDispatch());
}

// The process is stopped for an hour, and tries to dispatch after it resumes,
// before its tick runs and before it reads any message.
TEST_F(OwnershipFenceTest, PauseIsSeenBeforeTheNextTick) {
  tickFor(10 * Second);
  EXPECT_TRUE(mayDispatch());
  Now += 3600 * Second;
  EXPECT_FALSE(mayDispatch());
}

// After a pause, the daemon reads the answer to a probe that was sent before
// it. The answer only shows that the peer considered it alive an hour ago, so
// it must not renew the lease.
TEST_F(OwnershipFenceTest, AnswerFromBeforeThePauseDoesNotCount) {
  Fence->setPeers({Peer}, Now);
  tickAndHearFor(Second);
  TimePoint before = Now;
  Now += 3600 * Second;
  Fence->renewLease(Peer, before, Now);
  EXPECT_EQ(Fence->state(Now), AuthorityState::Expired);
  TimePoint sent = Now;
  Now += Duration(10'000);
  Fence->renewLease(Peer, sent, Now);
  EXPECT_EQ(Fence->state(Now), AuthorityState::Renewed);
  EXPECT_FALSE(mayDispatch());
  Fence->restart(Fence->expiries(), Now);
  EXPECT_TRUE(mayDispatch());
}

// Ownership is given up for one expiry when the next one has already begun: the
// restart for the first must not end the second.
TEST_F(OwnershipFenceTest, RestartOfAnEarlierExpiryDoesNothing) {
  Fence->setPeers({Peer}, Now);
  Now += 10 * Second;
  Fence->onTick(Now);
  uint64_t expiry = Fence->expiries();
  Fence->renewLease(Peer, Now, Now);
  Now += 10 * Second;
  Fence->onTick(Now);
  Fence->renewLease(Peer, Now, Now);
  EXPECT_GT(Fence->expiries(), expiry);
  Fence->restart(expiry, Now);
  EXPECT_FALSE(mayDispatch());
}

// The only daemon of a domain is paused. Another one that it does not know yet
// may have started in the meantime, so it must wait for takeoverWait.
TEST_F(OwnershipFenceTest, LoneDaemonWaitsAfterAPause) {
  tickFor(Second);
  Now += 100 * Second;
  TimePoint woke = Now;
  while (Fence->state(Now) == AuthorityState::Expired)
    tickFor(Duration(50'000));
  EXPECT_GE(Now - woke, Settings.takeoverWait());
  EXPECT_LE(Now - woke, Settings.takeoverWait() + Duration(100'000));
}

// One of the two daemons of a domain dies. The other one must keep serving
// without an expiry, since the death is detected within its lease.
TEST_F(OwnershipFenceTest, SurvivorOfTwoKeepsAuthority) {
  Fence->setPeers({Peer}, Now);
  tickAndHearFor(Second);
  tickFor(Settings.LeaseTime - Duration(200'000));
  Fence->setPeers({}, Now);
  tickFor(10 * Second);
  EXPECT_TRUE(mayDispatch());
  EXPECT_EQ(Fence->expiries(), 0U);
}

} // namespace
} // namespace balsamrack

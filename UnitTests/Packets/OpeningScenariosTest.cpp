#include <vector>

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

// Openings that are queued, retransmitted or cannot be served.

namespace balsamrack {
namespace {

// After an outage of all daemons their callers return all at once. While all
// slots are taken, an opening that has missed its objective must wait, and it
// must be sent once a slot is free.
TEST(OpeningScenariosTest, ALateOpeningWaitsForAFreeSlot) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}}, 0, Duration(150'000));
  bench.publishServers({{"b1", "bern-a"}});
  for (uint16_t port = 1; port <= 3; ++port) {
    bench.sendOpening(port);
    bench.sendOnFlow(port, bench.lastToken());
  }
  bench.advance(Duration(100'000));
  size_t before = bench.Out.Sent.size();
  bench.sendOpening(4, 1);
  EXPECT_EQ(bench.Out.Sent.size(), before) << "both slots are taken";
  bench.sendOpening(5);
  EXPECT_EQ(bench.Out.Sent.size(), before + 1)
      << "in time, so it is forwarded at once";
  for (uint16_t port : {1, 2, 3})
    bench.sendOnFlow(port, tokenOf(ServerId("b1")), 0, true);
  bench.advance(Duration(100'000));
  EXPECT_EQ(bench.Out.Sent.size(), before + 5) << "a slot became free";
}

// As above, but no slot becomes free. The opening must still be sent before its
// caller times out, since a late answer is better than none.
TEST(OpeningScenariosTest, ALateOpeningIsForwardedBeforeItsTimeout) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}}, 0, Duration(150'000));
  bench.publishServers({{"b1", "bern-a"}});
  for (uint16_t port = 1; port <= 4; ++port) {
    bench.sendOpening(port);
    bench.sendOnFlow(port, bench.lastToken());
  }
  bench.advance(Duration(100'000));
  bench.sendOpening(9, 1);
  size_t before = bench.Out.Sent.size();
  for (int i = 0; i < 8; ++i) {
    for (uint16_t port = 1; port <= 4; ++port)
      bench.sendOnFlow(port, tokenOf(ServerId("b1")));
    if (i == 4)
      bench.sendOpening(9, 2);
    bench.advance(Duration(100'000));
  }
  EXPECT_EQ(bench.Out.Sent.size(), before + 32) << "still waits at 0.8 s";
  bench.advance(Duration(100'000));
  EXPECT_EQ(bench.Out.Sent.size(), before + 33);
}

// A daemon is suspended for a second while an opening and both its copies wait
// in its socket. Meanwhile the fabric moves the caller to another daemon, where
// the flow opens. After it resumes, the daemon forwards all three at once and
// sees no answer, since the caller answers through the other daemon. It must
// neither reset the open flow nor consider live servers silent.
TEST(OpeningScenariosTest, AResumedDaemonIgnoresDelayedOpenings) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  for (uint16_t port = 1; port <= 6; ++port)
    for (uint8_t copy : {0, 1, 2})
      bench.sendOpening(port, copy);
  bench.advance(Duration(500'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
  EXPECT_EQ(bench.Router.silentServers(), 0U);
}

// As above, but the daemon is suspended after it forwarded the first copy. The
// other copies arrive late, though not at shorter intervals.
TEST(OpeningScenariosTest, ADaemonSuspendedBetweenCopiesResetsNothing) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1, 0);
  bench.Now += Duration(970'000);
  bench.sendOpening(1, 1);
  bench.sendOpening(1, 2);
  bench.advance(Duration(900'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
}

// A server recovers just before a caller's last copy arrives. The caller gets
// the answer, but its first packet to the server is lost and retransmitted
// after 200 ms. A reset in between would break the open flow.
TEST(OpeningScenariosTest, ALostFirstPacketCanBeRetransmitted) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1, 0);
  bench.advance(Duration(200'000));
  bench.sendOpening(1, 1);
  bench.advance(Duration(400'000));
  bench.sendOpening(1, 2);
  uint32_t token = bench.lastToken();
  bench.advance(Duration(250'000));
  bench.sendOnFlow(1, token);
  bench.advance(Duration(900'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
}

// The only server of a service is silent, and one of its callers waits for the
// timeout of its last copy. Openings of other callers with silent servers must
// not queue behind it for half a second before they are sent to another server.
TEST(OpeningScenariosTest, ALastCopyDoesNotDelayOtherOpenings) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}, {444, "plans"}});
  bench.publishServers(
      {{"b1", "bern-a"}, {"b2", "bern-a"}, {"b7", "bern-a", "plans"}});
  bench.sendOpening(1, 0, 444);
  bench.advance(Duration(200'000));
  bench.sendOpening(1, 1, 444);
  bench.advance(Duration(400'000));
  bench.sendOpening(1, 2, 444);
  bench.advance(Duration(100'000));
  ASSERT_TRUE(bench.Out.Resets.empty()) << "its timeout has not expired";
  bench.sendOpening(2);
  uint64_t first = bench.lastTag();
  bench.advance(Duration(100'000));
  EXPECT_NE(bench.lastTag(), first)
      << "it should have been sent to another server";
}

// All copies arrive on time, no server answers, and the caller sends no more.
TEST(OpeningScenariosTest, AnUnansweredLastCopyIsReset) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1, 0);
  bench.advance(Duration(200'000));
  bench.sendOpening(1, 1);
  bench.advance(Duration(400'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
  bench.sendOpening(1, 2);
  bench.advance(Duration(400'000));
  EXPECT_TRUE(bench.Out.Resets.empty()) << "its answer may have been lost";
  bench.advance(Duration(100'000));
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::NoAnswer));
}

/// Copies that this daemon receives, each on time; the others go to another
/// daemon.
struct SomeCopies {
  const char *Name;
  std::vector<uint8_t> Copies;
};

class EachSomeCopies : public testing::TestWithParam<SomeCopies> {};

// The fabric moves a caller to another daemon between two copies of its
// opening. A daemon that did not receive all copies must not reset the flow,
// which may be open through the other daemon.
TEST_P(EachSomeCopies, ResetNothing) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  TimePoint began = bench.Now;
  for (uint8_t copy : GetParam().Copies) {
    bench.advance(began + PacketRouterHarness::copyAge(copy) - bench.Now);
    bench.sendOpening(1, copy);
  }
  bench.advance(Duration(500'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
}

INSTANTIATE_TEST_SUITE_P(Copies, EachSomeCopies,
                         testing::Values(SomeCopies{"NotTheFirst", {1, 2}},
                                         SomeCopies{"NotTheSecond", {0, 2}},
                                         SomeCopies{"NotTheLast", {0, 1}},
                                         SomeCopies{"OnlyTheLast", {2}}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

/// Failure domain of the unreachable servers, and how long openings are left to
/// other daemons.
struct OutOfReach {
  const char *Name;
  const char *Domain;
  Duration LeftToOthers;
};

class EachOutOfReach : public testing::TestWithParam<OutOfReach> {};

// When all servers are unreachable, callers must be refused at once instead of
// waiting until their timeout. They must not be refused while the fabric is
// still switching to daemons that can serve them.
TEST_P(EachOutOfReach, CallersThatNoDaemonCanServeAreRefusedAtOnce) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}});
  bench.publishServers({{"b1", GetParam().Domain}, {"b2", GetParam().Domain}});
  for (uint16_t port = 1; port <= 4; ++port)
    bench.sendOpening(port);
  bench.advance(Duration(100'000));
  bench.sendOpening(5);
  EXPECT_EQ(bench.lastTag() != 0, true) << "silent, but not yet probed";
  EXPECT_TRUE(bench.Out.Resets.empty());
  auto endAttempts = [&](ConnectionResult how) {
    for (const ConnectionAttempt &it : bench.Router.dueAttempts(bench.Now))
      bench.Router.handleAttemptResult(bench.Now, it.Server, how, bench.Out);
  };
  endAttempts(ConnectionResult::NotAttempted);
  bench.sendOpening(6);
  EXPECT_TRUE(bench.Out.Resets.empty())
      << "the state of the servers is unknown";
  bench.advance(Duration(900'000));
  endAttempts(ConnectionResult::Failed);
  size_t sent = bench.Out.Sent.size();
  size_t resets = bench.Out.Resets.size();
  if (GetParam().LeftToOthers > Duration{0}) {
    bench.sendOpening(10);
    EXPECT_EQ(bench.Out.Resets.size(), resets) << "other daemons can serve it";
    bench.advance(GetParam().LeftToOthers);
    endAttempts(ConnectionResult::Failed);
  }
  bench.sendOpening(7);
  EXPECT_EQ(bench.Out.Resets.size(), resets + 1);
  EXPECT_EQ(bench.Out.Sent.size(), sent)
      << "a refused opening must not be forwarded";
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::Unreachable));
  bench.sendOpening(8, 1);
  EXPECT_EQ(bench.Out.Resets.size(), resets + 1)
      << "its flow may be open through another daemon";
  bench.advance(Duration(900'000));
  endAttempts(ConnectionResult::Connected);
  bench.sendOpening(9);
  EXPECT_NE(bench.lastTag(), 0U);
  EXPECT_EQ(bench.Out.Resets.size(), resets + 1);
}

INSTANTIATE_TEST_SUITE_P(
    Domains, EachOutOfReach,
    testing::Values(OutOfReach{"Own", "bern-a", Duration(0)},
                    OutOfReach{
                        "Other", "bern-b",
                        PacketRouterHarness::settings().FabricFailoverTime}),
    [](const auto &info) { return std::string(info.param.Name); });

// A late opening waits while its next copy opens the flow through another
// daemon. Guards against offering it to a server then.
TEST(OpeningScenariosTest, ALateOpeningOfAnOpenFlowIsNotForwarded) {
  PacketRouterHarness bench{1}, second{2}, third{3};
  for (auto *it : {&bench, &second, &third}) {
    it->configure(1, {{443, "booking"}}, 0, Duration(150'000));
    it->publishServers({{"b1", "bern-a"}, {"b2", "bern-a"}, {"b3", "bern-b"}});
  }
  for (uint16_t port = 1; port <= 9; ++port) {
    bench.sendOpening(port);
    bench.sendOnFlow(port, bench.lastToken());
  }
  bench.advance(Duration(100'000));
  size_t before = bench.Out.Sent.size();
  bench.sendOpening(20, 1);
  ASSERT_EQ(bench.Out.Sent.size(), before) << "waits";
  second.Now = third.Now = bench.Now + Duration(400'000);
  second.sendOpening(20, 2);
  second.sendRequest(20, second.lastToken(), 0);
  while (bench.Now < second.Now) {
    for (uint16_t port = 1; port <= 9; ++port)
      bench.sendOnFlow(port, 0);
    bench.advance(Duration(100'000));
  }
  ASSERT_FALSE(bench.Router.explain(bench.Now, bench.key(20)).Known);
  bench.Out.Sent.clear();
  bench.advance(Duration(700'000));
  EXPECT_EQ(bench.Out.Sent.size(), 0U);
}

} // namespace
} // namespace balsamrack

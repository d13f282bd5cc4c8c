#include <vector>

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

// What becomes of openings that wait, come again or can't be served.

namespace balsamrack {
namespace {

// Story: all daemons were away, and their callers come back all at once. One
// that has missed its objective gives way while all slots are taken, and is
// served once one gets free.
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
  EXPECT_EQ(bench.Out.Sent.size(), before + 1) << "in time, so it goes at once";
  for (uint16_t port : {1, 2, 3})
    bench.sendOnFlow(port, tokenOf(ServerId("b1")), 0, true);
  bench.advance(Duration(100'000));
  EXPECT_EQ(bench.Out.Sent.size(), before + 5) << "a slot got free";
}

// Story: as above, but no slot gets free. The waiting caller's time runs, and a
// late answer is better than none.
TEST(OpeningScenariosTest, ALateOpeningIsSentOnBeforeItsTimeIsOver) {
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
    bench.advance(Duration(100'000));
  }
  EXPECT_EQ(bench.Out.Sent.size(), before + 32) << "still waits at 0.8 s";
  bench.advance(Duration(100'000));
  EXPECT_EQ(bench.Out.Sent.size(), before + 33);
}

// Story: a daemon is frozen for a second. A seller's opening and both its
// copies wait in its socket; meanwhile the fabric has moved the seller to
// another daemon, where the flow opened. The daemon wakes, sends the three on
// at once, sees no answer to them, since the seller answers elsewhere, and
// resets the open flow. It also takes living servers for silent.
TEST(OpeningScenariosTest, AWokenDaemonJudgesNothingByWhatWaitedForIt) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  for (uint16_t port = 1; port <= 6; ++port)
    for (uint8_t copy : {0, 1, 2})
      bench.sendOpening(port, copy);
  bench.advance(Duration(500'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
  EXPECT_EQ(bench.Router.silentServers(), 0U);
}

// Story: as above, but the daemon falls asleep after the first copy was sent
// on. The others come to it late, though not too fast.
TEST(OpeningScenariosTest, ADaemonThatFellAsleepBetweenCopiesResetsNothing) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1, 0);
  bench.Now += Duration(970'000);
  bench.sendOpening(1, 1);
  bench.sendOpening(1, 2);
  bench.advance(Duration(900'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
}

// Story: a server is well again just when a seller's last copy comes. The
// seller has its answer, but its first packet to the server is lost. It comes
// again after 200 ms; a reset in between broke the open flow.
TEST(OpeningScenariosTest, ALostFirstPacketHasTimeToComeAgain) {
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

// Story: a service's only server is dark, and one of its callers waits for the
// end of its last copy's time. The openings of all other callers, whose servers
// are silent too, waited behind it for half a second before another server got
// them.
TEST(OpeningScenariosTest, ACallersLastCopyHoldsUpNobodyElse) {
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
  ASSERT_TRUE(bench.Out.Resets.empty()) << "still has time";
  bench.sendOpening(2);
  uint64_t first = bench.lastTag();
  bench.advance(Duration(100'000));
  EXPECT_NE(bench.lastTag(), first) << "another server has it by now";
}

// The same copies, each at its time: nobody answers, and the caller sends no
// more.
TEST(OpeningScenariosTest, ACallerIsToldOnceNobodyAnswersItsLastCopy) {
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

/// Copies that come here, each at its time; the others go to another daemon.
struct SomeCopies {
  const char *Name;
  std::vector<uint8_t> Copies;
};

class EachSomeCopies : public testing::TestWithParam<SomeCopies> {};

// Story: the fabric moves a caller between two copies of its opening. A daemon
// that did not get them all can't know what became of the others: the flow may
// be open, and a reset would break it.
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

/// Where the servers that can't be reached stand, and for how long others may
/// serve the callers instead.
struct OutOfReach {
  const char *Name;
  const char *Domain;
  Duration LeftToOthers;
};

class EachOutOfReach : public testing::TestWithParam<OutOfReach> {};

// Guards against callers that wait until their time is over for servers that
// are all out of reach, and against refusing them while the fabric still turns
// to daemons that can serve them.
TEST_P(EachOutOfReach, CallersAreRefusedAtOnceThatNobodyCanServe) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}});
  bench.publishServers({{"b1", GetParam().Domain}, {"b2", GetParam().Domain}});
  for (uint16_t port = 1; port <= 4; ++port)
    bench.sendOpening(port);
  bench.advance(Duration(100'000));
  bench.sendOpening(5);
  EXPECT_EQ(bench.lastTag() != 0, true) << "silent, but not yet asked by us";
  EXPECT_TRUE(bench.Out.Resets.empty());
  auto endAttempts = [&](ConnectionResult how) {
    for (const ConnectionAttempt &it : bench.Router.dueAttempts(bench.Now))
      bench.Router.handleAttemptResult(bench.Now, it.Server, how, bench.Out);
  };
  endAttempts(ConnectionResult::NotAttempted);
  bench.sendOpening(6);
  EXPECT_TRUE(bench.Out.Resets.empty()) << "nothing is known";
  bench.advance(Duration(900'000));
  endAttempts(ConnectionResult::Failed);
  size_t sent = bench.Out.Sent.size();
  size_t resets = bench.Out.Resets.size();
  if (GetParam().LeftToOthers > Duration{0}) {
    bench.sendOpening(10);
    EXPECT_EQ(bench.Out.Resets.size(), resets) << "others can serve it";
    bench.advance(GetParam().LeftToOthers);
    endAttempts(ConnectionResult::Failed);
  }
  bench.sendOpening(7);
  EXPECT_EQ(bench.Out.Resets.size(), resets + 1);
  EXPECT_EQ(bench.Out.Sent.size(), sent) << "so it is true that nothing ran";
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::Unreachable));
  bench.sendOpening(8, 1);
  EXPECT_EQ(bench.Out.Resets.size(), resets + 1) << "its flow may be open";
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

} // namespace
} // namespace balsamrack

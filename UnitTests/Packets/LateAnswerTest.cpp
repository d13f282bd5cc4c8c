#include "UnitTests/Packets/MovedHandshake.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

struct MovedBack {
  const char *Name;
  uint8_t Copy;     ///< The copy that the second daemon gets; zero for none.
  Duration After;   ///< From the opening to the retransmitted first packet.
  bool IsForwarded; ///< The first daemon can forward it.
};

class EachMoveBack : public MovedHandshakeTest,
                     public testing::WithParamInterface<MovedBack> {};

// The fabric moves a flow during its handshake and back while its first request
// runs. Guards against following a late answer when that request is
// retransmitted.
TEST_P(EachMoveBack, ARetransmittedFirstPacketMovesNoFlow) {
  First.sendOpening(Port);
  uint64_t home = First.lastTag();
  uint32_t token = First.lastToken();
  retryUntil(2);
  uint32_t late = First.lastToken();
  if (uint8_t copy = GetParam().Copy) {
    Second.advance(PacketRouterHarness::copyAge(copy));
    Second.sendOpening(Port, copy);
    home = Second.lastTag();
    token = Second.lastToken();
  }
  First.Out.Sent.clear();
  Third.sendRequest(Port, token, 0);
  ASSERT_EQ(First.Out.Sent.size() + Second.Out.Sent.size(),
            GetParam().Copy > 0 ? 2U : 1U);
  First.advance(TimePoint(Duration(1'000'000)) + GetParam().After - First.Now);
  First.Out.Sent.clear();
  First.sendRequest(Port, late, 0);
  EXPECT_EQ(First.Out.Sent.size(), GetParam().IsForwarded ? 1U : 0U);
  expectOnlyAt(First, home);
  expectOnlyAt(Second, home);
}

INSTANTIATE_TEST_SUITE_P(
    Moves, EachMoveBack,
    testing::Values(MovedBack{"Once", 0, Millisecond * 250, true},
                    MovedBack{"Twice", 0, Millisecond * 700, true},
                    MovedBack{"AfterTheSecondCopy", 1, Millisecond * 410,
                              false},
                    MovedBack{"AfterTheLastCopy", 2, Millisecond * 810, false}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against resetting a flow because a server is dead that only a late
// answer has named.
TEST_F(MovedHandshakeTest, AFirstPacketTokenResetsNoFlow) {
  First.sendOpening(Port);
  uint64_t silent = First.lastTag();
  uint32_t late = First.lastToken();
  retryUntil(2);
  uint64_t home = First.lastTag();
  First.sendRequest(Port, First.lastToken(), 0);
  ASSERT_EQ(First.lastTag(), home);
  Third.publishServers({{"b9", "bern-a", "booking", ServerMode::Active,
                         Duration(0), 1, "10.0.0." + std::to_string(silent)}});
  Third.advance(Millisecond * 300);
  Third.sendRequest(Port, late, 0);
  EXPECT_TRUE(Third.Out.Resets.empty());
}

struct LateAnswer {
  const char *Name;
  Duration After;       ///< From the first packet to its retransmission.
  size_t Servers;       ///< Servers that got the opening.
  bool HasFirst = true; ///< The daemon with the opening still runs.
};

class EachLateAnswer : public MovedHandshakeTest,
                       public testing::WithParamInterface<LateAnswer> {};

// A server answers an opening after its caller has accepted another one. Guards
// against a daemon that follows the token of the late answer when the caller
// retransmits its first packet.
TEST_P(EachLateAnswer, MovesNoFlow) {
  First.sendOpening(Port);
  uint32_t late = First.lastToken();
  retryUntil(GetParam().Servers);
  uint64_t home = First.lastTag();
  First.sendRequest(Port, First.lastToken(), 0);
  ASSERT_EQ(First.lastTag(), home);
  if (!GetParam().HasFirst)
    PacketRouterHarness::connect({&Second, &Third});
  First.Out.Sent.clear();
  First.advance(GetParam().After);
  Third.advance(GetParam().After);
  Third.sendRequest(Port, late, 0);
  EXPECT_TRUE(Third.Out.Sent.empty());
  EXPECT_TRUE(Third.Out.Resets.empty());
  EXPECT_EQ(First.Out.Sent.size(), GetParam().HasFirst ? 1U : 0U);
  expectOnlyAt(First, home);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EachLateAnswer,
    testing::Values(LateAnswer{"FirstRetransmission", Millisecond * 200, 2},
                    LateAnswer{"SecondRetransmission", Millisecond * 600, 2},
                    LateAnswer{"ThirdRetransmission", Millisecond * 1'400, 2},
                    LateAnswer{"Within100Ms", Millisecond * 60, 2},
                    LateAnswer{"FourServers", Millisecond * 200, 4},
                    LateAnswer{"TheDaemonHasStopped", Millisecond * 200, 2,
                               false}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a daemon that follows the token of the late answer of the
// first server when the caller of the second one retransmits its first packet.
TEST_F(MovedHandshakeTest, AnAnswerLateBy100MsMovesNoFlow) {
  First.sendOpening(Port);
  uint32_t late = First.lastToken();
  retryUntil(2);
  uint64_t home = First.lastTag();
  First.sendRequest(Port, First.lastToken(), 0);
  ASSERT_EQ(First.lastTag(), home);
  Third.advance(Millisecond * 250);
  Third.sendRequest(Port, late, 0);
  expectOnlyAt(Third, home);
}

// The first packet after the opening is lost while further servers get the
// opening. Guards against dropping its retransmissions: no server has the flow.
TEST_F(MovedHandshakeTest, ALostFirstPacketIsForwardedWhenRetransmitted) {
  First.sendOpening(Port);
  uint64_t home = First.lastTag();
  retryUntil(3);
  uint32_t late = First.lastToken();
  First.advance(TimePoint(Duration(1'210'000)) - First.Now);
  First.Out.Sent.clear();
  Second.sendRequest(Port, late, 0);
  EXPECT_EQ(First.Out.Sent.size(), 1U);
  expectOnlyAt(First, home);
}

// Guards against dropping a moved first packet because its daemon has started
// at the same time as this one.
TEST_F(MovedHandshakeTest, APacketOfAnUnknownDaemonIsRelayedAfterAStart) {
  const uint32_t token =
      openingToken(DaemonTag::of(VmId("new")), 1, First.key(Port), 1);
  Second.sendRequest(Port, token, 0);
  EXPECT_FALSE(
      Second.Out.reported(PacketEventKind::Relayed, PacketReason::None));
  Second.Router.setPeers({}, false);
  Second.sendRequest(Port, token, 0);
  EXPECT_TRUE(
      Second.Out.reported(PacketEventKind::Relayed, PacketReason::None));
  EXPECT_TRUE(Second.Out.Sent.empty());
}

// Two daemons have one tag. Guards against packets that are relayed in a loop.
TEST_F(MovedHandshakeTest, ARelayedPacketIsNotRelayedAgain) {
  PacketRouterSettings routing = PacketRouterHarness::settings();
  routing.Self = First.Self;
  PacketRouterHarness twin{4, routing};
  twin.publishDefaults();
  PacketRouterHarness::connect({&First, &Second, &twin});
  twin.sendOpening(Port);
  uint64_t home = twin.lastTag();
  Second.sendRequest(Port, twin.lastToken(), 0);
  EXPECT_EQ(twin.Out.Sent.size(), 2U);
  expectOnlyAt(twin, home);
  EXPECT_TRUE(First.Out.Sent.empty());
  EXPECT_TRUE(First.Out.Relayed.empty());
}

} // namespace
} // namespace balsamrack

#include "UnitTests/Packets/MovedHandshake.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

struct SecondAnswers {
  const char *Name;
  size_t Servers; ///< Servers that got the opening.
};

class EachNumberOfAnswers : public MovedHandshakeTest,
                            public testing::WithParamInterface<SecondAnswers> {
};

// The fabric moves a flow to other daemons during its handshake and after it.
// Guards against following the token of a further try's late answer.
TEST_P(EachNumberOfAnswers, LateAnswersMoveNoFlow) {
  First.sendOpening(Port);
  uint64_t home = First.lastTag();
  uint32_t token = First.lastToken();
  retryUntil(GetParam().Servers);
  ASSERT_NE(First.lastTag(), home);
  uint32_t late = First.lastToken();
  First.Out.Sent.clear();
  Second.sendRequest(Port, token, 0);
  ASSERT_EQ(First.Out.Sent.size(), 1U) << "only this daemon knows";
  uint32_t plain = First.lastToken();
  Third.sendRequest(Port, late, 1);
  Second.sendRequest(Port, late, 1);
  First.advance(Millisecond * 250);
  First.sendRequest(Port, late, 1);
  EXPECT_EQ(First.Out.Sent.size(), 4U);
  expectOnlyAt(First, home);
  EXPECT_TRUE(Second.Out.Sent.empty());
  EXPECT_TRUE(Third.Out.Sent.empty());
  Third.sendRequest(Port, plain, 2);
  EXPECT_EQ(Third.lastTag(), home) << "once its server has answered";
  Third.sendRequest(Port, late, 3);
  EXPECT_EQ(Third.lastTag(), home) << "a daemon that tracks the flow knows";
  EXPECT_TRUE(Third.Out.Resets.empty());
}

INSTANTIATE_TEST_SUITE_P(Answers, EachNumberOfAnswers,
                         testing::Values(SecondAnswers{"Two", 2},
                                         SecondAnswers{"Three", 3},
                                         SecondAnswers{"Four", 4}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against a late answer of the first server, after the caller has
// answered the second one: a daemon that does not track the flow must not
// forward it to the first server.
TEST_F(MovedHandshakeTest, ALateFirstAnswerMovesNoFlow) {
  First.sendOpening(Port);
  uint32_t token = First.lastToken();
  retryUntil(2);
  uint64_t home = First.lastTag();
  First.sendOnFlow(Port, First.lastToken());
  ASSERT_EQ(First.lastTag(), home);
  First.Out.Sent.clear();
  Second.sendRequest(Port, token, 1);
  EXPECT_TRUE(Second.Out.Sent.empty());
  EXPECT_TRUE(Second.Out.Resets.empty());
  First.sendRequest(Port, token, 1);
  EXPECT_EQ(First.Out.Sent.size(), 2U);
  expectOnlyAt(First, home);
}

// Guards against a copy of an opening that went to another daemon than the
// first one, when both servers answer.
TEST_F(MovedHandshakeTest, AnAnswerToACopyMovesNoFlow) {
  First.sendOpening(Port);
  uint64_t home = First.lastTag();
  Second.sendOpening(Port, 1);
  uint32_t late = Second.lastToken();
  First.sendOnFlow(Port, First.lastToken());
  Third.sendRequest(Port, late, 1);
  EXPECT_TRUE(Third.Out.Sent.empty()) << "the token proves nothing";
  Second.Now += Millisecond * 150;
  Second.sendRequest(Port, late, 1);
  EXPECT_EQ(Second.Out.Sent.size(), 1U) << "nor does the opening sent here";
  First.sendRequest(Port, late, 1);
  EXPECT_EQ(First.lastTag(), home);
  Third.sendRequest(Port, First.lastToken(), 2);
  EXPECT_EQ(Third.lastTag(), home);
}

struct RepeatedOpening {
  const char *Name;
  uint8_t Copy;       ///< The copy that the first daemon gets first.
  Duration Interrupt; ///< The first daemon was not called for this long.
  bool IsDelayed;   ///< It waited in the socket of the first daemon meanwhile.
  bool IsForwarded; ///< It is forwarded: the caller has sent no later copy.
};

class EachRepeatedOpening
    : public MovedHandshakeTest,
      public testing::WithParamInterface<RepeatedOpening> {};

// A daemon gets an opening that has opened its flow through another daemon.
// Guards against tokens that name one of the servers that this daemon has
// tried, and against trying any if the caller may have sent a later copy.
TEST_P(EachRepeatedOpening, RetriesReferToNoServer) {
  Second.sendOpening(Port, 1);
  uint64_t home = Second.lastTag();
  Second.sendOnFlow(Port, Second.lastToken());
  First.Router.tick(First.Now, First.Out);
  First.Now += GetParam().Interrupt;
  First.Router.setDelayed(GetParam().IsDelayed);
  First.sendOpening(Port, GetParam().Copy);
  First.Router.setDelayed(false);
  if (!GetParam().IsForwarded) {
    First.advance(Millisecond * 200);
    EXPECT_TRUE(First.Out.Sent.empty());
    return;
  }
  retryUntil(2);
  Third.sendRequest(Port, First.lastToken(), 1);
  EXPECT_TRUE(Third.Out.Sent.empty());
  EXPECT_EQ(First.Out.Sent.size(), 2U);
  Third.sendRequest(Port, Second.lastToken(), 1);
  EXPECT_EQ(Third.lastTag(), home);
}

INSTANTIATE_TEST_SUITE_P(
    Openings, EachRepeatedOpening,
    testing::Values(RepeatedOpening{"SecondCopy", 1, Millisecond, false, true},
                    RepeatedOpening{"LastCopy", 2, Millisecond, false, true},
                    RepeatedOpening{"AfterAnInterruption", 0, Millisecond * 500,
                                    false, false},
                    RepeatedOpening{"AfterASuspension", 0, Millisecond, true,
                                    false}),
    [](const auto &info) { return std::string(info.param.Name); });

struct Adoption {
  const char *Name;
  uint32_t Request; ///< The packet by which the second daemon adopts the flow.
};

class EachAdoption : public MovedHandshakeTest,
                     public testing::WithParamInterface<Adoption> {};

// Guards against a late copy of the opening of a flow that was adopted
// meanwhile: it must not open the flow a second time.
TEST_P(EachAdoption, ALateCopyOpensNoFlow) {
  First.sendOpening(Port);
  uint64_t home = First.lastTag();
  uint32_t token = First.lastToken();
  if (GetParam().Request > 0) {
    First.sendRequest(Port, token, 0);
    token = First.lastToken();
  }
  size_t before = First.Out.Sent.size() + Second.Out.Sent.size();
  Second.sendRequest(Port, token, GetParam().Request);
  EXPECT_EQ(First.Out.Sent.size() + Second.Out.Sent.size(), before + 1);
  for (uint8_t copy : {1, 2})
    Second.sendOpening(Port, copy);
  EXPECT_EQ(First.Out.Sent.size() + Second.Out.Sent.size(), before + 1);
  Second.sendRequest(Port, token, 2);
  EXPECT_EQ(First.Out.Sent.size() + Second.Out.Sent.size(), before + 2);
  expectOnlyAt(First, home);
  expectOnlyAt(Second, home);
  EXPECT_FALSE(
      Second.Out.reported(PacketEventKind::Placed, PacketReason::None));
}

INSTANTIATE_TEST_SUITE_P(Adoptions, EachAdoption,
                         testing::Values(Adoption{"ByTheFirstPacket", 0},
                                         Adoption{"ByALaterPacket", 1}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against a further try after a copy may have opened the flow through
// another daemon.
TEST_F(MovedHandshakeTest, AnOverdueRetryIsNotSent) {
  First.sendOpening(Port);
  First.Now += Millisecond * 1'000;
  First.Router.tick(First.Now, First.Out);
  EXPECT_EQ(First.Out.Sent.size(), 1U);
}

// An opening waits in the first daemon for its routes. Guards against a further
// try of it that other daemons follow.
TEST_F(MovedHandshakeTest, ARetryOfAQueuedOpeningRefersToNoServer) {
  First.Router.setStale();
  First.sendOpening(Port);
  First.Router.setFresh();
  retryUntil(2);
  Third.sendRequest(Port, First.lastToken(), 1);
  EXPECT_TRUE(Third.Out.Sent.empty());
  EXPECT_EQ(First.Out.Sent.size(), 2U);
}

// Guards against the loss of a packet that overtakes the first one after the
// opening.
TEST_F(MovedHandshakeTest, AnOvertakingPacketIsForwarded) {
  First.sendOpening(Port);
  uint64_t home = First.lastTag();
  uint32_t token = First.lastToken();
  First.advance(Millisecond * 5);
  First.sendRequest(Port, token, 1);
  First.sendRequest(Port, token, 0);
  EXPECT_EQ(First.Out.Sent.size(), 3U);
  EXPECT_EQ(First.lastTag(), home);
}

// As above, while another daemon may have forwarded copies of the opening.
TEST_F(MovedHandshakeTest, APacketThatOvertakesACopysFirstPacketIsForwarded) {
  First.sendOpening(Port, 1);
  uint64_t home = First.lastTag();
  uint32_t token = First.lastToken();
  First.advance(Millisecond * 5);
  First.sendRequest(Port, token, 1);
  EXPECT_EQ(First.Out.Sent.size(), 1U);
  First.sendRequest(Port, token, 0);
  EXPECT_EQ(First.Out.Sent.size(), 3U);
  EXPECT_EQ(First.lastTag(), home);
}

// The first server is dead. Guards against losing the handshake with the second
// one when the fabric moves it to another daemon.
TEST_F(MovedHandshakeTest, ARescuedOpeningIsFoundByAnotherDaemon) {
  for (uint16_t port = 100; port < 140; ++port) {
    First.sendOpening(port);
    First.advance(Millisecond * 45);
    if (First.Router.silentServers() > 0)
      break;
  }
  // The second server answers a copy of the opening.
  First.sendOpening(Port);
  First.advance(Millisecond * 200);
  First.sendOpening(Port, 1);
  uint64_t home = First.lastTag();
  uint32_t token = First.lastToken();
  First.Out.Sent.clear();
  Second.sendOnFlow(Port, token);
  EXPECT_EQ(First.Out.Sent.size(), 1U);
  expectOnlyAt(First, home);
}

struct WaitingCopy {
  const char *Name;
  uint8_t Copy; ///< The copy that waits in the first daemon.
  uint32_t
      Request; ///< The packet of the open flow that the first daemon gets next.
};

class EachWaitingCopy : public MovedHandshakeTest,
                        public testing::WithParamInterface<WaitingCopy> {};

// A copy of an opening waits in a resumed daemon while the flow opens through
// another one. Guards against sending the open flow to a second server.
TEST_P(EachWaitingCopy, MovesNoOpenFlow) {
  First.Router.setStale();
  First.Router.setDelayed(true);
  First.sendOpening(Port, GetParam().Copy);
  First.Router.setDelayed(false);
  Second.sendOpening(Port, GetParam().Copy + 1);
  uint64_t home = Second.lastTag();
  uint32_t token = Second.lastToken();
  if (GetParam().Request > 0) {
    Second.sendRequest(Port, token, 0);
    token = Second.lastToken();
  }
  size_t before = Second.Out.Sent.size();
  First.sendRequest(Port, token, GetParam().Request);
  ASSERT_EQ(First.Out.Sent.size() + Second.Out.Sent.size(), before + 1);
  First.Router.setFresh();
  First.advance(Millisecond * 30);
  EXPECT_FALSE(First.Out.reported(PacketEventKind::Placed, PacketReason::None));
  First.sendRequest(Port, token, GetParam().Request + 1);
  EXPECT_EQ(First.Out.Sent.size() + Second.Out.Sent.size(), before + 2);
  First.sendRequest(Port, Second.lastToken(), GetParam().Request + 2);
  EXPECT_EQ(First.lastTag(), home);
  expectOnlyAt(First, home);
  expectOnlyAt(Second, home);
}

INSTANTIATE_TEST_SUITE_P(
    Copies, EachWaitingCopy,
    testing::Values(WaitingCopy{"FirstCopyFirstPacket", 0, 0},
                    WaitingCopy{"FirstCopyLaterPacket", 0, 1},
                    WaitingCopy{"SecondCopyFirstPacket", 1, 0},
                    WaitingCopy{"SecondCopyLaterPacket", 1, 1}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a server that a daemon inferred before and then prefers to the
// one that the flow's own packets name.
TEST_F(MovedHandshakeTest, ThePlainTokenReplacesAnInferredServer) {
  First.sendOpening(Port);
  uint64_t silent = First.lastTag();
  retryUntil(2);
  uint64_t home = First.lastTag();
  Third.sendRequest(Port, First.lastToken(), 0);
  First.sendRequest(Port, First.lastToken(), 0);
  ASSERT_EQ(First.lastTag(), home);
  uint32_t plain = First.lastToken();
  Third.sendRequest(Port, plain, 1);
  EXPECT_EQ(Third.lastTag(), home);
  EXPECT_NE(Third.lastTag(), silent);
}

// The caller has accepted the server of a second try. Guards against forwarding
// the rest of its first packets to the first server, which has the opening and
// resets the flow.
TEST_F(MovedHandshakeTest, ARescuedFlowIsNotSentToTheFirstServer) {
  First.sendOpening(Port);
  retryUntil(2);
  uint64_t home = First.lastTag();
  uint32_t token = First.lastToken();
  First.Out.Sent.clear();
  First.sendRequest(Port, token, 0);
  Third.sendRequest(Port, token, 1);
  EXPECT_TRUE(Third.Out.Sent.empty());
  EXPECT_EQ(First.Out.Sent.size(), 2U);
  expectOnlyAt(First, home);
}

// A daemon has forwarded a delayed copy of the opening of an open flow. Guards
// against following the token of its late answer because the copy is recent.
TEST_F(MovedHandshakeTest, ARecentCopyMovesNoOpenFlow) {
  Second.sendOpening(Port, 1);
  uint64_t home = Second.lastTag();
  Second.sendRequest(Port, Second.lastToken(), 0);
  First.Router.setDelayed(true);
  First.sendOpening(Port);
  First.Router.setDelayed(false);
  uint32_t late = First.lastToken();
  First.advance(Millisecond * 10);
  First.Out.Sent.clear();
  First.sendRequest(Port, late, 1);
  for (const RecordingSink::Forwarded &it : First.Out.Sent)
    EXPECT_EQ(it.Tag, home);
}

struct ReusedPort {
  const char *Name;
  bool HasPlainToken; ///< The caller has the token of the open flow.
};

class EachReusedPort : public MovedHandshakeTest,
                       public testing::WithParamInterface<ReusedPort> {};

// A caller opens a flow on the port of an earlier one that this daemon still
// tracks. Guards against forwarding the new flow to the earlier one's server.
TEST_P(EachReusedPort, FollowsTheNewFlow) {
  First.sendOpening(Port);
  uint64_t earlier = First.lastTag();
  First.sendRequest(Port, First.lastToken(), 0);
  for (PacketRouterHarness *it : {&First, &Second})
    it->SequenceOffset = 0x40000000;
  uint64_t home = earlier;
  while (home == earlier) {
    Second.advance(Millisecond * 2'000);
    Second.sendOpening(Port);
    home = Second.lastTag();
    Second.SequenceOffset += 0x01000000;
  }
  Second.SequenceOffset -= 0x01000000;
  First.SequenceOffset = Second.SequenceOffset;
  uint32_t token = Second.lastToken();
  if (GetParam().HasPlainToken) {
    Second.sendRequest(Port, token, 0);
    token = Second.lastToken();
  }
  First.Out.Sent.clear();
  Second.Out.Sent.clear();
  First.sendRequest(Port, token, GetParam().HasPlainToken ? 1 : 0);
  EXPECT_EQ(First.Out.Sent.size() + Second.Out.Sent.size(), 1U);
  expectOnlyAt(First, home);
  expectOnlyAt(Second, home);
}

INSTANTIATE_TEST_SUITE_P(Tokens, EachReusedPort,
                         testing::Values(ReusedPort{"Plain", true},
                                         ReusedPort{"FirstPacket", false}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// A daemon has offered an opening to two servers, and a copy opens the flow at
// a third one through another daemon. Guards against following the late answer
// of the second server to the first.
TEST_F(MovedHandshakeTest, ACopyElsewhereAfterAFurtherTryMovesNoFlow) {
  First.sendOpening(Port);
  uint64_t silent = First.lastTag();
  retryUntil(2);
  uint32_t late = First.lastToken();
  TimePoint second = TimePoint(Duration(1'200'000));
  First.Out.Sent.clear();
  First.advance(second - First.Now);
  uint64_t home = silent;
  // The copy after 200 ms opens the flow through another daemon.
  for (uint64_t seed = 2; home == silent; ++seed) {
    PacketRouterHarness other{seed};
    other.publishDefaults();
    other.Now = second;
    other.sendOpening(Port, 1);
    home = other.lastTag();
    other.sendRequest(Port, other.lastToken(), 0);
  }
  First.Out.Sent.clear();
  First.Now += Millisecond * 10;
  First.sendRequest(Port, late, 1);
  for (const RecordingSink::Forwarded &it : First.Out.Sent)
    EXPECT_EQ(it.Tag, home);
  EXPECT_EQ(First.Out.Sent.size(), 0U);
}

// Guards against offering a copy to a further server that waited in the socket
// until the caller had sent the next one elsewhere.
TEST_F(MovedHandshakeTest, ADelayedCopyOfATrackedOpeningIsDropped) {
  First.sendOpening(Port);
  Second.advance(Millisecond * 600);
  Second.sendOpening(Port, 2);
  Second.sendRequest(Port, Second.lastToken(), 0);
  First.Out.Sent.clear();
  First.Now += Millisecond * 650;
  First.Router.setDelayed(true);
  First.Router.setStale();
  PacketHeader head;
  head.Flow = PacketRouterHarness::key(Port);
  head.Opens = true;
  head.Sequence = PacketRouterHarness::firstSequence(Port);
  head.CopyNumber = 1;
  head.Age = Millisecond * 200;
  head.NextCopyAfter = Millisecond * 400;
  uint8_t bytes[31] = {};
  First.Router.handlePacket(First.Now, head, bytes, sizeof bytes, First.Out);
  First.Router.setDelayed(false);
  EXPECT_EQ(First.Out.Sent.size(), 0U);
}

// Guards against a suspension that is longer than the time to the next copy, on
// a system without time stamps.
TEST_F(MovedHandshakeTest, AnOpeningThatWaitedFor250MsIsNotForwarded) {
  First.Router.tick(First.Now, First.Out);
  First.advance(Millisecond * 20);
  First.Now += Millisecond * 250;
  First.sendOpening(Port);
  EXPECT_EQ(First.Out.Sent.size(), 0U);
}

// Guards against taking the last server for the only one that was offered the
// opening, after all others were tried before.
TEST_F(MovedHandshakeTest, AnAnswerOfAnEarlierRoundMovesNoFlow) {
  First.sendOpening(Port);
  retryUntil(4);
  uint64_t home = First.Out.Sent[2].Tag;
  uint32_t token = First.Out.Sent[2].Token;
  uint64_t last = First.lastTag();
  std::vector<PacketRouterHarness::ServerSpec> draining;
  for (uint64_t tag = 1; tag <= 4; ++tag)
    if (tag != last)
      draining.push_back({"b" + std::to_string(tag),
                          tag <= 2 ? "bern-a" : "bern-b", "booking",
                          ServerMode::Draining});
  First.publishServers(draining);
  First.advance(TimePoint(Duration(1'200'000)) - First.Now);
  First.sendOpening(Port, 1);
  First.Out.Sent.clear();
  First.Now += Millisecond * 3;
  First.sendRequest(Port, token, 0);
  for (const RecordingSink::Forwarded &it : First.Out.Sent)
    EXPECT_EQ(it.Tag, home);
}

// Guards against a new server that gets the table index, and so the flows, of a
// removed one.
TEST_F(MovedHandshakeTest, ARemovedServersIndexMovesNoFlow) {
  First.sendOpening(Port);
  uint64_t home = First.lastTag();
  First.sendRequest(Port, First.lastToken(), 0);
  uint32_t plain = First.lastToken();
  First.removeServers({"b" + std::to_string(home)});
  for (uint32_t i = 1; i < 14; ++i) {
    First.advance(Millisecond * 10'000);
    First.sendRequest(Port, plain, i);
    ASSERT_EQ(First.lastTag(), home);
  }
  // The daemon asks the builder for updates at changes of the store.
  First.publishServers({{"b9", "bern-a"}});
  First.publishServers({{"b10", "bern-a"}});
  First.Out.Sent.clear();
  First.sendRequest(Port, plain, 14);
  for (const RecordingSink::Forwarded &it : First.Out.Sent)
    EXPECT_EQ(it.Tag, home);
}

} // namespace
} // namespace balsamrack

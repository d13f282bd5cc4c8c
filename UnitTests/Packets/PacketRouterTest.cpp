#include <set>

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

TEST(PacketRouterTest, AFlowStaysAtTheServerThatItsCallerAnswers) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1);
  uint64_t home = bench.lastTag();
  uint32_t token = bench.lastToken();
  ASSERT_NE(home, 0U);
  for (int i = 0; i < 5; ++i) {
    bench.sendOnFlow(1, token);
    EXPECT_EQ(bench.lastTag(), home);
    token = bench.lastToken();
    EXPECT_EQ(token, tokenOf(ServerId("b" + std::to_string(home))));
  }
  bench.sendOnFlow(1, token, 0, true);
  EXPECT_EQ(bench.lastTag(), home);
  EXPECT_TRUE(bench.Out.reported(PacketEventKind::Ended, PacketReason::None));
}

// The fabric moves the packets of an open flow to another daemon that does not
// know the flow. It must forward them to the same server.
TEST(PacketRouterTest, AnyDaemonFindsAFlowByItsToken) {
  PacketRouterHarness first(1), second(2), third(3);
  first.publishDefaults();
  second.publishDefaults();
  third.publishDefaults();
  PacketRouterHarness::connect({&first, &second, &third});
  first.sendOpening(1);
  uint64_t home = first.lastTag();
  second.sendOnFlow(1, first.lastToken());
  EXPECT_TRUE(
      second.Out.reported(PacketEventKind::Relayed, PacketReason::None));
  ASSERT_EQ(first.Out.Sent.size(), 2U);
  EXPECT_EQ(first.lastTag(), home);
  third.sendRequest(1, first.lastToken(), 1);
  EXPECT_EQ(third.lastTag(), home);
  EXPECT_TRUE(third.Out.reported(PacketEventKind::Adopted, PacketReason::None));
}

// A server dies, but stays published for three more seconds. Each caller whose
// flow is placed there must not have to wait 200 ms for its next copy.
TEST(PacketRouterTest, AnUnansweredOpeningIsSentToAnotherServerSoon) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1);
  uint64_t first = bench.lastTag();
  bench.advance(Duration(60'000));
  ASSERT_GE(bench.Out.Sent.size(), 2U);
  EXPECT_NE(bench.lastTag(), first);
  bench.advance(Duration(400'000));
  std::set<uint64_t> tried;
  for (const auto &sent : bench.Out.Sent)
    tried.insert(sent.Tag);
  EXPECT_EQ(tried.size(), 4U) << "each server once";
  EXPECT_TRUE(bench.Out.Resets.empty());
}

// After a restart a daemon adopts flows that have nearly ended. The rest of
// their time must not count as request time, or the daemon would consider
// occupied slots free.
TEST(PacketRouterTest, AnAdoptedFlowGivesNoRequestTime) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOnFlow(1, tokenOf(ServerId("b1")));
  bench.sendOnFlow(1, tokenOf(ServerId("b1")), 0, true);
  EXPECT_EQ(
      bench.Router.servers().services().at(ServiceId("booking")).RequestTime,
      Duration(0));
}

// Two servers answer an opening because the first answer was slow. The caller
// accepts the first answer, but its later packets carry the token of the second
// server. They must go to the first server.
TEST(PacketRouterTest, ASecondAnswerMovesNoFlow) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1);
  RecordingSink::Forwarded first = bench.Out.Sent.back();
  bench.advance(Duration(45'000));
  RecordingSink::Forwarded second = bench.Out.Sent.back();
  ASSERT_NE(first.Tag, second.Tag);
  bench.sendOnFlow(1, first.Token);
  EXPECT_EQ(bench.lastTag(), first.Tag);
  bench.sendOnFlow(1, second.Token);
  EXPECT_EQ(bench.lastTag(), first.Tag);
  EXPECT_EQ(bench.lastToken(),
            tokenOf(ServerId("b" + std::to_string(first.Tag))))
      << "the token is corrected";
}

// Two failure domains are partitioned from each other. Detecting each server
// of the other domain separately would delay two callers per server by 40 ms
// or more.
TEST(PacketRouterTest, ASilentDomainIsDetectedByTwoOfItsServers) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}});
  bench.publishServers({{"b1", "bern-a"},
                        {"b2", "bern-a"},
                        {"b3", "bern-b"},
                        {"b4", "bern-b"},
                        {"b5", "bern-b"},
                        {"b6", "bern-b"}});
  uint16_t port = 1;
  auto answers = [](uint64_t tag) { return tag <= 2; };
  for (int i = 0; i < 60; ++i, ++port) {
    bench.sendOpening(port);
    for (int step = 0; step < 40 && !answers(bench.lastTag()); ++step)
      bench.advance(Duration(5'000));
    ASSERT_TRUE(answers(bench.lastTag()));
    // Keep a few flows open, so that the own domain is loaded.
    bench.sendOnFlow(port, bench.lastToken(), 100, port > 6);
    for (const ConnectionAttempt &it : bench.Router.dueAttempts(bench.Now))
      bench.Router.handleAttemptResult(bench.Now, it.Server,
                                       ConnectionResult::Failed, bench.Out);
  }
  size_t wasted = 0;
  for (const auto &sent : bench.Out.Sent)
    wasted += answers(sent.Tag) ? 0 : 1;
  EXPECT_LE(wasted, 6U);
}

TEST(PacketRouterTest, AServerThatAcceptsConnectionsAgainGetsFlowsAgain) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}});
  bench.publishServers({{"b1", "bern-a"}});
  bench.finishAttempts([](ServerIndex) { return true; });
  bench.sendOpening(1);
  bench.sendOpening(2);
  bench.advance(Duration(60'000));
  ASSERT_EQ(bench.Router.silentServers(), 1U);
  auto due = bench.Router.dueAttempts(bench.Now);
  ASSERT_EQ(due.size(), 1U);
  bench.Router.handleAttemptResult(bench.Now, due[0].Server,
                                   ConnectionResult::Connected, bench.Out);
  EXPECT_EQ(bench.Router.silentServers(), 0U);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::ServerBack, PacketReason::None));
}

// An operator asks where a caller's next flow would be sent, and why. The
// explanation must match the actual placement in any state of the daemon.
TEST(PacketRouterTest, ExplanationMatchesPlacement) {
  SeededRandom random(7);
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}});
  bench.publishServers(
      {{"b1", "bern-a"},
       {"b2", "bern-a"},
       {"b3", "bern-b"},
       {"b4", "bern-b", "booking", ServerMode::Active, Duration(400'000)}});
  bench.Router.setFleet({3, 1});
  for (uint16_t port = 1; port <= 300; ++port) {
    FlowExplanation explanation =
        bench.Router.explain(bench.Now, PacketRouterHarness::key(port));
    EXPECT_FALSE(explanation.Known);
    ASSERT_EQ(explanation.Refused, PacketReason::None);
    bench.sendOpening(port);
    std::string went = "b" + std::to_string(bench.lastTag());
    bool agrees = false;
    for (const ExplainedCandidate &it : explanation.Candidates)
      agrees = agrees || (it.Best && it.Server.str() == went);
    EXPECT_TRUE(agrees) << port << " went to " << went;
    explanation =
        bench.Router.explain(bench.Now, PacketRouterHarness::key(port));
    EXPECT_TRUE(explanation.Known);
    EXPECT_EQ(explanation.HomeServer.str(), went);
    // Let some servers answer, some flows end, and time pass.
    if (random.below(5) != 0)
      bench.sendOnFlow(port, bench.lastToken(), 100, random.below(2) == 0);
    bench.advance(Duration(static_cast<int64_t>(random.below(60'000))));
  }
}

TEST(PacketRouterTest, ExplainsWhyANewFlowIsRefused) {
  PacketRouterHarness bench;
  EXPECT_EQ(
      bench.Router.explain(bench.Now, PacketRouterHarness::key(1)).Refused,
      PacketReason::NotReady);
  bench.configure(1, {{443, "booking"}});
  EXPECT_EQ(
      bench.Router.explain(bench.Now, PacketRouterHarness::key(1)).Refused,
      PacketReason::NoServer);
  EXPECT_EQ(
      bench.Router.explain(bench.Now, PacketRouterHarness::key(1, 999)).Refused,
      PacketReason::NoRoute);
}

/// A packet that must not reach a server, and the reason reported.
struct NotForwarded {
  const char *Name;
  uint32_t Token;
  uint16_t Port;
  PacketReason Why;
};

class EachNotForwarded : public testing::TestWithParam<NotForwarded> {};

// A caller uses an invented token or one of another service. Its packets must
// reach no server, and a flow that may be open must not be reset.
TEST_P(EachNotForwarded, IsDroppedWithoutReset) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}, {444, "plans"}});
  bench.publishServers({{"b1", "bern-a"}, {"b7", "bern-a", "plans"}});
  bench.sendOnFlow(9, GetParam().Token, 100, false, GetParam().Port);
  EXPECT_TRUE(bench.Out.Sent.empty());
  EXPECT_TRUE(bench.Out.Resets.empty());
  EXPECT_TRUE(bench.Out.reported(PacketEventKind::Dropped, GetParam().Why));
}

INSTANTIATE_TEST_SUITE_P(
    Tokens, EachNotForwarded,
    testing::Values(NotForwarded{"None", 0, 443, PacketReason::NoToken},
                    NotForwarded{"MadeUp", 12345, 443,
                                 PacketReason::UnknownToken},
                    NotForwarded{"OfAnotherService", tokenOf(ServerId("b7")),
                                 443, PacketReason::ForeignToken},
                    NotForwarded{"OnAnUnknownRoute", tokenOf(ServerId("b1")),
                                 445, PacketReason::NoRoute}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(PacketRouterTest, OpeningsWithoutServerOrRouteAreRefusedAtOnce) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}});
  bench.sendOpening(1);
  bench.sendOpening(2, 0, 999);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::NoServer));
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::NoRoute));
  EXPECT_EQ(bench.Out.Resets.size(), 2U);
}

// No server answers an opening or its last copy. The caller must be told by a
// reset instead of waiting until its own timeout.
TEST(PacketRouterTest, AnOpeningThatNoServerAnswersIsGivenUp) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1);
  bench.advance(Duration(200'000));
  bench.sendOpening(1, 1);
  bench.advance(Duration(400'000));
  EXPECT_TRUE(bench.Out.Resets.empty());
  bench.sendOpening(1, 2);
  bench.advance(Duration(700'000));
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::NoAnswer));
}

// Operators remove a route. The open flow on it must still be served, and new
// flows must be refused.
TEST(PacketRouterTest, ADroppedRouteKeepsItsOpenFlows) {
  PacketRouterHarness bench;
  bench.configure(1, {{443, "booking"}});
  bench.publishServers({{"b1", "bern-a"}});
  bench.sendOpening(1);
  uint32_t token = bench.lastToken();
  bench.sendOnFlow(1, token);
  bench.configure(2, {{444, "booking"}});
  size_t before = bench.Out.Sent.size();
  bench.sendOnFlow(1, token);
  EXPECT_EQ(bench.Out.Sent.size(), before + 1);
  bench.sendOpening(2);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::NoRoute));
}

TEST(PacketRouterTest, DrainingServersAndDomainsOutGetNoNewFlows) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.takeDomainOut("bern-b");
  bench.publishServers({{"b2", "bern-a", "booking", ServerMode::Draining}});
  for (uint16_t port = 1; port <= 20; ++port) {
    bench.sendOpening(port);
    EXPECT_EQ(bench.lastTag(), 1U);
    bench.sendOnFlow(port, bench.lastToken());
  }
}

// A cold server can take four new flows a second. Nine loaded daemons must not
// exceed this together.
TEST(PacketRouterTest, AllDaemonsTogetherRespectTheLimitOfAColdServer) {
  constexpr size_t Daemons = 9;
  constexpr double PerSecond = 4;
  size_t toCold = 0;
  for (size_t self = 0; self < Daemons; ++self) {
    PacketRouterHarness bench(self + 1);
    bench.configure(1, {{443, "booking"}}, PerSecond);
    bench.publishServers({{"b1", "bern-a"},
                          {"b2", "bern-a"},
                          {"b3", "bern-b"},
                          {"b4", "bern-b", "booking", ServerMode::Active,
                           Duration(60'000'000)}});
    bench.Router.setFleet({Daemons, self});
    for (uint16_t port = 1; port <= 400; ++port) {
      bench.sendOpening(port);
      bench.sendOnFlow(port, bench.lastToken());
      bench.advance(Duration(5'000));
    }
    for (const auto &sent : bench.Out.Sent)
      toCold += sent.Tag == 4 ? 1 : 0;
  }
  // The run takes two seconds, and each flow has two packets.
  EXPECT_LE(static_cast<double>(toCold) / 2, PerSecond * 2);
  EXPECT_GT(toCold, 4U);
}

// The publishing service was unavailable, and all entries expired although the
// servers are alive. Openings must still be spread over all of them.
TEST(PacketRouterTest, ServersThatExpireTogetherStayInUse) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.removeServers({"b1", "b2", "b3", "b4"});
  std::set<uint64_t> used;
  for (uint16_t port = 1; port <= 40; ++port) {
    bench.sendOpening(port);
    used.insert(bench.lastTag());
    bench.sendOnFlow(port, bench.lastToken());
  }
  EXPECT_EQ(used.size(), 4U);
  EXPECT_TRUE(bench.Out.Resets.empty());
  bench.advance(Duration(2'100'000));
  bench.sendOpening(100);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::NoServer));
}

TEST(PacketRouterTest, AServerThatDisappearsAloneIsTheLastChoice) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.removeServers({"b1"});
  for (uint16_t port = 1; port <= 20; ++port) {
    bench.sendOpening(port);
    EXPECT_NE(bench.lastTag(), 1U);
    bench.sendOnFlow(port, bench.lastToken());
  }
}

// A daemon starts and receives openings before the first routes. Dropping them
// would delay each caller by 200 ms.
TEST(PacketRouterTest, OpeningsWaitForTheFirstRoutes) {
  PacketRouterHarness bench;
  bench.sendOpening(1);
  EXPECT_TRUE(bench.Out.Sent.empty());
  bench.publishDefaults();
  bench.advance(Duration(5'000));
  EXPECT_EQ(bench.Out.Sent.size(), 1U);
}

// A process was suspended for seconds, so its routes may be outdated. New flows
// must wait for updates, and open flows must continue.
TEST(PacketRouterTest, AfterAPauseOpeningsWaitForARefresh) {
  PacketRouterHarness bench;
  bench.publishDefaults();
  bench.sendOpening(1);
  uint32_t token = bench.lastToken();
  bench.sendOnFlow(1, token);
  bench.Router.setStale();
  bench.sendOpening(2);
  EXPECT_EQ(bench.Out.Sent.size(), 2U);
  bench.sendOnFlow(1, token);
  EXPECT_EQ(bench.Out.Sent.size(), 3U);
  bench.Router.setFresh();
  bench.advance(Duration(5'000));
  EXPECT_EQ(bench.Out.Sent.size(), 4U);
}

// The flow table is full. Further flows must be routed by their tokens alone.
TEST(PacketRouterTest, AFullFlowTableLosesNoFlow) {
  PacketRouterSettings settings = PacketRouterHarness::settings();
  settings.MaxFlows = 2;
  PacketRouterHarness bench(1, settings);
  bench.publishDefaults();
  PacketRouter &router = bench.Router;
  const uint8_t bytes[31] = {};
  for (uint16_t port = 1; port <= 5; ++port) {
    PacketHeader head;
    head.Flow = PacketRouterHarness::key(port);
    head.Opens = true;
    head.Sequence = port;
    router.handlePacket(bench.Now, head, bytes, sizeof bytes, bench.Out);
    uint64_t home = bench.lastTag();
    head.Opens = false;
    head.Token = bench.lastToken();
    head.Sequence = port + 1U;
    head.DataBytes = 10;
    router.handlePacket(bench.Now, head, bytes, sizeof bytes, bench.Out);
    EXPECT_EQ(bench.lastTag(), home);
  }
  EXPECT_EQ(router.flows(), 2U);
}

// Guards against forwarding an opening that is not tracked: only this daemon
// can tell which server its caller answers.
TEST(PacketRouterTest, ATableFullOfHandshakesRefusesOpenings) {
  PacketRouterSettings settings = PacketRouterHarness::settings();
  settings.MaxFlows = 2;
  PacketRouterHarness bench(1, settings);
  bench.publishDefaults();
  for (uint16_t port = 1; port <= 3; ++port)
    bench.sendOpening(port);
  EXPECT_EQ(bench.Out.Sent.size(), 2U);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Refused, PacketReason::TableFull));
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
  // A copy may have been answered through another daemon.
  bench.sendOpening(4, 1);
  EXPECT_TRUE(
      bench.Out.reported(PacketEventKind::Dropped, PacketReason::TableFull));
  EXPECT_EQ(bench.Out.Sent.size(), 2U);
  EXPECT_EQ(bench.Out.Resets.size(), 1U);
}

// The same input must give the same actions.
TEST(PacketRouterTest, IsDeterministic) {
  auto play = [] {
    PacketRouterHarness bench(7);
    bench.publishDefaults();
    for (uint16_t port = 1; port <= 50; ++port) {
      bench.sendOpening(port);
      if (port % 3 != 0)
        bench.sendOnFlow(port, bench.lastToken());
      bench.advance(Duration(10'000));
    }
    std::vector<uint64_t> tags;
    for (const auto &sent : bench.Out.Sent)
      tags.push_back(sent.Tag);
    return tags;
  };
  EXPECT_EQ(play(), play());
}

} // namespace
} // namespace balsamrack

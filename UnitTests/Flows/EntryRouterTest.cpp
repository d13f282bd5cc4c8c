#include <deque>
#include <map>

#include <optional>

#include "Balsamrack/Decisions/OwnerSettings.h"
#include "Balsamrack/Flows/FlowToken.h"
#include "UnitTests/Flows/RouterHarness.h"

namespace balsamrack {
namespace {

EntrySettings withTokens() {
  EntrySettings s;
  s.TokenKey = "fleet";
  return s;
}

std::string token(FlowId flow, const ServerId &server, uint64_t ticket = 10,
                  const ServiceId &service = Booking) {
  return FlowTokenCodec("fleet").encode(
      {service.hash(), server.hash(), flow, TicketNumber{ticket}});
}

/// A condition that excludes the first candidate from new flows. They go to the
/// next one.
struct ObstacleCase {
  const char *Name;
  void (*Change)(RoutedServer &);
  const char *Established; ///< Result with a token: an ending, or "sent".
};

class ObstacleTest : public testing::TestWithParam<ObstacleCase> {};

TEST_P(ObstacleTest, NewFlowGoesToAnotherServer) {
  RoutingView view = makeView(5);
  RouterHarness harness(view, withTokens());
  ServerId first = harness.candidates()[0];
  GetParam().Change(serverIn(view, first));
  harness.setView(view);
  harness.arrive(true);
  EXPECT_NE(harness.forward().Server, first);
}

TEST_P(ObstacleTest, EstablishedFlowIsNeverMoved) {
  RoutingView view = makeView(5);
  RouterHarness harness(view, withTokens());
  ServerId first = harness.candidates()[0];
  GetParam().Change(serverIn(view, first));
  harness.setView(view);
  harness.arrive(false, Semantics::RunOnce, token(harness.Flow, first));
  if (std::string(GetParam().Established) != "sent") {
    EXPECT_EQ(harness.ending(), GetParam().Established);
    EXPECT_EQ(harness.End.Result.RetryAfter > Duration(0),
              harness.End.Result.Kind == OutcomeKind::NotRun);
    return;
  }
  EXPECT_EQ(harness.forward().Server, first);
  EXPECT_TRUE(harness.LastForward.ByToken);
}

INSTANTIATE_TEST_SUITE_P(
    All, ObstacleTest,
    testing::Values(
        ObstacleCase{
            "Draining",
            [](RoutedServer &s) { s.Server.Mode = ServerMode::Draining; },
            "sent"},
        ObstacleCase{"Ejected", [](RoutedServer &s) { s.Ejected = true; },
                     "sent"},
        ObstacleCase{"WeightZero", [](RoutedServer &s) { s.Server.Weight = 0; },
                     "sent"},
        ObstacleCase{"DomainOut",
                     [](RoutedServer &s) { s.DomainInService = false; },
                     "given-up/domain-out"},
        ObstacleCase{"DomainCut",
                     [](RoutedServer &s) { s.DomainReachable = false; },
                     "not-run/domain-unreachable"},
        ObstacleCase{"OwnerCut",
                     [](RoutedServer &s) { s.OwnerReachable = false; },
                     "not-run/owner-unreachable"},
        ObstacleCase{"NoOwner", [](RoutedServer &s) { s.Owner = {}; },
                     "not-run/owner-unreachable"}),
    [](const auto &info) { return info.param.Name; });

/// Reply of an owner to a new flow, and whether the next owner is tried.
struct RefusalCase {
  OutcomeKind How;
  Reason Why;
  bool TriesNext;
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

TEST_P(RefusalTest, OnlyProvablyNotRunGoesToTheNextOwner) {
  RouterHarness harness(makeView(5));
  harness.arrive(true);
  ServerId first = harness.forward().Server;
  harness.reply(GetParam().How, GetParam().Why, first);
  EXPECT_EQ(harness.all<SendForward>().size(), GetParam().TriesNext ? 1U : 0U);
  EXPECT_EQ(harness.all<EndPacket>().size(), GetParam().TriesNext ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    All, RefusalTest,
    testing::Values(
        RefusalCase{OutcomeKind::NotRun, Reason::QueueFull, true},
        RefusalCase{OutcomeKind::NotRun, Reason::ServerCold, true},
        RefusalCase{OutcomeKind::NotRun, Reason::ServerFull, true},
        RefusalCase{OutcomeKind::NotRun, Reason::ServerEjected, true},
        RefusalCase{OutcomeKind::NotRun, Reason::ServerDraining, true},
        RefusalCase{OutcomeKind::NotRun, Reason::CallerOverFairShare, true},
        RefusalCase{OutcomeKind::NotRun, Reason::DeadlineTooShort, true},
        RefusalCase{OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, true},
        RefusalCase{OutcomeKind::NotRun, Reason::ServerShed, true},
        RefusalCase{OutcomeKind::NotRun, Reason::ServerUnreachable, true},
        RefusalCase{OutcomeKind::NotRun, Reason::DeadlinePassed, false},
        RefusalCase{OutcomeKind::NotRun, Reason::CallerDisconnected, false},
        RefusalCase{OutcomeKind::OutcomeUnknown, Reason::ServerFailed, false},
        RefusalCase{OutcomeKind::GivenUp, Reason::DomainOutOfService, false},
        RefusalCase{OutcomeKind::Answered, Reason::None, false}));

TEST(EntryRouterTest, TriesAreBounded) {
  RouterHarness harness(makeView(14));
  harness.arrive(true);
  for (uint32_t i = 1; i < harness.Settings.MaxTries; ++i)
    harness.reply(OutcomeKind::NotRun, Reason::QueueFull,
                  harness.forward().Server);
  harness.reply(OutcomeKind::NotRun, Reason::QueueFull,
                harness.forward().Server);
  EXPECT_EQ(harness.ending(), "not-run/queue-full");
  EXPECT_GT(harness.End.Result.RetryAfter, Duration(0));
}

// Guards against retries multiplying the load of an overloaded service: if all
// owners refuse and each packet is offered to four of them, they receive four
// times the packets. The retry budget must limit the increase to a fifth.
TEST(EntryRouterTest, RetryBudgetShrinksUnderOverload) {
  EntrySettings settings;
  RouterHarness harness(makeView(14), settings);
  size_t forwards = 0;
  constexpr size_t Packets = 1000;
  for (size_t i = 0; i < Packets; ++i) {
    harness.arrive(true);
    while (!harness.all<SendForward>().empty()) {
      ++forwards;
      harness.reply(OutcomeKind::NotRun, Reason::QueueFull,
                    harness.forward().Server);
    }
  }
  EXPECT_EQ(harness.ending(), "not-run/retry-budget");
  EXPECT_LE(forwards, Packets * 1.2 + settings.RetryBurst + 1);
}

/// A token and its effect.
struct TokenCase {
  const char *Name;
  std::string (*Make)(FlowId, const ServerId &);
  const char *Result; ///< "token", "rank" or an ending.
};

class TokenTest : public testing::TestWithParam<TokenCase> {};

TEST_P(TokenTest, ChoosesAServerOfTheServiceOrNothing) {
  RouterHarness harness(makeView(5), withTokens());
  ServerId last = harness.candidates()[4];
  harness.arrive(false, Semantics::RunOnce,
                 GetParam().Make(harness.Flow, last));
  std::string expected = GetParam().Result;
  if (expected != "token" && expected != "rank") {
    EXPECT_EQ(harness.ending(), expected);
    return;
  }
  EXPECT_EQ(harness.forward().Server,
            expected == "token" ? last : harness.candidates()[0]);
}

INSTANTIATE_TEST_SUITE_P(
    All, TokenTest,
    testing::Values(
        TokenCase{"Good",
                  [](FlowId f, const ServerId &s) { return token(f, s); },
                  "token"},
        TokenCase{"OtherFlow",
                  [](FlowId, const ServerId &s) { return token(FlowId{5}, s); },
                  "rank"},
        TokenCase{"OtherService",
                  [](FlowId f, const ServerId &s) {
                    return token(f, s, 10, ServiceId("archive"));
                  },
                  "rank"},
        TokenCase{"OtherKey",
                  [](FlowId f, const ServerId &s) {
                    return FlowTokenCodec("other").encode(
                        {Booking.hash(), s.hash(), f, TicketNumber{10}});
                  },
                  "rank"},
        TokenCase{"Garbage",
                  [](FlowId, const ServerId &) { return std::string("x"); },
                  "rank"},
        TokenCase{"ServerDeleted",
                  [](FlowId f, const ServerId &) {
                    return token(f, ServerId("gone"), 10);
                  },
                  "given-up/no-server"},
        TokenCase{"ServerOfLaterTicket",
                  [](FlowId f, const ServerId &) {
                    return token(f, ServerId("new"), 11);
                  },
                  "not-run/owner-unsure"}),
    [](const auto &info) { return info.param.Name; });

TEST(EntryRouterTest, AnswerCarriesATokenThatComesBack) {
  RouterHarness harness(makeView(5), withTokens());
  harness.arrive(true);
  ServerId home = harness.forward().Server;
  harness.reply(OutcomeKind::Answered, Reason::None, home);
  EXPECT_EQ(harness.ending(), "answered/none");
  harness.arrive(false, Semantics::RunOnce, harness.End.Token);
  EXPECT_EQ(harness.forward().Server, home);
  EXPECT_TRUE(harness.LastForward.ByToken);
}

/// Replies of the owners of the first four candidates about an established flow
/// that the first one does not know: "" rules its server out, "fresh" reports
/// its own server as fresh, "home" knows that the flow is bound to candidate 2,
/// "silent" does not reply, "later" rules its server out but has a later
/// ticket.
struct QuestionCase {
  const char *Name;
  std::vector<std::string> Replies;
  const char *Result; ///< Candidate that it is forwarded to, or an ending.
};

class QuestionTest : public testing::TestWithParam<QuestionCase> {};

TEST_P(QuestionTest, PlacesAnUnknownEstablishedFlow) {
  EntrySettings settings;
  settings.QuestionCandidates = 3;
  RouterHarness harness(makeView(8), settings);
  std::vector<ServerId> order = harness.candidates();
  harness.arrive(false);
  EXPECT_EQ(harness.forward().Server, order[0]);
  EXPECT_FALSE(harness.LastForward.Accept);
  harness.reply(OutcomeKind::NotRun, Reason::FlowNotOnServer, ServerId());
  // Two owners are asked in the first round, the others if those do not know
  // the flow.
  EXPECT_EQ(harness.all<SendQuestion>().size(), 2U);
  std::map<VmId, std::string> replies;
  for (size_t i = 0; i < GetParam().Replies.size(); ++i)
    replies[harness.View->findServer(order[i])->Owner.Id] =
        GetParam().Replies[i];
  std::deque<VmId> asked;
  for (;;) {
    for (const SendQuestion &it : harness.all<SendQuestion>())
      asked.push_back(it.To.Id);
    if (asked.empty())
      break;
    VmId vm = asked.front();
    asked.pop_front();
    std::string reply = replies[vm];
    if (reply == "silent")
      harness.step(SendFailed{RequestId{1}, vm});
    else if (reply == "fresh")
      harness.flowReply(vm, serverId(std::stoul(vm.str().substr(3))).str(),
                        true);
    else if (reply == "later")
      harness.flowReply(vm, "", false, TicketNumber{11});
    else
      harness.flowReply(vm, reply == "home" ? order[2].str() : "", false);
    if (!harness.all<SendForward>().empty() ||
        !harness.all<EndPacket>().empty())
      break;
  }
  std::string expected = GetParam().Result;
  if (expected.size() > 1) {
    EXPECT_EQ(harness.ending(), expected);
    return;
  }
  EXPECT_EQ(harness.forward().Server, order[std::stoul(expected)]);
  EXPECT_TRUE(harness.LastForward.Accept);
}

INSTANTIATE_TEST_SUITE_P(
    All, QuestionTest,
    testing::Values(
        QuestionCase{"KnownAtThird", {"", "", "home"}, "2"},
        QuestionCase{"KnownWinsOverFresh", {"fresh", "", "home"}, "2"},
        QuestionCase{"NobodyKnows", {"", "", "", ""}, "0"},
        QuestionCase{"FirstIsFresh", {"fresh", "", "", ""}, "0"},
        QuestionCase{"OwnerOfSecondDied", {"", "fresh", "", ""}, "1"},
        QuestionCase{"OwnerOfSecondDoesNotReply",
                     {"", "silent", "", ""},
                     "not-run/owner-unreachable"},
        QuestionCase{
            "NoReplyBehindAFreshOwner", {"fresh", "silent", "", ""}, "0"},
        QuestionCase{
            "LaterTicket", {"", "", "later", ""}, "not-run/owner-unsure"},
        QuestionCase{"LaterTicketButKnown", {"", "later", "home"}, "2"}),
    [](const auto &info) { return info.param.Name; });

TEST(EntryRouterTest, ExceptionIsFollowedOnce) {
  RouterHarness harness(makeView(5));
  std::vector<ServerId> order = harness.candidates();
  harness.arrive(false);
  harness.forward();
  harness.reply(OutcomeKind::NotRun, Reason::FlowNotOnServer, order[3]);
  EXPECT_EQ(harness.forward().Server, order[3]);
  EXPECT_TRUE(harness.LastForward.Accept);
  harness.reply(OutcomeKind::NotRun, Reason::QueueFull, order[3]);
  EXPECT_EQ(harness.ending(), "not-run/queue-full");
}

// Guards against running a request twice: its owner's VM dies while it has the
// request, so it is unknown whether it ran. Forwarding it to another owner
// could charge a deposit twice, so the caller must get an unknown outcome.
TEST(EntryRouterTest, LostOwnerEndsRunOnceUnknown) {
  RouterHarness harness(makeView(5));
  harness.arrive(true);
  harness.step(PeerLost{harness.forward().To.Id});
  EXPECT_EQ(harness.ending(), "unknown/owner-lost");
  EXPECT_TRUE(harness.all<SendForward>().empty());
}

// The same with an idempotent request, which is retried once on another owner.
// If that owner refuses, the outcome must not be "not run", since the first
// attempt may have run.
TEST(EntryRouterTest, LostOwnerOfIdempotentIsTriedOnceMore) {
  RouterHarness harness(makeView(5));
  harness.arrive(true, Semantics::Idempotent);
  ServerId first = harness.forward().Server;
  harness.step(PeerLost{harness.LastForward.To.Id});
  EXPECT_NE(harness.forward().Server, first);
  harness.reply(OutcomeKind::NotRun, Reason::DeadlinePassed,
                harness.LastForward.Server);
  EXPECT_EQ(harness.ending(), "unknown/owner-lost");
  EXPECT_EQ(harness.End.Result.Server, first);
}

// Guards against a duplicated refusal starting a second run: an owner refuses,
// the next owner starts to run the request, and then a duplicate of the refusal
// arrives. If it were taken for the second owner's reply, a third owner would
// run the request again.
TEST(EntryRouterTest, DuplicatedRefusalIsDropped) {
  RouterHarness harness(makeView(5));
  harness.arrive(true);
  SendForward first = harness.forward();
  harness.reply(OutcomeKind::NotRun, Reason::QueueFull, first.Server);
  harness.forward();
  Outcome again;
  again.Request = RequestId{1};
  again.Cause = Reason::QueueFull;
  again.Server = first.Server;
  EXPECT_TRUE(harness.step(OwnerReplied{first.To.Id, again}).empty());
  EXPECT_EQ(harness.Router->inProgress(), 1U);
}

// The same if one daemon owns both servers: only the server in the refusal
// distinguishes it from a reply of the current owner.
TEST(EntryRouterTest, DuplicatedRefusalOfTheSameOwnerIsDropped) {
  RoutingView view = makeView(5);
  for (RoutedServer &it : view.Services[Booking].Servers)
    it.Owner.Id = vmId(0);
  RouterHarness harness(view);
  harness.arrive(true);
  ServerId first = harness.forward().Server;
  harness.reply(OutcomeKind::NotRun, Reason::QueueFull, first);
  harness.forward();
  harness.reply(OutcomeKind::NotRun, Reason::QueueFull, first);
  EXPECT_TRUE(harness.Last.empty());
}

// An owner redirects the packet to the flow's server, whose owner now has it. A
// duplicate of the redirection must not forward it again.
TEST(EntryRouterTest, DuplicatedElsewhereIsDropped) {
  RoutingView view = makeView(5);
  for (RoutedServer &it : view.Services[Booking].Servers)
    it.Owner.Id = vmId(0);
  RouterHarness harness(view);
  ServerId home = harness.candidates()[3];
  harness.arrive(false);
  harness.forward();
  harness.reply(OutcomeKind::NotRun, Reason::FlowNotOnServer, home);
  EXPECT_EQ(harness.forward().Server, home);
  harness.reply(OutcomeKind::NotRun, Reason::FlowNotOnServer, home);
  EXPECT_TRUE(harness.Last.empty());
}

TEST(EntryRouterTest, DeadlineEndsTruthfully) {
  RouterHarness harness(makeView(5));
  harness.arrive(true);
  EntryVm owner = harness.forward().To;
  EXPECT_EQ(*harness.Router->nextWakeup(), harness.Now + ms(10'000));
  harness.Now += ms(10'000);
  harness.step(EntryTicked{});
  EXPECT_EQ(harness.ending(), "unknown/deadline-passed");
  ASSERT_EQ(harness.all<SendCancel>().size(), 1U);
  EXPECT_EQ(harness.all<SendCancel>()[0].To.Id, owner.Id);
  EXPECT_EQ(harness.Router->inProgress(), 0U);
  EXPECT_FALSE(harness.Router->nextWakeup());
}

TEST(EntryRouterTest, UnsentForwardIsRetriedElsewhere) {
  RouterHarness harness(makeView(5));
  harness.arrive(true);
  ServerId first = harness.forward().Server;
  harness.step(SendFailed{RequestId{1}, harness.LastForward.To.Id});
  EXPECT_NE(harness.forward().Server, first);
}

TEST(EntryRouterTest, PacketOfAnUnknownServiceGoesNowhere) {
  RoutingView view = makeView(3);
  view.Services[Booking].Servers[1].Server.Service = ServiceId("archive");
  EXPECT_FALSE(RoutingView::create(view).ok());
  RouterHarness harness(makeView(3));
  Envelope head;
  head.Request = RequestId{1};
  head.Service = ServiceId("archive");
  head.Remaining = ms(1000);
  harness.step(PacketArrived{head, ""});
  EXPECT_EQ(harness.ending(), "not-run/unknown-service");
}

TEST(EntryRouterTest, ExplainsWhereAFlowWouldGo) {
  RoutingView view = makeView(3);
  RouterHarness harness(view);
  ServerId first = harness.candidates()[0];
  serverIn(view, first).Server.Mode = ServerMode::Draining;
  harness.setView(view);
  auto decisions = explainPlacement(*harness.View, Booking, harness.Flow, {});
  ASSERT_EQ(decisions.size(), 4U);
  EXPECT_EQ(decisions[0].Rule, "server-draining");
  EXPECT_EQ(decisions[3].Server, harness.candidates()[1]);
}

/// What one replica of a new key replies at once, when the other one replies
/// Granted, and what becomes of the request.
struct SlowReplica {
  const char *Name;
  std::optional<KeyVerdict> FirstReply;
  int64_t SecondReplyMillis; ///< More than the 10 s of the caller: never.
  const char *Ending;        ///< "-" if it is forwarded.
};

class EachSlowReplica : public testing::TestWithParam<SlowReplica> {};

// Guards against an unknown outcome of a request that was never forwarded,
// while a replica that is slow, on a busy machine, may still reply in time.
TEST_P(EachSlowReplica, IsAwaitedUnlessNothingRanForSure) {
  constexpr KeyDigest Key{3, 9};
  RouterHarness h(makeView(4));
  h.arrive(true, Semantics::RunOnce, "", Key);
  std::vector<SendClaim> claims = h.all<SendClaim>();
  ASSERT_EQ(claims.size(), 2U);
  auto reply = [&](size_t i, KeyVerdict verdict) {
    h.step(KeyReplied{claims[i].To.Id, {Key, RequestId{1}, verdict}});
  };
  if (GetParam().FirstReply)
    reply(0, *GetParam().FirstReply);
  std::string ending = h.ending();
  for (int64_t at = 0; at < 10'000 && ending == "-"; at += 50) {
    if (at == GetParam().SecondReplyMillis) {
      if (!GetParam().FirstReply)
        reply(0, KeyVerdict::Fresh);
      reply(1, KeyVerdict::Granted);
      h.forward();
      break;
    }
    h.Now += ms(50);
    h.step(EntryTicked{});
    ending = h.ending();
  }
  EXPECT_EQ(ending, GetParam().Ending);
}

INSTANTIATE_TEST_SUITE_P(
    Replicas, EachSlowReplica,
    testing::Values(SlowReplica{"BothSlow", std::nullopt, 3'000, "-"},
                    SlowReplica{"OneSlow", KeyVerdict::Fresh, 3'000, "-"},
                    SlowReplica{"BothSilent", std::nullopt, 11'000,
                                "not-run/deadline-passed"},
                    SlowReplica{"OneSilentTheOtherSure", KeyVerdict::Granted,
                                11'000, "not-run/key-unknown"}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a key that stays in progress until it expires because a
// replica left before it received that the request did not run.
TEST(EntryRouterTest, AnUnsentEndingGoesToTheNextReplicas) {
  constexpr KeyDigest Key{3, 9};
  RoutingView view = makeView(4);
  RouterHarness h(view);
  h.arrive(true, Semantics::RunOnce, "", Key);
  std::vector<SendClaim> claims = h.all<SendClaim>();
  ASSERT_EQ(claims.size(), 2U);
  for (const SendClaim &it : claims)
    h.step(KeyReplied{it.To.Id, {Key, RequestId{1}, KeyVerdict::Granted}});
  const ServerId server = h.forward().Server;
  h.reply(OutcomeKind::NotRun, Reason::BadRequest, server);
  std::vector<SendSettled> endings = h.all<SendSettled>();
  ASSERT_EQ(endings.size(), 2U);
  const VmId leaver = endings[0].To.Id;
  h.step(SettleFailed{endings[0].Settled});
  // It has not left yet in the view, so the first retry fails as well.
  h.Now += h.Settings.ClaimRepeat;
  h.step(EntryTicked{});
  EXPECT_EQ(h.all<SendSettled>().size(), 2U);
  h.step(SettleFailed{endings[0].Settled});
  auto &members = view.KeyReplicas.Members;
  members.erase(
      std::remove_if(members.begin(), members.end(),
                     [&](const EntryVm &it) { return it.Id == leaver; }),
      members.end());
  h.setView(view);
  h.Now = *h.Router->nextWakeup();
  h.step(EntryTicked{});
  endings = h.all<SendSettled>();
  ASSERT_EQ(endings.size(), 2U);
  for (const SendSettled &it : endings) {
    EXPECT_NE(it.To.Id, leaver);
    EXPECT_EQ(it.Settled.How, OutcomeKind::NotRun);
  }
  h.Now += h.Settings.Linger;
  h.step(EntryTicked{});
  EXPECT_TRUE(h.all<SendSettled>().empty());
  EXPECT_FALSE(h.Router->nextWakeup().has_value());
}

// Guards against callers of an established flow that come back at once, again
// and again, while the owner of its server is shutting down.
TEST(EntryRouterTest, ARefusalByTheOwnerSaysWhenToComeBack) {
  RouterHarness h(makeView(4));
  h.arrive(false, Semantics::Idempotent);
  const ServerId server = h.forward().Server;
  Outcome refusal;
  refusal.Request = RequestId{1};
  refusal.Kind = OutcomeKind::NotRun;
  refusal.Cause = Reason::ShuttingDown;
  refusal.Server = server;
  refusal.RetryAfter = OwnerSettings().Waits.MinRetryAfter;
  h.step(OwnerReplied{h.LastForward.To.Id, refusal});
  EXPECT_EQ(h.ending(), "not-run/shutting-down");
  EXPECT_GE(h.End.Result.RetryAfter, h.Settings.RetryAfter);
}

// Guards against an unknown outcome of a request that was about to be forwarded
// when the connection to its owner closed.
TEST(EntryRouterTest, ALossDoesNotConcernAnUnsentForward) {
  RouterHarness h(makeView(4));
  h.arrive(true);
  const SendForward forward = h.forward();
  h.step(PeerLost{forward.To.Id, {RequestId{1}}, {}});
  EXPECT_EQ(h.ending(), "-");
  h.step(SendFailed{RequestId{1}, forward.To.Id});
  EXPECT_EQ(h.all<SendForward>().size(), 1U);
}

} // namespace
} // namespace balsamrack

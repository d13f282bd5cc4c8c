#include "Balsamrack/Flows/OwnerFlows.h"

#include "UnitTests/Flows/RouterHarness.h"

namespace balsamrack {
namespace {

/// An owner that is vm-N in its view.
class OwnerHarness {
public:
  OwnerHarness(RoutingView view, size_t self) {
    OwnerFlowsSettings s;
    s.Flows.Shards = s.Exceptions.Shards = 4;
    Owner = std::move(*OwnerFlows::create(s));
    setView(std::move(view), self);
  }
  void setView(RoutingView view, size_t self) {
    view.Self.Id = vmId(self);
    View = *RoutingView::create(std::move(view));
    Owner->setView(View);
  }
  FlowVerdict judge(FlowId flow, bool first, size_t server, bool accept = false,
                    bool byToken = false) {
    Envelope head;
    head.Flow = flow;
    head.Service = Booking;
    head.FirstOfFlow = first;
    return Owner->resolveFlow(Now, head, serverId(server), accept, byToken);
  }
  FlowReply ask(FlowId flow) {
    return Owner->answerQuestion(Now, {RequestId{1}, flow, Booking});
  }
  /// Returns the first flow whose top candidates are those given.
  FlowId flowRanked(const std::vector<size_t> &begin) const {
    const FlowRank &rank = View->findService(Booking)->Rank;
    uint64_t f = 1;
    while (rank.topCandidates(FlowId{f}, begin.size()) != begin)
      ++f;
    return FlowId{f};
  }

  std::unique_ptr<OwnerFlows> Owner;
  std::shared_ptr<const RoutingView> View;
  TimePoint Now{Duration(1'000'000'000)};
};

/// A packet of a flow and the verdict on it.
struct JudgeCase {
  const char *Name;
  bool KnownHere, KnownAtOther, Exception;
  bool First, Accept, ByToken;
  FlowVerdict::Kind How;
};

class JudgeTest : public testing::TestWithParam<JudgeCase> {};

TEST_P(JudgeTest, JudgesAPacketForServerZero) {
  const JudgeCase &c = GetParam();
  RoutingView view = makeView(4);
  serverIn(view, serverId(1)).Owner.Id = vmId(0);
  OwnerHarness harness(view, 0);
  FlowId flow{5};
  if (c.KnownHere)
    harness.judge(flow, true, 0);
  if (c.KnownAtOther)
    harness.judge(flow, true, 1);
  if (c.Exception)
    harness.Owner->addFlows(harness.Now, {Booking, {{flow, serverId(3)}}});
  FlowVerdict v = harness.judge(flow, c.First, 0, c.Accept, c.ByToken);
  EXPECT_EQ(v.How, c.How);
  std::string expected = "booking-0";
  if (c.How == FlowVerdict::Elsewhere)
    expected = c.KnownAtOther ? "booking-1" : "booking-3";
  EXPECT_EQ(v.Server.str(), c.How == FlowVerdict::Unknown ? "" : expected);
  bool bound = c.How != FlowVerdict::Elsewhere && c.How != FlowVerdict::Unknown;
  EXPECT_EQ(harness.Owner->countFlows(serverId(0)), bound ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All, JudgeTest,
    testing::Values(JudgeCase{"First", false, false, false, true, false, false,
                              FlowVerdict::New},
                    JudgeCase{"FirstAgain", true, false, false, true, false,
                              false, FlowVerdict::Known},
                    JudgeCase{"Known", true, false, false, false, false, false,
                              FlowVerdict::Known},
                    JudgeCase{"Unknown", false, false, false, false, false,
                              false, FlowVerdict::Unknown},
                    JudgeCase{"AcceptedAfterSearch", false, false, false, false,
                              true, false, FlowVerdict::Accepted},
                    JudgeCase{"BoundByToken", false, false, true, false, false,
                              true, FlowVerdict::Accepted},
                    JudgeCase{"OnOurOtherServer", false, true, false, false,
                              false, false, FlowVerdict::Elsewhere},
                    JudgeCase{"Exception", false, false, true, false, false,
                              false, FlowVerdict::Elsewhere}),
    [](const auto &info) { return info.param.Name; });

// Guards against announcing a flow before it is admitted: a new flow is offered
// to a full server, refused, and goes to the next one. If the full server's
// owner announced it to the first candidate's owner, later packets could be
// sent to the full server, which would break the flow.
TEST(OwnerFlowsTest, DisplacedFlowIsAnnouncedOnceToItsFirstCandidatesOwner) {
  OwnerHarness harness(makeView(4), 2);
  FlowId flow = harness.flowRanked({1, 2});
  harness.judge(flow, true, 2);
  EXPECT_TRUE(harness.Owner->dequeueBatches(harness.Now, 10'000).empty());
  harness.judge(flow, false, 2);
  harness.judge(flow, false, 2);
  auto batches = harness.Owner->dequeueBatches(harness.Now, 10'000);
  ASSERT_EQ(batches.size(), 1U);
  EXPECT_EQ(batches[0].To.Id, vmId(1));
  ASSERT_EQ(batches[0].Batch.Flows.size(), 1U);
  EXPECT_EQ(batches[0].Batch.Flows[0].Server, serverId(2));
  EXPECT_TRUE(harness.Owner->dequeueBatches(harness.Now, 10'000).empty());
}

// Guards against losing a displaced flow with its owner: one daemon owns both
// the flow's first candidate and its server, and dies. Its successor does not
// know the flow and would accept it on its first candidate. So the best-ranked
// other owner must get a copy of the exception.
TEST(OwnerFlowsTest, CopyGoesElsewhereWhenBothServersAreOurs) {
  RoutingView view = makeView(4);
  serverIn(view, serverId(1)).Owner.Id = vmId(2);
  OwnerHarness harness(view, 2);
  FlowId flow = harness.flowRanked({1, 2, 3});
  harness.judge(flow, true, 2);
  harness.judge(flow, false, 2);
  auto batches = harness.Owner->dequeueBatches(harness.Now, 10'000);
  ASSERT_EQ(batches.size(), 1U);
  EXPECT_EQ(batches[0].To.Id, vmId(3));
}

TEST(OwnerFlowsTest, BatchesStayWithinTheByteBudget) {
  OwnerHarness harness(makeView(4), 2);
  constexpr uint32_t NumFlows = 1000;
  for (uint64_t f = 1; f <= NumFlows; ++f)
    harness.judge(FlowId{f}, false, 2, true);
  size_t flows = 0;
  for (int i = 0; i < 100; ++i) {
    size_t bytes = 0;
    for (const ExceptionBatch &it :
         harness.Owner->dequeueBatches(harness.Now, 1000)) {
      bytes += 48 + it.Batch.Flows.size() * (16 + 9);
      flows += it.Batch.Flows.size();
    }
    EXPECT_LE(bytes, 1000U);
  }
  EXPECT_NEAR(static_cast<double>(flows), NumFlows * 0.75, NumFlows * 0.05);
}

// An owner died and its servers were taken over without a hand-over. A question
// about an unknown flow must not be answered as if these servers were ruled
// out.
TEST(OwnerFlowsTest, FreshServerIsPossibleUntilItsTimeout) {
  OwnerHarness harness(makeView(4), 2);
  FlowId flow = harness.flowRanked({2});
  EXPECT_FALSE(harness.ask(flow).Fresh);
  harness.Owner->setFreshUntil(serverId(2), harness.Now + ms(1000));
  EXPECT_TRUE(harness.ask(flow).Fresh);
  EXPECT_EQ(harness.ask(flow).Server, serverId(2));
  harness.Now += ms(1000);
  EXPECT_FALSE(harness.ask(flow).Fresh);
}

// A caller is idle for ten minutes or more after the owner died. The taken-over
// server must still be reported as fresh for the flow's next packet, or the
// flow is treated as not found.
TEST(OwnerFlowsTest, TakenOverServerIsFreshForTheIdleTimeout) {
  RoutingView view = makeView(4);
  view.Services[Booking].Settings.FlowIdleTimeout = std::chrono::minutes(20);
  OwnerHarness harness(view, 2);
  FlowId flow = harness.flowRanked({2});
  harness.Owner->markTakenOver(harness.Now, serverId(2));
  harness.Now += std::chrono::minutes(19);
  EXPECT_TRUE(harness.ask(flow).Fresh);
  harness.Now += std::chrono::minutes(1);
  EXPECT_FALSE(harness.ask(flow).Fresh);
}

TEST(OwnerFlowsTest, HandOverTransfersAllFlows) {
  OwnerHarness old(makeView(4), 2);
  FlowId here = old.flowRanked({2, 1});
  FlowId displaced = old.flowRanked({1, 2});
  FlowId elsewhere = old.flowRanked({2, 3});
  old.judge(here, true, 2);
  old.judge(displaced, true, 2);
  old.Owner->addFlows(old.Now, {Booking, {{elsewhere, serverId(3)}}});
  RoutingView view = makeView(4);
  serverIn(view, serverId(2)).Owner.Id = vmId(0);
  OwnerHarness next(view, 0);
  next.Owner->setFreshUntil(serverId(2), next.Now + ms(1000));
  next.Owner->addFlows(next.Now, old.Owner->exportFlows(old.Now, serverId(2)));
  EXPECT_EQ(next.judge(displaced, false, 2).How, FlowVerdict::Known);
  EXPECT_EQ(next.judge(elsewhere, false, 2).Server, serverId(3));
  EXPECT_EQ(next.judge(here, false, 2).How, FlowVerdict::Known);
}

// The old owner's hand-over arrives before the view that makes this daemon the
// owner. The flow must not be redirected to its server, which this daemon owns
// itself.
TEST(OwnerFlowsTest, HandOverMayComeBeforeTheView) {
  OwnerHarness harness(makeView(4), 0);
  harness.Owner->addFlows(harness.Now, {Booking, {{FlowId{5}, serverId(2)}}});
  RoutingView view = makeView(4);
  serverIn(view, serverId(2)).Owner.Id = vmId(0);
  harness.setView(view, 0);
  EXPECT_EQ(harness.judge(FlowId{5}, false, 2).How, FlowVerdict::Accepted);
  EXPECT_EQ(harness.judge(FlowId{5}, false, 2).How, FlowVerdict::Known);
}

TEST(OwnerFlowsTest, FlowOfADeletedServerIsUnknown) {
  OwnerHarness harness(makeView(4), 0);
  harness.Owner->addFlows(harness.Now, {Booking, {{FlowId{5}, serverId(3)}}});
  EXPECT_EQ(harness.judge(FlowId{5}, false, 0).How, FlowVerdict::Elsewhere);
  harness.setView(makeView(3), 0);
  EXPECT_EQ(harness.judge(FlowId{5}, false, 0).How, FlowVerdict::Unknown);
}

} // namespace
} // namespace balsamrack

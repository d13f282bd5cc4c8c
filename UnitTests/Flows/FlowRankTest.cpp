#include "Balsamrack/Flows/FlowRank.h"

#include <algorithm>
#include <map>
#include <numeric>

#include "UnitTests/Flows/SeededCheck.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {
namespace {

std::vector<RankedServer> servers(const std::vector<uint32_t> &weights) {
  std::vector<RankedServer> list;
  for (size_t i = 0; i < weights.size(); ++i)
    list.push_back({ServerId(absl::StrCat("s-", i)), weights[i]});
  return list;
}

std::vector<uint32_t> someWeights() {
  auto weight = rc::gen::inRange<uint32_t>(0, 400);
  auto weights = *rc::gen::container<std::vector<uint32_t>>(weight);
  if (*rc::gen::inRange(0, 2) == 0)
    std::fill(weights.begin(), weights.end(), 100);
  weights.push_back(100);
  return weights;
}

/// Weights of a service, and the tolerated relative deviation of each server's
/// share of flows from its weight.
struct BalanceCase {
  std::vector<uint32_t> Weights;
  double Tolerance;
};

class BalanceTest : public testing::TestWithParam<BalanceCase> {};

TEST_P(BalanceTest, EachServerGetsItsShare) {
  constexpr uint32_t NumFlows = 100'000;
  const std::vector<uint32_t> &weights = GetParam().Weights;
  FlowRank rank(servers(weights));
  std::vector<double> got(weights.size());
  for (uint64_t f = 1; f <= NumFlows; ++f)
    ++got[rank.firstCandidate(FlowId{f})];
  double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (size_t i = 0; i < weights.size(); ++i) {
    double share = NumFlows * weights[i] / sum;
    EXPECT_NEAR(got[i], share, share * GetParam().Tolerance) << "server " << i;
  }
}

INSTANTIATE_TEST_SUITE_P(
    All, BalanceTest,
    testing::Values(BalanceCase{std::vector<uint32_t>(14, 100), 0.05},
                    BalanceCase{std::vector<uint32_t>(4, 100), 0.02},
                    BalanceCase{{100, 200, 300, 400}, 0.03},
                    BalanceCase{{1, 100, 100, 0}, 0.15}, BalanceCase{{7}, 0}));

TEST(FlowRankTest, JoiningServerTakesFlowsOnlyForItself) {
  EXPECT_TRUE(seededCheck([] {
    auto weights = someWeights();
    FlowRank before(servers(weights));
    weights.push_back(*rc::gen::inRange<uint32_t>(1, 400));
    FlowRank after(servers(weights));
    FlowId flow{*rc::gen::arbitrary<uint64_t>()};
    size_t now = after.firstCandidate(flow);
    RC_ASSERT(now == weights.size() - 1 || now == before.firstCandidate(flow));
  }));
}

TEST(FlowRankTest, LeavingServerMovesOnlyItsFlowsToTheNextCandidate) {
  EXPECT_TRUE(seededCheck([] {
    auto list = servers(someWeights());
    list.push_back({ServerId("last"), 100});
    FlowRank before(list);
    FlowId flow{*rc::gen::arbitrary<uint64_t>()};
    auto order = before.topCandidates(flow, 2);
    auto gone = *rc::gen::inRange<size_t>(0, list.size());
    ServerId expected = list[order[order[0] == gone ? 1 : 0]].Server;
    list.erase(list.begin() + static_cast<ptrdiff_t>(gone));
    RC_ASSERT(list[FlowRank(list).firstCandidate(flow)].Server == expected);
  }));
}

TEST(FlowRankTest, OrderIsAPermutationThatBeginsWithTheFirst) {
  EXPECT_TRUE(seededCheck([] {
    auto weights = someWeights();
    FlowRank rank(servers(weights));
    FlowId flow{*rc::gen::arbitrary<uint64_t>()};
    auto order = rank.topCandidates(flow, weights.size());
    RC_ASSERT(order[0] == rank.firstCandidate(flow));
    std::sort(order.begin(), order.end());
    for (size_t i = 0; i < order.size(); ++i)
      RC_ASSERT(order[i] == i);
  }));
}

// Daemons of different versions must rank servers identically, so the ranks are
// part of the protocol. Detects changes of the hash or of the logarithm.
TEST(FlowRankTest, PlacesArePartOfTheProtocol) {
  FlowRank equal(servers(std::vector<uint32_t>(14, 100)));
  FlowRank weighted(servers({100, 50, 200, 10}));
  uint64_t digest = 0;
  for (uint64_t f = 1; f <= 1000; ++f)
    for (const FlowRank *rank : {&equal, &weighted})
      for (size_t i : rank->topCandidates(FlowId{f}, 3))
        digest = combineHash(digest, i);
  EXPECT_EQ(digest, 11324303232091743200ULL);
}

} // namespace
} // namespace balsamrack

#include <set>
#include <vector>

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketBench.h"

// Flows that stay open for many requests: what counts as work.

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

/// Opens a flow and has its first request answered.
uint32_t longFlow(PacketBench &bench, uint16_t port) {
  bench.opens(port);
  uint32_t token = bench.lastToken();
  bench.asks(port, token, 0);
  bench.pass(Millisecond * 30);
  bench.hears(port, token, 0);
  return token;
}

uint32_t inProgress(const PacketBench &bench) {
  uint32_t sum = 0;
  for (const TabledServer &it : bench.Router.servers().all())
    sum += it.InProgress;
  return sum;
}

// Story: truck terminals keep their flows to a status feed open and ask now and
// then. A daemon that took each open flow for a request at work saw all slots
// taken, and let late openings wait for half a second beside idle servers.
TEST(LongFlowsTest, IdleFlowsAreNoWork) {
  PacketBench bench;
  bench.configure(1, {{443, "booking"}}, 0, Duration(150'000));
  bench.servers({{"b1", "bern-a"}, {"b2", "bern-a"}});
  for (uint16_t port = 1; port <= 40; ++port)
    longFlow(bench, port);
  EXPECT_EQ(inProgress(bench), 0U);
  size_t before = bench.Out.Sent.size();
  bench.opens(99, 1);
  EXPECT_EQ(bench.Out.Sent.size(), before + 1) << "slots are free";
}

// A few busy flows among many idle ones: a request counts from its data to its
// answer, also on a flow that was silent for longer than the idle timeout and
// is no longer remembered.
TEST(LongFlowsTest, ARequestCountsUntilItsAnswer) {
  PacketBench bench;
  bench.usual();
  std::vector<uint32_t> tokens{0};
  for (uint16_t port = 1; port <= 20; ++port)
    tokens.push_back(longFlow(bench, port));
  for (uint16_t port = 1; port <= 3; ++port)
    bench.asks(port, tokens[port], 1);
  EXPECT_EQ(inProgress(bench), 3U);
  bench.hears(2, tokens[2], 1);
  EXPECT_EQ(inProgress(bench), 2U);
  bench.pass(Duration(30'000'000));
  EXPECT_EQ(bench.Router.flows(), 0U);
  EXPECT_EQ(inProgress(bench), 0U);
  bench.asks(7, tokens[7], 1);
  EXPECT_EQ(inProgress(bench), 1U);
  bench.hears(7, tokens[7], 1);
  EXPECT_EQ(inProgress(bench), 0U);
}

} // namespace
} // namespace balsamrack

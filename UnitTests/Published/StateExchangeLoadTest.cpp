#include <gtest/gtest.h>

#include "UnitTests/Published/ExchangeSimulation.h"

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};
/// Maximum control traffic sent by a daemon during a rollout of servers.
constexpr double ReleaseBytesPerSecond = 20'000;
/// Longer messages would delay callers' packets on a link of 10 Mbit/s.
constexpr uint64_t LongestMessage = 65'536;

/// Size of a fleet and number of its servers.
struct Fleet {
  const char *Name;
  size_t Domains;
  size_t PerDomain;
  size_t Servers;
};

class EachFleet : public testing::TestWithParam<Fleet> {};

// Guards against daemons that start with listings of different revisions and
// then send each other everything.
TEST_P(EachFleet, SimultaneousStartIsCheapAndConverges) {
  ExchangeSimulation fleet(GetParam().Domains, GetParam().PerDomain, 1);
  fleet.addServers(GetParam().Servers);
  fleet.ListingAge = Second * 2;
  auto release = [&](int changes, Duration period) {
    for (int i = 0; i < changes; ++i) {
      if (i % 2 == 0)
        fleet.changeServer("i-" + std::to_string(i));
      else
        fleet.removeServer("i-" + std::to_string(i));
      fleet.run(period);
    }
  };
  release(20, Second / 10);
  fleet.restartAll();
  fleet.BytesSent = fleet.BytesListed = fleet.LongestMessage = 0;
  release(40, Second / 10);
  fleet.run(Second * 2);
  EXPECT_TRUE(fleet.allHoldServers());
  EXPECT_LE(fleet.LongestMessage, LongestMessage);
  // Daemons of a large fleet copy the servers from each other, once.
  uint64_t copies = 0;
  if (fleet.BytesListed < fleet.Nodes.size() * fleet.listingBytes())
    copies = fleet.Nodes.size() * fleet.copyBytes();
  double perDaemon =
      (static_cast<double>(fleet.BytesSent) - static_cast<double>(copies)) / 6 /
      static_cast<double>(fleet.Nodes.size());
  printf("%s: %.0f bytes a second and daemon beside one copy\n",
         GetParam().Name, perDaemon);
  EXPECT_LE(perDaemon, ReleaseBytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Fleets, EachFleet,
                         testing::Values(Fleet{"Thirty", 4, 8, 300},
                                         Fleet{"Hundred", 4, 25, 1000},
                                         Fleet{"ThreeHundred", 4, 75, 3000}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// A daemon starts while the store refuses its reads. Guards against all of its
// peers sending it everything in one message.
TEST(StateExchangeLoadTest, StartWithoutTheStoreCopiesTheStateOnce) {
  constexpr size_t Servers = 3000;
  ExchangeSimulation fleet(4, 8, 1);
  fleet.addServers(Servers);
  fleet.run(Second * 4);
  ASSERT_TRUE(fleet.allHoldServers());
  fleet.Nodes[0].Reads = ExchangeSimulation::Source::Refuses;
  fleet.restart(0);
  fleet.ObjectsSent = fleet.LongestMessage = 0;
  fleet.run(Second);
  EXPECT_TRUE(fleet.allHoldServers());
  EXPECT_LE(fleet.ObjectsSent, Servers * 3 / 2);
  EXPECT_LE(fleet.LongestMessage, LongestMessage);
}

// All servers of a failure domain change. Guards against a reader whose link is
// saturated for seconds since it sends all changes to each daemon of its own
// domain.
TEST(StateExchangeLoadTest, ChangesOfAWholeDomainSaturateNoLink) {
  constexpr size_t Servers = 3000, OfDomain = 750, Batch = 250;
  // A tenth of a link of 10 Mbit/s.
  constexpr double LinkBytesPerSecond = 125'000;
  ExchangeSimulation fleet(4, 75, 1);
  fleet.addServers(Servers);
  fleet.run(Second * 4);
  ASSERT_TRUE(fleet.allHoldServers());
  for (auto &node : fleet.Nodes)
    node.BytesSent = 0;
  for (size_t i = 0; i < OfDomain; i += Batch) {
    fleet.removeServers(i, i + Batch);
    fleet.run(Second / 2);
  }
  fleet.run(Second * 2);
  EXPECT_TRUE(fleet.allHoldServers());
  for (size_t i = 0; i < OfDomain; i += Batch) {
    fleet.addServers(i, i + Batch);
    fleet.run(Second / 2);
  }
  fleet.run(Second * 2);
  EXPECT_TRUE(fleet.allHoldServers());
  uint64_t most = 0;
  for (const auto &node : fleet.Nodes)
    most = std::max(most, node.BytesSent);
  printf("the busiest sends %.0f bytes a second\n",
         static_cast<double>(most) / 7);
  EXPECT_LE(static_cast<double>(most) / 7, LinkBytesPerSecond);
}

} // namespace
} // namespace balsamrack

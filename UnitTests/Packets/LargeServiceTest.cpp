#include <set>

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

/// Number of servers of one service, and of daemons before them.
struct LargeService {
  const char *Name;
  size_t Servers;
  size_t Daemons;
};

class EachLargeService : public testing::TestWithParam<LargeService> {
protected:
  EachLargeService() {
    Bench.configure(1, {{443, "booking"}}, ColdPerSecond);
    publish(Duration(0), GetParam().Servers);
    Bench.Router.setFleet({GetParam().Daemons, 0});
  }
  /// Publishes the first \p count servers.
  void publish(Duration coldLeft, size_t count) {
    std::vector<PacketRouterHarness::ServerSpec> all;
    for (size_t i = 1; i <= count; ++i) {
      auto at =
          "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
      auto domain = "bern-" + std::string(1, static_cast<char>('a' + i % 6));
      all.push_back({"b" + std::to_string(i), domain, "booking",
                     ServerMode::Active, coldLeft, 0, at});
    }
    Bench.publishServers(all);
  }

  static constexpr double ColdPerSecond = 0.01;
  PacketRouterHarness Bench;
};

// Guards against a choice whose cost grows with the servers of the service.
TEST_P(EachLargeService, AChoiceComparesABoundedNumberOfServers) {
  constexpr size_t MostCompared = 128;
  FlowExplanation choice =
      Bench.Router.explain(Bench.Now, PacketRouterHarness::key(1));
  EXPECT_LE(choice.Candidates.size(), MostCompared);
  EXPECT_GE(choice.Candidates.size(), 20U);
}

// Guards against a sample that leaves out this daemon's own slots, or a failure
// domain.
TEST_P(EachLargeService, AChoiceComparesOwnServersAndAllDomains) {
  FlowExplanation choice =
      Bench.Router.explain(Bench.Now, PacketRouterHarness::key(1));
  std::set<DomainId> domains;
  size_t own = 0;
  for (const ExplainedCandidate &it : choice.Candidates) {
    own += it.Share > 0 ? 1 : 0;
    for (const ServerEntry &server : Bench.Router.servers().all())
      if (server.Backend.Published->Server.Id == it.Server)
        domains.insert(server.Backend.Published->Server.Domain);
  }
  EXPECT_GT(own, 0U);
  EXPECT_EQ(domains.size(), 6U);
}

// Guards against a refusal although a server could take the flow, which the
// first samples do not contain: all others are cold and have had their share.
TEST_P(EachLargeService, TheOnlyUsableServersAreFound) {
  constexpr size_t Warm = 2, Openings = 200;
  publish(Duration(60'000'000), GetParam().Servers - Warm);
  for (uint16_t caller = 1; caller <= Openings; ++caller)
    Bench.sendOpening(caller);
  EXPECT_EQ(Bench.Out.Sent.size(), Openings);
  EXPECT_TRUE(Bench.Out.Resets.empty());
}

// Guards against a choice that compares all servers once all are silent.
TEST_P(EachLargeService, AChoiceAmongSilentServersIsBoundedToo) {
  constexpr size_t MostCompared = 128;
  constexpr uint16_t Openings = 4000;
  for (uint16_t caller = 1; caller <= Openings; ++caller)
    Bench.sendOpening(caller);
  Bench.advance(Duration(500'000));
  for (ServerIndex i = 0; i < GetParam().Servers; ++i)
    ASSERT_TRUE(Bench.Router.isSilent(i));
  FlowExplanation choice =
      Bench.Router.explain(Bench.Now, PacketRouterHarness::key(1));
  EXPECT_LE(choice.Candidates.size(), MostCompared);
  EXPECT_GE(choice.Candidates.size(), 20U);
}

// Guards against samples that always contain the same servers, so that others
// get no flows.
TEST_P(EachLargeService, AllServersGetFlowsWhenOwnSlotsAreTaken) {
  std::set<uint64_t> used;
  for (uint16_t caller = 1; caller <= 4 * GetParam().Servers; ++caller) {
    Bench.sendOpening(caller);
    used.insert(Bench.lastTag());
  }
  EXPECT_GE(used.size(), GetParam().Servers * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(Services, EachLargeService,
                         testing::Values(LargeService{"Few", 300, 30},
                                         LargeService{"FewDaemons", 600, 3},
                                         LargeService{"Many", 3000, 300},
                                         LargeService{"Twice", 6000, 600}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

} // namespace
} // namespace balsamrack

#include <gtest/gtest.h>

#include "UnitTests/Published/ExchangeSimulation.h"

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};
/// From then on the platform expects a started daemon to follow every change.
constexpr Duration CompleteWithin{8'000'000};

/// Number of daemons and of servers.
struct LargeFleet {
  const char *Name;
  size_t DaemonsPerDomain; ///< In each of four domains.
  size_t Servers;
};

class LargeStartTest : public testing::TestWithParam<LargeFleet> {
protected:
  LargeStartTest() : Fleet(4, GetParam().DaemonsPerDomain, 1) {
    Fleet.addServers(GetParam().Servers);
    Fleet.SourceBytesPerSecond = 125'000'000;
    Fleet.NodeBytesPerSecond = 2'500'000;
    Fleet.MembersAfter = Second / 2;
  }
  /// Restarts all daemons and counts from then on.
  void restartAll() {
    Fleet.run(Second * 10);
    ASSERT_TRUE(Fleet.allHoldServers());
    Fleet.BytesListed = Fleet.WholeListings = 0;
    Fleet.restartAll();
  }
  /// Returns the longest time that a daemon took to reach the state \p at.
  Duration slowest(TimePoint ExchangeSimulation::Node::*at) const {
    Duration most{0};
    for (const auto &node : Fleet.Nodes) {
      EXPECT_NE(node.*at, TimePoint{}) << node.Vm.Id.str();
      most = std::max(most, node.*at - node.StartedAt);
    }
    return most;
  }

  ExchangeSimulation Fleet;
};

// Guards against a start of all daemons that takes seconds, because each of
// them lists every server and the link of the publishing service is full.
TEST_P(LargeStartTest, AllDaemonsPlaceFlowsAtOnce) {
  restartAll();
  Fleet.run(CompleteWithin);
  EXPECT_LE(slowest(&ExchangeSimulation::Node::UsableAt), Second / 2);
  EXPECT_TRUE(Fleet.allHoldServers());
  EXPECT_LE(slowest(&ExchangeSimulation::Node::CompleteAt), CompleteWithin);
}

// Guards against a start whose cost at the publishing service grows with the
// number of daemons times that of servers.
TEST_P(LargeStartTest, BytesListedByADaemonDoNotGrowWithTheServers) {
  // Twice the size of a start's shares, and a few listings of everything in
  // each domain.
  constexpr uint64_t BytesPerDaemon = uint64_t{2} * 128 * 300;
  constexpr uint64_t WholeListings = uint64_t{4} * 4;
  restartAll();
  Fleet.run(CompleteWithin);
  size_t daemons = Fleet.Nodes.size();
  printf("%s: %.0f bytes a daemon, %.0f listings of all\n", GetParam().Name,
         static_cast<double>(Fleet.BytesListed) / static_cast<double>(daemons),
         static_cast<double>(Fleet.WholeListings));
  EXPECT_LE(Fleet.WholeListings, WholeListings);
  EXPECT_LE(Fleet.BytesListed,
            daemons * BytesPerDaemon +
                Fleet.WholeListings * GetParam().Servers * 301);
}

INSTANTIATE_TEST_SUITE_P(Fleets, LargeStartTest,
                         testing::Values(LargeFleet{"Small", 12, 2400},
                                         LargeFleet{"MoreServers", 12, 4800},
                                         LargeFleet{"MoreDaemons", 24, 4800}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against a failure domain that restarts, lists its shares and then can
// no longer read the service: it must copy the rest from other domains.
TEST(LargeStartSinglesTest, ADomainWithoutTheSourceCopiesFromOtherDomains) {
  constexpr size_t PerDomain = 4;
  ExchangeSimulation fleet(4, PerDomain, 1);
  fleet.addServers(4000);
  fleet.run(CompleteWithin);
  for (size_t i = 0; i < PerDomain; ++i)
    fleet.restart(i);
  fleet.run(Second / 2);
  for (size_t i = 0; i < PerDomain; ++i) {
    EXPECT_TRUE(fleet.Nodes[i].Exchange->isUsable());
    fleet.Nodes[i].Reads = ExchangeSimulation::Source::Refuses;
  }
  fleet.run(CompleteWithin);
  EXPECT_TRUE(fleet.allHoldServers());
}

// Guards against a daemon that waits for a copy of the servers in its domain
// and meanwhile ignores a new configuration that other domains have.
TEST(LargeStartSinglesTest, AWaitingDaemonAsksOtherDomainsForConfigurations) {
  const TimePoint now(Second);
  SeededRandom random(1);
  const EntryVm self{VmId("10.0.0.1"), DomainId("d0"), {"10.0.0.1", 1}, false};
  const EntryVm near{VmId("10.0.0.2"), DomainId("d0"), {"10.0.0.2", 1}, false};
  const EntryVm far{VmId("10.1.0.1"), DomainId("d1"), {"10.1.0.1", 1}, false};
  StateExchange exchange(StateExchangeSettings(), self, random);
  exchange.setPeers({near, far});
  exchange.tick(now);
  PublishedRead share;
  share.Share = 0;
  PublishedChanges listed{PublishedSection::Servers, {}, {9}, {}};
  listed.IsPartial = true;
  for (uint64_t i = 1; i <= StateExchangeSettings().StartObjects; ++i)
    listed.Objects.push_back({PublishedSection::Servers,
                              "i-" + std::to_string(i),
                              {i},
                              std::make_shared<const PublishedServer>()});
  exchange.handleReadResult(now, share, listed);
  const SectionDigest newer{{20}, {20}, 77, {20}, 5, Duration(3)};
  const PublishedDigest digest{{newer, newer}};
  size_t sections = 0;
  for (const StateExchangeAction &it : exchange.handleDigest(now, far, digest))
    if (const auto *to = std::get_if<SendStateMessage>(&it))
      if (const auto *what = std::get_if<PublishedRequest>(&to->Message))
        sections = what->Sections.size();
  EXPECT_EQ(sections, 1U) << "the operators' section only";
}

/// Returns the watches of \p perDomain daemons in each of four domains in the
/// first seconds after a start of all.
uint64_t countWatchesAfterStart(size_t perDomain) {
  ExchangeSimulation fleet(4, perDomain, 1);
  fleet.addServers(2400);
  fleet.MembersAfter = Second / 4;
  fleet.run(CompleteWithin);
  fleet.restartAll();
  for (auto &node : fleet.Nodes)
    node.Watches = 0;
  fleet.run(Second * 3);
  uint64_t watches = 0;
  for (const auto &node : fleet.Nodes)
    watches += node.Watches;
  return watches;
}

// Guards against a start after which each daemon asks the publishing service
// whether its listing is the newest state.
TEST(LargeStartSinglesTest, FewDaemonsWatchAfterAStart) {
  // Two regular readers watch two sections, twice in three seconds; at most one
  // of eight daemons watches besides.
  constexpr uint64_t RegularWatches = uint64_t{2} * 2 * 2;
  for (size_t perDomain : {12, 24})
    EXPECT_LE(countWatchesAfterStart(perDomain),
              RegularWatches + perDomain * 4 / 8);
}

// Guards against a daemon that waits for its peers for ever, because it hears
// of their state and its requests are lost.
TEST(LargeStartSinglesTest, ADaemonWhoseRequestsAreLostListsAll) {
  ExchangeSimulation fleet(4, 4, 1);
  fleet.addServers(4000);
  fleet.run(Second * 4);
  const VmId cut = fleet.Nodes[0].Vm.Id;
  fleet.Reaches = [cut](const auto &from, const auto &) {
    return from.Vm.Id != cut;
  };
  fleet.restart(0);
  fleet.run(Second * 6);
  EXPECT_TRUE(fleet.Nodes[0].Exchange->store().isComplete());
}

// Guards against a daemon that lists all servers at a restart, although its
// peers have them.
TEST(LargeStartSinglesTest, ARestartedDaemonCopiesFromItsPeers) {
  ExchangeSimulation fleet(4, 4, 1);
  fleet.addServers(4000);
  fleet.run(Second * 8);
  fleet.WholeListings = 0;
  fleet.restart(0);
  fleet.run(Second * 2);
  EXPECT_TRUE(fleet.allHoldServers());
  EXPECT_EQ(fleet.WholeListings, 0u);
}

// Guards against a fleet of which no daemon becomes complete, because the
// service fails when the shares were read.
TEST(LargeStartSinglesTest, AllBecomeCompleteWhenTheSourceIsBack) {
  ExchangeSimulation fleet(4, 4, 1);
  fleet.addServers(4000);
  fleet.run(Second * 4);
  fleet.restartAll();
  fleet.run(Second / 2);
  for (auto &node : fleet.Nodes) {
    EXPECT_TRUE(node.Exchange->isUsable());
    node.Reads = ExchangeSimulation::Source::Refuses;
  }
  fleet.run(Second * 10);
  EXPECT_FALSE(fleet.Nodes[0].Exchange->store().isComplete());
  for (auto &node : fleet.Nodes)
    node.Reads = ExchangeSimulation::Source::Good;
  fleet.run(Second * 12);
  EXPECT_TRUE(fleet.allHoldServers());
}

} // namespace
} // namespace balsamrack

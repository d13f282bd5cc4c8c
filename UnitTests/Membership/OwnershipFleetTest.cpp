#include <set>

#include "UnitTests/Membership/FleetSimulation.h"
#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};

/// Daemons of the domain bern-a with its servers, and daemons of other domains.
/// After each event, at most one daemon may dispatch to each server.
class OwnershipFleetTest : public testing::Test {
protected:
  void startFleet(size_t own, size_t others,
                  const FleetSimulation::Options &how) {
    Fleet = std::make_unique<FleetSimulation>(how);
    std::vector<EntryVm> vms;
    for (size_t i = 0; i < own + others; ++i) {
      std::string name = "vm-" + std::to_string(i);
      vms.push_back({VmId(name), DomainId(domainOf(i, own)),
                     Address{"10.0.0.1", static_cast<uint16_t>(i + 1)}, false});
    }
    for (int i = 0; i < 14; ++i)
      Names.push_back("booking-" + std::to_string(i));
    Fleet->setServers("bern-a", Names);
    Fleet->list(vms);
    Fleet->setCheck([this] { checkOwners(); });
    for (size_t i = 0; i < vms.size(); ++i)
      Fleet->start(vms[i].Id.str(), vms[i].Domain.str());
  }
  static std::string domainOf(size_t i, size_t own) {
    return i < own ? "bern-a" : i % 2 ? "bern-b" : "thun-a";
  }
  void checkOwners() {
    for (const std::string &name : Names) {
      auto owners = Fleet->dispatchers(ServerId(name));
      if (owners.size() > 1)
        ++TwoOwners;
    }
  }
  size_t servedCount() const {
    size_t served = 0;
    for (const std::string &name : Names)
      served += Fleet->dispatchers(ServerId(name)).size();
    return served;
  }
  bool allServed() const { return servedCount() == Names.size(); }
  /// Returns the seconds until every server has an owner, or -1.
  double secondsUntilServed(double limit) {
    TimePoint from = Fleet->now();
    Duration most(static_cast<int64_t>(limit * 1e6));
    if (!Fleet->runUntil([this] { return allServed(); }, most))
      return -1;
    return static_cast<double>((Fleet->now() - from).count()) / 1e6;
  }
  void TearDown() override { EXPECT_EQ(TwoOwners, 0U); }

  std::unique_ptr<FleetSimulation> Fleet; ///< Under test.
  std::vector<std::string> Names;         ///< Servers of bern-a.
  size_t TwoOwners = 0; ///< Number of checks in which a server had two owners.
};

struct Size {
  size_t Own;    ///< Daemons of the domain.
  size_t Others; ///< Daemons of other domains.
  double Loss;   ///< Fraction of messages that is lost.
};

class OwnershipSizeTest : public OwnershipFleetTest,
                          public testing::WithParamInterface<Size> {
protected:
  void SetUp() override {
    FleetSimulation::Options how;
    how.Loss = GetParam().Loss;
    startFleet(GetParam().Own, GetParam().Others, how);
  }
};

// A whole fleet starts at once. All servers must have an owner within two
// seconds, since only the daemons of one domain have to agree.
TEST_P(OwnershipSizeTest, WholeFleetStartsWithinTwoSeconds) {
  double seconds = secondsUntilServed(10);
  EXPECT_GE(seconds, 0);
  EXPECT_LE(seconds, GetParam().Loss > 0 ? 4 : 2);
}

// An owner is killed. Callers of its servers are refused until another daemon
// has detected the death and the lease has ended; then they must be served
// again.
TEST_P(OwnershipSizeTest, KilledOwnerIsReplaced) {
  ASSERT_GE(secondsUntilServed(10), 0);
  Fleet->run(3 * Second);
  Fleet->kill(0);
  double seconds = secondsUntilServed(30);
  EXPECT_GE(seconds, 0);
  EXPECT_LE(seconds, 10);
}

// An owner is paused for a minute and resumes with an outdated view, in which
// it still ranks first for its servers. Other daemons own them by now, so it
// must not dispatch before they have released them.
TEST_P(OwnershipSizeTest, PausedOwnerResumesWithoutAuthority) {
  ASSERT_GE(secondsUntilServed(10), 0);
  Fleet->run(3 * Second);
  Fleet->pause(0);
  Fleet->run(60 * Second);
  EXPECT_TRUE(allServed());
  EXPECT_FALSE(Fleet->nodes()[0]->Fence->mayDispatch(Fleet->now()));
  Fleet->resume(0);
  EXPECT_EQ(Fleet->nodes()[0]->Fence->mayDispatch(Fleet->now()) &&
                !Fleet->nodes()[0]->Tracker->owned().empty(),
            false);
  Fleet->run(20 * Second);
  EXPECT_TRUE(allServed());
  EXPECT_FALSE(Fleet->nodes()[0]->Tracker->owned().empty());
}

// A VM is replaced under the same name and address while the old lease is still
// running. The new incarnation must not assume that the old one has stopped.
TEST_P(OwnershipSizeTest, SameVmComesBackWithANewRun) {
  ASSERT_GE(secondsUntilServed(10), 0);
  Fleet->run(3 * Second);
  Fleet->kill(0);
  size_t again = Fleet->start("vm-0", "bern-a");
  double seconds = secondsUntilServed(30);
  EXPECT_GE(seconds, 0);
  EXPECT_LE(seconds, 10);
  EXPECT_FALSE(Fleet->nodes()[0]->Fence->mayDispatch(Fleet->now()));
  EXPECT_FALSE(Fleet->nodes()[again]->Tracker->owned().empty());
}

// A daemon is shut down gracefully. Its servers must move to the others without
// being unserved for longer than message round trips.
TEST_P(OwnershipSizeTest, GracefulLeaveKeepsServersServed) {
  ASSERT_GE(secondsUntilServed(10), 0);
  Fleet->run(3 * Second);
  Duration unserved{0};
  TimePoint last = Fleet->now();
  Fleet->setCheck([&] {
    checkOwners();
    if (!allServed())
      unserved += Fleet->now() - last;
    last = Fleet->now();
  });
  Fleet->leave(0);
  Fleet->run(10 * Second);
  EXPECT_TRUE(Fleet->nodes()[0]->Tracker->owned().empty());
  EXPECT_TRUE(allServed());
  EXPECT_LE(unserved.count(), GetParam().Loss > 0 ? 1'000'000 : 60'000);
  bool handedOver = false;
  for (const auto &node : Fleet->nodes())
    for (const ServerAcquired &gain : node->Acquired)
      handedOver = handedOver || gain.Kind == AcquisitionKind::HandedOver;
  EXPECT_TRUE(handedOver);
}

// All daemons of a domain are replaced in turn, each before the previous
// replacement has completed. Views differ throughout, but no server may have
// two owners.
TEST_P(OwnershipSizeTest, RollingKillsNeverGiveTwoOwners) {
  ASSERT_GE(secondsUntilServed(10), 0);
  for (size_t i = 0; i < GetParam().Own; ++i) {
    Fleet->kill(i);
    Fleet->run(Second * 2);
    Fleet->start("vm-" + std::to_string(i), "bern-a");
    Fleet->run(Second);
  }
  EXPECT_GE(secondsUntilServed(40), 0);
}

// The host pauses a VM, a new one starts under the same name, and then the old
// one resumes: two processes have the same name and address.
TEST_P(OwnershipSizeTest, OldIncarnationResumesBesideTheNewOne) {
  ASSERT_GE(secondsUntilServed(10), 0);
  Fleet->run(3 * Second);
  Fleet->pause(0);
  Fleet->run(Second);
  Fleet->start("vm-0", "bern-a");
  Fleet->run(Second);
  Fleet->resume(0);
  Fleet->run(20 * Second);
  EXPECT_TRUE(allServed());
  EXPECT_FALSE(Fleet->nodes()[0]->Running);
}

INSTANTIATE_TEST_SUITE_P(Sizes, OwnershipSizeTest,
                         testing::Values(Size{2, 5, 0}, Size{3, 6, 0},
                                         Size{3, 6, 0.02}, Size{9, 0, 0.05}),
                         [](const auto &item) {
                           return "Own" + std::to_string(item.param.Own) +
                                  "Loss" +
                                  std::to_string(
                                      static_cast<int>(item.param.Loss * 100));
                         });

// Daemons of a domain are paused, resumed, killed and replaced at random, with
// message loss. Without a partition inside the domain, no server may ever have
// two owners, and in the end each must have one.
class OwnershipChaosTest : public OwnershipFleetTest,
                           public testing::WithParamInterface<uint64_t> {};

TEST_P(OwnershipChaosTest, PausesLossAndRestartsNeverGiveTwoOwners) {
  FleetSimulation::Options how;
  how.Loss = 0.05;
  how.Seed = GetParam();
  startFleet(3, 4, how);
  SeededRandom random(GetParam());
  std::map<std::string, size_t> latest{{"vm-0", 0}, {"vm-1", 1}, {"vm-2", 2}};
  std::vector<size_t> old;
  for (int round = 0; round < 30; ++round) {
    std::string name = "vm-" + std::to_string(random.below(3));
    size_t i = latest[name];
    bool paused = Fleet->nodes()[i]->Paused;
    if (paused) {
      Fleet->resume(i);
    } else if (random.below(3) == 0) {
      // Half of the replaced daemons are only paused and resume later.
      bool lingers = random.below(2) == 0;
      lingers ? Fleet->pause(i) : Fleet->kill(i);
      latest[name] = Fleet->start(name, "bern-a");
      if (lingers)
        old.push_back(i);
    } else if (!old.empty() && random.below(3) == 0) {
      Fleet->resume(old.back());
      old.pop_back();
    } else {
      Fleet->pause(i);
    }
    Fleet->run(Duration(static_cast<int64_t>(random.below(9'000'000))));
  }
  for (const auto &[name, i] : latest)
    if (Fleet->nodes()[i]->Paused)
      Fleet->resume(i);
  EXPECT_GE(secondsUntilServed(40), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OwnershipChaosTest,
                         testing::Range<uint64_t>(1, 41));

} // namespace
} // namespace balsamrack

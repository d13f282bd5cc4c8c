#include "Balsamrack/Membership/Membership.h"

#include <algorithm>

#include "Balsamrack/Membership/MemberTable.h"
#include "UnitTests/Membership/FleetSimulation.h"
#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};

EntryVm vm(const std::string &id, const std::string &domain) {
  return {VmId(id), DomainId(domain), Address{"10.0.0.1", 1}, false};
}

/// Nine daemons in three domains: vm-0 to vm-2 in bern-a, and so on.
class MembershipTest : public testing::Test {
protected:
  void SetUp() override {
    std::vector<EntryVm> vms;
    for (size_t i = 0; i < 9; ++i)
      vms.push_back(vm(name(i), domain(i)));
    Fleet.list(vms);
    for (size_t i = 0; i < 9; ++i)
      Fleet.start(name(i), domain(i));
    Fleet.run(5 * Second);
  }
  static std::string name(size_t i) { return "vm-" + std::to_string(i); }
  static std::string domain(size_t i) {
    return i < 3 ? "bern-a" : i < 6 ? "bern-b" : "thun-a";
  }
  MemberView seen(size_t by, size_t whom) {
    const MemberMap &all = Fleet.nodes()[by]->Members->members();
    auto it = all.find(VmId(name(whom)));
    if (it != all.end())
      return it->second;
    // Unknown daemons count as not live.
    MemberView unknown;
    unknown.Record.State = MemberState::Dead;
    return unknown;
  }
  bool reachable(size_t by, const std::string &domain) {
    return Fleet.nodes()[by]->Members->domainReachable(DomainId(domain));
  }

  FleetSimulation Fleet{FleetSimulation::Options()}; ///< Under test.
};

// A daemon that has just started receives the leave message of a daemon that it
// does not know. Guards against a crash: the table does not store departed
// unknown daemons, but the answer looked up the sender in it and threw an
// exception. The callers' flows of the crashed daemon then had to move to
// another one.
TEST(MembershipLeaveTest, FromAnUnknownDaemonIsIgnored) {
  auto members =
      Membership::create(MembershipSettings(), vm("vm-1", "bern-a"), {7}, 1);
  ASSERT_TRUE(members.ok());
  TimePoint now{Second};
  (*members)->step(now, MembershipTicked{});
  EntryVm stranger = vm("vm-2", "bern-a");
  stranger.Leaving = true;
  for (MemberState state : {MemberState::Left, MemberState::Dead}) {
    Ping leave{3, {stranger, {5}, 1, state}, {}};
    for (const auto &action :
         (*members)->step(now, MessageReceived{stranger, leave}))
      EXPECT_FALSE(std::holds_alternative<SendTo>(action));
    EXPECT_EQ((*members)->members().count(stranger.Id), 0U);
  }
}

TEST_F(MembershipTest, AllDaemonsAreFound) {
  for (size_t i = 0; i < 9; ++i) {
    EXPECT_EQ(Fleet.nodes()[i]->Members->members().size(), 9U);
    EXPECT_EQ(Fleet.nodes()[i]->Members->liveDomainPeers().size(), 2U);
  }
}

// A VM dies but remains in the platform's list. It must be detected as dead and
// stay dead: the list is only a hint, only an answer shows that a daemon is
// alive.
TEST_F(MembershipTest, DeadButListedIsNotResurrected) {
  Fleet.kill(2);
  Fleet.run(10 * Second);
  for (size_t i : {0, 1, 3, 8})
    EXPECT_EQ(seen(i, 2).Record.State, MemberState::Dead);
  Fleet.list({vm(name(1), domain(1)), vm(name(2), domain(2))});
  Fleet.run(200 * Second);
  for (size_t i : {0, 1, 3, 8})
    EXPECT_FALSE(seen(i, 2).live());
}

// A daemon is paused for longer than the suspicion time and resumes. It must
// learn that it was declared dead and refute that under the same incarnation.
TEST_F(MembershipTest, RefutesAfterAPause) {
  Fleet.pause(2);
  Fleet.run(10 * Second);
  EXPECT_EQ(seen(0, 2).Record.State, MemberState::Dead);
  Fleet.resume(2);
  Fleet.run(10 * Second);
  for (size_t i : {0, 1, 3, 8})
    EXPECT_EQ(seen(i, 2).Record.State, MemberState::Alive);
  EXPECT_GT(seen(0, 2).Record.Refutation, 0U);
  // Its own pause must not make it suspect the others.
  EXPECT_EQ(seen(2, 0).Record.State, MemberState::Alive);
  EXPECT_EQ(seen(0, 1).Record.State, MemberState::Alive);
}

// One link between two daemons is broken. Others reach both, so no daemon may
// be declared dead.
TEST_F(MembershipTest, OneBrokenLinkMarksNoDaemonDead) {
  Fleet.setCut([](const EntryVm &a, const EntryVm &b) {
    auto pair = std::minmax(a.Id, b.Id);
    return pair.first == VmId("vm-0") && pair.second == VmId("vm-1");
  });
  Fleet.run(60 * Second);
  for (size_t i = 0; i < 9; ++i)
    for (const MemberRecord &updates : Fleet.nodes()[i]->Changes)
      EXPECT_NE(updates.State, MemberState::Dead) << updates.Vm.Id.str();
}

// A failure domain is partitioned for ten minutes while its daemons keep
// running. Each side must consider the other unreachable, not dead, so that its
// servers are not reassigned. After the partition all daemons must be live
// again.
TEST_F(MembershipTest, CutDomainIsUnreachableNotDead) {
  Fleet.setCut([](const EntryVm &a, const EntryVm &b) {
    return (a.Domain == DomainId("bern-a")) != (b.Domain == DomainId("bern-a"));
  });
  Fleet.run(600 * Second);
  EXPECT_FALSE(reachable(8, "bern-a"));
  EXPECT_TRUE(reachable(8, "bern-b"));
  EXPECT_FALSE(reachable(0, "thun-a"));
  EXPECT_TRUE(seen(8, 0).Unreachable);
  EXPECT_NE(seen(8, 0).Record.State, MemberState::Dead);
  EXPECT_EQ(seen(0, 1).Record.State, MemberState::Alive);
  Fleet.setCut({});
  Fleet.run(15 * Second);
  for (size_t i = 0; i < 9; ++i)
    for (size_t k = 0; k < 9; ++k)
      EXPECT_TRUE(seen(i, k).live()) << i << " sees " << k;
}

TEST_F(MembershipTest, LeaveIsHeardWithoutSuspicion) {
  Fleet.leave(0);
  auto actions = Fleet.nodes()[0]->Members->step(Fleet.now(), MembershipLeft{});
  bool told = std::any_of(actions.begin(), actions.end(), [](const auto &a) {
    return std::holds_alternative<SendTo>(a);
  });
  EXPECT_TRUE(told);
}

// A paused owner resumes and learns that it was declared dead. The new owner of
// its servers waits only for its lease to end, so it must give up all servers
// before any peer learns that it is alive and renews that lease.
TEST(MembershipStepTest, DeclaredDeadPrecedesTheRefutation) {
  auto made = Membership::create({}, vm("vm-1", "bern-a"), {1}, 1);
  ASSERT_TRUE(made.ok());
  Ping ping{5, {vm("vm-2", "bern-a"), {1}, 0, MemberState::Alive}, {}};
  ping.Updates.Members = {{vm("vm-1", "bern-a"), {1}, 0, MemberState::Dead}};
  auto actions = (*made)->step(TimePoint(Second),
                               MessageReceived{vm("vm-2", "bern-a"), ping});
  ASSERT_FALSE(actions.empty());
  EXPECT_TRUE(std::holds_alternative<DeclaredDead>(actions.front()));
}

// The answer of a peer that considers this daemon dead shows that the peer is
// alive, but must not renew this daemon's lease.
TEST(MembershipStepTest, AckOfAPeerThatConsidersUsDeadDoesNotRenew) {
  for (bool dead : {false, true}) {
    auto made = Membership::create({}, vm("vm-1", "bern-a"), {1}, 1);
    ASSERT_TRUE(made.ok());
    TimePoint now{Second};
    (*made)->step(now, Seeds{{vm("vm-2", "bern-a")}});
    (*made)->step(now, MembershipTicked{});
    Ack ack{1,
            VmId("vm-2"),
            {vm("vm-2", "bern-a"), {1}, 0, MemberState::Alive},
            {}};
    if (dead)
      ack.Updates.Members = {{vm("vm-1", "bern-a"), {1}, 0, MemberState::Dead}};
    auto actions =
        (*made)->step(now, MessageReceived{vm("vm-2", "bern-a"), ack});
    bool renewed =
        std::any_of(actions.begin(), actions.end(), [](const auto &a) {
          return std::holds_alternative<LeaseRenewed>(a);
        });
    EXPECT_EQ(renewed, !dead);
  }
}

// Two daemons of a domain on one host are paused together, and the others take
// over their servers. After they resume, each may first receive a message from
// the other. If they renewed each other's leases, both would dispatch in
// parallel with the new owners.
TEST(MembershipStepTest, RenewsNoLeaseAfterAPauseUntilRenewed) {
  auto made = Membership::create({}, vm("vm-1", "bern-a"), {1}, 1);
  ASSERT_TRUE(made.ok());
  EntryVm other = vm("vm-2", "bern-a");
  auto renews = [&](TimePoint now) {
    Ping ping{5, {other, {1}, 0, MemberState::Alive}, {}};
    for (const auto &action : (*made)->step(now, MessageReceived{other, ping}))
      if (const auto *send = std::get_if<SendTo>(&action))
        if (const auto *ack = std::get_if<Ack>(&send->Content))
          return ack->Renews;
    return false;
  };
  TimePoint now{Second};
  (*made)->step(now, MembershipTicked{});
  EXPECT_TRUE(renews(now));
  now += 10 * Second;
  EXPECT_FALSE(renews(now));
  (*made)->step(now, MembershipTicked{});
  // A peer that may renew leases answers the probe of this tick.
  Ack ack{1, other.Id, {other, {1}, 0, MemberState::Alive}, {}};
  (*made)->step(now, MessageReceived{other, ack});
  EXPECT_TRUE(renews(now));
}

struct Pair {
  MemberRecord Lower;  ///< The superseded record.
  MemberRecord Higher; ///< The superseding record.
};

class StateOrderTest : public testing::TestWithParam<Pair> {};

TEST_P(StateOrderTest, HigherWinsWhateverTheOrder) {
  const Pair &pair = GetParam();
  EXPECT_TRUE(isHigher(pair.Higher, pair.Lower));
  EXPECT_FALSE(isHigher(pair.Lower, pair.Higher));
  EXPECT_FALSE(isHigher(pair.Lower, pair.Lower));
}

INSTANTIATE_TEST_SUITE_P(
    Orders, StateOrderTest,
    testing::Values(Pair{{{}, {1}, 0, MemberState::Alive},
                         {{}, {1}, 0, MemberState::Suspect}},
                    Pair{{{}, {1}, 0, MemberState::Suspect},
                         {{}, {1}, 0, MemberState::Dead}},
                    Pair{{{}, {1}, 0, MemberState::Dead},
                         {{}, {1}, 1, MemberState::Alive}},
                    Pair{{{}, {1}, 9, MemberState::Left},
                         {{}, {2}, 0, MemberState::Alive}}));

} // namespace
} // namespace balsamrack

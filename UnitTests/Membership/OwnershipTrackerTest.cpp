#include "Balsamrack/Membership/OwnershipTracker.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};
const DomainId Domain("bern-a");
const ServerId Server("booking-01");

/// vm-1 and vm-2 with one server. The test acts as vm-2.
class OwnershipTrackerTest : public testing::Test {
protected:
  void SetUp() override {
    // Find a name for vm-1 that ranks first for the server.
    for (int i = 0; Self.Id.empty(); ++i) {
      VmId name("vm-" + std::to_string(i));
      MemberMap both{member(name), member(Other.Id)};
      if (OwnershipMap::create(both).ownerOf(Server, Domain)->Id == name)
        Self = both.at(name).Record.Vm;
    }
    Tracker =
        std::move(OwnershipTracker::create(Settings, Self, {1}, Now)).value();
    step(ListedPeers{{Other.Id}});
    step(DomainServersChanged{{Server}});
  }
  static std::pair<const VmId, MemberView> member(const VmId &id) {
    MemberView view;
    view.Record = {{id, Domain, {}, false}, {1}, 0, MemberState::Alive};
    return {id, view};
  }
  std::vector<OwnershipAction> step(const OwnershipEvent &event) {
    return Tracker->step(Now, event);
  }
  template <class T>
  static std::vector<T> of(const std::vector<OwnershipAction> &actions) {
    std::vector<T> list;
    for (const auto &action : actions)
      if (const auto *item = std::get_if<T>(&action))
        list.push_back(*item);
    return list;
  }
  /// Makes the other daemon known and returns the request sent to it.
  OwnershipHandOver addPeer() {
    auto sent = of<SendHandOver>(
        step(MembersChanged{{member(Self.Id), member(Other.Id)}}));
    EXPECT_EQ(sent.size(), 1U);
    return sent.empty() ? OwnershipHandOver() : sent[0].Message;
  }
  OwnershipHandOver replyTo(const OwnershipHandOver &question) const {
    OwnershipHandOver answer;
    answer.From = Other.Id;
    answer.Run = {1};
    answer.Sequence = question.Sequence;
    answer.LiveHash = question.LiveHash;
    answer.TimeSinceDeadLease = 3600 * Second;
    HandedOverServer released;
    released.Condition.Server = Server;
    answer.Servers = {released};
    return answer;
  }

  MembershipSettings Settings;                     ///< Defaults.
  TimePoint Now{Second};                           ///< Virtual time.
  EntryVm Self;                                    ///< This daemon.
  EntryVm Other{VmId("other"), Domain, {}, false}; ///< The other one.
  std::unique_ptr<OwnershipTracker> Tracker;       ///< Under test.
};

TEST_F(OwnershipTrackerTest, OwnsOnceThePeerReleased) {
  OwnershipHandOver question = addPeer();
  ASSERT_EQ(question.Wanted.size(), 1U);
  EXPECT_FALSE(Tracker->owns(Server));
  auto gains = of<ServerAcquired>(step(HandOverReceived{replyTo(question)}));
  ASSERT_EQ(gains.size(), 1U);
  EXPECT_EQ(gains[0].Kind, AcquisitionKind::FirstOwner);
}

struct BadAnswer {
  const char *Name;                     ///< Name of the case.
  void (*Corrupt)(OwnershipHandOver &); ///< Makes the reply invalid.
};

class BadAnswerTest : public OwnershipTrackerTest,
                      public testing::WithParamInterface<BadAnswer> {};

// A reply to an earlier request, or from a daemon with another view of the live
// daemons, does not show who may dispatch now. Accepting it would give a server
// two owners.
TEST_P(BadAnswerTest, DoesNotCount) {
  OwnershipHandOver answer = replyTo(addPeer());
  GetParam().Corrupt(answer);
  step(HandOverReceived{answer});
  EXPECT_FALSE(Tracker->owns(Server));
}

INSTANTIATE_TEST_SUITE_P(
    Answers, BadAnswerTest,
    testing::Values(
        BadAnswer{"OldQuestion", [](auto &a) { --a.Sequence; }},
        BadAnswer{"OtherView", [](auto &a) { ++a.LiveHash; }},
        BadAnswer{"OldRun", [](auto &a) { a.Run = {7}; }},
        BadAnswer{"Unknown", [](auto &a) { a.From = VmId("nobody"); }},
        BadAnswer{"LeaseRuns",
                  [](auto &a) { a.TimeSinceDeadLease = Duration(0); }}),
    [](const auto &item) { return item.param.Name; });

// The peer renewed the lease of a daemon one second ago that it now considers
// dead. The server may be acquired only after that lease must have ended.
TEST_F(OwnershipTrackerTest, WaitsForTheLeaseOfADeadDaemon) {
  OwnershipHandOver answer = replyTo(addPeer());
  answer.TimeSinceDeadLease = Second;
  step(HandOverReceived{answer});
  Now += Settings.takeoverWait() - Second - Duration(1);
  step(OwnershipTicked{});
  EXPECT_FALSE(Tracker->owns(Server));
  Now += Duration(1);
  step(OwnershipTicked{});
  EXPECT_TRUE(Tracker->owns(Server));
}

// Planned move: the current owner keeps the server until all others have
// released it.
TEST_F(OwnershipTrackerTest, HolderIsAskedAgainOnceAllOthersReleased) {
  OwnershipHandOver held = replyTo(addPeer());
  held.Servers.clear();
  held.Held = {Server};
  step(HandOverReceived{held});
  EXPECT_EQ(Tracker->holderOf(Server), Other.Id);
  Now += Settings.OwnershipRequestPeriod;
  auto sent = of<SendHandOver>(step(OwnershipTicked{}));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].Message.AllOthersReleased);
}

// A daemon with another view of the live daemons requests a server. It may
// consider the owner dead, so it must not get a release.
TEST_F(OwnershipTrackerTest, ReleasesOnlyInAnEqualView) {
  OwnershipHandOver question = addPeer();
  step(HandOverReceived{replyTo(question)});
  ASSERT_TRUE(Tracker->owns(Server));
  OwnershipHandOver theirs = question;
  theirs.From = Other.Id;
  theirs.AllOthersReleased = true;
  EXPECT_TRUE(step(HandOverReceived{theirs}).empty());
  ++theirs.LiveHash;
  ServerId unknown("unknown");
  theirs.Wanted = {unknown};
  EXPECT_TRUE(step(HandOverReceived{theirs}).empty());
  EXPECT_TRUE(Tracker->owns(Server));
}

// This daemon leaves. The other one requests the server, learns who holds it,
// requests it again as the last, and must get it only after dispatching has
// stopped.
TEST_F(OwnershipTrackerTest, ReleasesAfterItHasStopped) {
  OwnershipHandOver question = addPeer();
  step(HandOverReceived{replyTo(question)});
  MemberMap leaving{member(Self.Id), member(Other.Id)};
  leaving.at(Self.Id).Record.Vm.Leaving = true;
  step(MembersChanged{leaving});
  OwnershipHandOver theirs = question;
  theirs.From = Other.Id;
  theirs.Sequence = 77;
  auto held = of<SendHandOver>(step(HandOverReceived{theirs}));
  ASSERT_EQ(held.size(), 1U);
  EXPECT_EQ(held[0].Message.Held.size(), 1U);
  EXPECT_TRUE(Tracker->owns(Server));
  theirs.AllOthersReleased = true;
  auto stopping = step(HandOverReceived{theirs});
  EXPECT_EQ(of<StopDispatching>(stopping).size(), 1U);
  EXPECT_TRUE(of<SendHandOver>(stopping).empty());
  HandedOverServer stopped;
  stopped.Condition.Server = Server;
  stopped.InProgress = 2;
  auto released = of<SendHandOver>(step(DispatchStopped{stopped}));
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released[0].Message.Sequence, 77U);
  EXPECT_EQ(released[0].Message.Servers[0].InProgress, 2U);
  EXPECT_TRUE(released[0].Message.Servers[0].Owned);
}

TEST_F(OwnershipTrackerTest, ExpiryReleasesAllServers) {
  step(HandOverReceived{replyTo(addPeer())});
  auto actions = step(AuthorityExpired{});
  EXPECT_EQ(of<StopDispatching>(actions).size(), 1U);
  EXPECT_FALSE(Tracker->owns(Server));
}

} // namespace
} // namespace balsamrack

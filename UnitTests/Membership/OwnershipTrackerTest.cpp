#include "Balsamrack/Membership/OwnershipTracker.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};
const DomainId Domain("bern-a");
const ServerId Server("booking-01");

/// vm-1 and vm-2 with one server. The test plays vm-2.
class OwnershipTrackerTest : public testing::Test {
protected:
  void SetUp() override {
    // The test needs vm-1 to be first in rank; names decide that.
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
  /// The other daemon is there; gives our question to it.
  OwnershipHandOver meet() {
    auto sent = of<SendHandOver>(
        step(MembersChanged{{member(Self.Id), member(Other.Id)}}));
    EXPECT_EQ(sent.size(), 1U);
    return sent.empty() ? OwnershipHandOver() : sent[0].Message;
  }
  OwnershipHandOver answerTo(const OwnershipHandOver &question) const {
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
  OwnershipHandOver question = meet();
  ASSERT_EQ(question.Wanted.size(), 1U);
  EXPECT_FALSE(Tracker->owns(Server));
  auto gains = of<ServerAcquired>(step(HandOverReceived{answerTo(question)}));
  ASSERT_EQ(gains.size(), 1U);
  EXPECT_EQ(gains[0].Kind, AcquisitionKind::FirstOwner);
}

struct BadAnswer {
  const char *Name;                   ///< Of the case.
  void (*Spoil)(OwnershipHandOver &); ///< What is wrong with it.
};

class BadAnswerTest : public OwnershipTrackerTest,
                      public testing::WithParamInterface<BadAnswer> {};

// An answer that doesn't belong to the present question, or comes from one who
// holds other daemons for live, says nothing of who may dispatch now. Counting
// it gives a server two owners.
TEST_P(BadAnswerTest, DoesNotCount) {
  OwnershipHandOver answer = answerTo(meet());
  GetParam().Spoil(answer);
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

// The peer renewed the lease of a daemon that it holds for dead a second ago.
// The server is ours only once that lease has ended for sure.
TEST_F(OwnershipTrackerTest, WaitsForTheLeaseOfTheDead) {
  OwnershipHandOver answer = answerTo(meet());
  answer.TimeSinceDeadLease = Second;
  step(HandOverReceived{answer});
  Now += Settings.takeoverWait() - Second - Duration(1);
  step(OwnershipTicked{});
  EXPECT_FALSE(Tracker->owns(Server));
  Now += Duration(1);
  step(OwnershipTicked{});
  EXPECT_TRUE(Tracker->owns(Server));
}

// A planned move: the present owner serves on until it is asked last.
TEST_F(OwnershipTrackerTest, HolderIsAskedAgainAsTheLast) {
  OwnershipHandOver held = answerTo(meet());
  held.Servers.clear();
  held.Held = {Server};
  step(HandOverReceived{held});
  EXPECT_EQ(Tracker->holderOf(Server), Other.Id);
  Now += Settings.OwnershipRequestPeriod;
  auto sent = of<SendHandOver>(step(OwnershipTicked{}));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].Message.AllOthersReleased);
}

// We own a server and a daemon asks for it that holds us for dead (or another
// daemon, which may own it): its view is not ours, so it gets no release.
TEST_F(OwnershipTrackerTest, ReleasesOnlyInAnEqualView) {
  OwnershipHandOver question = meet();
  step(HandOverReceived{answerTo(question)});
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

// We leave: the other daemon asks, hears that we hold the server, asks last,
// and gets it once the daemon has stopped dispatching.
TEST_F(OwnershipTrackerTest, ReleasesAfterItHasStopped) {
  OwnershipHandOver question = meet();
  step(HandOverReceived{answerTo(question)});
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

TEST_F(OwnershipTrackerTest, ExpiryGivesEverythingBack) {
  step(HandOverReceived{answerTo(meet())});
  auto actions = step(AuthorityExpired{});
  EXPECT_EQ(of<StopDispatching>(actions).size(), 1U);
  EXPECT_FALSE(Tracker->owns(Server));
}

} // namespace
} // namespace balsamrack

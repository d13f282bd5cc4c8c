#include "UnitTests/Flows/KeyCluster.h"

namespace balsamrack {
namespace {

/// Ending of the first attempt, and result of its repeat at another daemon.
struct RepeatCase {
  const char *Name;
  OutcomeKind How;
  Reason Why;
  const char *Repeat;
};

class RepeatTest : public testing::TestWithParam<RepeatCase> {};

// Guards against a deposit running twice when the caller repeats it on a new
// flow that reaches another daemon. The repeat must not run while the first
// attempt runs, nor after it ran or may have run.
TEST_P(RepeatTest, RunsAtMostOnce) {
  KeyCluster cluster(5);
  EXPECT_EQ(cluster.deposit(0, 1), "running");
  EXPECT_EQ(cluster.depositAndWait(1, 2), "unknown/key-in-progress");
  cluster.answer(0, 1, GetParam().How, GetParam().Why);
  EXPECT_EQ(cluster.deposit(2, 3), GetParam().Repeat);
}

INSTANTIATE_TEST_SUITE_P(
    All, RepeatTest,
    testing::Values(RepeatCase{"Answered", OutcomeKind::Answered, Reason::None,
                               "unknown/key-answered"},
                    RepeatCase{"Unknown", OutcomeKind::OutcomeUnknown,
                               Reason::ServerFailed, "unknown/key-unknown"},
                    RepeatCase{"NotRun", OutcomeKind::NotRun,
                               Reason::DeadlinePassed, "running"},
                    RepeatCase{"GivenUp", OutcomeKind::GivenUp,
                               Reason::DomainOutOfService, "running"}),
    [](const auto &info) { return info.param.Name; });

// The owner dies while it has the deposit. A repeat must not run, whichever
// daemon receives it.
TEST(KeyClaimScenariosTest, OwnerDiedWithTheFirst) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  cluster.loseOwner(0, 1);
  EXPECT_EQ(cluster.resultOf(1), "unknown/owner-lost");
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-unknown");
}

// The entry dies while the deposit runs, so the key is never settled. Its
// replicas must keep it as in progress.
TEST(KeyClaimScenariosTest, EntryDiedWithTheFirst) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  cluster.Now += std::chrono::minutes(9);
  EXPECT_EQ(cluster.depositAndWait(1, 2), "unknown/key-in-progress");
}

// One replica dies after the deposit ran. The other still knows the key.
TEST(KeyClaimScenariosTest, OneReplicaDied) {
  KeyCluster cluster(6);
  cluster.deposit(0, 1);
  cluster.answer(0, 1, OutcomeKind::Answered, Reason::None);
  cluster.kill(cluster.replica(0));
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-answered");
}

// Both replicas die after the deposit ran. Their successors have been up for
// long but do not know the key, which must not count as proof that it never
// ran.
TEST(KeyClaimScenariosTest, BothReplicasDied) {
  for (bool oneByOne : {false, true}) {
    KeyCluster cluster(6);
    cluster.deposit(0, 1);
    cluster.answer(0, 1, OutcomeKind::Answered, Reason::None);
    VmId first = cluster.replica(0);
    VmId second = cluster.replica(1);
    cluster.kill(first);
    if (oneByOne) {
      EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-answered");
    }
    cluster.kill(second);
    EXPECT_EQ(cluster.deposit(2, 3), "unknown/key-unknown");
  }
}

// A new key after one replica died: the surviving replica proves that it never
// ran.
TEST(KeyClaimScenariosTest, NewKeyRunsAfterOneDeath) {
  KeyCluster cluster(6);
  cluster.kill(cluster.replica(1));
  EXPECT_EQ(cluster.deposit(0, 1), "running");
}

// A replica is unreachable but not known to be dead, so it may know the key.
TEST(KeyClaimScenariosTest, ReplicaUnreachable) {
  KeyCluster cluster(6);
  cluster.Unreachable = {cluster.replica(0)};
  cluster.publishView();
  EXPECT_EQ(cluster.deposit(0, 1), "unknown/key-unknown");
  cluster.Unreachable.clear();
  cluster.publishView();
  EXPECT_EQ(cluster.deposit(0, 2), "running");
}

// A replica crashed and is still a member, so a claim to it gets no reply. The
// deposit must not run. The other replica would know of an earlier attempt, so
// "not run" is correct.
TEST(KeyClaimScenariosTest, ReplicaDoesNotAnswer) {
  KeyCluster cluster(6);
  cluster.Stores[KeyCluster::indexOf(cluster.replica(0))] = nullptr;
  EXPECT_EQ(cluster.deposit(0, 1), "not-run/key-unknown");
}

// The same with a key whose first attempt ran, or is running, without an answer
// reaching the caller: the other replica knows the key, so "not run" would be
// wrong.
TEST(KeyClaimScenariosTest, ReplicaDoesNotAnswerAfterTheKeyRan) {
  KeyCluster cluster(6);
  EXPECT_EQ(cluster.deposit(1, 1), "running");
  cluster.Stores[KeyCluster::indexOf(cluster.replica(0))] = nullptr;
  EXPECT_EQ(cluster.depositAndWait(0, 2), "unknown/key-in-progress");
}

// One replica does not reply and the other is fresh, so there is no proof that
// the key never ran.
TEST(KeyClaimScenariosTest, ReplicaDoesNotAnswerAndTheOtherIsFresh) {
  KeyCluster cluster(6, {}, false);
  cluster.Stores[KeyCluster::indexOf(cluster.replica(0))] = nullptr;
  EXPECT_EQ(cluster.deposit(0, 1), "unknown/key-unknown");
}

TEST(KeyClaimScenariosTest, OperatorsMayChooseToRunWithReachableReplicas) {
  EntrySettings s;
  s.OnUnreachableReplica = UnreachableReplicaPolicy::RunWithReachable;
  KeyCluster cluster(6, s);
  cluster.Unreachable = {cluster.replica(0)};
  cluster.publishView();
  EXPECT_EQ(cluster.deposit(0, 1), "running");
}

// The whole fleet has just started. Whether a key ran before is unknown, unless
// operators configured this as the first installation.
TEST(KeyClaimScenariosTest, FreshFleet) {
  KeyCluster unsure(5, {}, false);
  EXPECT_EQ(unsure.deposit(0, 1), "unknown/key-unknown");
  unsure.Now += std::chrono::minutes(10);
  EXPECT_EQ(unsure.deposit(0, 2), "running");
  EntrySettings s;
  s.AssumeNoEarlierKeys = true;
  KeyCluster founded(5, s, false);
  EXPECT_EQ(founded.deposit(0, 1), "running");
  EXPECT_EQ(founded.depositAndWait(1, 2), "unknown/key-in-progress");
}

// The caller's deadline passes while the owner still has the deposit, so the
// outcome is unknown. If the owner then reports that it did not run, the key
// must be freed and a repeat must run.
TEST(KeyClaimScenariosTest, LateOutcomeSettlesTheKey) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  cluster.Now += ms(10'000);
  cluster.handle(0, EntryTicked{});
  EXPECT_EQ(cluster.resultOf(1), "unknown/deadline-passed");
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-unknown");
  cluster.answer(0, 1, OutcomeKind::NotRun, Reason::DeadlinePassed);
  EXPECT_EQ(cluster.deposit(1, 3), "running");
}

// A leaving replica hands its keys over, and then the other replica dies.
TEST(KeyClaimScenariosTest, HandedOverKeysSurviveTheOtherReplica) {
  KeyCluster cluster(6);
  cluster.deposit(0, 1);
  cluster.answer(0, 1, OutcomeKind::Answered, Reason::None);
  VmId leaver = cluster.replica(0);
  VmId other = cluster.replica(1);
  // One message to each of the others, marked as complete.
  auto messages = cluster.exportKeys(leaver);
  ASSERT_EQ(messages.size(), 5U);
  cluster.importKeys(messages);
  cluster.kill(leaver);
  cluster.kill(other);
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-answered");
}

// Guards against needless unknown outcomes during a rolling restart: a daemon
// that has just started receives a deposit before it knows its peers, so in its
// own view it is the key's only replica, and it is fresh. The deposit must wait
// for replicas with the key's history instead of ending at once.
TEST(KeyClaimScenariosTest, StartedDaemonWaitsForItsPeers) {
  KeyCluster cluster(3);
  cluster.Stores[0] = cluster.makeStore(cluster.Now);
  RoutingView alone = makeView(4, 1);
  cluster.handle(0, ViewChanged{*RoutingView::create(alone)});
  EXPECT_EQ(cluster.deposit(0, 1), "waiting");
  cluster.handle(0, ViewChanged{cluster.View});
  EXPECT_EQ(cluster.resultOf(1), "running");
}

// As above, but no peer becomes known. The deposit may have run before the
// restart, so it must end with an unknown outcome within ClaimTimeout.
TEST(KeyClaimScenariosTest, StartedDaemonWithoutPeersRefusesSoon) {
  KeyCluster cluster(3);
  cluster.Stores[0] = cluster.makeStore(cluster.Now);
  RoutingView alone = makeView(4, 1);
  cluster.handle(0, ViewChanged{*RoutingView::create(alone)});
  cluster.deposit(0, 1);
  for (int i = 0; i < 6; ++i) {
    cluster.Now += cluster.Settings.ClaimRepeat;
    cluster.handle(0, EntryTicked{});
  }
  EXPECT_EQ(cluster.resultOf(1), "unknown/key-unknown");
}

// Guards against needless unknown outcomes during a rolling restart: one
// replica of a new key has exported its keys and grants none any more, and the
// other has just started and not received them yet. The deposit must wait for
// the hand-over.
TEST(KeyClaimScenariosTest, ANewKeyWaitsForAHandOver) {
  KeyCluster cluster(2);
  VmId leaver = cluster.replica(0);
  VmId fresh = cluster.replica(1);
  cluster.Stores[KeyCluster::indexOf(fresh)] = cluster.makeStore(cluster.Now);
  auto messages = cluster.exportKeys(leaver);
  EXPECT_EQ(cluster.deposit(1, 1), "waiting");
  cluster.importKeys(messages);
  cluster.kill(leaver);
  cluster.Now += cluster.Settings.ClaimRepeat;
  cluster.handle(1, EntryTicked{});
  EXPECT_EQ(cluster.resultOf(1), "running");
}

// Guards against an unknown outcome of a request that did not run: a replica
// that has just started reports that it lacks the key's history, and receives
// it before the leaving replica is gone.
TEST(KeyClaimScenariosTest, AReplicaIsAskedAgainAfterAHandOver) {
  KeyCluster cluster(3);
  VmId leaver = cluster.replica(0);
  VmId fresh = cluster.replica(1);
  cluster.Stores[KeyCluster::indexOf(fresh)] = cluster.makeStore(cluster.Now);
  auto messages = cluster.exportKeys(leaver);
  EXPECT_EQ(cluster.deposit(1, 1), "waiting");
  cluster.importKeys(messages);
  cluster.kill(leaver);
  EXPECT_EQ(cluster.resultOf(1), "running");
}

/// How long a leaving replica takes to hand its keys over, and what becomes of
/// a request with a new key.
struct SlowHandOver {
  const char *Name;
  int64_t Millis;
  const char *Result;
};

class EachSlowHandOver : public testing::TestWithParam<SlowHandOver> {};

// Guards against an unknown outcome of a request whose caller has time to wait
// for the end of a hand-over.
TEST_P(EachSlowHandOver, IsAwaitedWhileTheCallerWaits) {
  KeyCluster cluster(3);
  VmId leaver = cluster.replica(0);
  VmId fresh = cluster.replica(1);
  cluster.Stores[KeyCluster::indexOf(fresh)] = cluster.makeStore(cluster.Now);
  cluster.Leaving = {leaver};
  cluster.publishView();
  auto messages = cluster.exportKeys(leaver);
  cluster.deposit(1, 1);
  for (int64_t at = 0; at < GetParam().Millis; at += 10) {
    cluster.Now += ms(10);
    cluster.handle(1, EntryTicked{});
  }
  cluster.importKeys(messages);
  cluster.kill(leaver);
  EXPECT_EQ(cluster.resultOf(1), GetParam().Result);
}

INSTANTIATE_TEST_SUITE_P(
    HandOvers, EachSlowHandOver,
    testing::Values(SlowHandOver{"Quick", 100, "running"},
                    SlowHandOver{"Slow", 3'000, "running"},
                    SlowHandOver{"TooSlow", 11'000, "not-run/deadline-passed"}),
    [](const auto &info) { return std::string(info.param.Name); });

/// What a replica receives about attempt 1, which did not run: "claim",
/// "hand-over" of a replica that exported it, and "settle"; and a "claim by 2".
struct LateEnding {
  const char *Name;
  std::vector<std::string> Steps;
  KeyVerdict Verdict; ///< For attempt 3 after that.
};

class EachLateEnding : public testing::TestWithParam<LateEnding> {};

// Guards against a key that stays in progress after its caller was told that
// the request did not run, because the ending and a hand-over crossed, or the
// ending overtook the claim: an entry sends both without holding a lock.
TEST_P(EachLateEnding, FreesTheKeyInAnyOrder) {
  auto store = std::move(*KeyStore::create({}, TimePoint()));
  const TimePoint now{std::chrono::hours(1)};
  KeysHandedOver handOver;
  handOver.Keys = {{Key, RequestId{1}, KeyVerdict::InProgress, ms(10)}};
  handOver.From = vmId(5);
  auto claim = [&](uint64_t request) {
    return store->claim(now, {Key, RequestId{request}}, {}, vmId(0)).Verdict;
  };
  for (const std::string &step : GetParam().Steps)
    if (step == "claim")
      claim(1);
    else if (step == "claim by 2")
      claim(2);
    else if (step == "hand-over")
      store->importKeys(now, handOver);
    else
      store->settle(now, {Key, RequestId{1}, OutcomeKind::NotRun});
  EXPECT_EQ(claim(3), GetParam().Verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, EachLateEnding,
    testing::Values(
        LateEnding{"InOrder", {"hand-over", "settle"}, KeyVerdict::Granted},
        LateEnding{"EndingFirst", {"settle", "hand-over"}, KeyVerdict::Granted},
        LateEnding{"AlsoClaimedHere",
                   {"claim", "settle", "hand-over"},
                   KeyVerdict::Granted},
        LateEnding{"BeforeItsClaim", {"settle", "claim"}, KeyVerdict::Granted},
        LateEnding{"NeverEnded", {"hand-over"}, KeyVerdict::InProgress},
        LateEnding{"AnotherAttemptHoldsIt",
                   {"claim by 2", "hand-over", "settle"},
                   KeyVerdict::InProgress}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against an attempt that keeps its key until it expires because another
// attempt had claimed the key when the hand-over arrived.
TEST(KeyStoreTest, TwoAttemptsFreeTheKeyEachForItself) {
  auto store = std::move(*KeyStore::create({}, TimePoint()));
  const TimePoint now{std::chrono::hours(1)};
  KeysHandedOver handOver;
  handOver.Keys = {{Key, RequestId{1}, KeyVerdict::InProgress, ms(10)}};
  store->claim(now, {Key, RequestId{2}}, {}, vmId(0));
  store->importKeys(now, handOver);
  auto claim = [&] {
    return store->claim(now, {Key, RequestId{3}}, {}, vmId(0)).Verdict;
  };
  store->settle(now, {Key, RequestId{2}, OutcomeKind::NotRun});
  EXPECT_EQ(claim(), KeyVerdict::InProgress);
  store->settle(now, {Key, RequestId{1}, OutcomeKind::NotRun});
  EXPECT_EQ(claim(), KeyVerdict::Granted);
}

TEST(KeyStoreTest, RefusesRatherThanForgetsWhenFull) {
  KeyStoreSettings s;
  s.MaxKeys = 4;
  s.Shards = 1;
  auto store = std::move(*KeyStore::create(s, TimePoint()));
  TimePoint now{std::chrono::hours(1)};
  auto claim = [&](uint64_t n, uint64_t request) {
    return store->claim(now, {KeyDigest{n, n}, RequestId{request}}, {}, vmId(0))
        .Verdict;
  };
  for (uint64_t n = 1; n <= 4; ++n)
    EXPECT_EQ(claim(n, n), KeyVerdict::Granted);
  EXPECT_EQ(claim(5, 5), KeyVerdict::Unable);
  EXPECT_EQ(claim(1, 9), KeyVerdict::InProgress);
  EXPECT_EQ(claim(1, 1), KeyVerdict::Granted);
  now += s.KeyMemory;
  EXPECT_EQ(claim(5, 5), KeyVerdict::Granted);
  EXPECT_EQ(store->size(), 1U);
}

TEST(KeyStoreTest, OnlyTheHolderSettles) {
  auto store = std::move(*KeyStore::create({}, TimePoint()));
  TimePoint now{std::chrono::hours(1)};
  store->claim(now, {Key, RequestId{1}}, {}, vmId(0));
  store->settle(now, {Key, RequestId{2}, OutcomeKind::NotRun});
  EXPECT_EQ(store->claim(now, {Key, RequestId{3}}, {}, vmId(0)).Verdict,
            KeyVerdict::InProgress);
  store->settle(now, {Key, RequestId{1}, OutcomeKind::NotRun});
  EXPECT_EQ(store->claim(now, {Key, RequestId{3}}, {}, vmId(0)).Verdict,
            KeyVerdict::Granted);
  // Attempt 2 has ended, so nothing would free the key from it.
  EXPECT_EQ(store->claim(now, {Key, RequestId{2}}, {}, vmId(0)).Verdict,
            KeyVerdict::InProgress);
  store->settle(now, {Key, RequestId{3}, OutcomeKind::NotRun});
  EXPECT_EQ(store->claim(now, {Key, RequestId{2}}, {}, vmId(0)).Verdict,
            KeyVerdict::Unable);
}

} // namespace
} // namespace balsamrack

#include "UnitTests/Flows/KeyCluster.h"

namespace balsamrack {
namespace {

/// When the replicas receive the ending of an attempt that did not run, and
/// what becomes of its repeat.
struct DelayedEnding {
  const char *Name;
  bool BothReplicas;  ///< Both receive it late, not only one of them.
  int64_t Millis;     ///< Delay after the repeat has claimed the key.
  const char *Result; ///< Of the repeat.
};

class EachDelayedEnding : public testing::TestWithParam<DelayedEnding> {};

// Guards against "key-in-progress" for up to the key memory although the
// caller was told that its request had not run: the repeat claims the key
// before a replica has handled that ending.
TEST_P(EachDelayedEnding, IsAwaitedWhileTheCallerCanAct) {
  KeyCluster cluster(5);
  ASSERT_EQ(cluster.deposit(0, 1), "running");
  cluster.DelayEndings = true;
  ASSERT_EQ(cluster.answer(0, 1, OutcomeKind::NotRun, Reason::DeadlinePassed),
            "not-run/deadline-passed");
  if (!GetParam().BothReplicas)
    cluster.deliverEndings(cluster.replica(1));
  EXPECT_EQ(cluster.deposit(1, 2), "waiting");
  cluster.advance(1, ms(GetParam().Millis));
  cluster.deliverEndings();
  cluster.advance(1, ms(500));
  EXPECT_EQ(cluster.resultOf(2), GetParam().Result);
}

INSTANTIATE_TEST_SUITE_P(
    Delays, EachDelayedEnding,
    testing::Values(DelayedEnding{"OneReplica", false, 30, "running"},
                    DelayedEnding{"OneReplicaLong", false, 1'400, "running"},
                    DelayedEnding{"BothReplicas", true, 30, "running"},
                    DelayedEnding{"BothReplicasLong", true, 1'400, "running"},
                    DelayedEnding{"OneReplicaTooLong", false, 2'000,
                                  "not-run/key-in-progress"},
                    DelayedEnding{"BothReplicasTooLong", true, 2'000,
                                  "unknown/key-in-progress"}),
    [](const auto &info) { return std::string(info.param.Name); });

// A request that really is in progress elsewhere. Its repeat must get a true
// outcome within the wait, and early enough for its caller to act.
TEST(KeyLateEndingTest, ARunningRequestIsAwaitedForABoundedTime) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  cluster.deposit(1, 2);
  cluster.advance(1, ms(2'000));
  EXPECT_EQ(cluster.resultOf(2), "unknown/key-in-progress");
  // Half of the time that the caller has.
  cluster.deposit(2, 3, ms(600));
  cluster.advance(2, ms(300));
  EXPECT_EQ(cluster.resultOf(3), "unknown/key-in-progress");
}

// The first attempt is answered while its repeat waits. The repeat must end at
// once with that, also if one replica has not handled the ending yet.
TEST(KeyLateEndingTest, AnAnswerEndsTheWait) {
  for (size_t late : {0, 1}) {
    KeyCluster cluster(5);
    cluster.deposit(0, 1);
    EXPECT_EQ(cluster.deposit(1, 2), "waiting");
    cluster.DelayEndings = true;
    cluster.answer(0, 1, OutcomeKind::Answered, Reason::None);
    cluster.deliverEndings(cluster.replica(late));
    cluster.advance(1, ms(100));
    EXPECT_EQ(cluster.resultOf(2), "unknown/key-answered");
    EXPECT_EQ(cluster.Running.count(2), 0U);
  }
}

// Two attempts claim the key at the same time, and each holds it at one
// replica. They must not both wait in vain for the other one: one of them ends,
// and the other one runs.
TEST(KeyLateEndingTest, OneOfTwoAttemptsThatBlockEachOtherRuns) {
  KeyCluster cluster(5);
  const auto claimFirst = [&](size_t rank, uint64_t request) {
    const VmId vm = cluster.replica(rank);
    cluster.Stores[KeyCluster::indexOf(vm)]->claim(
        cluster.Now, {Key, RequestId{request}}, cluster.View->KeyReplicas, vm);
  };
  claimFirst(0, 1);
  claimFirst(1, 2);
  EXPECT_EQ(cluster.deposit(0, 1), "waiting");
  EXPECT_EQ(cluster.deposit(1, 2), "waiting");
  for (int i = 0; i < 250; ++i) {
    cluster.Now += ms(10);
    cluster.handle(0, EntryTicked{});
    cluster.handle(1, EntryTicked{});
  }
  const std::set<std::string> results{cluster.resultOf(1), cluster.resultOf(2)};
  EXPECT_EQ(results,
            (std::set<std::string>{"running", "not-run/key-in-progress"}));
}

// A replica that still lists the attempt leaves, and passes the ending on to
// the next replicas. Its earlier reply must not hold back the repeat.
TEST(KeyLateEndingTest, TheReplyOfADepartedReplicaDoesNotCount) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  cluster.DelayEndings = true;
  cluster.answer(0, 1, OutcomeKind::NotRun, Reason::DeadlinePassed);
  const VmId leaver = cluster.replica(1);
  cluster.deliverEndings(leaver);
  EXPECT_EQ(cluster.deposit(1, 2), "waiting");
  auto messages = cluster.exportKeys(leaver);
  cluster.importKeys(messages);
  for (const auto &it : cluster.DelayedEndings)
    for (const EntryVm &vm : cluster.View->KeyReplicas.Members)
      if (vm.Id != leaver)
        cluster.Stores[KeyCluster::indexOf(vm.Id)]->settle(cluster.Now,
                                                           it.Settled);
  cluster.kill(leaver);
  cluster.advance(1, ms(500));
  EXPECT_EQ(cluster.resultOf(2), "running");
}

// The same, but the request really is in progress and only the departed replica
// and the next one know it. It must not run a second time.
TEST(KeyLateEndingTest, ADepartedReplicasKeysStayInForce) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  const VmId leaver = cluster.replica(1);
  EXPECT_EQ(cluster.deposit(1, 2), "waiting");
  cluster.importKeys(cluster.exportKeys(leaver));
  cluster.kill(leaver);
  cluster.advance(1, ms(2'000));
  EXPECT_EQ(cluster.resultOf(2), "unknown/key-in-progress");
}

} // namespace
} // namespace balsamrack

#include <deque>
#include <map>
#include <set>

#include "Balsamrack/Flows/KeyStore.h"
#include "UnitTests/Flows/RouterHarness.h"

namespace balsamrack {
namespace {

constexpr KeyDigest Key{3, 9};

/// A few daemons, each with a key store and a router. Claims are delivered at
/// once; Forwards wait until the test replies to them.
class KeyCluster {
public:
  explicit KeyCluster(size_t vms, const EntrySettings &settings = {},
                      bool upForKeyMemory = true)
      : Settings(settings), Vms(vms) {
    for (size_t i = 0; i < vms; ++i) {
      Stores.push_back(makeStore(upForKeyMemory ? TimePoint() : Now));
      Routers.push_back(std::move(*EntryRouter::create(settings, i)));
    }
    publishView();
  }
  std::unique_ptr<KeyStore> makeStore(TimePoint started) const {
    KeyStoreSettings s;
    s.AssumeNoEarlierKeys = Settings.AssumeNoEarlierKeys;
    return std::move(*KeyStore::create(s, started));
  }
  /// Publishes the current membership to all daemons.
  void publishView() {
    RoutingView view = makeView(4, Vms);
    auto &members = view.KeyReplicas.Members;
    members.erase(
        std::remove_if(members.begin(), members.end(),
                       [this](const EntryVm &it) { return Dead.count(it.Id); }),
        members.end());
    view.KeyReplicas.RecentlyDeparted.assign(Dead.begin(), Dead.end());
    view.KeyReplicas.Unreachable = Unreachable;
    for (EntryVm &it : members)
      it.Leaving = Leaving.count(it.Id) != 0;
    View = *RoutingView::create(view);
    for (size_t i = 0; i < Vms; ++i)
      handle(i, ViewChanged{View});
  }
  /// Daemon \p vm stops granting keys and exports them. Returns the messages.
  std::vector<KeyStore::HandOverMessage> exportKeys(const VmId &vm) {
    KeyReplicaView rest = View->KeyReplicas;
    rest.Members.erase(
        std::remove_if(rest.Members.begin(), rest.Members.end(),
                       [&](const EntryVm &it) { return it.Id == vm; }),
        rest.Members.end());
    return Stores[indexOf(vm)]->exportKeys(Now, rest, vm, Incarnation{1}, 100);
  }
  void importKeys(const std::vector<KeyStore::HandOverMessage> &messages) {
    for (const auto &it : messages)
      Stores[indexOf(it.To.Id)]->importKeys(Now, it.Batch);
  }
  void kill(const VmId &vm) {
    Dead.insert(vm);
    Stores[indexOf(vm)] = nullptr;
    publishView();
  }
  /// Current replica of the key with the given rank.
  VmId replica(size_t rank) const {
    return keyReplicas(Key, View->KeyReplicas.Members, 2)[rank].Id;
  }
  /// Sends the deposit with request id \p request to daemon \p at on a new
  /// flow. Returns its ending, "running" if it was forwarded, or "waiting".
  std::string deposit(size_t at, uint64_t request) {
    Envelope head;
    head.Request = RequestId{request};
    head.Flow = FlowId{1000 + request};
    head.Service = Booking;
    head.FirstOfFlow = true;
    head.Key = Key;
    head.Remaining = ms(10'000);
    handle(at, PacketArrived{head, ""});
    return resultOf(request);
  }
  /// The owner that has the request replies.
  std::string answer(size_t at, uint64_t request, OutcomeKind how, Reason why) {
    Outcome o;
    o.Request = RequestId{request};
    o.Kind = how;
    o.Cause = why;
    o.Server = Running[request].Server;
    handle(at, OwnerReplied{Running[request].To.Id, o});
    return resultOf(request);
  }
  void loseOwner(size_t at, uint64_t request) {
    handle(at, PeerLost{Running[request].To.Id});
  }
  std::string resultOf(uint64_t request) const {
    auto it = Ended.find(request);
    if (it != Ended.end())
      return it->second;
    return Running.count(request) ? "running" : "waiting";
  }
  /// Handles an event and delivers the resulting messages until none is left.
  void handle(size_t at, const EntryEvent &event) {
    std::deque<EntryEvent> events{event};
    while (!events.empty()) {
      EntryEvent next = events.front();
      events.pop_front();
      for (const EntryAction &it : Routers[at]->step(Now, next))
        deliver(it, events);
    }
  }
  void deliver(const EntryAction &action, std::deque<EntryEvent> &events) {
    if (const auto *claim = std::get_if<SendClaim>(&action)) {
      KeyStore *g = Stores[indexOf(claim->To.Id)].get();
      if (g)
        events.push_back(KeyReplied{
            claim->To.Id,
            g->claim(Now, claim->Claim, View->KeyReplicas, claim->To.Id)});
      else
        events.push_back(SendFailed{claim->Claim.Request, claim->To.Id});
    } else if (const auto *settled = std::get_if<SendSettled>(&action)) {
      if (KeyStore *g = Stores[indexOf(settled->To.Id)].get())
        g->settle(Now, settled->Settled);
    } else if (const auto *forward = std::get_if<SendForward>(&action)) {
      Running[forward->Request.Value] = *forward;
    } else if (const auto *end = std::get_if<EndPacket>(&action)) {
      Ended[end->Result.Request.Value] =
          absl::StrCat(outcomeKindName(end->Result.Kind), "/",
                       reasonName(end->Result.Cause));
    }
  }
  static size_t indexOf(const VmId &vm) {
    return std::stoul(vm.str().substr(3));
  }

  const EntrySettings Settings;
  const size_t Vms;
  TimePoint Now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<KeyStore>> Stores;
  std::vector<std::unique_ptr<EntryRouter>> Routers;
  std::set<VmId> Dead;
  std::vector<VmId> Unreachable;
  std::set<VmId> Leaving;
  std::shared_ptr<const RoutingView> View;
  std::map<uint64_t, SendForward> Running;
  std::map<uint64_t, std::string> Ended;
};

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
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-in-progress");
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
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-in-progress");
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
  EXPECT_EQ(cluster.deposit(0, 2), "unknown/key-in-progress");
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
  EXPECT_EQ(founded.deposit(1, 2), "unknown/key-in-progress");
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
// the request did not run, because the ending and a hand-over crossed.
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
  EXPECT_EQ(store->claim(now, {Key, RequestId{2}}, {}, vmId(0)).Verdict,
            KeyVerdict::InProgress);
  store->settle(now, {Key, RequestId{1}, OutcomeKind::NotRun});
  EXPECT_EQ(store->claim(now, {Key, RequestId{2}}, {}, vmId(0)).Verdict,
            KeyVerdict::Granted);
}

} // namespace
} // namespace balsamrack

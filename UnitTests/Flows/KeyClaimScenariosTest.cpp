#include <deque>
#include <map>
#include <set>

#include "Balsamrack/Flows/KeyStore.h"
#include "UnitTests/Flows/RouterHarness.h"

namespace balsamrack {
namespace {

constexpr KeyDigest Key{3, 9};

/// A few daemons, each with a guard and a router, and a server that counts
/// runs. Claims are carried at once; Forwards wait until the test answers them.
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
  /// Everybody gets a view of who lives.
  void publishView() {
    RoutingView view = makeView(4, Vms);
    auto &members = view.KeyReplicas.Members;
    members.erase(
        std::remove_if(members.begin(), members.end(),
                       [this](const EntryVm &it) { return Dead.count(it.Id); }),
        members.end());
    view.KeyReplicas.RecentlyDeparted.assign(Dead.begin(), Dead.end());
    view.KeyReplicas.Unreachable = Unreachable;
    View = *RoutingView::create(view);
    for (size_t i = 0; i < Vms; ++i)
      handle(i, ViewChanged{View});
  }
  void kill(const VmId &vm) {
    Dead.insert(vm);
    Stores[indexOf(vm)] = nullptr;
    publishView();
  }
  /// The guardians of the key now.
  VmId replica(size_t rank) const {
    return keyReplicas(Key, View->KeyReplicas.Members, 2)[rank].Id;
  }
  /// Sends the deposit with request id \p request in at daemon \p at, on a new
  /// flow. Returns its ending, or "running" when it was forwarded.
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
  /// The owner that has the request answers.
  std::string answer(size_t at, uint64_t request, OutcomeKind how, Reason why) {
    Outcome o;
    o.Request = RequestId{request};
    o.How = how;
    o.Why = why;
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
  /// Runs an event and carries the claims until nothing is left to do.
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
      Ended[end->Result.Request.Value] = absl::StrCat(
          outcomeKindName(end->Result.How), "/", reasonName(end->Result.Why));
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
  std::shared_ptr<const RoutingView> View;
  std::map<uint64_t, SendForward> Running;
  std::map<uint64_t, std::string> Ended;
};

/// How the first attempt ended, and what its repeat at another daemon gets.
struct RepeatCase {
  const char *Name;
  OutcomeKind How;
  Reason Why;
  const char *Repeat;
};

class RepeatTest : public testing::TestWithParam<RepeatCase> {};

// A seller presses "pay" twice. The second press opens a new flow, which the
// fabric hands to another daemon. While the first deposit runs, and after it
// ran or may have run, the second must not run.
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
                               Reason::DomainOut, "running"}),
    [](const auto &info) { return info.param.Name; });

// The owner dies with the deposit. Its repeat must not run, whichever daemon
// gets it.
TEST(KeyClaimScenariosTest, OwnerDiedWithTheFirst) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  cluster.loseOwner(0, 1);
  EXPECT_EQ(cluster.resultOf(1), "unknown/owner-lost");
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-unknown");
}

// The entry dies while the deposit runs; nobody ever settles the key. The
// guardians keep it as in progress.
TEST(KeyClaimScenariosTest, EntryDiedWithTheFirst) {
  KeyCluster cluster(5);
  cluster.deposit(0, 1);
  cluster.Now += std::chrono::minutes(9);
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-in-progress");
}

// One guardian dies after the deposit ran. The other still knows the key.
TEST(KeyClaimScenariosTest, OneReplicaDied) {
  KeyCluster cluster(6);
  cluster.deposit(0, 1);
  cluster.answer(0, 1, OutcomeKind::Answered, Reason::None);
  cluster.kill(cluster.replica(0));
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-answered");
}

// Both guardians die after the deposit ran. Their successors have been up for
// long and know nothing of the key; that must not count as "never ran".
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

// A new key after one guardian died: the survivor proves that it never ran.
TEST(KeyClaimScenariosTest, NewKeyRunsAfterOneDeath) {
  KeyCluster cluster(6);
  cluster.kill(cluster.replica(1));
  EXPECT_EQ(cluster.deposit(0, 1), "running");
}

// A guardian can't be reached, but is not dead. It may know the key.
TEST(KeyClaimScenariosTest, ReplicaUnreachable) {
  KeyCluster cluster(6);
  cluster.Unreachable = {cluster.replica(0)};
  cluster.publishView();
  EXPECT_EQ(cluster.deposit(0, 1), "unknown/key-unknown");
  cluster.Unreachable.clear();
  cluster.publishView();
  EXPECT_EQ(cluster.deposit(0, 2), "running");
}

// It crashed, and nobody noticed yet: the claim is not answered in time. The
// deposit must not run; the other guardian would know of an earlier attempt, so
// "not run" is true.
TEST(KeyClaimScenariosTest, ReplicaDoesNotAnswer) {
  KeyCluster cluster(6);
  cluster.Stores[KeyCluster::indexOf(cluster.replica(0))] = nullptr;
  EXPECT_EQ(cluster.deposit(0, 1), "not-run/key-unknown");
}

// The same with a key that ran, whose answer was lost on its way: the guardian
// that is left knows it, and "not run" would be a lie.
TEST(KeyClaimScenariosTest, ReplicaDoesNotAnswerAfterTheKeyRan) {
  KeyCluster cluster(6);
  EXPECT_EQ(cluster.deposit(1, 1), "running");
  cluster.Stores[KeyCluster::indexOf(cluster.replica(0))] = nullptr;
  EXPECT_EQ(cluster.deposit(0, 2), "unknown/key-in-progress");
}

// One guardian is silent and the other fresh: nobody can say that the key never
// ran.
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

// The whole fleet was just started. Whether a key ran before can't be known,
// unless operators say that this is the first installation.
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

// The caller's time is over while the owner still has the deposit. The caller
// hears "unknown"; when the owner then says that it did not run, the key is
// free again and the repeat runs.
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

// A leaving guardian passes its keys on; then the other one dies.
TEST(KeyClaimScenariosTest, HandedOverKeysSurviveTheOtherReplica) {
  KeyCluster cluster(6);
  cluster.deposit(0, 1);
  cluster.answer(0, 1, OutcomeKind::Answered, Reason::None);
  VmId leaver = cluster.replica(0);
  VmId other = cluster.replica(1);
  KeyReplicaView rest = cluster.View->KeyReplicas;
  rest.Members.erase(
      std::remove_if(rest.Members.begin(), rest.Members.end(),
                     [&](const EntryVm &it) { return it.Id == leaver; }),
      rest.Members.end());
  // One message to each of the others, which says that nothing is missing.
  auto batches = cluster.Stores[KeyCluster::indexOf(leaver)]->exportKeys(
      cluster.Now, rest, leaver, Incarnation{1}, 100);
  ASSERT_EQ(batches.size(), 5U);
  for (const auto &it : batches)
    cluster.Stores[KeyCluster::indexOf(it.To.Id)]->importKeys(cluster.Now,
                                                              it.Batch);
  cluster.kill(leaver);
  cluster.kill(other);
  EXPECT_EQ(cluster.deposit(1, 2), "unknown/key-answered");
}

// Story: a rolling restart. A daemon has just started, the fabric sends it a
// deposit, and it has not met its peers: it is the key's only guardian by its
// own view and knows nothing of it. The deposit ended unknown at once, though a
// moment later there is a guardian that can vouch for it.
TEST(KeyClaimScenariosTest, StartedDaemonWaitsForItsPeers) {
  KeyCluster cluster(3);
  cluster.Stores[0] = cluster.makeStore(cluster.Now);
  RoutingView alone = makeView(4, 1);
  cluster.handle(0, ViewChanged{*RoutingView::create(alone)});
  EXPECT_EQ(cluster.deposit(0, 1), "waiting");
  cluster.handle(0, ViewChanged{cluster.View});
  EXPECT_EQ(cluster.resultOf(1), "running");
}

// Story: as above, but no peer is ever met. The deposit may have run before the
// restart, so it ends unknown, within the time of a claim.
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

// Story: a rolling restart. One guardian of a new key has closed its memory to
// hand it over, the other has just started and not got it yet. The deposit
// ended unknown; a moment later the hand-over is there.
TEST(KeyClaimScenariosTest, ANewKeyWaitsForAHandOver) {
  KeyCluster cluster(2);
  VmId leaver = cluster.replica(0);
  VmId fresh = cluster.replica(1);
  cluster.Stores[KeyCluster::indexOf(fresh)] = cluster.makeStore(cluster.Now);
  KeyReplicaView rest = cluster.View->KeyReplicas;
  rest.Members.erase(
      std::remove_if(rest.Members.begin(), rest.Members.end(),
                     [&](const EntryVm &it) { return it.Id == leaver; }),
      rest.Members.end());
  auto batches = cluster.Stores[KeyCluster::indexOf(leaver)]->exportKeys(
      cluster.Now, rest, leaver, Incarnation{1}, 100);
  EXPECT_EQ(cluster.deposit(1, 1), "waiting");
  for (const auto &it : batches)
    cluster.Stores[KeyCluster::indexOf(it.To.Id)]->importKeys(cluster.Now,
                                                              it.Batch);
  cluster.kill(leaver);
  cluster.Now += cluster.Settings.ClaimRepeat;
  cluster.handle(1, EntryTicked{});
  EXPECT_EQ(cluster.resultOf(1), "running");
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

#include <deque>
#include <map>
#include <set>

#include "Balsamrack/Flows/KeyGuard.h"
#include "UnitTests/Flows/RouterHelp.h"

namespace balsamrack {
namespace {

constexpr KeyDigest Key{3, 9};

/// A few daemons, each with a guard and a router, and a server that counts
/// runs. Claims are carried at once; Forwards wait until the test answers them.
class KeyBench {
public:
  explicit KeyBench(size_t vms, const EntrySettings &settings = {},
                    bool old = true)
      : Settings(settings), Vms(vms) {
    for (size_t i = 0; i < vms; ++i) {
      Guards.push_back(guard(old ? TimePoint() : Now));
      Routers.push_back(std::move(*EntryRouter::create(settings, i)));
    }
    refresh();
  }
  std::unique_ptr<KeyGuard> guard(TimePoint started) const {
    KeyGuardSettings s;
    s.AssumeNoEarlierKeys = Settings.AssumeNoEarlierKeys;
    return std::move(*KeyGuard::create(s, started));
  }
  /// Everybody gets a view of who lives.
  void refresh() {
    RoutingView view = parts(4, Vms);
    auto &members = view.Guardians.Members;
    members.erase(
        std::remove_if(members.begin(), members.end(),
                       [this](const EntryVm &it) { return Dead.count(it.Id); }),
        members.end());
    view.Guardians.RecentlyDeparted.assign(Dead.begin(), Dead.end());
    view.Guardians.Unreachable = Cut;
    View = *RoutingView::create(view);
    for (size_t i = 0; i < Vms; ++i)
      run(i, ViewChanged{View});
  }
  void kill(const VmId &vm) {
    Dead.insert(vm);
    Guards[indexOf(vm)] = nullptr;
    refresh();
  }
  /// The guardians of the key now.
  VmId guardian(size_t rank) const {
    return guardiansOf(Key, View->Guardians.Members, 2)[rank].Id;
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
    run(at, PacketArrived{head, ""});
    return resultOf(request);
  }
  /// The owner that has the request answers.
  std::string answer(size_t at, uint64_t request, OutcomeKind how, Reason why) {
    Outcome o;
    o.Request = RequestId{request};
    o.How = how;
    o.Why = why;
    o.Server = Running[request].Server;
    run(at, OwnerReplied{Running[request].To.Id, o});
    return resultOf(request);
  }
  void loseOwner(size_t at, uint64_t request) {
    run(at, PeerLost{Running[request].To.Id});
  }
  std::string resultOf(uint64_t request) const {
    auto it = Ended.find(request);
    if (it != Ended.end())
      return it->second;
    return Running.count(request) ? "running" : "waiting";
  }
  /// Runs an event and carries the claims until nothing is left to do.
  void run(size_t at, const EntryEvent &event) {
    std::deque<EntryEvent> events{event};
    while (!events.empty()) {
      EntryEvent next = events.front();
      events.pop_front();
      for (const EntryAction &it : Routers[at]->step(Now, next))
        carry(it, events);
    }
  }
  void carry(const EntryAction &action, std::deque<EntryEvent> &events) {
    if (const auto *claim = std::get_if<SendClaim>(&action)) {
      KeyGuard *g = Guards[indexOf(claim->To.Id)].get();
      if (g)
        events.push_back(
            KeyReplied{claim->To.Id, g->claim(Now, claim->Claim,
                                              View->Guardians, claim->To.Id)});
      else
        events.push_back(SendFailed{claim->Claim.Request, claim->To.Id});
    } else if (const auto *settled = std::get_if<SendSettled>(&action)) {
      if (KeyGuard *g = Guards[indexOf(settled->To.Id)].get())
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
  std::vector<std::unique_ptr<KeyGuard>> Guards;
  std::vector<std::unique_ptr<EntryRouter>> Routers;
  std::set<VmId> Dead;
  std::vector<VmId> Cut;
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
  KeyBench bench(5);
  EXPECT_EQ(bench.deposit(0, 1), "running");
  EXPECT_EQ(bench.deposit(1, 2), "unknown/key-in-progress");
  bench.answer(0, 1, GetParam().How, GetParam().Why);
  EXPECT_EQ(bench.deposit(2, 3), GetParam().Repeat);
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
TEST(KeyStoriesTest, OwnerDiedWithTheFirst) {
  KeyBench bench(5);
  bench.deposit(0, 1);
  bench.loseOwner(0, 1);
  EXPECT_EQ(bench.resultOf(1), "unknown/owner-lost");
  EXPECT_EQ(bench.deposit(1, 2), "unknown/key-unknown");
}

// The entry dies while the deposit runs; nobody ever settles the key. The
// guardians keep it as in progress.
TEST(KeyStoriesTest, EntryDiedWithTheFirst) {
  KeyBench bench(5);
  bench.deposit(0, 1);
  bench.Now += std::chrono::minutes(9);
  EXPECT_EQ(bench.deposit(1, 2), "unknown/key-in-progress");
}

// One guardian dies after the deposit ran. The other still knows the key.
TEST(KeyStoriesTest, OneGuardianDied) {
  KeyBench bench(6);
  bench.deposit(0, 1);
  bench.answer(0, 1, OutcomeKind::Answered, Reason::None);
  bench.kill(bench.guardian(0));
  EXPECT_EQ(bench.deposit(1, 2), "unknown/key-answered");
}

// Both guardians die after the deposit ran. Their successors have been up for
// long and know nothing of the key; that must not count as "never ran".
TEST(KeyStoriesTest, BothGuardiansDied) {
  for (bool oneByOne : {false, true}) {
    KeyBench bench(6);
    bench.deposit(0, 1);
    bench.answer(0, 1, OutcomeKind::Answered, Reason::None);
    VmId first = bench.guardian(0);
    VmId second = bench.guardian(1);
    bench.kill(first);
    if (oneByOne) {
      EXPECT_EQ(bench.deposit(1, 2), "unknown/key-answered");
    }
    bench.kill(second);
    EXPECT_EQ(bench.deposit(2, 3), "unknown/key-unknown");
  }
}

// A new key after one guardian died: the survivor proves that it never ran.
TEST(KeyStoriesTest, NewKeyRunsAfterOneDeath) {
  KeyBench bench(6);
  bench.kill(bench.guardian(1));
  EXPECT_EQ(bench.deposit(0, 1), "running");
}

// A guardian can't be reached, but is not dead. It may know the key.
TEST(KeyStoriesTest, GuardianCutOff) {
  KeyBench bench(6);
  bench.Cut = {bench.guardian(0)};
  bench.refresh();
  EXPECT_EQ(bench.deposit(0, 1), "unknown/key-unknown");
  bench.Cut.clear();
  bench.refresh();
  EXPECT_EQ(bench.deposit(0, 2), "running");
}

// It crashed, and nobody noticed yet: the claim is not answered in time. The
// deposit must not run; the other guardian would know of an earlier attempt, so
// "not run" is true.
TEST(KeyStoriesTest, GuardianSilent) {
  KeyBench bench(6);
  bench.Guards[KeyBench::indexOf(bench.guardian(0))] = nullptr;
  EXPECT_EQ(bench.deposit(0, 1), "not-run/key-unknown");
}

// The same with a key that ran, whose answer was lost on its way: the guardian
// that is left knows it, and "not run" would be a lie.
TEST(KeyStoriesTest, GuardianSilentAfterTheKeyRan) {
  KeyBench bench(6);
  EXPECT_EQ(bench.deposit(1, 1), "running");
  bench.Guards[KeyBench::indexOf(bench.guardian(0))] = nullptr;
  EXPECT_EQ(bench.deposit(0, 2), "unknown/key-in-progress");
}

// One guardian is silent and the other fresh: nobody can say that the key never
// ran.
TEST(KeyStoriesTest, GuardianSilentAndTheOtherFresh) {
  KeyBench bench(6, {}, false);
  bench.Guards[KeyBench::indexOf(bench.guardian(0))] = nullptr;
  EXPECT_EQ(bench.deposit(0, 1), "unknown/key-unknown");
}

TEST(KeyStoriesTest, OperatorsMayChooseToRunWhenCut) {
  EntrySettings s;
  s.WhenCut = KeyPolicy::RunWithReachable;
  KeyBench bench(6, s);
  bench.Cut = {bench.guardian(0)};
  bench.refresh();
  EXPECT_EQ(bench.deposit(0, 1), "running");
}

// The whole fleet was just started. Whether a key ran before can't be known,
// unless operators say that this is the first installation.
TEST(KeyStoriesTest, FreshFleet) {
  KeyBench unsure(5, {}, false);
  EXPECT_EQ(unsure.deposit(0, 1), "unknown/key-unknown");
  unsure.Now += std::chrono::minutes(10);
  EXPECT_EQ(unsure.deposit(0, 2), "running");
  EntrySettings s;
  s.AssumeNoEarlierKeys = true;
  KeyBench founded(5, s, false);
  EXPECT_EQ(founded.deposit(0, 1), "running");
  EXPECT_EQ(founded.deposit(1, 2), "unknown/key-in-progress");
}

// The caller's time is over while the owner still has the deposit. The caller
// hears "unknown"; when the owner then says that it did not run, the key is
// free again and the repeat runs.
TEST(KeyStoriesTest, LateTruthSettlesTheKey) {
  KeyBench bench(5);
  bench.deposit(0, 1);
  bench.Now += ms(10'000);
  bench.run(0, EntryTicked{});
  EXPECT_EQ(bench.resultOf(1), "unknown/deadline-passed");
  EXPECT_EQ(bench.deposit(1, 2), "unknown/key-unknown");
  bench.answer(0, 1, OutcomeKind::NotRun, Reason::DeadlinePassed);
  EXPECT_EQ(bench.deposit(1, 3), "running");
}

// A leaving guardian passes its keys on; then the other one dies.
TEST(KeyStoriesTest, HandedOverKeysOutliveTheOtherGuardian) {
  KeyBench bench(6);
  bench.deposit(0, 1);
  bench.answer(0, 1, OutcomeKind::Answered, Reason::None);
  VmId leaver = bench.guardian(0);
  VmId other = bench.guardian(1);
  GuardianView rest = bench.View->Guardians;
  rest.Members.erase(
      std::remove_if(rest.Members.begin(), rest.Members.end(),
                     [&](const EntryVm &it) { return it.Id == leaver; }),
      rest.Members.end());
  // One message to each of the others, which says that nothing is missing.
  auto batches = bench.Guards[KeyBench::indexOf(leaver)]->handOver(
      bench.Now, rest, leaver, Incarnation{1}, 100);
  ASSERT_EQ(batches.size(), 5U);
  for (const auto &it : batches)
    bench.Guards[KeyBench::indexOf(it.To.Id)]->learn(bench.Now, it.Batch);
  bench.kill(leaver);
  bench.kill(other);
  EXPECT_EQ(bench.deposit(1, 2), "unknown/key-answered");
}

// Story: a rolling restart. A daemon has just started, the fabric sends it a
// deposit, and it has not met its peers: it is the key's only guardian by its
// own view and knows nothing of it. The deposit ended unknown at once, though a
// moment later there is a guardian that can vouch for it.
TEST(KeyStoriesTest, ADaemonThatHasMetNobodyWaitsForItsPeers) {
  KeyBench bench(3);
  bench.Guards[0] = bench.guard(bench.Now);
  RoutingView alone = parts(4, 1);
  bench.run(0, ViewChanged{*RoutingView::create(alone)});
  EXPECT_EQ(bench.deposit(0, 1), "waiting");
  bench.run(0, ViewChanged{bench.View});
  EXPECT_EQ(bench.resultOf(1), "running");
}

// Story: as above, but no peer is ever met. The deposit may have run before the
// restart, so it ends unknown, within the time of a claim.
TEST(KeyStoriesTest, ADaemonThatMeetsNobodyRefusesSoon) {
  KeyBench bench(3);
  bench.Guards[0] = bench.guard(bench.Now);
  RoutingView alone = parts(4, 1);
  bench.run(0, ViewChanged{*RoutingView::create(alone)});
  bench.deposit(0, 1);
  for (int i = 0; i < 6; ++i) {
    bench.Now += bench.Settings.ClaimRepeat;
    bench.run(0, EntryTicked{});
  }
  EXPECT_EQ(bench.resultOf(1), "unknown/key-unknown");
}

// Story: a rolling restart. One guardian of a new key has closed its memory to
// hand it over, the other has just started and not got it yet. The deposit
// ended unknown; a moment later the hand-over is there.
TEST(KeyStoriesTest, ANewKeyWaitsForAHandOver) {
  KeyBench bench(2);
  VmId leaver = bench.guardian(0);
  VmId fresh = bench.guardian(1);
  bench.Guards[KeyBench::indexOf(fresh)] = bench.guard(bench.Now);
  GuardianView rest = bench.View->Guardians;
  rest.Members.erase(
      std::remove_if(rest.Members.begin(), rest.Members.end(),
                     [&](const EntryVm &it) { return it.Id == leaver; }),
      rest.Members.end());
  auto batches = bench.Guards[KeyBench::indexOf(leaver)]->handOver(
      bench.Now, rest, leaver, Incarnation{1}, 100);
  EXPECT_EQ(bench.deposit(1, 1), "waiting");
  for (const auto &it : batches)
    bench.Guards[KeyBench::indexOf(it.To.Id)]->learn(bench.Now, it.Batch);
  bench.kill(leaver);
  bench.Now += bench.Settings.ClaimRepeat;
  bench.run(1, EntryTicked{});
  EXPECT_EQ(bench.resultOf(1), "running");
}

TEST(KeyGuardTest, RefusesRatherThanForgetsWhenFull) {
  KeyGuardSettings s;
  s.MaxKeys = 4;
  s.Shards = 1;
  auto guard = std::move(*KeyGuard::create(s, TimePoint()));
  TimePoint now{std::chrono::hours(1)};
  auto claim = [&](uint64_t n, uint64_t request) {
    return guard->claim(now, {KeyDigest{n, n}, RequestId{request}}, {}, vmId(0))
        .Verdict;
  };
  for (uint64_t n = 1; n <= 4; ++n)
    EXPECT_EQ(claim(n, n), KeyVerdict::Granted);
  EXPECT_EQ(claim(5, 5), KeyVerdict::Unable);
  EXPECT_EQ(claim(1, 9), KeyVerdict::InProgress);
  EXPECT_EQ(claim(1, 1), KeyVerdict::Granted);
  now += s.KeyMemory;
  EXPECT_EQ(claim(5, 5), KeyVerdict::Granted);
  EXPECT_EQ(guard->size(), 1U);
}

TEST(KeyGuardTest, OnlyTheHolderSettles) {
  auto guard = std::move(*KeyGuard::create({}, TimePoint()));
  TimePoint now{std::chrono::hours(1)};
  guard->claim(now, {Key, RequestId{1}}, {}, vmId(0));
  guard->settle(now, {Key, RequestId{2}, OutcomeKind::NotRun});
  EXPECT_EQ(guard->claim(now, {Key, RequestId{2}}, {}, vmId(0)).Verdict,
            KeyVerdict::InProgress);
  guard->settle(now, {Key, RequestId{1}, OutcomeKind::NotRun});
  EXPECT_EQ(guard->claim(now, {Key, RequestId{2}}, {}, vmId(0)).Verdict,
            KeyVerdict::Granted);
}

} // namespace
} // namespace balsamrack

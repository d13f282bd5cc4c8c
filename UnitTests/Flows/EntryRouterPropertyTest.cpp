#include <map>
#include <optional>

#include "UnitTests/Flows/RouterHarness.h"
#include "UnitTests/Flows/SeededCheck.h"

namespace balsamrack {
namespace {

/// What the test knows about one packet.
struct TrackedPacket {
  Envelope Head;
  std::optional<SendForward> Outstanding; ///< Forward without a reply.
  std::vector<VmId> Asked;                ///< Owners asked about the flow.
  std::vector<VmId> Claimed;              ///< Key replicas that received a
                                          ///< claim.
  bool MayHaveRun = false; ///< An owner ran it or may have run it.
  bool Granted = false;    ///< A replica granted its key.
  int NumEndings = 0;
};

/// Feeds a router with valid and invalid events in random order, and checks
/// each action against what the events allow.
class RouterFuzzer {
public:
  RouterFuzzer()
      : Router(*EntryRouter::create({}, 7)),
        Replayed(*EntryRouter::create({}, 7)) {
    changeView();
  }

  void randomStep() {
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
    case 2:
      return arrive();
    case 3:
      return changeView();
    case 4:
      return losePeerOrSend(true);
    case 5:
      return losePeerOrSend(false);
    case 6:
      Now += ms(*rc::gen::inRange(1, 4000));
      return feed(EntryTicked{});
    case 7:
      return callerLeaves();
    case 8:
      return flowReply();
    case 9:
      return keyReply();
    default:
      return ownerReply(*rc::gen::inRange(0, 4) == 0);
    }
  }

  /// Advances the time past all deadlines; every packet must have ended once.
  void finish() {
    Now += std::chrono::minutes(10);
    feed(EntryTicked{});
    for (const auto &[id, w] : Packets)
      RC_ASSERT(w.NumEndings == 1);
    RC_ASSERT(Router->inProgress() == 0U);
  }

private:
  TrackedPacket *randomPacket() {
    if (Packets.empty())
      return nullptr;
    auto n = *rc::gen::inRange<size_t>(0, Packets.size());
    return &std::next(Packets.begin(), static_cast<ptrdiff_t>(n))->second;
  }
  static VmId randomVm() { return vmId(*rc::gen::inRange<size_t>(0, 5)); }

  void arrive() {
    TrackedPacket w;
    w.Head.Request = RequestId{Packets.size() + 1};
    w.Head.Flow = FlowId{*rc::gen::inRange<uint64_t>(1, 20)};
    w.Head.Service = Booking;
    w.Head.FirstOfFlow = *rc::gen::arbitrary<bool>();
    w.Head.Kind = *rc::gen::arbitrary<bool>() ? Semantics::RunOnce
                                              : Semantics::Idempotent;
    if (*rc::gen::arbitrary<bool>())
      w.Head.Key = {1, w.Head.Request.Value};
    w.Head.Remaining = ms(*rc::gen::inRange(0, 20'000));
    Packets[w.Head.Request.Value] = w;
    feed(PacketArrived{w.Head, ""});
  }

  void changeView() {
    RoutingView view = makeView(*rc::gen::inRange<size_t>(0, 6), 5);
    for (RoutedServer &it : view.Services[Booking].Servers) {
      it.OwnerReachable = *rc::gen::inRange(0, 4) != 0;
      it.DomainInService = *rc::gen::inRange(0, 6) != 0;
      it.Ejected = *rc::gen::inRange(0, 6) == 0;
    }
    if (*rc::gen::inRange(0, 3) == 0)
      view.KeyReplicas.Members.pop_back();
    feed(ViewChanged{*RoutingView::create(view)});
  }

  void losePeerOrSend(bool lost) {
    VmId vm = randomVm();
    TrackedPacket *one = randomPacket();
    if (lost) {
      for (auto &[id, w] : Packets)
        if (w.Outstanding && w.Outstanding->To.Id == vm) {
          w.MayHaveRun = true;
          w.Outstanding.reset();
        }
      return feed(PeerLost{vm});
    }
    if (!one)
      return;
    if (one->Outstanding && one->Outstanding->To.Id == vm)
      one->Outstanding.reset();
    feed(SendFailed{one->Head.Request, vm});
  }

  void callerLeaves() {
    if (TrackedPacket *w = randomPacket())
      feed(CallerLeft{w->Head.Request});
  }

  void flowReply() {
    TrackedPacket *w = randomPacket();
    if (!w)
      return;
    VmId from = w->Asked.empty() ? randomVm() : w->Asked.back();
    ServerId server = serverId(*rc::gen::inRange<size_t>(0, 7));
    if (*rc::gen::arbitrary<bool>())
      server = ServerId();
    feed(FlowReplied{from,
                     {w->Head.Request, w->Head.Flow, server,
                      !server.empty() && *rc::gen::arbitrary<bool>(),
                      TicketNumber{*rc::gen::inRange<uint64_t>(9, 12)}}});
  }

  void keyReply() {
    TrackedPacket *w = randomPacket();
    if (!w || w->Claimed.empty())
      return;
    auto verdict = static_cast<KeyVerdict>(*rc::gen::inRange(0, 5));
    if (*rc::gen::arbitrary<bool>())
      verdict = KeyVerdict::Granted;
    VmId from = w->Claimed[*rc::gen::inRange<size_t>(0, w->Claimed.size())];
    w->Granted = w->Granted || verdict == KeyVerdict::Granted;
    feed(KeyReplied{from, {w->Head.Key, w->Head.Request, verdict}});
  }

  /// The owner that has the packet replies, or another one if \p wrong.
  void ownerReply(bool wrong) {
    TrackedPacket *w = randomPacket();
    if (!w || !w->Outstanding)
      return;
    Outcome o;
    o.Request = w->Head.Request;
    o.Kind = static_cast<OutcomeKind>(*rc::gen::inRange(0, 3));
    o.Cause = o.Kind == OutcomeKind::NotRun && *rc::gen::arbitrary<bool>()
                  ? Reason::QueueFull
                  : Reason::ServerFailed;
    o.Server = w->Outstanding->Server;
    VmId from = w->Outstanding->To.Id;
    if (wrong)
      return feed(OwnerReplied{VmId("stranger"), o});
    bool elsewhere = o.Kind == OutcomeKind::NotRun && !w->Outstanding->Accept &&
                     !w->Head.FirstOfFlow && *rc::gen::arbitrary<bool>();
    if (elsewhere) {
      o.Cause = Reason::FlowNotOnServer;
      o.Server = *rc::gen::arbitrary<bool>() ? ServerId() : serverId(1);
    }
    w->MayHaveRun = w->MayHaveRun || o.Kind != OutcomeKind::NotRun;
    w->Outstanding.reset();
    feed(OwnerReplied{from, o});
  }

  void feed(const EntryEvent &event) {
    auto actions = Router->step(Now, event);
    // A replay of the same events must give the same actions.
    auto again = Replayed->step(Now, event);
    RC_ASSERT(digest(actions) == digest(again));
    for (const EntryAction &it : actions)
      check(it);
  }

  static uint64_t digest(const std::vector<EntryAction> &actions) {
    uint64_t sum = actions.size();
    for (const EntryAction &it : actions) {
      sum = combineHash(sum, it.index());
      if (const auto *f = std::get_if<SendForward>(&it))
        sum = combineHash(sum, f->Server.hash());
      if (const auto *e = std::get_if<EndPacket>(&it))
        sum = combineHash(
            sum, static_cast<uint64_t>(e->Result.RetryAfter.count()) * 64 +
                     static_cast<uint64_t>(e->Result.Cause));
      if (const auto *x = std::get_if<ExplainEntry>(&it))
        sum = combineHash(sum, stableHash(x->Made.Rule + x->Made.Result));
    }
    return sum;
  }

  void check(const EntryAction &action) {
    if (const auto *f = std::get_if<SendForward>(&action)) {
      TrackedPacket &w = Packets[f->Request.Value];
      RC_ASSERT(w.NumEndings == 0);
      RC_ASSERT(!w.Outstanding);
      bool runOnce = w.Head.Kind == Semantics::RunOnce;
      RC_ASSERT(!runOnce || !w.MayHaveRun);
      RC_ASSERT(!runOnce || w.Head.Key.empty() || w.Granted);
      w.Outstanding = *f;
    } else if (const auto *e = std::get_if<EndPacket>(&action)) {
      TrackedPacket &w = Packets[e->Result.Request.Value];
      RC_ASSERT(++w.NumEndings == 1);
      bool notRun = e->Result.Kind == OutcomeKind::NotRun ||
                    e->Result.Kind == OutcomeKind::GivenUp;
      RC_ASSERT(!notRun || (!w.MayHaveRun && !w.Outstanding));
    } else if (const auto *q = std::get_if<SendQuestion>(&action)) {
      Packets[q->Question.Request.Value].Asked.push_back(q->To.Id);
    } else if (const auto *c = std::get_if<SendClaim>(&action)) {
      Packets[c->Claim.Request.Value].Claimed.push_back(c->To.Id);
    }
  }

  std::unique_ptr<EntryRouter> Router;
  std::unique_ptr<EntryRouter> Replayed; ///< Fed with the same events.
  TimePoint Now{std::chrono::hours(1)};
  std::map<uint64_t, TrackedPacket> Packets;
};

// Peers reply, die, or reply late or for others, callers leave and views
// change, in random order. Every packet must end exactly once with a correct
// outcome, and a RunOnce request must not be forwarded again after it may have
// run.
TEST(EntryRouterPropertyTest, EndsOnceTruthfullyAndRunsOnce) {
  EXPECT_TRUE(seededCheck(
      [] {
        RouterFuzzer fuzzer;
        auto steps = *rc::gen::inRange(0, 80);
        for (int i = 0; i < steps; ++i)
          fuzzer.randomStep();
        fuzzer.finish();
      },
      2000));
}

} // namespace
} // namespace balsamrack

#ifndef BALSAMRACK_UNITTESTS_FLOWS_KEYCLUSTER_H
#define BALSAMRACK_UNITTESTS_FLOWS_KEYCLUSTER_H

#include <deque>
#include <map>
#include <set>

#include "Balsamrack/Flows/KeyStore.h"
#include "UnitTests/Flows/RouterHarness.h"

namespace balsamrack {

inline constexpr KeyDigest Key{3, 9};

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
  std::string deposit(size_t at, uint64_t request,
                      Duration remaining = ms(10'000)) {
    Envelope head;
    head.Request = RequestId{request};
    head.Flow = FlowId{1000 + request};
    head.Service = Booking;
    head.FirstOfFlow = true;
    head.Key = Key;
    head.Remaining = remaining;
    handle(at, PacketArrived{head, ""});
    return resultOf(request);
  }
  /// The same, for a repeat that ends within the 2 s for which the endings of
  /// other attempts are awaited.
  std::string depositAndWait(size_t at, uint64_t request) {
    deposit(at, request);
    advance(at, ms(2'000));
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
  /// Lets \p time pass for daemon \p at.
  void advance(size_t at, Duration time) {
    for (const TimePoint end = Now + time; Now < end;) {
      Now += ms(10);
      handle(at, EntryTicked{});
    }
  }
  /// Delivers the endings that were sent while DelayEndings was set, except
  /// those to \p except.
  void deliverEndings(const VmId &except = VmId()) {
    for (const SendSettled &it : std::exchange(DelayedEndings, {}))
      if (it.To.Id == except)
        DelayedEndings.push_back(it);
      else
        Stores[indexOf(it.To.Id)]->settle(Now, it.Settled);
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
      if (DelayEndings)
        DelayedEndings.push_back(*settled);
      else if (KeyStore *g = Stores[indexOf(settled->To.Id)].get())
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
  bool DelayEndings = false; ///< Endings stay in DelayedEndings.
  std::vector<SendSettled> DelayedEndings;
  std::shared_ptr<const RoutingView> View;
  std::map<uint64_t, SendForward> Running;
  std::map<uint64_t, std::string> Ended;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_FLOWS_KEYCLUSTER_H

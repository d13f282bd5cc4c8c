#include "UnitTests/Membership/FleetSimulation.h"

#include <algorithm>
#include <utility>

namespace balsamrack {

namespace {

/// Maximum size of one StateUpdate in bytes.
constexpr size_t StateBytes = 16'384;

template <class T> T valueOrDie(absl::StatusOr<T> made) {
  return std::move(made).value();
}

} // namespace

FleetSimulation::FleetSimulation(const Options &options)
    : SimulationOptions(options), Random(options.Seed) {}

size_t FleetSimulation::start(const std::string &vm,
                              const std::string &domain) {
  auto node = std::make_unique<Node>();
  uint64_t index = Nodes.size();
  node->Vm = {VmId(vm), DomainId(domain),
              Address{"10.0.0.1", static_cast<uint16_t>(index + 1)}, false};
  node->Run = {++LastRun};
  node->Members = valueOrDie(
      Membership::create(SimulationOptions.Settings, node->Vm, node->Run,
                         SimulationOptions.Seed * 7919 + LastRun));
  node->Fence =
      valueOrDie(OwnershipFence::create(SimulationOptions.Settings, Now));
  node->Tracker = valueOrDie(OwnershipTracker::create(
      SimulationOptions.Settings, node->Vm, node->Run, Now));
  node->Store = ConfigurationStore::create();
  node->Servers = Placed[domain];
  size_t i = Nodes.size();
  ByVm[node->Vm.Id] = i;
  Nodes.push_back(std::move(node));
  step(i, MembershipEvent(PlatformList{Listed}));
  step(i, OwnershipEvent(ListedPeers{Nodes[i]->Members->listedDomainPeers()}));
  step(i, OwnershipEvent(DomainServersChanged{Nodes[i]->Servers}));
  // Spread the ticks of different daemons.
  schedule(Now + Duration(static_cast<int64_t>(Random.below(
                     static_cast<uint64_t>(SimulationOptions.Tick.count())))),
           [this, i] { tick(i); });
  return i;
}

void FleetSimulation::list(const std::vector<EntryVm> &vms) {
  Listed = vms;
  for (size_t i = 0; i < Nodes.size(); ++i) {
    if (!Nodes[i]->Running)
      continue;
    step(i, MembershipEvent(PlatformList{vms}));
    step(i,
         OwnershipEvent(ListedPeers{Nodes[i]->Members->listedDomainPeers()}));
  }
}

void FleetSimulation::setServers(const std::string &domain,
                                 const std::vector<std::string> &servers) {
  Placed[domain].clear();
  for (const std::string &name : servers)
    Placed[domain].push_back(ServerId(name));
  for (size_t i = 0; i < Nodes.size(); ++i) {
    if (!Nodes[i]->Running || Nodes[i]->Vm.Domain.str() != domain)
      continue;
    Nodes[i]->Servers = Placed[domain];
    step(i, OwnershipEvent(DomainServersChanged{Nodes[i]->Servers}));
  }
}

void FleetSimulation::resume(size_t i) {
  Nodes[i]->Paused = false;
  auto inbox = std::exchange(Nodes[i]->Inbox, {});
  for (const auto &what : inbox)
    what();
}

void FleetSimulation::leave(size_t i) {
  step(i, MembershipEvent(MembershipLeaving{}));
}

void FleetSimulation::schedule(TimePoint when, std::function<void()> what) {
  Events.push({when, ++LastTurn, std::move(what)});
}

void FleetSimulation::run(Duration span) {
  runUntil([] { return false; }, span);
}

bool FleetSimulation::runUntil(const std::function<bool()> &done,
                               Duration limit) {
  TimePoint end = Now + limit;
  while (!done()) {
    if (Events.empty() || Events.top().At > end) {
      Now = end;
      return done();
    }
    Event event = Events.top();
    Events.pop();
    Now = std::max(Now, event.At);
    event.What();
    if (Check)
      Check();
  }
  return true;
}

void FleetSimulation::tick(size_t i) {
  Node &node = *Nodes[i];
  if (!node.Running)
    return;
  if (!node.Paused) {
    node.Fence->onTick(Now);
    step(i, MembershipEvent(MembershipTicked{}));
    if (node.Fence->state(Now) == AuthorityState::Renewed) {
      step(i, OwnershipEvent(AuthorityExpired{}));
      node.Fence->restart(node.Fence->expiries(), Now);
    }
    step(i, OwnershipEvent(OwnershipTicked{}));
  }
  TimePoint next = Now + SimulationOptions.Tick;
  if (auto due = node.Members->nextWakeup(); due && *due > Now)
    next = std::min(next, *due);
  schedule(next, [this, i] { tick(i); });
}

void FleetSimulation::post(size_t from, const EntryVm &to,
                           PeerMessage message) {
  Node &node = *Nodes[from];
  size_t bytes = SizeOf ? SizeOf(message) : 0;
  ++node.SentMessages;
  node.SentBytes += bytes;
  node.BytesOfSecond[Now.time_since_epoch().count() / 1'000'000] += bytes;
  auto it = ByVm.find(to.Id);
  bool lost = it == ByVm.end() ||
              Random.nextDouble() < SimulationOptions.Loss ||
              (Cut && Cut(node.Vm, to));
  if (lost)
    return;
  // Replies use the connection of the request.
  auto reply = ReplyTo.find(to.Id);
  size_t receiver = reply != ReplyTo.end() ? reply->second : it->second;
  schedule(Now + SimulationOptions.Latency,
           [this, receiver, from, message = std::move(message)] {
             Node &there = *Nodes[receiver];
             auto handle = [this, receiver, from, message] {
               deliver(receiver, from, message);
             };
             if (there.Running && there.Paused)
               there.Inbox.push_back(handle);
             else if (there.Running)
               handle();
           });
}

void FleetSimulation::deliver(size_t to, size_t sender,
                              const PeerMessage &message) {
  const EntryVm from = Nodes[sender]->Vm;
  ReplyTo = {{from.Id, sender}};
  if (const auto *ping = std::get_if<Ping>(&message))
    step(to, MembershipEvent(MessageReceived{from, *ping}));
  else if (const auto *request = std::get_if<PingRequest>(&message))
    step(to, MembershipEvent(MessageReceived{from, *request}));
  else if (const auto *ack = std::get_if<Ack>(&message))
    step(to, MembershipEvent(MessageReceived{from, *ack}));
  else if (const auto *moved = std::get_if<OwnershipHandOver>(&message))
    step(to, OwnershipEvent(HandOverReceived{*moved}));
  else if (const auto *asked = std::get_if<StateRequest>(&message))
    for (auto &update : Nodes[to]->Store->updatesFor(*asked, StateBytes))
      post(to, from, update);
  else if (const auto *update = std::get_if<StateUpdate>(&message))
    mergeInto(to, update->Objects);
  ReplyTo.clear();
}

void FleetSimulation::merge(size_t i, const std::vector<ObjectState> &objects) {
  mergeInto(i, objects);
}

void FleetSimulation::mergeInto(size_t i,
                                const std::vector<ObjectState> &objects) {
  if (!Nodes[i]->Store->merge(objects).Changed.empty())
    step(i, MembershipEvent(DigestChanged{Nodes[i]->Store->digest()}));
}

void FleetSimulation::step(size_t i, const MembershipEvent &event) {
  for (const auto &action : Nodes[i]->Members->step(Now, event))
    perform(i, action);
  // Publish once per step, since the first answer to a starting daemon carries
  // the records of a whole domain.
  if (std::exchange(Nodes[i]->MembersChangePending, false))
    publishMembers(i);
}

void FleetSimulation::step(size_t i, const OwnershipEvent &event) {
  for (const auto &action : Nodes[i]->Tracker->step(Now, event))
    perform(i, action);
}

void FleetSimulation::publishMembers(size_t i) {
  Node &node = *Nodes[i];
  node.Fence->setPeers(node.Members->liveDomainPeers(), Now);
  step(i, OwnershipEvent(MembersChanged{node.Members->members()}));
}

void FleetSimulation::perform(size_t i, const MembershipAction &action) {
  Node &node = *Nodes[i];
  if (const auto *send = std::get_if<SendTo>(&action)) {
    std::visit([&](const auto &m) { post(i, send->To, m); }, send->Content);
  } else if (const auto *change = std::get_if<MemberChanged>(&action)) {
    node.Changes.push_back(change->Record);
    if (change->Record.Vm.Domain == node.Vm.Domain)
      node.MembersChangePending = true;
  } else if (const auto *newer = std::get_if<PeerHasNewer>(&action)) {
    post(i, newer->Peer, node.Store->request());
  } else if (const auto *renewed = std::get_if<LeaseRenewed>(&action)) {
    node.Fence->renewLease(renewed->Peer, renewed->SentAt, Now);
  } else if (std::holds_alternative<DeclaredDead>(action)) {
    step(i, OwnershipEvent(AuthorityExpired{}));
  } else if (std::holds_alternative<Superseded>(action)) {
    node.Running = false;
  } else if (const auto *heard = std::get_if<ConditionReceived>(&action)) {
    step(i, OwnershipEvent(PeerConditionReceived{heard->Condition}));
  }
}

void FleetSimulation::perform(size_t i, const OwnershipAction &action) {
  if (const auto *send = std::get_if<SendHandOver>(&action)) {
    post(i, send->To, send->Message);
  } else if (const auto *gain = std::get_if<ServerAcquired>(&action)) {
    Nodes[i]->Acquired.push_back(*gain);
  } else if (const auto *lose = std::get_if<StopDispatching>(&action)) {
    HandedOverServer server;
    server.Condition.Server = lose->Server;
    step(i, OwnershipEvent(DispatchStopped{server}));
  }
}

std::vector<VmId> FleetSimulation::dispatchers(const ServerId &server) const {
  std::vector<VmId> list;
  for (const auto &node : Nodes)
    if (node->Running && !node->Paused && node->Tracker->owns(server) &&
        node->Fence->mayDispatch(Now))
      list.push_back(node->Vm.Id);
  return list;
}

} // namespace balsamrack

#include "Balsamrack/Daemon/ControlPlane.h"

#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// Building a view iterates over all servers, so bursts of membership updates
/// are batched for this long. Configuration changes aren't delayed.
constexpr Duration ViewPeriod{50'000};
/// Minimum interval between state requests to a peer that has newer state.
constexpr Duration StateRequestPeriod{200'000};
/// Number of earlier server sets whose first candidates may still have flows.
constexpr size_t MaxEarlierServerSets = 3;
/// Well below the maximum frame size, to keep control messages small.
constexpr size_t StateMessageBytes = size_t{64} * 1024;

OwnedServer::Origin originOf(AcquisitionKind how) {
  switch (how) {
  case AcquisitionKind::FirstOwner:
    return OwnedServer::Origin::FirstOwner;
  case AcquisitionKind::HandedOver:
    return OwnedServer::Origin::HandedOver;
  case AcquisitionKind::TakenOver:
    break;
  }
  return OwnedServer::Origin::TakenOver;
}

std::vector<RankedServer>
rankedServers(const std::vector<const BackendServer *> &servers) {
  std::vector<RankedServer> ranked;
  ranked.reserve(servers.size());
  for (const BackendServer *it : servers)
    ranked.push_back({it->Id, it->Weight});
  return ranked;
}

} // namespace

absl::StatusOr<std::unique_ptr<ControlPlane>>
ControlPlane::create(const ControlSettings &settings, const Clock &clock,
                     ConfigurationStore &store, OwnershipFence &fence,
                     PeerSender &sender, Telemetry &telemetry,
                     ControlListener &listener) {
  std::unique_ptr<ControlPlane> part(new ControlPlane(
      settings, clock, store, fence, sender, telemetry, listener));
  auto members = Membership::create(settings.Membership, settings.Self,
                                    settings.Run, settings.Seed);
  if (!members.ok())
    return members.status();
  auto ownership = OwnershipTracker::create(settings.Membership, settings.Self,
                                            settings.Run, clock.now());
  if (!ownership.ok())
    return ownership.status();
  part->Members = std::move(*members);
  part->Ownership = std::move(*ownership);

  // Start with the peers from the settings.
  const TimePoint now = clock.now();
  part->stepMembership(now, Seeds{settings.Seeds});
  part->stepOwnership(now, ListedPeers{part->Members->listedDomainPeers()});
  part->membersChanged(now);
  return part;
}

ControlPlane::ControlPlane(const ControlSettings &settings, const Clock &clock,
                           ConfigurationStore &store, OwnershipFence &fence,
                           PeerSender &sender, Telemetry &telemetry,
                           ControlListener &listener)
    : Settings(settings), Time(clock), Store(store), Fence(fence),
      Sender(sender), TelemetrySink(telemetry), Listener(listener) {}

bool ControlPlane::onMessage(const EntryVm &from, const PeerMessage &message) {
  {
    std::lock_guard<std::mutex> guard(Lock);
    const TimePoint now = Time.now();
    if (const auto *ping = std::get_if<Ping>(&message)) {
      stepMembership(now, MessageReceived{from, *ping});
      // Answering the ping may have renewed the sender's lease, and ownership
      // may be waiting for that lease to expire.
      if (from.Domain == Settings.Self.Domain)
        membersChanged(now);
    } else if (const auto *request = std::get_if<PingRequest>(&message)) {
      stepMembership(now, MessageReceived{from, *request});
    } else if (const auto *ack = std::get_if<Ack>(&message)) {
      stepMembership(now, MessageReceived{from, *ack});
    } else if (const auto *asked = std::get_if<StateRequest>(&message)) {
      for (StateUpdate &it : Store.updatesFor(*asked, StateMessageBytes))
        Outbox.emplace_back(from, std::move(it));
    } else if (const auto *handed = std::get_if<OwnershipHandOver>(&message)) {
      stepOwnership(now, HandOverReceived{*handed});
    } else if (!std::get_if<StateUpdate>(&message)) {
      return false;
    }
  }
  if (const auto *update = std::get_if<StateUpdate>(&message))
    onObjects(update->Objects, from.Id.str());
  else
    applyChanges();
  return true;
}

void ControlPlane::onObjects(const std::vector<ObjectState> &objects,
                             const std::string &from) {
  {
    std::lock_guard<std::mutex> guard(Lock);
    const auto merged = Store.merge(objects);
    if (!merged.Changed.empty()) {
      Decision decision;
      decision.At = Time.now();
      decision.Kind = DecisionKind::TicketApplied;
      decision.Rule = "highest-ticket-wins";
      decision.Ticket = merged.View->highest();
      decision.Result = absl::StrCat("brought ", merged.Changed.size(),
                                     " objects into force");
      decision.AtStep = stepName(Step::CheckTicket);
      decision.AtPeer = from;
      TelemetrySink.recordDecision(std::move(decision));
      TelemetrySink.log(Component::Reader, Severity::Info,
                        absl::StrCat("Ticket ", merged.View->highest().Value,
                                     " is in force, received from ", from,
                                     "."));
      configurationChanged(Time.now());
    }
  }
  applyChanges();
}

void ControlPlane::onVmList(const std::vector<EntryVm> &vms) {
  {
    std::lock_guard<std::mutex> guard(Lock);
    const TimePoint now = Time.now();
    stepMembership(now, PlatformList{vms});
    stepOwnership(now, ListedPeers{Members->listedDomainPeers()});
  }
  applyChanges();
}

void ControlPlane::onCondition(ServerCondition condition) {
  std::lock_guard<std::mutex> guard(Lock);
  // The run is in the upper bits, above the owner's own count, so that a later
  // owner's report supersedes an earlier owner's.
  constexpr uint64_t CountBits = 20;
  condition.Version = (Settings.Run.Value << CountBits) |
                      (condition.Version & ((1U << CountBits) - 1));
  Conditions[condition.Server] = condition;
  stepMembership(Time.now(), ConditionLearned{condition});
}

void ControlPlane::tick(TimePoint now) {
  {
    std::lock_guard<std::mutex> guard(Lock);
    Fence.onTick(now);
    const auto due = Members->nextWakeup();
    if (!due || *due <= now)
      stepMembership(now, MembershipTicked{});
    handleLeaseExpiry(now);
    stepOwnership(now, OwnershipTicked{});
  }
  applyChanges();
}

void ControlPlane::handleLeaseExpiry(TimePoint now) {
  if (ExpiryToClear || Fence.state(now) != AuthorityState::Renewed)
    return;
  // The owned servers may have other owners by now, so ownership has to be
  // acquired again. The fence stays closed until applyOwned() has withdrawn the
  // servers from the OwnerDispatcher, which would otherwise dispatch to them
  // once more.
  ExpiryToClear = Fence.expiries();
  TelemetrySink.log(Component::Membership, Severity::Warning,
                    "Authority to dispatch had expired. All servers are "
                    "released and acquired again.");
  stepOwnership(now, AuthorityExpired{});
  OwnedChanged = true;
}

void ControlPlane::beginLeave() {
  {
    std::lock_guard<std::mutex> guard(Lock);
    Leaving = true;
    const TimePoint now = Time.now();
    stepMembership(now, MembershipLeaving{});
    membersChanged(now);
  }
  applyChanges();
}

bool ControlPlane::isReleased() const {
  std::lock_guard<std::mutex> guard(Lock);
  // The last daemon of its domain has no peer to hand over to.
  bool handedOver =
      Ownership->owned().empty() || Members->liveDomainPeers().empty();
  return handedOver && Losses.empty() && Outbox.empty();
}

void ControlPlane::finishLeave() {
  {
    std::lock_guard<std::mutex> guard(Lock);
    stepMembership(Time.now(), MembershipLeft{});
  }
  applyChanges();
}

std::shared_ptr<const RoutingView> ControlPlane::view() const {
  std::lock_guard<std::mutex> guard(Lock);
  return View;
}

ControlReport ControlPlane::report(TimePoint now) const {
  std::lock_guard<std::mutex> guard(Lock);
  ControlReport report;
  report.Members = Members->members();
  report.Owned = Ownership->owned();
  report.Wanted = Ownership->wanted();
  report.Authority = Fence.state(now);
  report.Leaving = Leaving;
  for (const auto &[id, member] : report.Members)
    report.Reachable[member.Record.Vm.Domain] =
        Members->domainReachable(member.Record.Vm.Domain);
  return report;
}

void ControlPlane::stepMembership(TimePoint now, const MembershipEvent &event) {
  for (const MembershipAction &it : Members->step(now, event))
    onMembershipAction(now, it);
}

void ControlPlane::onMembershipAction(TimePoint now,
                                      const MembershipAction &action) {
  if (const auto *send = std::get_if<SendTo>(&action)) {
    std::visit(
        [&](const auto &content) { Outbox.emplace_back(send->To, content); },
        send->Content);
  } else if (std::get_if<MemberChanged>(&action)) {
    membersChanged(now);
  } else if (const auto *newer = std::get_if<PeerHasNewer>(&action)) {
    TimePoint &asked = StateRequestedAt[newer->Peer.Id];
    if (now - asked >= StateRequestPeriod) {
      asked = now;
      Outbox.emplace_back(newer->Peer, Store.request());
    }
  } else if (const auto *heard = std::get_if<ConditionReceived>(&action)) {
    stepOwnership(now, PeerConditionReceived{heard->Condition});
  } else if (const auto *renewed = std::get_if<LeaseRenewed>(&action)) {
    Fence.renewLease(renewed->Peer, renewed->SentAt, now);
  } else if (std::get_if<DeclaredDead>(&action)) {
    stepOwnership(now, AuthorityExpired{});
  } else if (std::get_if<Superseded>(&action)) {
    TelemetrySink.log(Component::Membership, Severity::Error,
                      "A later run of this VM exists. This one shuts down.");
    stepOwnership(now, AuthorityExpired{});
    IsSuperseded = true;
  } else if (const auto *explain = std::get_if<Explain>(&action)) {
    TelemetrySink.recordDecision(explain->What);
  }
}

void ControlPlane::membersChanged(TimePoint now) {
  Fence.setPeers(Members->liveDomainPeers(), now);
  stepOwnership(now, MembersChanged{Members->members()});
  ViewStale = true;
}

void ControlPlane::configurationChanged(TimePoint now) {
  const auto view = Store.view();
  recordServerSets(*view);
  DomainServersChanged servers;
  for (const BackendServer *it : view->serversIn(Settings.Self.Domain))
    servers.Servers.push_back(it->Id);
  stepMembership(now, DigestChanged{Store.digest()});
  stepOwnership(now, servers);
  OwnedChanged = true;
  ViewStale = true;
  ViewBuiltAt = TimePoint();
}

void ControlPlane::recordServerSets(const ConfigurationView &view) {
  for (const auto &[id, service] : view.services()) {
    std::vector<RankedServer> now = rankedServers(view.serversOf(id));
    auto &sets = EarlierServerSets[id];
    if (!sets.empty() && sets.front() == now)
      continue;
    sets.push_front(std::move(now));
    if (sets.size() > MaxEarlierServerSets + 1)
      sets.pop_back();
  }
}

void ControlPlane::stepOwnership(TimePoint now, const OwnershipEvent &event) {
  for (const OwnershipAction &it : Ownership->step(now, event))
    onOwnershipAction(it);
}

void ControlPlane::onOwnershipAction(const OwnershipAction &action) {
  if (const auto *gain = std::get_if<ServerAcquired>(&action)) {
    Gains[gain->Server] = *gain;
    GainedServers.push_back(gain->Server);
    OwnedChanged = ViewStale = true;
  } else if (const auto *lose = std::get_if<StopDispatching>(&action)) {
    Gains.erase(lose->Server);
    Losses.push_back(*lose);
    OwnedChanged = ViewStale = true;
  } else if (const auto *send = std::get_if<SendHandOver>(&action)) {
    Outbox.emplace_back(send->To, send->Message);
  } else if (const auto *explain = std::get_if<Explain>(&action)) {
    TelemetrySink.recordDecision(explain->What);
  }
}

OwnedServers ControlPlane::ownedServers() const {
  const auto view = Store.view();
  OwnedServers owned;
  for (const auto &[id, gain] : Gains) {
    const BackendServer *server = view->server(id);
    const Service *service = server ? view->service(server->Service) : nullptr;
    if (!service)
      continue;
    ServersChanged &change = owned[server->Service];
    change.Ticket = view->highest();
    change.Settings = *service;
    change.Servers.push_back({*server, view->isDomainInService(server->Domain),
                              originOf(gain.Kind), gain.LastKnown,
                              gain.InProgress, gain.DispatchAllowedFrom});
  }
  return owned;
}

EntryVm ControlPlane::ownerOf(const BackendServer &server,
                              const OwnershipMap &map) const {
  // In this daemon's own domain actual ownership is known. It lags behind the
  // map while a server is handed over.
  if (Ownership->owns(server.Id))
    return Settings.Self;
  if (const auto holder = Ownership->holderOf(server.Id)) {
    const auto it = Members->members().find(*holder);
    if (it != Members->members().end())
      return it->second.Record.Vm;
  }
  return map.ownerOf(server.Id, server.Domain).value_or(EntryVm());
}

RoutedServer ControlPlane::routeTo(const BackendServer &server,
                                   const ConfigurationView &view,
                                   const OwnershipMap &map) const {
  RoutedServer route;
  route.Server = server;
  route.DomainInService = view.isDomainInService(server.Domain);
  route.DomainReachable = Members->domainReachable(server.Domain);
  route.Owner = ownerOf(server, map);
  const auto it = Members->members().find(route.Owner.Id);
  route.OwnerReachable = route.Owner.Id == Settings.Self.Id ||
                         (it != Members->members().end() && it->second.live());
  return route;
}

KeyReplicaView ControlPlane::keyReplicas(TimePoint now) const {
  KeyReplicaView view;
  for (const auto &[id, member] : Members->members()) {
    if (member.Record.State == MemberState::Dead ||
        member.Record.State == MemberState::Left)
      continue;
    view.Members.push_back(member.Record.Vm);
    if (id != Settings.Self.Id && !member.live())
      view.Unreachable.push_back(id);
  }
  view.RecentlyDeparted = Members->recentlyDeparted(now, Settings.KeyMemory);
  return view;
}

absl::StatusOr<std::shared_ptr<const RoutingView>>
ControlPlane::buildView(TimePoint now) {
  const auto configuration = Store.view();
  RoutingView view;
  view.Ticket = configuration->highest();
  view.Self = Settings.Self;
  view.KeyReplicas = keyReplicas(now);
  const OwnershipMap map = OwnershipMap::create(Members->members());
  for (const auto &[id, service] : configuration->services()) {
    ServiceRoute &route = view.Services[id];
    route.Settings = service;
    for (const BackendServer *it : configuration->serversOf(id))
      route.Servers.push_back(routeTo(*it, *configuration, map));
    const auto sets = EarlierServerSets.find(id);
    if (sets != EarlierServerSets.end() && sets->second.size() > 1)
      route.EarlierServers.assign(sets->second.begin() + 1, sets->second.end());
  }
  return RoutingView::create(std::move(view));
}

void ControlPlane::applyChanges() {
  // Apply ownership before sending anything, on one thread at a time: a message
  // that shows this daemon to be alive, or releases a server, must not be sent
  // while requests may still be dispatched to that server.
  std::lock_guard<std::mutex> applying(ApplyLock);
  for (;;) {
    bool owned = false;
    bool view = false;
    bool superseded = false;
    std::vector<std::pair<EntryVm, PeerMessage>> outbox;
    {
      std::lock_guard<std::mutex> guard(Lock);
      superseded = std::exchange(IsSuperseded, false);
      owned = OwnedChanged;
      view = ViewStale && Time.now() - ViewBuiltAt >= ViewPeriod;
      if (!owned)
        outbox.swap(Outbox);
    }
    if (superseded)
      Listener.onSuperseded();
    if (owned)
      applyOwned();
    for (auto &[to, message] : outbox) {
      const absl::Status status = Sender.send(to, std::move(message));
      if (!status.ok())
        TelemetrySink.log(Component::Membership, Severity::Debug,
                          describe(status));
    }
    if (view)
      applyView();
    if (outbox.empty() && !owned && !view)
      return;
  }
}

void ControlPlane::applyOwned() {
  OwnedServers owned;
  std::vector<StopDispatching> losses;
  std::vector<ServerId> gained;
  std::optional<uint64_t> expiry;
  {
    std::lock_guard<std::mutex> guard(Lock);
    OwnedChanged = false;
    expiry = std::exchange(ExpiryToClear, std::nullopt);
    owned = ownedServers();
    losses.swap(Losses);
    gained.swap(GainedServers);
  }
  for (const ServerId &it : gained)
    Listener.onGained(it);
  Listener.onOwned(owned);
  if (expiry)
    Fence.restart(*expiry, Time.now());

  // From here on, nothing more is dispatched to the lost servers.
  for (const StopDispatching &it : losses) {
    HandedOverServer handed;
    handed.InProgress = Listener.onLost(it.Server, it.NewOwner);
    std::lock_guard<std::mutex> guard(Lock);
    const auto known = Conditions.find(it.Server);
    if (known != Conditions.end())
      handed.Condition = known->second;
    handed.Condition.Server = it.Server;
    stepOwnership(Time.now(), DispatchStopped{handed});
  }
}

void ControlPlane::applyView() {
  std::shared_ptr<const RoutingView> view;
  {
    std::lock_guard<std::mutex> guard(Lock);
    ViewStale = false;
    ViewBuiltAt = Time.now();
    auto built = buildView(ViewBuiltAt);
    if (!built.ok()) {
      TelemetrySink.recordError(Component::Daemon, built.status());
      return;
    }
    View = view = std::move(*built);
  }
  Listener.onView(view);
}

} // namespace balsamrack

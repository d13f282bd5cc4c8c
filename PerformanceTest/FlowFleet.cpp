#include "PerformanceTest/FlowFleet.h"

#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

const ServiceId Booking("booking");
constexpr size_t QuestionBytes = 64; ///< CBOR with frame and header.
constexpr size_t ExceptionFlowBytes =
    25; ///< An exception with the name of its server.
constexpr Duration PacketTimeout = std::chrono::seconds(10);

DomainId domainId(size_t i) { return DomainId(absl::StrCat("domain-", i)); }

} // namespace

FlowFleet::FlowFleet(const FlowFleetSettings &settings)
    : Settings(settings), Random(settings.Seed),
      DomainInService(settings.Domains, true) {
  for (size_t i = 0; i < settings.Servers; ++i)
    addServer();
  for (size_t i = 0; i < settings.Daemons; ++i)
    addDaemon();
  applyTicket();
}

void FlowFleet::addServer() {
  ServerState s;
  s.Domain = Servers.size() % Settings.Domains;
  s.Server.Id = ServerId(absl::StrCat("booking-", Servers.size()));
  s.Server.Service = Booking;
  s.Server.Domain = domainId(s.Domain);
  Servers.push_back(s);
}

void FlowFleet::drainServer(size_t server) {
  Servers[server].Server.Mode = ServerMode::Draining;
}

void FlowFleet::reactivateServer(size_t server) {
  Servers[server].Server.Mode = ServerMode::Active;
}

void FlowFleet::deleteServer(size_t server) { Servers[server].Deleted = true; }

void FlowFleet::setDomainInService(size_t domain, bool inService) {
  DomainInService[domain] = inService;
}

void FlowFleet::addDaemon() {
  auto d = std::make_unique<Daemon>();
  d->Domain = Daemons.size() % Settings.Domains;
  d->Vm.Id = VmId(absl::StrCat("vm-", Daemons.size()));
  d->Vm.Domain = domainId(d->Domain);
  d->Router = *EntryRouter::create(Settings.Entry, Daemons.size());
  d->Owner = *OwnerFlows::create(Settings.Owner);
  Daemons.push_back(std::move(d));
}

void FlowFleet::joinDaemon() { addDaemon(); }

void FlowFleet::killDaemon(size_t daemon) { Daemons[daemon]->Alive = false; }

void FlowFleet::stopDaemon(size_t daemon) {
  // The daemon announces that it leaves and hands its servers over to their
  // next owners, with the state that these need.
  Daemon &leaver = *Daemons[daemon];
  leaver.Alive = false;
  handOverServers(leaver, makeView(leaver));
}

const FlowFleet::Daemon *FlowFleet::ownerOf(const ServerState &server) const {
  const Daemon *best = nullptr;
  uint64_t bestHash = 0;
  for (const auto &it : Daemons) {
    if (!it->Alive || it->Domain != server.Domain)
      continue;
    uint64_t h = combineHash(it->Vm.Id.hash(), server.Server.Id.hash());
    if (!best || h > bestHash) {
      best = it.get();
      bestHash = h;
    }
  }
  return best;
}

RoutingView FlowFleet::makeView(const Daemon &daemon) const {
  RoutingView v;
  v.Ticket = TicketNumber{Ticket};
  v.Self = daemon.Vm;
  ServiceRoute &route = v.Services[Booking];
  route.Settings.Id = Booking;
  for (const ServerState &it : Servers) {
    if (it.Deleted)
      continue;
    RoutedServer s;
    s.Server = it.Server;
    s.DomainInService = DomainInService[it.Domain];
    if (const Daemon *owner = ownerOf(it)) {
      s.Owner = owner->Vm;
      s.OwnerReachable = true;
    }
    route.Servers.push_back(s);
  }
  return v;
}

void FlowFleet::handOverServers(Daemon &daemon, const RoutingView &next) {
  if (!daemon.View)
    return;
  // Hand over servers that this daemon no longer owns, if the new owner is
  // live.
  for (const RoutedServer &it : next.Services.at(Booking).Servers) {
    const RoutedServer *before = daemon.View->findServer(it.Server.Id);
    if (!before || before->Owner.Id != daemon.Vm.Id ||
        it.Owner.Id == daemon.Vm.Id)
      continue;
    FlowExceptions exceptions = daemon.Owner->exportFlows(Now, it.Server.Id);
    ControlBytes += exceptions.Flows.size() * ExceptionFlowBytes;
    if (Daemon *to = findLiveDaemon(it.Owner.Id)) {
      to->Owner->setView(*RoutingView::create(makeView(*to)));
      to->Owner->addFlows(Now, exceptions);
      to->Owner->markTakenOver(Now, it.Server.Id);
    }
    daemon.Owner->removeServer(it.Server.Id);
  }
}

void FlowFleet::applyTicketAt(Daemon &daemon) {
  RoutingView next = makeView(daemon);
  handOverServers(daemon, next);
  // Take over servers from owners that failed without a hand-over.
  for (const RoutedServer &it : next.Services.at(Booking).Servers) {
    const RoutedServer *before =
        daemon.View ? daemon.View->findServer(it.Server.Id) : nullptr;
    if (it.Owner.Id != daemon.Vm.Id || !before ||
        before->Owner.Id == daemon.Vm.Id)
      continue;
    daemon.Owner->markTakenOver(Now, it.Server.Id);
  }
  auto view = *RoutingView::create(std::move(next));
  daemon.View = view;
  daemon.Owner->setView(view);
  daemon.Router->step(Now, ViewChanged{view});
}

void FlowFleet::applyTicket(size_t daemonCount) {
  ++Ticket;
  size_t done = 0;
  for (const auto &it : Daemons)
    if (it->Alive && done++ < daemonCount)
      applyTicketAt(*it);
}

FlowFleet::Daemon *FlowFleet::findLiveDaemon(const VmId &vm) {
  for (const auto &it : Daemons)
    if (it->Vm.Id == vm)
      return it->Alive ? it.get() : nullptr;
  return nullptr;
}

FlowFleet::Daemon &FlowFleet::pickLiveDaemon() {
  for (;;) {
    Daemon &d = *Daemons[Random.below(Daemons.size())];
    if (d.Alive && d.View)
      return d;
  }
}

FlowPacketResult FlowFleet::sendPacket(FlowId flow, bool first,
                                       const std::string &token) {
  Daemon &entry = pickLiveDaemon();
  Envelope head;
  head.Request = RequestId{NextRequest++};
  head.Flow = flow;
  head.Service = Booking;
  head.FirstOfFlow = first;
  head.Remaining = PacketTimeout;
  FlowPacketResult result;
  std::deque<EntryEvent> events{PacketArrived{head, token}};
  while (!events.empty()) {
    EntryEvent event = std::move(events.front());
    events.pop_front();
    size_t questionsBefore = result.Questions;
    for (const EntryAction &it : entry.Router->step(Now, event))
      performAction(head, it, events, result);
    result.Rounds += result.Questions > questionsBefore ? 1 : 0;
  }
  return result;
}

void FlowFleet::performAction(const Envelope &head, const EntryAction &action,
                              std::deque<EntryEvent> &events,
                              FlowPacketResult &result) {
  if (const auto *f = std::get_if<SendForward>(&action)) {
    ++result.Forwards;
    if (Daemon *owner = findLiveDaemon(f->To.Id))
      events.push_back(OwnerReplied{f->To.Id, handleForward(*owner, head, *f)});
    else
      events.push_back(SendFailed{head.Request, f->To.Id});
  } else if (const auto *q = std::get_if<SendQuestion>(&action)) {
    ++result.Questions;
    if (Daemon *owner = findLiveDaemon(q->To.Id))
      events.push_back(
          FlowReplied{q->To.Id, answerQuestion(*owner, q->Question)});
    else
      events.push_back(SendFailed{head.Request, q->To.Id});
  } else if (const auto *e = std::get_if<EndPacket>(&action)) {
    result.Result = e->Result;
    result.Token = e->Token;
  }
}

FlowReply FlowFleet::answerQuestion(Daemon &owner,
                                    const FlowQuestion &question) {
  ControlBytes += 2 * QuestionBytes;
  return owner.Owner->answerQuestion(Now, question);
}

Outcome FlowFleet::handleForward(Daemon &owner, const Envelope &head,
                                 const SendForward &f) {
  Outcome o;
  o.Request = head.Request;
  o.Server = f.Server;
  const RoutedServer *server = owner.View->findServer(f.Server);
  if (!server || server->Owner.Id != owner.Vm.Id) {
    o.Cause = Reason::NotOwner;
    return o;
  }
  FlowVerdict v =
      owner.Owner->resolveFlow(Now, head, f.Server, f.Accept, f.ByToken);
  if (v.How == FlowVerdict::Elsewhere || v.How == FlowVerdict::Unknown) {
    o.Cause = Reason::FlowNotOnServer;
    o.Server = v.Server;
    return o;
  }
  // The part of admission that concerns flows.
  bool draining = server->Server.Mode == ServerMode::Draining;
  bool full = owner.Owner->countFlows(f.Server) > Settings.FlowsPerServer;
  if (v.How == FlowVerdict::New && (draining || full)) {
    owner.Owner->removeFlow(head.Flow);
    o.Cause = draining ? Reason::ServerDraining : Reason::ServerFull;
    return o;
  }
  o.Kind = OutcomeKind::Answered;
  return o;
}

void FlowFleet::advanceOneSecond() {
  Now += std::chrono::seconds(1);
  for (const auto &it : Daemons) {
    if (!it->Alive)
      continue;
    for (const ExceptionBatch &batch :
         it->Owner->dequeueBatches(Now, Settings.ExceptionBytesPerSecond)) {
      ControlBytes += batch.Batch.Flows.size() * ExceptionFlowBytes;
      if (Daemon *to = findLiveDaemon(batch.To.Id))
        to->Owner->addFlows(Now, batch.Batch);
    }
  }
}

std::vector<uint32_t> FlowFleet::flowsPerServer() const {
  std::vector<uint32_t> counts;
  for (const ServerState &it : Servers) {
    if (it.Deleted)
      continue;
    uint32_t n = 0;
    for (const auto &d : Daemons)
      if (d->Alive)
        n += d->Owner->countFlows(it.Server.Id);
    counts.push_back(n);
  }
  return counts;
}

size_t FlowFleet::busiestDaemon(size_t excludedDomain) const {
  std::map<VmId, size_t> owned;
  for (const ServerState &it : Servers)
    if (const Daemon *owner = it.Deleted ? nullptr : ownerOf(it))
      ++owned[owner->Vm.Id];
  size_t best = 0;
  for (size_t i = 0; i < Daemons.size(); ++i)
    if (Daemons[i]->Alive && Daemons[i]->Domain != excludedDomain &&
        owned[Daemons[i]->Vm.Id] > owned[Daemons[best]->Vm.Id])
      best = i;
  return best;
}

} // namespace balsamrack

#include "Balsamrack/Flows/OwnerFlows.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Sizes counted against the byte budget; the server's name comes on top.
constexpr size_t BytesPerException = 16;
constexpr size_t BytesPerBatch = 48;

bool isOwnedHere(const RoutingView &view, const RoutedServer &server) {
  return server.Owner.Id == view.Self.Id;
}

uint64_t hashView(const RoutingView &view) {
  uint64_t hash = view.Self.Id.hash();
  for (const auto &[id, route] : view.Services)
    for (const RoutedServer &it : route.Servers) {
      hash = combineHash(hash, it.Server.Id.hash());
      hash = combineHash(hash, it.Server.Weight);
      hash = combineHash(hash, it.Owner.Id.hash());
    }
  return hash;
}

} // namespace

OwnerFlows::OwnerFlows(std::unique_ptr<FlowTable> flows,
                       std::unique_ptr<FlowTable> exceptions,
                       const OwnerFlowsSettings &settings)
    : Settings(settings), Flows(std::move(flows)),
      Exceptions(std::move(exceptions)) {}

absl::StatusOr<std::unique_ptr<OwnerFlows>>
OwnerFlows::create(const OwnerFlowsSettings &settings) {
  auto flows = FlowTable::create(settings.Flows);
  if (!flows.ok())
    return flows.status();
  auto exceptions = FlowTable::create(settings.Exceptions);
  if (!exceptions.ok())
    return exceptions.status();
  return std::unique_ptr<OwnerFlows>(
      new OwnerFlows(std::move(*flows), std::move(*exceptions), settings));
}

void OwnerFlows::setView(std::shared_ptr<const RoutingView> view) {
  for (const auto &[id, route] : view->Services)
    for (const RoutedServer &it : route.Servers) {
      Flows->setIdleTimeout(it.Server.Id, route.Settings.FlowIdleTimeout);
      Exceptions->setIdleTimeout(it.Server.Id, route.Settings.FlowIdleTimeout);
    }
  uint64_t hash = hashView(*view);
  std::lock_guard<std::mutex> lock(ViewLock);
  if (hash != ViewHash)
    ViewGeneration = ViewGeneration == UINT8_MAX ? 1 : ViewGeneration + 1;
  ViewHash = hash;
  View = std::move(view);
}

std::shared_ptr<const RoutingView> OwnerFlows::view() const {
  std::lock_guard<std::mutex> lock(ViewLock);
  return View;
}

FlowVerdict OwnerFlows::resolveFlow(TimePoint now, const Envelope &head,
                                    const ServerId &server, bool accept,
                                    bool byToken) {
  std::optional<FlowBinding> bound = Flows->find(now, head.Flow);
  if (bound && bound->Server == server)
    return bindFlow(now, head, server, FlowVerdict::Known);
  if (head.FirstOfFlow && !byToken)
    return bindFlow(now, head, server, FlowVerdict::New);
  if (accept || byToken)
    return bindFlow(now, head, server, FlowVerdict::Accepted);
  std::shared_ptr<const RoutingView> v = view();
  std::optional<ServerId> elsewhere;
  if (v)
    elsewhere = findBoundServer(now, *v, head.Service, head.Flow);
  if (!elsewhere)
    return {FlowVerdict::Unknown, ServerId()};
  // The flow was handed over before the local view made this daemon the
  // server's owner.
  if (*elsewhere == server)
    return bindFlow(now, head, server, FlowVerdict::Accepted);
  // Refresh the exception, so that it does not expire while the flow sends
  // packets.
  if (!bound)
    Exceptions->bind(now, head.Flow, *elsewhere);
  return {FlowVerdict::Elsewhere, *elsewhere};
}

FlowVerdict OwnerFlows::bindFlow(TimePoint now, const Envelope &head,
                                 const ServerId &server,
                                 FlowVerdict::Kind how) {
  Flows->bind(now, head.Flow, server);
  if (how != FlowVerdict::Known)
    Exceptions->remove(head.Flow);
  // Announce a new flow only from its second packet on, since admission may
  // refuse the first one and the flow then goes to another server. If it were
  // announced at once, the announcement of the refusing owner could reach the
  // first candidate's owner after that of the flow's actual owner, and later
  // packets would be sent to the wrong server.
  std::shared_ptr<const RoutingView> v = view();
  if (v && how != FlowVerdict::New)
    announceDisplacedFlow(now, *v, head, server);
  return {how, server};
}

std::optional<ServerId> OwnerFlows::findBoundServer(TimePoint now,
                                                    const RoutingView &view,
                                                    const ServiceId &service,
                                                    FlowId flow) const {
  const ServiceRoute *route = view.findService(service);
  for (const FlowTable *table : {Flows.get(), Exceptions.get()}) {
    std::optional<FlowBinding> bound = table->find(now, flow);
    // Ignore servers that were deleted: returning one would cause the flow to
    // be refused permanently.
    if (bound && route && route->find(bound->Server))
      return bound->Server;
  }
  return std::nullopt;
}

void OwnerFlows::announceDisplacedFlow(TimePoint now, const RoutingView &view,
                                       const Envelope &head,
                                       const ServerId &server) {
  const ServiceRoute *route = view.findService(head.Service);
  if (!Settings.KeepExceptions || !route || route->Servers.empty())
    return;
  uint8_t generation = 0;
  {
    std::lock_guard<std::mutex> lock(ViewLock);
    generation = ViewGeneration;
  }
  // Skip flows that were already announced under this generation.
  std::optional<FlowBinding> bound = Flows->find(now, head.Flow);
  if (!bound || bound->Tag == generation)
    return;
  Flows->setTag(head.Flow, generation);
  const RoutedServer &first =
      route->Servers[route->Rank.firstCandidate(head.Flow)];
  if (first.Server.Id == server)
    return;
  if (!isOwnedHere(view, first))
    return enqueueException(first.Owner, head.Service, head.Flow, server);
  // This daemon owns both servers, so its death would lose the flow and the
  // exception together, and the next owner would accept the flow on its first
  // candidate. So send a copy to the best-ranked other owner, which a flow
  // search also asks.
  for (size_t i : route->Rank.topCandidates(head.Flow, route->Servers.size())) {
    const RoutedServer &it = route->Servers[i];
    if (isOwnedHere(view, it) || !it.isReachable())
      continue;
    return enqueueException(it.Owner, head.Service, head.Flow, server);
  }
}

void OwnerFlows::enqueueException(const EntryVm &to, const ServiceId &service,
                                  FlowId flow, const ServerId &server) {
  if (to.Id.empty())
    return;
  std::lock_guard<std::mutex> lock(QueueLock);
  Queue.push_back({to, service, {flow, server}});
  if (Queue.size() > Settings.MaxQueued)
    Queue.pop_front();
}

std::vector<ExceptionBatch> OwnerFlows::dequeueBatches(TimePoint /*now*/,
                                                       size_t maxBytes) {
  std::vector<ExceptionBatch> batches;
  size_t bytes = 0;
  std::lock_guard<std::mutex> lock(QueueLock);
  while (!Queue.empty()) {
    const QueuedException &next = Queue.front();
    auto batch = std::find_if(
        batches.begin(), batches.end(), [&](const ExceptionBatch &it) {
          return it.To.Id == next.To.Id && it.Batch.Service == next.Service;
        });
    bytes += BytesPerException + next.Flow.Server.str().size() +
             (batch == batches.end() ? BytesPerBatch : 0);
    if (bytes > maxBytes)
      break;
    if (batch == batches.end())
      batch = batches.insert(batches.end(), {next.To, {next.Service, {}}});
    batch->Batch.Flows.push_back(next.Flow);
    Queue.pop_front();
  }
  return batches;
}

FlowReply OwnerFlows::answerQuestion(TimePoint now,
                                     const FlowQuestion &question) const {
  FlowReply reply{question.Request, question.Flow, ServerId(), false, {}};
  std::shared_ptr<const RoutingView> v = view();
  if (!v)
    return reply;
  reply.Ticket = v->Ticket;
  const ServiceRoute *route = v->findService(question.Service);
  if (!route)
    return reply;
  if (auto bound = findBoundServer(now, *v, question.Service, question.Flow)) {
    reply.Server = *bound;
    return reply;
  }
  // The flow is unknown: report the likeliest server among those taken over
  // without a hand-over.
  for (size_t i :
       route->Rank.topCandidates(question.Flow, route->Servers.size())) {
    const RoutedServer &it = route->Servers[i];
    if (!isOwnedHere(*v, it) || !isFresh(now, it.Server.Id))
      continue;
    reply.Server = it.Server.Id;
    reply.Fresh = true;
    return reply;
  }
  return reply;
}

void OwnerFlows::addFlows(TimePoint now, const FlowExceptions &exceptions) {
  std::shared_ptr<const RoutingView> v = view();
  const ServiceRoute *route = v ? v->findService(exceptions.Service) : nullptr;
  for (const FlowException &it : exceptions.Flows) {
    const RoutedServer *server = route ? route->find(it.Server) : nullptr;
    // The flow was handed over with its server. A local record is newer.
    if (server && isOwnedHere(*v, *server)) {
      if (!Flows->find(now, it.Flow))
        Flows->bind(now, it.Flow, it.Server);
      continue;
    }
    Exceptions->bind(now, it.Flow, it.Server);
  }
}

void OwnerFlows::removeFlow(FlowId flow) {
  Flows->remove(flow);
  Exceptions->remove(flow);
}

void OwnerFlows::removeServer(const ServerId &server) {
  Flows->removeServer(server);
}

void OwnerFlows::setFreshUntil(const ServerId &server, TimePoint until) {
  std::lock_guard<std::mutex> lock(ViewLock);
  FreshUntil[server] = until;
}

void OwnerFlows::markTakenOver(TimePoint now, const ServerId &server) {
  std::shared_ptr<const RoutingView> v = view();
  const RoutedServer *routed = v ? v->findServer(server) : nullptr;
  Service settings;
  if (routed)
    settings = v->findService(routed->Server.Service)->Settings;
  setFreshUntil(server, now + settings.FlowIdleTimeout);
}

bool OwnerFlows::isFresh(TimePoint now, const ServerId &server) const {
  std::lock_guard<std::mutex> lock(ViewLock);
  auto it = FreshUntil.find(server);
  return it != FreshUntil.end() && now < it->second;
}

FlowExceptions OwnerFlows::exportFlows(TimePoint now,
                                       const ServerId &server) const {
  FlowExceptions out;
  std::shared_ptr<const RoutingView> v = view();
  const RoutedServer *routed = v ? v->findServer(server) : nullptr;
  if (!routed)
    return out;
  out.Service = routed->Server.Service;
  const ServiceRoute &route = *v->findService(out.Service);
  auto firstIs = [&](FlowId flow) {
    return route.Servers[route.Rank.firstCandidate(flow)].Server.Id == server;
  };
  // Export all flows on the server: each costs about 25 bytes once, while each
  // flow that the next owner does not know costs about a kilobyte of questions.
  for (FlowId flow : Flows->listFlows(now, server))
    out.Flows.push_back({flow, server});
  // Export also the flows that rank the server first but are bound to another
  // server.
  for (const FlowTable *table : {Flows.get(), Exceptions.get()})
    for (const auto &[flow, bound] : table->listAllFlows(now))
      if (bound != server && route.find(bound) && firstIs(flow))
        out.Flows.push_back({flow, bound});
  return out;
}

void OwnerFlows::expire(TimePoint now) {
  Flows->expire(now);
  Exceptions->expire(now);
}

uint32_t OwnerFlows::countFlows(const ServerId &server) const {
  return Flows->countFlows(server);
}

std::vector<FlowId> OwnerFlows::listFlows(TimePoint now,
                                          const ServerId &server) const {
  return Flows->listFlows(now, server);
}

size_t OwnerFlows::size() const { return Flows->size() + Exceptions->size(); }

size_t OwnerFlows::bytes() const {
  return Flows->bytes() + Exceptions->bytes();
}

} // namespace balsamrack

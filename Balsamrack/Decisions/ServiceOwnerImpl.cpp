#include "Balsamrack/Decisions/ServiceOwnerImpl.h"

#include <algorithm>
#include <set>

namespace balsamrack {

ServiceOwnerImpl::ServiceOwnerImpl(const OwnerSettings &settings,
                                   ServiceId service, uint64_t seed)
    : Context(settings, std::move(service), seed) {}

std::vector<OwnerAction> ServiceOwnerImpl::step(TimePoint now,
                                                const OwnerEvent &event) {
  // An owner has no authority until it is granted.
  if (Now == TimePoint())
    Context.ExpiredAt = now;
  Now = now;
  Context.Out.begin(now, Context.Ticket);
  std::visit([this](const auto &e) { on(e); }, event);
  return Context.Out.finish();
}

void ServiceOwnerImpl::on(const ServersChanged &event) {
  Context.Ticket = event.Ticket;
  Context.Config = event.Settings;
  Context.Out.begin(Now, Context.Ticket);
  std::set<ServerId> owned;
  for (const OwnedServer &server : event.Servers)
    owned.insert(server.Server.Id);
  Context.Ejection.setServers(owned);
  for (auto &[id, server] : Servers)
    if (server.isOwned() && owned.count(id) == 0)
      server.relinquish(Now);
  for (const OwnedServer &server : event.Servers) {
    auto [it, fresh] =
        Servers.try_emplace(server.Server.Id, Context, server, Now);
    if (!fresh)
      it->second.update(Now, server);
    it->second.processQueue(Now);
  }
  eraseRelinquished();
}

void ServiceOwnerImpl::on(const RequestArrived &event) {
  auto it = Servers.find(event.Server);
  if (it != Servers.end()) {
    it->second.handleArrival(Now, event);
    return;
  }
  QueuedRequest what;
  what.Head = event.Head;
  Context.Out.endRequest(what, event.Server,
                         RequestEnd{OutcomeKind::NotRun, Reason::NotOwner,
                                    Context.Settings.Waits.MinRetryAfter},
                         {});
}

void ServiceOwnerImpl::on(const RequestCancelled &event) {
  for (auto &[id, server] : Servers)
    if (server.cancel(Now, event.Request))
      return;
}

void ServiceOwnerImpl::on(const DispatchEnded &event) {
  for (auto &[id, server] : Servers)
    if (server.handleDispatchEnd(Now, event))
      break;
  eraseRelinquished();
}

void ServiceOwnerImpl::on(const HealthReported &event) {
  auto it = Servers.find(event.Server);
  if (it != Servers.end())
    it->second.handleHealth(Now, event);
}

void ServiceOwnerImpl::on(const AuthorityChanged &event) {
  if (Context.MayDispatch && !event.MayDispatch)
    Context.ExpiredAt = Now;
  Context.MayDispatch = event.MayDispatch;
  on(Ticked());
}

void ServiceOwnerImpl::on(const Ticked &) {
  for (auto &[id, server] : Servers)
    server.processQueue(Now);
}

void ServiceOwnerImpl::on(const ShutdownBegan &) {
  Context.ShuttingDown = true;
}

void ServiceOwnerImpl::eraseRelinquished() {
  for (auto it = Servers.begin(); it != Servers.end();)
    it = !it->second.isOwned() && it->second.isIdle() ? Servers.erase(it)
                                                      : std::next(it);
}

std::vector<ServerReport> ServiceOwnerImpl::report(TimePoint now) const {
  std::vector<ServerReport> out;
  for (const auto &[id, server] : Servers)
    if (server.isOwned())
      out.push_back(server.report(now));
  return out;
}

std::optional<TimePoint> ServiceOwnerImpl::nextWakeup() const {
  std::optional<TimePoint> next;
  for (const auto &[id, server] : Servers)
    if (auto when = server.nextWakeup(Now))
      next = next ? std::min(*next, *when) : *when;
  return next;
}

bool ServiceOwnerImpl::idle() const {
  return std::all_of(Servers.begin(), Servers.end(),
                     [](const auto &entry) { return entry.second.isIdle(); });
}

} // namespace balsamrack

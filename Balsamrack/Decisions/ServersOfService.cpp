#include "Balsamrack/Decisions/ServersOfService.h"

#include <algorithm>
#include <set>

namespace balsamrack {

ServersOfService::ServersOfService(const OwnerSettings &settings,
                                   ServiceId service, uint64_t seed)
    : Context(settings, std::move(service), seed) {}

std::vector<OwnerAction> ServersOfService::step(TimePoint now,
                                                const OwnerEvent &event) {
  // An owner has no authority until it is granted.
  if (Now == TimePoint())
    Context.ExpiredAt = now;
  Now = now;
  Context.Out.begin(now, Context.Ticket);
  std::visit([this](const auto &e) { on(e); }, event);
  return Context.Out.finish();
}

void ServersOfService::on(const ServersChanged &event) {
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

void ServersOfService::on(const RequestArrived &event) {
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

void ServersOfService::on(const RequestCancelled &event) {
  for (auto &[id, server] : Servers)
    if (server.cancel(Now, event.Request))
      return;
}

void ServersOfService::on(const DispatchEnded &event) {
  for (auto &[id, server] : Servers)
    if (server.handleDispatchEnd(Now, event))
      break;
  eraseRelinquished();
}

void ServersOfService::on(const HealthReported &event) {
  auto it = Servers.find(event.Server);
  if (it != Servers.end())
    it->second.handleHealth(Now, event);
}

void ServersOfService::on(const AuthorityChanged &event) {
  if (Context.MayDispatch && !event.MayDispatch)
    Context.ExpiredAt = Now;
  Context.MayDispatch = event.MayDispatch;
  on(Ticked());
}

void ServersOfService::on(const Ticked &) {
  for (auto &[id, server] : Servers)
    server.processQueue(Now);
}

void ServersOfService::on(const ShutdownBegan &) {
  Context.ShuttingDown = true;
}

void ServersOfService::eraseRelinquished() {
  for (auto it = Servers.begin(); it != Servers.end();)
    it = !it->second.isOwned() && it->second.isIdle() ? Servers.erase(it)
                                                      : std::next(it);
}

std::vector<ServerReport> ServersOfService::report(TimePoint now) const {
  std::vector<ServerReport> out;
  for (const auto &[id, server] : Servers)
    if (server.isOwned())
      out.push_back(server.report(now));
  return out;
}

std::optional<TimePoint> ServersOfService::nextWakeup() const {
  std::optional<TimePoint> next;
  for (const auto &[id, server] : Servers)
    if (auto when = server.nextWakeup(Now))
      next = next ? std::min(*next, *when) : *when;
  return next;
}

bool ServersOfService::idle() const {
  return std::all_of(Servers.begin(), Servers.end(),
                     [](const auto &entry) { return entry.second.isIdle(); });
}

} // namespace balsamrack

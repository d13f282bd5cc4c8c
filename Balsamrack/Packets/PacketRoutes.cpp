#include "Balsamrack/Packets/PacketRoutes.h"

#include <algorithm>
#include <utility>

namespace balsamrack {

namespace {

constexpr TimePoint Never = TimePoint(Duration::max());
/// Servers of one service whose entries disappear within this time of each
/// other count as one bulk expiry.
constexpr Duration BulkExpirySpan{1'000'000};
/// Minimum number of servers in a bulk expiry.
constexpr size_t MinBulkExpiry = 2;

void addUnique(std::vector<ServiceId> &list, const ServiceId &service) {
  if (std::find(list.begin(), list.end(), service) == list.end())
    list.push_back(service);
}

} // namespace

uint32_t tokenOf(const ServerId &id) {
  auto token = static_cast<uint32_t>(stableHash(id.str()));
  return token == 0 ? 1 : token;
}

void PacketRoutesBuilder::applyOperatorObjects(
    TimePoint now, const std::vector<PublishedObject> &objects) {
  std::vector<DomainId> before = std::exchange(DomainsOut, {});
  for (const PublishedObject &object : objects) {
    if (const auto *out = std::get_if<DomainOutOfService>(&object.Content))
      DomainsOut.push_back(out->Domain);
    using Shared = std::shared_ptr<const OperatorConfiguration>;
    if (const auto *what = std::get_if<Shared>(&object.Content))
      setConfiguration(now, *what, object.At);
  }
  if (before == DomainsOut)
    return;
  markDomainsChanged(before);
  markDomainsChanged(DomainsOut);
}

void PacketRoutesBuilder::setConfiguration(
    TimePoint now, std::shared_ptr<const OperatorConfiguration> what,
    Revision at) {
  if (at <= ConfigurationRevision)
    return;
  ConfigurationRevision = at;
  Configuration = std::move(what);
  RoutesChanged = true;
  auto before = std::exchange(EverAllowed, {});
  for (const PublishedRoute &route : Configuration->Routes) {
    Endpoint end = Endpoint::of(route.At);
    std::vector<ServiceId> &allowed = EverAllowed[end];
    auto it = before.find(end);
    if (it != before.end())
      allowed = std::move(it->second);
    auto dropped = DroppedRoutes.find(end);
    if (dropped != DroppedRoutes.end()) {
      allowed = std::move(dropped->second.EverAllowed);
      DroppedRoutes.erase(dropped);
    }
    for (const RouteTarget &target : route.Targets)
      addUnique(allowed, target.Service);
    before.erase(end);
  }
  for (auto &[end, allowed] : before)
    DroppedRoutes[end] = {std::move(allowed), now};
  updateKnownServices();
}

void PacketRoutesBuilder::updateKnownServices() {
  std::set<ServiceId> known;
  for (const PublishedService &it : Configuration->Services)
    known.insert(it.Id);
  for (const auto &[end, allowed] : EverAllowed)
    known.insert(allowed.begin(), allowed.end());
  for (const auto &[end, dropped] : DroppedRoutes)
    known.insert(dropped.EverAllowed.begin(), dropped.EverAllowed.end());
  if (known == KnownServices)
    return;
  KnownServices = std::move(known);
  // Servers that share an address may be replaced now, or not any more.
  for (const auto &[at, sharing] : ServersByAddress)
    if (sharing.size() > 1)
      ChangedServers.insert(sharing.begin(), sharing.end());
}

void PacketRoutesBuilder::applyServerChanges(
    TimePoint now, const std::vector<PublishedObject> &changed) {
  using Shared = std::shared_ptr<const PublishedServer>;
  for (const PublishedObject &object : changed) {
    const auto *what = std::get_if<Shared>(&object.Content);
    if (!what) {
      markServerGone(now, object.Name);
      continue;
    }
    const BackendServer &server = (*what)->Server;
    ServerKey key{server.Domain, server.Id};
    auto named = ServerByName.find(object.Name);
    if (named != ServerByName.end() && named->second != key)
      removeServer(named->second);
    ServerByName[object.Name] = key;
    setServer(key, {*what, true, false, {}, now + (*what)->ColdLeft});
  }
  for (auto &[id, service] : Services)
    markBulkExpiry(now, service);
}

void PacketRoutesBuilder::setServer(const ServerKey &key, KnownServer server) {
  removeServer(key);
  Endpoint at = Endpoint::of(server.Published->Server.At);
  ++Services[server.Published->Server.Service].Present;
  ServersByAddress[at].insert(key);
  Servers[key] = std::move(server);
  markAddressChanged(at);
}

void PacketRoutesBuilder::removeServer(const ServerKey &key) {
  auto it = Servers.find(key);
  if (it == Servers.end())
    return;
  const KnownServer &known = it->second;
  Endpoint at = Endpoint::of(known.Published->Server.At);
  if (known.Present)
    --Services[known.Published->Server.Service].Present;
  Expiring.erase({known.GoneAt + ExpiredRetention, key});
  Retained.erase({known.GoneAt + GoneRetention, key});
  std::set<ServerKey> &sharing = ServersByAddress[at];
  sharing.erase(key);
  if (sharing.empty())
    ServersByAddress.erase(at);
  markAddressChanged(at);
  ChangedServers.erase(key);
  Servers.erase(it);
}

void PacketRoutesBuilder::markServerGone(TimePoint now,
                                         const std::string &name) {
  auto named = ServerByName.find(name);
  if (named == ServerByName.end())
    return;
  const ServerKey key = named->second;
  auto it = Servers.find(key);
  if (it == Servers.end() || !it->second.Present)
    return;
  KnownServer &known = it->second;
  known.Present = false;
  known.GoneAt = now;
  ServiceServers &service = Services[known.Published->Server.Service];
  --service.Present;
  service.Lost.emplace_back(now, key);
  if (known.Published->Server.Mode == ServerMode::Active)
    Expiring.insert({now + ExpiredRetention, key});
  Retained.insert({now + GoneRetention, key});
  markAddressChanged(Endpoint::of(known.Published->Server.At));
}

void PacketRoutesBuilder::markBulkExpiry(TimePoint now,
                                         ServiceServers &service) {
  // When the publishing service is unavailable, all entries expire at once
  // although the servers are alive, and the first entries to return would
  // attract the load of all. Real failures affect single servers, or at most
  // half of a service.
  auto &lost = service.Lost;
  while (!lost.empty() &&
         lost.front().first + ExpiredRetention + BulkExpirySpan < now)
    lost.pop_front();
  // Servers that were published again do not count.
  auto isBack = [this](const std::pair<TimePoint, ServerKey> &it) {
    auto server = Servers.find(it.second);
    return server == Servers.end() || server->second.Present ||
           server->second.GoneAt != it.first;
  };
  lost.erase(std::remove_if(lost.begin(), lost.end(), isBack), lost.end());
  auto first = lost.begin();
  auto last = lost.begin();
  for (const auto &[at, key] : lost) {
    while (first->first < at - BulkExpirySpan)
      ++first;
    while (last != lost.end() && last->first <= at + BulkExpirySpan)
      ++last;
    auto together = static_cast<size_t>(last - first);
    KnownServer &known = Servers.at(key);
    if (known.ExpiredInBulk || together < MinBulkExpiry ||
        together < service.Present)
      continue;
    known.ExpiredInBulk = true;
    ChangedServers.insert(key);
  }
}

void PacketRoutesBuilder::markAddressChanged(const Endpoint &at) {
  auto sharing = ServersByAddress.find(at);
  if (sharing != ServersByAddress.end())
    ChangedServers.insert(sharing->second.begin(), sharing->second.end());
}

void PacketRoutesBuilder::markDomainsChanged(
    const std::vector<DomainId> &domains) {
  for (const DomainId &domain : domains)
    for (auto it = Servers.lower_bound({domain, ServerId()});
         it != Servers.end() && it->first.first == domain; ++it)
      ChangedServers.insert(it->first);
}

bool PacketRoutesBuilder::isDomainOut(const DomainId &domain) const {
  return std::find(DomainsOut.begin(), DomainsOut.end(), domain) !=
         DomainsOut.end();
}

ServerPresence PacketRoutesBuilder::presenceOf(TimePoint now,
                                               const KnownServer &known) const {
  // A dead server may still be published or have open flows while another
  // server already accepts connections at its address. It would appear
  // healthy, and its callers would wait until their timeout.
  if (hasLaterInstance(known))
    return ServerPresence::Replaced;
  if (known.Present)
    return ServerPresence::Listed;
  if (known.Published->Server.Mode != ServerMode::Active ||
      now >= known.GoneAt + ExpiredRetention)
    return ServerPresence::Gone;
  return ServerPresence::Expired;
}

bool PacketRoutesBuilder::hasLaterInstance(const KnownServer &known) const {
  auto sharing =
      ServersByAddress.find(Endpoint::of(known.Published->Server.At));
  return sharing != ServersByAddress.end() &&
         std::any_of(sharing->second.begin(), sharing->second.end(),
                     [&](const ServerKey &key) {
                       const KnownServer &other = Servers.at(key);
                       // An entry of a service that no configuration names is
                       // of another writer and says nothing about servers.
                       return other.Present &&
                              other.Published->Born > known.Published->Born &&
                              KnownServices.count(
                                  other.Published->Server.Service) != 0;
                     });
}

RoutedBackend PacketRoutesBuilder::routed(TimePoint now,
                                          const KnownServer &known) const {
  const BackendServer &server = known.Published->Server;
  return {known.Published,     Endpoint::of(server.At),
          tokenOf(server.Id),  presenceOf(now, known),
          known.ExpiredInBulk, isDomainOut(server.Domain),
          known.ColdUntil};
}

std::shared_ptr<const PacketRoutes> PacketRoutesBuilder::makeRoutes() const {
  auto made = std::make_shared<PacketRoutes>();
  made->ConfigurationRevision = ConfigurationRevision;
  if (Configuration) {
    made->Version = Configuration->Version;
    made->IdleTimeout = Configuration->IdleTimeout;
    for (const PublishedService &service : Configuration->Services)
      if (service.ColdPerSecond > 0)
        made->ColdPerSecond[service.Id] = service.ColdPerSecond;
    for (const PublishedRoute &route : Configuration->Routes) {
      Endpoint end = Endpoint::of(route.At);
      made->Routes[end] = {route.Targets, EverAllowed.at(end), route.Objective,
                           route.Timeout, route.Idempotent,    route.Priority};
    }
  }
  for (const auto &[end, dropped] : DroppedRoutes)
    made->Routes[end] = {{},    dropped.EverAllowed, {}, {},
                         false, LowestPriority};
  return made;
}

void PacketRoutesBuilder::processTimers(TimePoint now, PacketUpdate &update) {
  while (!Expiring.empty() && Expiring.begin()->first <= now) {
    ChangedServers.insert(Expiring.begin()->second);
    Expiring.erase(Expiring.begin());
  }
  while (!Retained.empty() && Retained.begin()->first <= now) {
    ServerKey key = Retained.begin()->second;
    auto named = ServerByName.find(key.second.str());
    if (named != ServerByName.end() && named->second == key)
      ServerByName.erase(named);
    update.Removed.push_back(key.second);
    removeServer(key);
  }
  for (auto it = DroppedRoutes.begin(); it != DroppedRoutes.end();) {
    if (now < it->second.DroppedAt + GoneRetention) {
      ++it;
      continue;
    }
    it = DroppedRoutes.erase(it);
    RoutesChanged = true;
  }
}

PacketUpdate PacketRoutesBuilder::takeUpdate(TimePoint now,
                                             bool hasAllServers) {
  PacketUpdate update;
  update.HasAllServers = hasAllServers;
  processTimers(now, update);
  for (const ServerKey &key : ChangedServers)
    update.Changed.push_back(routed(now, Servers.at(key)));
  ChangedServers.clear();
  if (std::exchange(RoutesChanged, false))
    update.Routes = makeRoutes();
  return update;
}

TimePoint PacketRoutesBuilder::nextChange() const {
  return Expiring.empty() ? Never : Expiring.begin()->first;
}

} // namespace balsamrack

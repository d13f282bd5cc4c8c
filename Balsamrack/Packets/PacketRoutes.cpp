#include "Balsamrack/Packets/PacketRoutes.h"

#include <algorithm>
#include <utility>

namespace balsamrack {

namespace {

constexpr TimePoint Never = TimePoint(Duration::max());
/// Servers of one service that disappear within this time did so together.
constexpr Duration TogetherSpan{1'000'000};
/// So many at least are needed to speak of many.
constexpr size_t LeastTogether = 2;

void addOnce(std::vector<ServiceId> &list, const ServiceId &service) {
  if (std::find(list.begin(), list.end(), service) == list.end())
    list.push_back(service);
}

/// When the servers of one service disappeared.
struct ExpiryTimes {
  size_t Present = 0;            ///< Servers that are still there.
  std::vector<TimePoint> GoneAt; ///< Of the others, sorted.

  /// How many disappeared within TogetherSpan of \p at.
  size_t countAround(TimePoint at) const {
    auto first =
        std::lower_bound(GoneAt.begin(), GoneAt.end(), at - TogetherSpan);
    auto last = std::upper_bound(first, GoneAt.end(), at + TogetherSpan);
    return static_cast<size_t>(last - first);
  }
};

} // namespace

uint32_t tokenOf(const ServerId &id) {
  auto token = static_cast<uint32_t>(stableHash(id.str()));
  return token == 0 ? 1 : token;
}

void RouteBook::setOperators(TimePoint now,
                             const std::vector<PublishedObject> &objects) {
  Out.clear();
  for (const PublishedObject &object : objects) {
    if (const auto *out = std::get_if<DomainOutOfService>(&object.Content))
      Out.push_back(out->Domain);
    using Shared = std::shared_ptr<const OperatorConfiguration>;
    if (const auto *what = std::get_if<Shared>(&object.Content))
      setConfiguration(now, *what, object.At);
  }
}

void RouteBook::setConfiguration(
    TimePoint now, std::shared_ptr<const OperatorConfiguration> what,
    Revision at) {
  if (at <= ConfigurationAt)
    return;
  ConfigurationAt = at;
  Configuration = std::move(what);
  auto before = std::exchange(Allowed, {});
  for (const PublishedRoute &route : Configuration->Routes) {
    Endpoint end = Endpoint::of(route.At);
    std::vector<ServiceId> &allowed = Allowed[end];
    auto it = before.find(end);
    if (it != before.end())
      allowed = std::move(it->second);
    auto dropped = DroppedRoutes.find(end);
    if (dropped != DroppedRoutes.end()) {
      allowed = std::move(dropped->second.EverAllowed);
      DroppedRoutes.erase(dropped);
    }
    for (const RouteTarget &target : route.Targets)
      addOnce(allowed, target.Service);
    before.erase(end);
  }
  for (auto &[end, allowed] : before)
    DroppedRoutes[end] = {std::move(allowed), now};
}

void RouteBook::serversChanged(TimePoint now,
                               const std::vector<PublishedObject> &changed) {
  using Shared = std::shared_ptr<const PublishedServer>;
  for (const PublishedObject &object : changed) {
    const auto *what = std::get_if<Shared>(&object.Content);
    if (!what) {
      serverGone(now, object.Name);
      continue;
    }
    const BackendServer &server = (*what)->Server;
    ServerKey key{server.Domain, server.Id};
    auto named = ServerByName.find(object.Name);
    if (named != ServerByName.end() && named->second != key)
      Servers.erase(named->second);
    ServerByName[object.Name] = key;
    Servers[key] = {*what, true, false, {}, now + (*what)->ColdLeft};
  }
  markMassExpiry();
}

void RouteBook::serverGone(TimePoint now, const std::string &name) {
  auto named = ServerByName.find(name);
  if (named == ServerByName.end())
    return;
  auto it = Servers.find(named->second);
  if (it == Servers.end() || !it->second.Present)
    return;
  it->second.Present = false;
  it->second.GoneAt = now;
}

void RouteBook::markMassExpiry() {
  // Guards against a publishing service that was away: all entries expire at
  // once though the servers live, and the first ones back would get the load
  // of all. Servers die one by one, or are half of their service at most.
  std::map<ServiceId, ExpiryTimes> byService;
  for (const auto &[key, known] : Servers) {
    ExpiryTimes &times = byService[known.What->Server.Service];
    if (known.Present)
      ++times.Present;
    else
      times.GoneAt.push_back(known.GoneAt);
  }
  for (auto &[service, times] : byService)
    std::sort(times.GoneAt.begin(), times.GoneAt.end());
  for (auto &[key, known] : Servers) {
    if (known.Present || known.WithMany)
      continue;
    const ExpiryTimes &times = byService[known.What->Server.Service];
    size_t together = times.countAround(known.GoneAt);
    known.WithMany = together >= LeastTogether && together >= times.Present;
  }
}

bool RouteBook::domainOut(const DomainId &domain) const {
  return std::find(Out.begin(), Out.end(), domain) != Out.end();
}

ServerPresence RouteBook::presenceOf(TimePoint now, const Known &known) {
  if (known.Present)
    return ServerPresence::Listed;
  if (known.What->Server.Mode != ServerMode::Active ||
      now >= known.GoneAt + ExpiryKeep)
    return ServerPresence::Gone;
  NextChange = std::min(NextChange, known.GoneAt + ExpiryKeep);
  return ServerPresence::Expired;
}

std::map<Endpoint, uint64_t> RouteBook::newestByAddress() const {
  std::map<Endpoint, uint64_t> newest;
  for (const auto &[key, known] : Servers) {
    if (!known.Present)
      continue;
    uint64_t &born = newest[Endpoint::of(known.What->Server.At)];
    born = std::max(born, known.What->Born);
  }
  return newest;
}

void RouteBook::forget(TimePoint now) {
  for (auto it = Servers.begin(); it != Servers.end();)
    it = !it->second.Present && now >= it->second.GoneAt + GoneKeep
             ? Servers.erase(it)
             : std::next(it);
  for (auto it = ServerByName.begin(); it != ServerByName.end();)
    it =
        Servers.count(it->second) == 0 ? ServerByName.erase(it) : std::next(it);
  for (auto it = DroppedRoutes.begin(); it != DroppedRoutes.end();)
    it = now >= it->second.At + GoneKeep ? DroppedRoutes.erase(it)
                                         : std::next(it);
}

std::shared_ptr<const PacketRoutes> RouteBook::snapshot(TimePoint now) {
  forget(now);
  NextChange = Never;
  auto made = std::make_shared<PacketRoutes>();
  made->As = ConfigurationAt;
  if (Configuration) {
    made->Version = Configuration->Version;
    made->IdleTimeout = Configuration->IdleTimeout;
    for (const PublishedService &service : Configuration->Services)
      if (service.ColdPerSecond > 0)
        made->ColdPerSecond[service.Id] = service.ColdPerSecond;
    for (const PublishedRoute &route : Configuration->Routes) {
      Endpoint end = Endpoint::of(route.At);
      made->Routes[end] = {route.Targets, Allowed[end], route.Objective,
                           route.Timeout, route.Idempotent};
    }
  }
  for (const auto &[end, dropped] : DroppedRoutes)
    made->Routes[end] = {{}, dropped.EverAllowed, {}, {}, false};
  made->Servers.reserve(Servers.size());
  const std::map<Endpoint, uint64_t> newest = newestByAddress();
  for (const auto &[key, known] : Servers) {
    const BackendServer &server = known.What->Server;
    RoutedBackend to{known.What,         Endpoint::of(server.At),
                     tokenOf(server.Id), presenceOf(now, known),
                     known.WithMany,     domainOut(server.Domain),
                     known.ColdUntil};
    // Guards against a dead server whose entry still stands, or whose open
    // flows still find it, while another server answers attempts to connect to
    // its address: it would look well, and callers would wait for it in vain.
    auto later = newest.find(to.At);
    if (later != newest.end() && later->second > known.What->Born)
      to.Presence = ServerPresence::Replaced;
    made->Servers.push_back(std::move(to));
  }
  return made;
}

} // namespace balsamrack

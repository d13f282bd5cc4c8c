#include "Balsamrack/Packets/ServerTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamrack {

namespace {

/// The load of a site moves within seconds; single flows last some tens of
/// milliseconds.
constexpr double SmoothingMicros = 1'000'000;
/// About the work of one request: a herd after a loss of all daemons comes and
/// goes within a second. With 100 ms half of the gain of late openings that
/// wait is lost, in callers in time.
constexpr double BriefSmoothingMicros = 30'000;
/// Servers hold some eight requests more than they have slots, so that others
/// are hardly fuller than this; a small share makes the own ratio jump.
constexpr double MostLoad = 3;
/// A request's time moves the mean by this part.
constexpr int RequestTimeWeight = 32;
/// The longest work is some six times the mean, and waits in a full queue.
constexpr int QuietRequestTimes = 8;
/// A request that was lost is sent again after 200 ms.
constexpr Duration ShortestQuiet{300'000};
constexpr Duration LongestQuiet{2'000'000};

} // namespace

Duration TabledService::quietLimit() const {
  if (RequestTime == Duration{0})
    return LongestQuiet;
  return std::clamp(RequestTime * QuietRequestTimes, ShortestQuiet,
                    LongestQuiet);
}

void TabledService::requestAnswered(Duration took) {
  if (RequestTime == Duration{0})
    RequestTime = took;
  else
    RequestTime += (took - RequestTime) / RequestTimeWeight;
}

void TabledService::smooth(TimePoint now) {
  double sample = Share > 0 ? std::min(InProgress / Share, MostLoad) : 0;
  auto since = static_cast<double>((now - LoadAt).count());
  double weight =
      LoadAt == TimePoint{} ? 1 : 1 - std::exp(-since / SmoothingMicros);
  Load += weight * (sample - Load);
  double brief =
      LoadAt == TimePoint{} ? 1 : 1 - std::exp(-since / BriefSmoothingMicros);
  BriefLoad += brief * (sample - BriefLoad);
  LoadAt = now;
}

ServerIndex ServerTable::placeFor(const ServerId &id, Change &change) {
  auto it = ById.find(id);
  if (it != ById.end())
    return it->second;
  ServerIndex index;
  if (Free.empty()) {
    index = static_cast<ServerIndex>(Servers.size());
    Servers.emplace_back();
  } else {
    index = Free.back();
    Free.pop_back();
    Servers[index] = TabledServer();
  }
  ById[id] = index;
  change.Added.push_back(index);
  return index;
}

ServerTable::Change ServerTable::update(const PacketRoutes &routes) {
  Change change;
  std::vector<bool> kept(Servers.size(), false);
  ByToken.clear();
  for (auto &[id, service] : Services)
    service.TakeNew.clear();
  for (const RoutedBackend &server : routes.Servers) {
    ServerIndex index = placeFor(server.What->Server.Id, change);
    if (index < kept.size())
      kept[index] = true;
    Servers[index].Used = true;
    Servers[index].Is = server;
    ByToken[server.Token].push_back(index);
    if (server.takesNew())
      Services[server.What->Server.Service].TakeNew.push_back(index);
  }
  for (ServerIndex index = 0; index < kept.size(); ++index) {
    if (kept[index] || !Servers[index].Used)
      continue;
    ById.erase(Servers[index].Is.What->Server.Id);
    Servers[index].Used = false;
    Free.push_back(index);
    change.Removed.push_back(index);
  }
  return change;
}

TabledService *ServerTable::service(const ServiceId &id) {
  auto it = Services.find(id);
  return it == Services.end() || it->second.TakeNew.empty() ? nullptr
                                                            : &it->second;
}

const std::vector<ServerIndex> *ServerTable::byToken(uint32_t token) const {
  auto it = ByToken.find(token);
  return it == ByToken.end() ? nullptr : &it->second;
}

void ServerTable::add(ServerIndex index) {
  TabledServer &server = Servers[index];
  ++server.InProgress;
  ++Services[server.Is.What->Server.Service].InProgress;
}

void ServerTable::remove(ServerIndex index) {
  TabledServer &server = Servers[index];
  TabledService &service = Services[server.Is.What->Server.Service];
  // A place that was freed and taken anew begins at zero.
  if (server.InProgress > 0)
    --server.InProgress;
  if (service.InProgress > 0)
    --service.InProgress;
}

bool ServerTable::bears(TimePoint now, ServerIndex index, double perSecond) {
  TabledServer &server = Servers[index];
  if (perSecond <= 0 || now >= server.Is.ColdUntil)
    return true;
  double part = server.Share / server.Is.What->Server.Slots;
  return server.Cold.mayAdmit(now, perSecond, part);
}

void ServerTable::newFlow(TimePoint now, ServerIndex index, double perSecond) {
  TabledServer &server = Servers[index];
  if (perSecond > 0 && now < server.Is.ColdUntil)
    server.Cold.consume();
}

void ServerTable::setShares(TabledService &service,
                            const std::vector<ServerIndex> &of,
                            const std::vector<double> &shares) {
  for (ServerIndex index : service.TakeNew)
    Servers[index].Share = 0;
  service.Share = 0;
  for (size_t i = 0; i < of.size(); ++i) {
    Servers[of[i]].Share = shares[i];
    service.Share += shares[i];
  }
}

} // namespace balsamrack

#include "Balsamrack/Packets/ServerTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamrack {

namespace {

/// The load of a site moves within seconds; single flows last some tens of
/// milliseconds.
constexpr double LoadSmoothingMicros = 1'000'000;
/// About the work of one request: a herd after a loss of all daemons comes and
/// goes within a second. With 100 ms half of the gain of late openings that
/// wait is lost, in callers in time.
constexpr double ShortTermSmoothingMicros = 30'000;
/// Servers hold some eight requests more than they have slots, so that others
/// are hardly fuller than this; a small share makes the own ratio jump.
constexpr double MaxLoadSample = 3;
/// A request's time moves the mean by this part.
constexpr int RequestTimeSmoothing = 32;
/// The longest work is some six times the mean, and waits in a full queue.
constexpr int IdleRequestTimes = 8;
/// A request that was lost is sent again after 200 ms.
constexpr Duration MinRequestIdle{300'000};
constexpr Duration MaxRequestIdle{2'000'000};

} // namespace

Duration ServiceEntry::requestIdleLimit() const {
  if (RequestTime == Duration{0})
    return MaxRequestIdle;
  return std::clamp(RequestTime * IdleRequestTimes, MinRequestIdle,
                    MaxRequestIdle);
}

void ServiceEntry::recordRequestTime(Duration took) {
  if (RequestTime == Duration{0})
    RequestTime = took;
  else
    RequestTime += (took - RequestTime) / RequestTimeSmoothing;
}

void ServiceEntry::updateLoad(TimePoint now) {
  double sample = Share > 0 ? std::min(InProgress / Share, MaxLoadSample) : 0;
  auto since = static_cast<double>((now - LoadUpdatedAt).count());
  double weight = LoadUpdatedAt == TimePoint{}
                      ? 1
                      : 1 - std::exp(-since / LoadSmoothingMicros);
  Load += weight * (sample - Load);
  double brief = LoadUpdatedAt == TimePoint{}
                     ? 1
                     : 1 - std::exp(-since / ShortTermSmoothingMicros);
  ShortTermLoad += brief * (sample - ShortTermLoad);
  LoadUpdatedAt = now;
}

ServerIndex ServerTable::indexFor(const ServerId &id, Change &change) {
  auto it = ById.find(id);
  if (it != ById.end())
    return it->second;
  ServerIndex index;
  if (FreeIndexes.empty()) {
    index = static_cast<ServerIndex>(Servers.size());
    Servers.emplace_back();
  } else {
    index = FreeIndexes.back();
    FreeIndexes.pop_back();
    Servers[index] = ServerEntry();
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
    service.AcceptingServers.clear();
  for (const RoutedBackend &server : routes.Servers) {
    ServerIndex index = indexFor(server.Published->Server.Id, change);
    if (index < kept.size())
      kept[index] = true;
    Servers[index].InUse = true;
    Servers[index].Backend = server;
    ByToken[server.Token].push_back(index);
    if (server.acceptsNewFlows())
      Services[server.Published->Server.Service].AcceptingServers.push_back(
          index);
  }
  for (ServerIndex index = 0; index < kept.size(); ++index) {
    if (kept[index] || !Servers[index].InUse)
      continue;
    ById.erase(Servers[index].Backend.Published->Server.Id);
    Servers[index].InUse = false;
    FreeIndexes.push_back(index);
    change.Removed.push_back(index);
  }
  return change;
}

ServiceEntry *ServerTable::service(const ServiceId &id) {
  auto it = Services.find(id);
  return it == Services.end() || it->second.AcceptingServers.empty()
             ? nullptr
             : &it->second;
}

const std::vector<ServerIndex> *ServerTable::byToken(uint32_t token) const {
  auto it = ByToken.find(token);
  return it == ByToken.end() ? nullptr : &it->second;
}

void ServerTable::addInProgress(ServerIndex index) {
  ServerEntry &server = Servers[index];
  ++server.InProgress;
  ++Services[server.Backend.Published->Server.Service].InProgress;
}

void ServerTable::removeInProgress(ServerIndex index) {
  ServerEntry &server = Servers[index];
  ServiceEntry &service = Services[server.Backend.Published->Server.Service];
  // A place that was freed and taken anew begins at zero.
  if (server.InProgress > 0)
    --server.InProgress;
  if (service.InProgress > 0)
    --service.InProgress;
}

bool ServerTable::canTakeNewFlow(TimePoint now, ServerIndex index,
                                 double perSecond) {
  ServerEntry &server = Servers[index];
  if (perSecond <= 0 || now >= server.Backend.ColdUntil)
    return true;
  double part = server.Share / server.Backend.Published->Server.Slots;
  return server.ColdStart.mayAdmit(now, perSecond, part);
}

void ServerTable::recordNewFlow(TimePoint now, ServerIndex index,
                                double perSecond) {
  ServerEntry &server = Servers[index];
  if (perSecond > 0 && now < server.Backend.ColdUntil)
    server.ColdStart.consume();
}

void ServerTable::setShares(ServiceEntry &service,
                            const std::vector<ServerIndex> &of,
                            const std::vector<double> &shares) {
  for (ServerIndex index : service.AcceptingServers)
    Servers[index].Share = 0;
  service.Share = 0;
  for (size_t i = 0; i < of.size(); ++i) {
    Servers[of[i]].Share = shares[i];
    service.Share += shares[i];
  }
}

} // namespace balsamrack

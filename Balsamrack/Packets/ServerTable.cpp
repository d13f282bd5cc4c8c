#include "Balsamrack/Packets/ServerTable.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace balsamrack {

namespace {

/// Time constant of the smoothed load. The load of a site changes within
/// seconds, while single flows last some tens of milliseconds.
constexpr double LoadSmoothingMicros = 1'000'000;
/// Time constant of the short-term load, about the duration of one request. The
/// burst of openings after an outage of all daemons lasts less than a second;
/// with 100 ms, delaying late openings gains only half as many callers that are
/// answered in time.
constexpr double ShortTermSmoothingMicros = 30'000;
/// Upper bound of a load sample. Servers hold about eight requests more than
/// they have slots, so the load of other daemons is hardly higher than this,
/// while the ratio of this daemon fluctuates strongly when its share is small.
constexpr double MaxLoadSample = 3;
/// Divisor for the weight of one sample in the smoothed request time.
constexpr int RequestTimeSmoothing = 32;
/// Idle limit as a multiple of the mean request time: the longest requests take
/// about six times the mean, plus the wait in a full queue.
constexpr int IdleRequestTimes = 8;
/// Callers retransmit a lost request after 200 ms.
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

std::vector<ServerIndex>::iterator
ServerTable::placeOf(std::vector<ServerIndex> &in, ServerIndex index) {
  auto isBefore = [this](ServerIndex a, ServerIndex b) {
    const BackendServer &left = Servers[a].Backend.Published->Server;
    const BackendServer &right = Servers[b].Backend.Published->Server;
    return std::tie(left.Domain, left.Id) < std::tie(right.Domain, right.Id);
  };
  return std::lower_bound(in.begin(), in.end(), index, isBefore);
}

bool ServerTable::hasTokenPrecedence(ServerIndex a, ServerIndex b) const {
  // Flows that are open at the server that started first must not be
  // forwarded to the other one.
  auto rank = [this](ServerIndex index) {
    const RoutedBackend &server = Servers[index].Backend;
    bool isGone = server.Presence == ServerPresence::Gone ||
                  server.Presence == ServerPresence::Replaced;
    return std::make_tuple(isGone, server.Published->Born,
                           server.Published->Server.Id);
  };
  return rank(a) < rank(b);
}

void ServerTable::updateAccepting(ServerIndex index) {
  const RoutedBackend &server = Servers[index].Backend;
  bool accepts =
      server.acceptsNewFlows() && ByToken[server.Token].front() == index;
  auto &accepting = Services[server.Published->Server.Service].AcceptingServers;
  auto place = placeOf(accepting, index);
  bool isListed = place != accepting.end() && *place == index;
  if (accepts && !isListed)
    accepting.insert(place, index);
  else if (!accepts && isListed)
    accepting.erase(place);
  if (!accepts)
    Servers[index].Usable = false;
}

void ServerTable::addToIndexes(ServerIndex index) {
  std::vector<ServerIndex> &named = ByToken[Servers[index].Backend.Token];
  auto isBefore = [this](ServerIndex a, ServerIndex b) {
    return hasTokenPrecedence(a, b);
  };
  named.insert(std::lower_bound(named.begin(), named.end(), index, isBefore),
               index);
  for (ServerIndex it : named)
    updateAccepting(it);
}

void ServerTable::removeFromIndexes(ServerIndex index) {
  const RoutedBackend &server = Servers[index].Backend;
  auto &accepting = Services[server.Published->Server.Service].AcceptingServers;
  auto place = placeOf(accepting, index);
  if (place != accepting.end() && *place == index)
    accepting.erase(place);
  Servers[index].Usable = false;
  std::vector<ServerIndex> &named = ByToken[server.Token];
  named.erase(std::remove(named.begin(), named.end(), index), named.end());
  if (named.empty()) {
    ByToken.erase(server.Token);
    return;
  }
  for (ServerIndex it : named)
    updateAccepting(it);
}

ServerTable::Change ServerTable::apply(const PacketUpdate &update) {
  Change change;
  for (const RoutedBackend &server : update.Changed) {
    ServerIndex index = indexFor(server.Published->Server.Id, change);
    if (Servers[index].InUse)
      removeFromIndexes(index);
    Servers[index].InUse = true;
    Servers[index].Backend = server;
    addToIndexes(index);
  }
  for (const ServerId &id : update.Removed) {
    auto it = ById.find(id);
    if (it == ById.end())
      continue;
    ServerIndex index = it->second;
    removeFromIndexes(index);
    ById.erase(it);
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
  ServiceEntry &service = Services[server.Backend.Published->Server.Service];
  ++service.InProgress;
  if (server.Usable)
    ++service.UsableInProgress;
}

void ServerTable::removeInProgress(ServerIndex index) {
  ServerEntry &server = Servers[index];
  ServiceEntry &service = Services[server.Backend.Published->Server.Service];
  // Counts of a reused index start at zero, so flows of its former server may
  // be removed without having been counted.
  if (server.InProgress > 0)
    --server.InProgress;
  if (service.InProgress > 0)
    --service.InProgress;
  if (server.Usable && service.UsableInProgress > 0)
    --service.UsableInProgress;
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
                            std::vector<ServerIndex> usable,
                            const std::vector<double> &shares) {
  for (ServerIndex index : service.AcceptingServers) {
    Servers[index].Share = 0;
    Servers[index].Usable = false;
  }
  service.Share = 0;
  service.UsableInProgress = 0;
  service.OwnServers.clear();
  for (size_t i = 0; i < usable.size(); ++i) {
    Servers[usable[i]].Share = shares[i];
    service.Share += shares[i];
    Servers[usable[i]].Usable = true;
    service.UsableInProgress += Servers[usable[i]].InProgress;
    if (shares[i] > 0)
      service.OwnServers.push_back(usable[i]);
  }
  service.SpeedShare = service.Share;
  service.UsableServers = std::move(usable);
}

} // namespace balsamrack

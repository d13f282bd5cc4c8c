#ifndef BALSAMRACK_PACKETS_SERVERTABLE_H
#define BALSAMRACK_PACKETS_SERVERTABLE_H

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "Balsamrack/Decisions/ColdServerRateLimiter.h"
#include "Balsamrack/Packets/PacketFlowTable.h"
#include "Balsamrack/Packets/PacketRoutes.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// One backend server with the request counts of this daemon.
struct ServerEntry {
  bool InUse = false;    ///< False for an unused index of the table.
  RoutedBackend Backend; ///< Published state of the server.
  uint32_t InProgress =
      0;               ///< Requests of this daemon in progress at the server.
  double Share = 0;    ///< Slots of the server assigned to this daemon.
  bool Usable = false; ///< Contained in ServiceEntry::UsableServers.
  ColdServerRateLimiter
      ColdStart; ///< Limits new flows while the server is cold.
};

/// The servers of one service and their load by this daemon's own counts.
struct ServiceEntry {
  std::vector<ServerIndex>
      AcceptingServers; ///< Servers that accept new flows and have a token of
                        ///< their own, ordered by failure domain and id.
  std::vector<ServerIndex>
      UsableServers; ///< Those of AcceptingServers that are not silent.
  std::vector<ServerIndex>
      OwnServers;        ///< Those of UsableServers with slots of this daemon.
  size_t NextSample = 0; ///< Offset of the next sample of UsableServers.
  uint32_t InProgress = 0;       ///< Requests of this daemon at all servers.
  uint32_t UsableInProgress = 0; ///< Those at UsableServers.
  double Share = 0;              ///< Slots of this daemon at all servers.
  double SpeedShare = 0;    ///< Sum of its slots times their servers' speeds.
  double Load = 0;          ///< Smoothed ratio of InProgress to Share.
  double ShortTermLoad = 0; ///< Same, smoothed over about one request only.
  TimePoint LoadUpdatedAt;  ///< Last update of Load.
  /// Mean load of the shares of all failure domains, as their daemons report;
  /// empty while unknown.
  std::optional<double> SiteLoad;
  Duration RequestTime{0}; ///< Smoothed time from counting a request to its
                           ///< answer; zero before the first answer.

  /// A request on a flow without packets for this long no longer counts as in
  /// progress: eight times the mean request time, within bounds. Callers that
  /// time out send no further packets and would otherwise count as load; after
  /// an outage of all daemons they are the majority.
  Duration requestIdleLimit() const;
  /// Adds the time \p took from counting a request to its answer.
  void recordRequestTime(Duration took);

  /// Updates the smoothed loads from the current counts. The load of other
  /// daemons is assumed to be the same, since the fabric spreads flows evenly.
  void updateLoad(TimePoint now);
};

/// Table of backend servers. A server keeps its index as long as it is part of
/// the routes, which contain removed servers for as long as open flows may need
/// them. Not thread-safe.
class ServerTable {
public:
  /// Changes made by an update.
  struct Change {
    std::vector<ServerIndex> Added;   ///< Indexes of new servers.
    std::vector<ServerIndex> Removed; ///< Indexes that became free.
  };

  /// Applies the changed and removed servers of \p update.
  Change apply(const PacketUpdate &update);
  /// The server at \p index. Precondition: it is in the table.
  const ServerEntry &at(ServerIndex index) const { return Servers[index]; }
  /// Index of the server with \p id. Precondition: it is in the table.
  ServerIndex indexOf(const ServerId &id) const { return ById.at(id); }
  /// Number of servers.
  size_t size() const { return ById.size(); }
  /// All entries, including unused ones.
  const std::vector<ServerEntry> &all() const { return Servers; }
  /// The service, or null when none of its servers accepts new flows.
  ServiceEntry *service(const ServiceId &id);
  /// All services.
  const absl::flat_hash_map<ServiceId, ServiceEntry> &services() const {
    return Services;
  }
  /// The servers with \p token, usually one; null for none. Of several, only
  /// the first one gets new flows; the order is by time of start, and servers
  /// that are gone come last.
  const std::vector<ServerIndex> *byToken(uint32_t token) const;

  /// Counts one more request in progress at \p index.
  void addInProgress(ServerIndex index);
  /// Counts one request less in progress at \p index.
  void removeInProgress(ServerIndex index);
  /// True when the server at \p index is not cold, or when its limit of
  /// \p perSecond new flows while cold (zero for none) permits a new flow of
  /// this daemon now.
  bool canTakeNewFlow(TimePoint now, ServerIndex index, double perSecond);
  /// Records a new flow at the server at \p index; see canTakeNewFlow().
  void recordNewFlow(TimePoint now, ServerIndex index, double perSecond);
  /// Sets the usable servers of \p service to \p usable and this daemon's slot
  /// shares there; the shares at its other servers become zero. Precondition:
  /// both lists have the same length.
  void setShares(ServiceEntry &service, std::vector<ServerIndex> usable,
                 const std::vector<double> &shares);
  /// The service of the server at \p index.
  ServiceEntry &serviceOf(ServerIndex index) {
    return Services[Servers[index].Backend.Published->Server.Service];
  }
  /// The services, to be passed to setShares().
  absl::flat_hash_map<ServiceId, ServiceEntry> &mutableServices() {
    return Services;
  }

private:
  ServerIndex indexFor(const ServerId &id, Change &change);
  void addToIndexes(ServerIndex index);
  void removeFromIndexes(ServerIndex index);
  void updateAccepting(ServerIndex index);
  bool hasTokenPrecedence(ServerIndex a, ServerIndex b) const;
  std::vector<ServerIndex>::iterator placeOf(std::vector<ServerIndex> &in,
                                             ServerIndex index);

  std::vector<ServerEntry> Servers;     ///< By index.
  std::vector<ServerIndex> FreeIndexes; ///< Unused indexes.
  absl::flat_hash_map<ServerId, ServerIndex> ById;
  absl::flat_hash_map<uint32_t, std::vector<ServerIndex>> ByToken;
  absl::flat_hash_map<ServiceId, ServiceEntry> Services;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_SERVERTABLE_H

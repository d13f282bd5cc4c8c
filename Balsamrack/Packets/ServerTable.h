#ifndef BALSAMRACK_PACKETS_SERVERTABLE_H
#define BALSAMRACK_PACKETS_SERVERTABLE_H

#include <cstddef>
#include <memory>
#include <vector>

#include "Balsamrack/Decisions/ColdServerRateLimiter.h"
#include "Balsamrack/Packets/PacketFlowTable.h"
#include "Balsamrack/Packets/PacketRoutes.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// One backend server and what this daemon itself counts at it.
struct ServerEntry {
  bool InUse = false;      ///< False for a free place of the table.
  RoutedBackend Backend;   ///< As published.
  uint32_t InProgress = 0; ///< Requests of this daemon that it works on.
  double Share = 0;        ///< Of its slots, this daemon's.
  ColdServerRateLimiter ColdStart; ///< New flows while it is cold.
};

/// The servers of one service, and how full they are by own counts.
struct ServiceEntry {
  std::vector<ServerIndex> AcceptingServers; ///< Servers for new flows, ordered
                                             ///< by failure domain and id.
  uint32_t InProgress = 0;  ///< Requests of this daemon, over all its servers.
  double Share = 0;         ///< Slots of this daemon, over all its servers.
  double Load = 0;          ///< InProgress by Share, smoothed.
  double ShortTermLoad = 0; ///< As Load, smoothed over a request's time only.
  TimePoint LoadUpdatedAt;  ///< When Load was last moved.
  Duration RequestTime{0};  ///< From where a request is counted to its answer,
                            ///< smoothed; zero: none was answered yet.

  /// Requests on flows without a packet for so long are not in progress any
  /// more: eight times the usual time of a request, within bounds. Callers
  /// whose time is over go silently, and would else be counted as load; after a
  /// loss of all daemons they are the most.
  Duration requestIdleLimit() const;
  /// A request was answered \p took after it was counted.
  void recordRequestTime(Duration took);

  /// Moves Load towards the present counts. Load of others is reckoned to be
  /// the same: the fabric spreads flows evenly.
  void updateLoad(TimePoint now);
};

/// Backend servers by a number that stays the same for as long as any flow can
/// need it. Not thread-safe.
class ServerTable {
public:
  /// What an update changed.
  struct Change {
    std::vector<ServerIndex> Added;   ///< New in the table.
    std::vector<ServerIndex> Removed; ///< Free now.
  };

  /// Takes the servers of \p routes over.
  Change update(const PacketRoutes &routes);
  /// The server at \p index. Precondition: it is in the table.
  const ServerEntry &at(ServerIndex index) const { return Servers[index]; }
  /// All places of the table; some may be free.
  const std::vector<ServerEntry> &all() const { return Servers; }
  /// The service, or null when it has no server that takes new flows.
  ServiceEntry *service(const ServiceId &id);
  /// All services.
  const absl::flat_hash_map<ServiceId, ServiceEntry> &services() const {
    return Services;
  }
  /// The servers that \p token stands for; mostly one.
  const std::vector<ServerIndex> *byToken(uint32_t token) const;

  /// One flow more or less is in progress at \p index.
  void addInProgress(ServerIndex index);
  /// See add().
  void removeInProgress(ServerIndex index);
  /// True when the server at \p index is not cold, or is cold and bears a new
  /// flow of this daemon now, by \p perSecond (zero: no figure is given).
  bool canTakeNewFlow(TimePoint now, ServerIndex index, double perSecond);
  /// A new flow went to the server at \p index; see canTakeNewFlow().
  void recordNewFlow(TimePoint now, ServerIndex index, double perSecond);
  /// Sets the own shares of the servers of \p service, in the order of
  /// \p of. Precondition: both lists are as long.
  void setShares(ServiceEntry &service, const std::vector<ServerIndex> &of,
                 const std::vector<double> &shares);
  /// The service of the server at \p index.
  ServiceEntry &serviceOf(ServerIndex index) {
    return Services[Servers[index].Backend.Published->Server.Service];
  }
  /// The services, for setShares().
  absl::flat_hash_map<ServiceId, ServiceEntry> &mutableServices() {
    return Services;
  }

private:
  ServerIndex indexFor(const ServerId &id, Change &change);

  std::vector<ServerEntry> Servers;     ///< By index.
  std::vector<ServerIndex> FreeIndexes; ///< Unused places.
  absl::flat_hash_map<ServerId, ServerIndex> ById;
  absl::flat_hash_map<uint32_t, std::vector<ServerIndex>> ByToken;
  absl::flat_hash_map<ServiceId, ServiceEntry> Services;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_SERVERTABLE_H

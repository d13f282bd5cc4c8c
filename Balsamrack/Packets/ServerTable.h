#ifndef BALSAMRACK_PACKETS_SERVERTABLE_H
#define BALSAMRACK_PACKETS_SERVERTABLE_H

#include <cstddef>
#include <memory>
#include <vector>

#include "Balsamrack/Decisions/ColdServerRateLimiter.h"
#include "Balsamrack/Packets/FlowMemory.h"
#include "Balsamrack/Packets/PacketRoutes.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// One backend server and what this daemon itself counts at it.
struct TabledServer {
  bool Used = false;          ///< False for a free place of the table.
  RoutedBackend Is;           ///< As published.
  uint32_t InProgress = 0;    ///< Requests of this daemon that it works on.
  double Share = 0;           ///< Of its slots, this daemon's.
  ColdServerRateLimiter Cold; ///< New flows while it is cold.
};

/// The servers of one service, and how full they are by own counts.
struct TabledService {
  std::vector<ServerIndex> TakeNew; ///< Servers for new flows, ordered by
                                    ///< failure domain and id.
  uint32_t InProgress = 0; ///< Requests of this daemon, over all its servers.
  double Share = 0;        ///< Slots of this daemon, over all its servers.
  double Load = 0;         ///< InProgress by Share, smoothed.
  double BriefLoad = 0;    ///< As Load, smoothed over a request's time only.
  TimePoint LoadAt;        ///< When Load was last moved.
  Duration RequestTime{0}; ///< From where a request is counted to its answer,
                           ///< smoothed; zero: none was answered yet.

  /// Requests on flows without a packet for so long are not in progress any
  /// more: eight times the usual time of a request, within bounds. Callers
  /// whose time is over go silently, and would else be counted as load; after a
  /// loss of all daemons they are the most.
  Duration quietLimit() const;
  /// A request was answered \p took after it was counted.
  void requestAnswered(Duration took);

  /// Moves Load towards the present counts. Load of others is reckoned to be
  /// the same: the fabric spreads flows evenly.
  void smooth(TimePoint now);
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
  const TabledServer &at(ServerIndex index) const { return Servers[index]; }
  /// All places of the table; some may be free.
  const std::vector<TabledServer> &all() const { return Servers; }
  /// The service, or null when it has no server that takes new flows.
  TabledService *service(const ServiceId &id);
  /// All services.
  const absl::flat_hash_map<ServiceId, TabledService> &services() const {
    return Services;
  }
  /// The servers that \p token stands for; mostly one.
  const std::vector<ServerIndex> *byToken(uint32_t token) const;

  /// One flow more or less is in progress at \p index.
  void add(ServerIndex index);
  /// See add().
  void remove(ServerIndex index);
  /// True when the server at \p index is not cold, or is cold and bears a new
  /// flow of this daemon now, by \p perSecond (zero: no figure is given).
  bool bears(TimePoint now, ServerIndex index, double perSecond);
  /// A new flow went to the server at \p index; see bears().
  void newFlow(TimePoint now, ServerIndex index, double perSecond);
  /// Sets the own shares of the servers of \p service, in the order of
  /// \p of. Precondition: both lists are as long.
  void setShares(TabledService &service, const std::vector<ServerIndex> &of,
                 const std::vector<double> &shares);
  /// The service of the server at \p index.
  TabledService &serviceOf(ServerIndex index) {
    return Services[Servers[index].Is.What->Server.Service];
  }
  /// The services, for setShares().
  absl::flat_hash_map<ServiceId, TabledService> &servicesForShares() {
    return Services;
  }

private:
  ServerIndex placeFor(const ServerId &id, Change &change);

  std::vector<TabledServer> Servers; ///< By index.
  std::vector<ServerIndex> Free;     ///< Unused places.
  absl::flat_hash_map<ServerId, ServerIndex> ById;
  absl::flat_hash_map<uint32_t, std::vector<ServerIndex>> ByToken;
  absl::flat_hash_map<ServiceId, TabledService> Services;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_SERVERTABLE_H

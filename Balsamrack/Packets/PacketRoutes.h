#ifndef BALSAMRACK_PACKETS_PACKETROUTES_H
#define BALSAMRACK_PACKETS_PACKETROUTES_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Packets/Packet.h"
#include "Balsamrack/Published/PublishedState.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// Presence of a server in the published state.
enum class ServerPresence {
  Listed,   ///< Published.
  Expired,  ///< Was active and has just disappeared; it may merely have failed
            ///< to renew its entry.
  Gone,     ///< No longer published; kept for its open flows.
  Replaced, ///< A newer server has its address, so it is certainly dead.
};

/// Routing data of a backend server.
struct RoutedBackend {
  std::shared_ptr<const PublishedServer> Published; ///< Last published state.
  Endpoint At;        ///< Destination of datagrams.
  uint32_t Token = 0; ///< Identifies it on the packets of its flows.
  ServerPresence Presence =
      ServerPresence::Listed; ///< Presence in the published state.
  bool ExpiredInBulk = false; ///< Expired together with at least half of its
                              ///< service.
  bool DomainOut = false;     ///< Its failure domain was taken out of service.
  TimePoint ColdUntil;        ///< Starting up and slow until then.

  /// True when it is eligible for new flows. Thread-safe.
  bool acceptsNewFlows() const {
    bool there = Presence == ServerPresence::Listed ||
                 Presence == ServerPresence::Expired;
    return there && !DomainOut && Published->Server.Mode == ServerMode::Active;
  }
};

/// A route and all services that it has ever allowed.
struct RouteEntry {
  std::vector<RouteTarget>
      Targets; ///< Targets for new flows; empty once the route was removed.
  std::vector<ServiceId>
      EverAllowed;         ///< Services whose servers a token may name.
  Duration Objective{0};   ///< Target for answer times, as published.
  Duration Timeout{0};     ///< Timeout of callers, as published.
  bool Idempotent = false; ///< Requests may be repeated, as published.
  uint32_t Priority = LowestPriority; ///< Zero is the most urgent.
};

/// Immutable snapshot of the configuration. Thread-safe.
struct PacketRoutes {
  absl::flat_hash_map<Endpoint, RouteEntry>
      Routes; ///< By the address that callers use.
  absl::flat_hash_map<ServiceId, double>
      ColdPerSecond; ///< New flows a second that a cold server can take, where
                     ///< published.
  uint64_t Version =
      0; ///< Version number of the configuration, set by operators.
  Revision ConfigurationRevision; ///< Revision of the configuration.
  Duration IdleTimeout{0};        ///< Zero when not configured.
};

/// What changed in the published state, for a PacketRouter.
struct PacketUpdate {
  std::shared_ptr<const PacketRoutes>
      Routes; ///< The routes; null when they have not changed.
  std::vector<RoutedBackend> Changed; ///< New and changed servers.
  std::vector<ServerId> Removed;      ///< Servers that are forgotten.
  bool HasAllServers = true; ///< False after a start while only some of the
                             ///< published servers are known here.
};

/// Token of the server with \p id, never zero. A packet has room for 32 bits,
/// so two of 6,000 servers share a token in one of 240 fleets; ServerTable
/// gives new flows to one of them only. Thread-safe.
uint32_t tokenOf(const ServerId &id);

/// Derives routing data from the published state. Keeps removed servers and
/// routes for a while, for flows that are still open. The cost of an update
/// depends on what changed, not on the number of servers. Deterministic. Not
/// thread-safe.
class PacketRoutesBuilder {
public:
  /// A server that disappears without having drained stays eligible for new
  /// flows this long, ranked last: an entry that merely expired returns within
  /// two seconds, and one that is missing for longer is gone.
  static constexpr Duration ExpiredRetention{2'000'000};
  /// Retention of removed servers and routes for their open flows. On the known
  /// platforms, flows that are older than a minute may be given up.
  static constexpr Duration GoneRetention{120'000'000};

  /// Replaces the objects of the operators' section.
  void applyOperatorObjects(TimePoint now,
                            const std::vector<PublishedObject> &objects);
  /// Applies changed objects of the servers' section.
  void applyServerChanges(TimePoint now,
                          const std::vector<PublishedObject> &changed);
  /// Returns what changed since the last call, as of \p now. \p hasAllServers:
  /// all published servers were applied.
  PacketUpdate takeUpdate(TimePoint now, bool hasAllServers = true);
  /// When takeUpdate() next returns a change without new objects; the far
  /// future for never.
  TimePoint nextChange() const;

private:
  /// A server that is published or was removed recently.
  struct KnownServer {
    std::shared_ptr<const PublishedServer> Published; ///< Last published state.
    bool Present = true;                              ///< Still published.
    bool ExpiredInBulk =
        false; ///< Disappeared together with at least half of its service.
    TimePoint GoneAt;    ///< When this daemon saw it disappear.
    TimePoint ColdUntil; ///< Starting up and slow until then.
  };
  /// A route that was removed recently.
  struct DroppedRoute {
    std::vector<ServiceId> EverAllowed; ///< Services that it ever allowed.
    TimePoint DroppedAt;                ///< When it was removed.
  };
  using ServerKey = std::pair<DomainId, ServerId>;
  /// The servers of one service, for finding bulk expiries.
  struct ServiceServers {
    size_t Present = 0; ///< Published servers.
    std::deque<std::pair<TimePoint, ServerKey>>
        Lost; ///< Recently disappeared servers, in order of time.
  };

  void setConfiguration(TimePoint now,
                        std::shared_ptr<const OperatorConfiguration> what,
                        Revision at);
  std::shared_ptr<const PacketRoutes> makeRoutes() const;
  void setServer(const ServerKey &key, KnownServer server);
  void removeServer(const ServerKey &key);
  void markServerGone(TimePoint now, const std::string &name);
  void markBulkExpiry(TimePoint now, ServiceServers &service);
  void markAddressChanged(const Endpoint &at);
  void updateKnownServices();
  void markDomainsChanged(const std::vector<DomainId> &domains);
  void processTimers(TimePoint now, PacketUpdate &update);
  ServerPresence presenceOf(TimePoint now, const KnownServer &known) const;
  bool hasLaterInstance(const KnownServer &known) const;
  RoutedBackend routed(TimePoint now, const KnownServer &known) const;
  bool isDomainOut(const DomainId &domain) const;

  std::shared_ptr<const OperatorConfiguration>
      Configuration;                ///< Latest configuration.
  Revision ConfigurationRevision;   ///< Its revision.
  bool RoutesChanged = true;        ///< Since the last update.
  std::vector<DomainId> DomainsOut; ///< Failure domains taken out of service.
  std::map<Endpoint, std::vector<ServiceId>> EverAllowed; ///< By current route.
  std::map<Endpoint, DroppedRoute> DroppedRoutes; ///< Within GoneRetention.
  std::set<ServiceId> KnownServices; ///< Named by a configuration of late.
  std::map<ServerKey, KnownServer> Servers;      ///< Includes removed servers.
  std::map<std::string, ServerKey> ServerByName; ///< By object name.
  std::map<Endpoint, std::set<ServerKey>> ServersByAddress; ///< As Servers.
  std::map<ServiceId, ServiceServers> Services;             ///< By service.
  std::set<ServerKey> ChangedServers; ///< Since the last update.
  /// Servers that are eligible for new flows until a time.
  std::set<std::pair<TimePoint, ServerKey>> Expiring;
  /// Servers that are kept for their open flows until a time.
  std::set<std::pair<TimePoint, ServerKey>> Retained;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETROUTES_H

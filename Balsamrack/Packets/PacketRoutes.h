#ifndef BALSAMRACK_PACKETS_PACKETROUTES_H
#define BALSAMRACK_PACKETS_PACKETROUTES_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Packets/Packet.h"
#include "Balsamrack/Published/PublishedState.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// How a server stands in what is published.
enum class ServerPresence {
  Listed,   ///< Published.
  Expired,  ///< Was ready and has just disappeared: it may only have failed to
            ///< renew its entry.
  Gone,     ///< Not published any more; its open flows still find it.
  Replaced, ///< A later server has its address: it is dead for sure.
};

/// A backend server as the router needs it.
struct RoutedBackend {
  std::shared_ptr<const PublishedServer>
      Published;      ///< As it was last published.
  Endpoint At;        ///< Where datagrams go.
  uint32_t Token = 0; ///< Stands for it on the packets of its flows.
  ServerPresence Presence = ServerPresence::Listed; ///< See there.
  bool ExpiredInBulk = false; ///< Expired together with half of its service.
  bool DomainOut = false;     ///< Its failure domain was taken out.
  TimePoint ColdUntil;        ///< Slow until then.

  /// True when it may get new flows in ordinary times. Thread-safe.
  bool acceptsNewFlows() const {
    bool there = Presence == ServerPresence::Listed ||
                 Presence == ServerPresence::Expired;
    return there && !DomainOut && Published->Server.Mode == ServerMode::Active;
  }
};

/// A route, and what it ever allowed.
struct RouteEntry {
  std::vector<RouteTarget> Targets;   ///< For new flows; empty once dropped.
  std::vector<ServiceId> EverAllowed; ///< A token may name their servers.
  Duration Objective{0};              ///< As published.
  Duration Timeout{0};                ///< As published.
  bool Idempotent = false;            ///< As published.
};

/// An immutable snapshot of where packets may go. Thread-safe.
struct PacketRoutes {
  absl::flat_hash_map<Endpoint, RouteEntry> Routes; ///< By callers' address.
  std::vector<RoutedBackend> Servers;               ///< Ordered by domain, id.
  absl::flat_hash_map<ServiceId, double>
      ColdPerSecond;    ///< Figures that were given.
  uint64_t Version = 0; ///< The operators' number of the configuration.
  Revision ConfigurationRevision; ///< Of the configuration.
  Duration IdleTimeout{0};        ///< Zero: not given.
};

/// The token that stands for the server with \p id: never zero. 32 bits are
/// what a packet has room for; two of 300 servers share one with a chance of
/// one in 100,000, and then a route's services and the flow memory tell them
/// apart. Thread-safe.
uint32_t tokenOf(const ServerId &id);

/// Makes the snapshots: remembers for a while what is published no longer, for
/// the flows that are still open. Deterministic. Not thread-safe.
class PacketRoutesBuilder {
public:
  /// A server that disappears without having drained is kept for new flows so
  /// long, behind all others: entries that only expired come back within two
  /// seconds, and one that stays away for longer is gone.
  static constexpr Duration ExpiredRetention{2'000'000};
  /// A server that is gone is kept for its open flows so long: flows older
  /// than a minute may be given up on the platforms that we know.
  static constexpr Duration GoneRetention{120'000'000};

  /// Takes the newest objects of the operators' section.
  void applyOperatorObjects(TimePoint now,
                            const std::vector<PublishedObject> &objects);
  /// Takes one change of the servers' section.
  void applyServerChanges(TimePoint now,
                          const std::vector<PublishedObject> &changed);
  /// The snapshot as of \p now.
  std::shared_ptr<const PacketRoutes> snapshot(TimePoint now);
  /// When time alone will change the snapshot; the far future for never.
  TimePoint nextChange() const { return NextChange; }

private:
  /// What is remembered of a server.
  struct KnownServer {
    std::shared_ptr<const PublishedServer> Published; ///< As last published.
    bool Present = true;                              ///< Still published.
    bool ExpiredInBulk = false; ///< Disappeared with half of its service.
    TimePoint GoneAt;           ///< When it disappeared here.
    TimePoint ColdUntil;        ///< Slow until then.
  };
  /// What is remembered of a dropped route.
  struct DroppedRoute {
    std::vector<ServiceId> EverAllowed; ///< While it was there.
    TimePoint DroppedAt;                ///< When it was dropped.
  };
  using ServerKey = std::pair<DomainId, ServerId>;

  void setConfiguration(TimePoint now,
                        std::shared_ptr<const OperatorConfiguration> what,
                        Revision at);
  void markServerGone(TimePoint now, const std::string &name);
  void markBulkExpiry();
  void removeOutdated(TimePoint now);
  ServerPresence presenceOf(TimePoint now, const KnownServer &known);
  std::map<Endpoint, uint64_t> newestInstanceByAddress() const;
  bool isDomainOut(const DomainId &domain) const;

  std::shared_ptr<const OperatorConfiguration> Configuration; ///< Newest.
  Revision ConfigurationRevision;                             ///< Its revision.
  std::vector<DomainId> DomainsOut; ///< Domains taken out.
  std::map<Endpoint, std::vector<ServiceId>> EverAllowed; ///< By present route.
  std::map<Endpoint, DroppedRoute> DroppedRoutes; ///< Not yet forgotten.
  std::map<ServerKey, KnownServer> Servers;       ///< Gone ones included.
  std::map<std::string, ServerKey> ServerByName;  ///< Names of objects.
  TimePoint NextChange{Duration::max()};          ///< See nextChange().
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETROUTES_H

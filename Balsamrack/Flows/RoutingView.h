#ifndef BALSAMRACK_FLOWS_ROUTINGVIEW_H
#define BALSAMRACK_FLOWS_ROUTINGVIEW_H

#include <map>
#include <memory>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Flows/FlowRank.h"
#include "Balsamrack/World/World.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// A backend server with what this daemon knows of the way to it.
struct RoutedServer {
  BackendServer Server;        ///< As the ticket in force says.
  EntryVm Owner;               ///< Its owner; an empty Id means none is known.
  bool OwnerReachable = false; ///< The owner answers probes from here.
  bool DomainInService = true; ///< False once operators took its domain out.
  bool Ejected = false;        ///< Its owner takes no new flows for it.
  bool DomainReachable = true; ///< False while its domain is cut off from here.

  /// May a packet be handed to its owner now? Thread-safe.
  bool isReachable() const {
    return !Owner.Id.empty() && OwnerReachable && DomainReachable;
  }
  /// May it be offered a new flow? Thread-safe.
  bool acceptsNewFlows() const {
    return Server.Mode == ServerMode::Active && Server.Weight > 0 &&
           DomainInService && !Ejected && isReachable();
  }
};

/// A service and its backend servers.
struct ServiceRoute {
  Service Settings;                  ///< As the ticket in force says.
  std::vector<RoutedServer> Servers; ///< All of them, sorted by id.
  std::vector<std::vector<RankedServer>>
      EarlierServers; ///< Server sets of recent earlier configurations, newest
                      ///< first.
  FlowRank Rank;      ///< Over Servers; set by RoutingView::create.
  std::vector<FlowRank>
      EarlierRanks; ///< Over EarlierServers; set by RoutingView::create.

  /// The server with this id, or null. Thread-safe.
  const RoutedServer *find(const ServerId &server) const;
  /// The server whose id has this stable hash, or null. Thread-safe.
  const RoutedServer *findByHash(uint64_t serverHash) const;
};

/// The daemons that may guard idempotency keys.
struct KeyReplicaView {
  std::vector<EntryVm> Members; ///< All daemons not known dead or gone; those
                                ///< that can't be reached now too.
  std::vector<VmId> RecentlyDeparted; ///< Died or left within the key memory.
  std::vector<VmId> Unreachable;      ///< Members that can't be reached now.
};

/// All that placement looks at, as of one ticket and one view of membership.
/// Immutable once made, so thread-safe; shared by all shards.
struct RoutingView {
  TicketNumber Ticket;                        ///< Highest ticket in force.
  EntryVm Self;                               ///< This daemon.
  std::map<ServiceId, ServiceRoute> Services; ///< By service.
  KeyReplicaView KeyReplicas;                 ///< For idempotency keys.

  /// Sorts the servers and computes the ranks. Error kInvalidArgument (step
  /// place) when a server is listed twice or under a service not its own, which
  /// would let a packet of one service reach another. Thread-safe.
  static absl::StatusOr<std::shared_ptr<const RoutingView>>
  create(RoutingView view);

  /// The route of a service, or null. Thread-safe.
  const ServiceRoute *findService(const ServiceId &service) const;
  /// The route of a server of any service, or null. Thread-safe.
  const RoutedServer *findServer(const ServerId &server) const;
  /// True when \p vm can't be reached now. Thread-safe.
  bool isUnreachable(const VmId &vm) const;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ROUTINGVIEW_H

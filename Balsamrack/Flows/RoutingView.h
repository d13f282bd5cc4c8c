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

/// A backend server with its owner and its reachability from this daemon.
struct RoutedServer {
  BackendServer Server;        ///< Configuration by the ticket in force.
  EntryVm Owner;               ///< Its owner; the Id is empty if none is known.
  bool OwnerReachable = false; ///< The owner answers this daemon's probes.
  bool DomainInService = true; ///< False if operators took its domain out of
                               ///< service.
  bool Ejected = false;        ///< Its owner accepts no new flows for it.
  bool DomainReachable = true; ///< False while its domain is unreachable from
                               ///< this daemon.

  /// True if packets can be forwarded to its owner now. Thread-safe.
  bool isReachable() const {
    return !Owner.Id.empty() && OwnerReachable && DomainReachable;
  }
  /// True if new flows may be offered to it. Thread-safe.
  bool acceptsNewFlows() const {
    return Server.Mode == ServerMode::Active && Server.Weight > 0 &&
           DomainInService && !Ejected && isReachable();
  }
};

/// A service and its backend servers.
struct ServiceRoute {
  Service Settings;                  ///< Configuration by the ticket in force.
  std::vector<RoutedServer> Servers; ///< All servers of the service, sorted by
                                     ///< id.
  std::vector<std::vector<RankedServer>>
      EarlierServers; ///< Server sets of recent earlier configurations, newest
                      ///< first.
  FlowRank Rank;      ///< Over Servers; set by RoutingView::create.
  std::vector<FlowRank>
      EarlierRanks; ///< Over EarlierServers; set by RoutingView::create.

  /// Returns the server with this id, or null. Thread-safe.
  const RoutedServer *find(const ServerId &server) const;
  /// Returns the server whose id has this stable hash, or null. Thread-safe.
  const RoutedServer *findByHash(uint64_t serverHash) const;
};

/// Daemons that may be replicas of idempotency keys.
struct KeyReplicaView {
  std::vector<EntryVm> Members;       ///< All daemons not known to be dead or
                                      ///< departed, including unreachable ones.
  std::vector<VmId> RecentlyDeparted; ///< Daemons that died or left within the
                                      ///< key memory.
  std::vector<VmId> Unreachable;      ///< Members that are unreachable now.
};

/// Snapshot of all inputs of placement, for one ticket and one state of the
/// membership. Immutable once created, so thread-safe; shared by all shards.
struct RoutingView {
  TicketNumber Ticket;                        ///< Highest ticket in force.
  EntryVm Self;                               ///< This daemon.
  std::map<ServiceId, ServiceRoute> Services; ///< Routes by service.
  KeyReplicaView KeyReplicas;                 ///< Candidates for replicas of
                                              ///< idempotency keys.

  /// Sorts the servers and computes the ranks of \p view. Error
  /// kInvalidArgument (step place) if a server is listed twice or under another
  /// service than its own, which would let a packet of one service reach
  /// another. Thread-safe.
  static absl::StatusOr<std::shared_ptr<const RoutingView>>
  create(RoutingView view);

  /// Returns the route of a service, or null. Thread-safe.
  const ServiceRoute *findService(const ServiceId &service) const;
  /// Returns a server of any service, or null. Thread-safe.
  const RoutedServer *findServer(const ServerId &server) const;
  /// True if \p vm is unreachable now. Thread-safe.
  bool isUnreachable(const VmId &vm) const;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ROUTINGVIEW_H

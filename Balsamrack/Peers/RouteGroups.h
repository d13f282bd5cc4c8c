#ifndef BALSAMRACK_PEERS_ROUTEGROUPS_H
#define BALSAMRACK_PEERS_ROUTEGROUPS_H

#include <string>
#include <vector>

#include "Balsamrack/Published/PublishedState.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Routes that differ in their address only. Most of the routes of a
/// configuration are alike, so a group costs six bytes a route on the wire.
struct RouteGroup {
  PublishedRoute Common; ///< What they share; its address is unused.
  std::string Addresses; ///< Four bytes of IP and two of port for each route,
                         ///< in network byte order.
};

/// Packs \p routes into groups, in order of the first route of each.
/// Precondition: all addresses are IPv4. Thread-safe.
std::vector<RouteGroup> groupRoutes(const std::vector<PublishedRoute> &routes);

/// The routes of \p groups. Error kInvalidArgument (step decode-peer-message)
/// when a list of addresses is cut off. Thread-safe.
absl::StatusOr<std::vector<PublishedRoute>>
ungroupRoutes(const std::vector<RouteGroup> &groups);

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_ROUTEGROUPS_H

#ifndef BALSAMRACK_PEERS_ROUTEGROUPS_H
#define BALSAMRACK_PEERS_ROUTEGROUPS_H

#include <string>
#include <vector>

#include "Balsamrack/Published/PublishedState.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Routes that differ only in their addresses. Most routes of a configuration
/// share all other fields, so a route in a group takes six bytes on the wire.
struct RouteGroup {
  PublishedRoute Common; ///< Common fields; the address is unused.
  std::string Addresses; ///< Four bytes of IP address and two of port per
                         ///< route, in network byte order.
};

/// Groups \p routes, ordered by the first route of each group. Precondition:
/// all addresses are IPv4. Thread-safe.
std::vector<RouteGroup> groupRoutes(const std::vector<PublishedRoute> &routes);

/// Returns the routes of \p groups. Error kInvalidArgument (step
/// decode-peer-message) if a list of addresses is truncated. Thread-safe.
absl::StatusOr<std::vector<PublishedRoute>>
ungroupRoutes(const std::vector<RouteGroup> &groups);

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_ROUTEGROUPS_H

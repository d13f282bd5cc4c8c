#ifndef BALSAMRACK_PACKETS_FLEETPOSITION_H
#define BALSAMRACK_PACKETS_FLEETPOSITION_H

#include <cstddef>
#include <vector>

#include "Balsamrack/Decisions/FleetDomain.h"

namespace balsamrack {

/// Place of a daemon among the live daemons, ordered by failure domain and id.
struct FleetPosition {
  size_t Daemons = 1;       ///< Daemons in the fleet.
  size_t Index = 0;         ///< Index of this one; below Daemons.
  size_t DomainDaemons = 1; ///< Daemons in the failure domain of this one.
  size_t DomainIndex = 0;   ///< Index among those; below DomainDaemons.
  /// All failure domains in order; empty if unknown.
  std::vector<FleetDomain> Domains{};
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_FLEETPOSITION_H

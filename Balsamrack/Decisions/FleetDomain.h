#ifndef BALSAMRACK_DECISIONS_FLEETDOMAIN_H
#define BALSAMRACK_DECISIONS_FLEETDOMAIN_H

#include <cstddef>

#include "Balsamrack/Core/Ids.h"

namespace balsamrack {

/// A failure domain and its live daemons.
struct FleetDomain {
  DomainId Id;        ///< The failure domain.
  size_t Daemons = 0; ///< Number of its live daemons.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_FLEETDOMAIN_H

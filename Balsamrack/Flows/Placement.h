#ifndef BALSAMRACK_FLOWS_PLACEMENT_H
#define BALSAMRACK_FLOWS_PLACEMENT_H

#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Flows/RoutingView.h"
#include "Balsamrack/World/Decision.h"

namespace balsamrack {

/// Selects the server for a new flow: the first one in the flow's rank order
/// that accepts new flows and is not in \p tried; null if there is none.
///
/// This handles first candidates that are full, cold, draining or unreachable.
/// Refusals by owners bound the load of a server (consistent hashing with
/// bounded loads: Mirrokni, Thorup, Zadimoghaddam 2018): new flows of a full
/// server go to the next candidate in each flow's own order, so they spread
/// over all other servers instead of overloading a single neighbour. Pure,
/// thread-safe.
const RoutedServer *chooseForNewFlow(const ServiceRoute &route, FlowId flow,
                                     const std::vector<ServerId> &tried);

/// Explains where a new packet of \p flow would go under \p view: one decision
/// per candidate, best first, then the choice. Pure, thread-safe.
std::vector<Decision> explainPlacement(const RoutingView &view,
                                       const ServiceId &service, FlowId flow,
                                       TimePoint now);

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_PLACEMENT_H

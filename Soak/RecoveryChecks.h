#ifndef BALSAMRACK_SOAK_RECOVERYCHECKS_H
#define BALSAMRACK_SOAK_RECOVERYCHECKS_H

#include <string>
#include <vector>

#include "Soak/SoakFleet.h"

namespace balsamrack::soak {

/// Checks, after the end of all faults and while callers continue, that the
/// fleet has recovered and applies changes by operators in time: each daemon
/// refuses a dropped route, and a draining server and a domain that was taken
/// out of service get no new flows. Returns the violated guarantees. Takes
/// about 15 s.
std::vector<std::string> checkRecovery(SoakFleet &fleet);

/// Checks that every line of the daemons' logs is a JSON object with its part
/// and event. Returns violations.
std::vector<std::string> checkLogs(const SoakFleet &fleet);

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_RECOVERYCHECKS_H

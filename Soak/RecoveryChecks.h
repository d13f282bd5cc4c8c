#ifndef BALSAMRACK_SOAK_RECOVERYCHECKS_H
#define BALSAMRACK_SOAK_RECOVERYCHECKS_H

#include <string>
#include <vector>

#include "Soak/SoakFleet.h"

namespace balsamrack::soak {

/// Checks, once the faults are over and while callers go on, that the fleet is
/// as good as new, and that operators are obeyed in time: a dropped route is
/// refused by each daemon, a draining server and a domain that was taken out
/// get no new flows. Returns the broken promises. Takes some 15 s.
std::vector<std::string> checkRecovery(SoakFleet &fleet);

/// Checks that every line of the daemons' logs is a JSON object that names its
/// part and event. Returns what is not.
std::vector<std::string> checkLogs(const SoakFleet &fleet);

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_RECOVERYCHECKS_H

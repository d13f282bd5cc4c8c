#ifndef BALSAMRACK_CONFIGURATION_TICKETCHECK_H
#define BALSAMRACK_CONFIGURATION_TICKETCHECK_H

#include <string>
#include <vector>

#include "Balsamrack/Configuration/ConfigurationView.h"
#include "Balsamrack/Configuration/ObjectState.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Content rules beyond those of single fields: no object twice, no port twice
/// among the ticket's services, a ticket number above zero. Daemons and the
/// operators' client run this same function. Guards against daemons that
/// disagree on a ticket: the verdict depends on the ticket alone, never on
/// what a daemon holds, so it is the same whatever order tickets came in.
/// Error kInvalidArgument (step check-ticket). Thread-safe.
absl::Status checkTicket(const Ticket &ticket);

/// What an operator should know of a configuration although it is accepted:
/// a server whose service or domain does not exist, a port that two services
/// claim. Such objects are simply not routed to. Thread-safe.
std::vector<std::string> configurationWarnings(const ConfigurationView &view);

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_TICKETCHECK_H

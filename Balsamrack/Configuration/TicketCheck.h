#ifndef BALSAMRACK_CONFIGURATION_TICKETCHECK_H
#define BALSAMRACK_CONFIGURATION_TICKETCHECK_H

#include <string>
#include <vector>

#include "Balsamrack/Configuration/ConfigurationView.h"
#include "Balsamrack/Configuration/ObjectState.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Checks the rules beyond single fields: the ticket number is above zero, and
/// no object and no port of the ticket's services occurs twice. Daemons and the
/// operators' client use this same function. The result depends on the ticket
/// alone, never on the state of a daemon, so all daemons agree on a ticket in
/// whatever order tickets arrive. Error kInvalidArgument (step check-ticket).
/// Thread-safe.
absl::Status checkTicket(const Ticket &ticket);

/// Returns warnings for an accepted configuration: servers whose service or
/// domain does not exist, and ports claimed by two services. Nothing is routed
/// to such servers and ports. Thread-safe.
std::vector<std::string> configurationWarnings(const ConfigurationView &view);

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_TICKETCHECK_H

#ifndef BALSAMRACK_CLIENT_TICKETCOMMANDS_H
#define BALSAMRACK_CLIENT_TICKETCOMMANDS_H

#include <string>
#include <vector>

#include "Balsamrack/Client/Report.h"

namespace balsamrack {

/// Checks the ticket in \p text with the same function as the daemons, and
/// reports the changes against the configurations in \p replies (none: only the
/// check). Exit code No for a ticket that would be rejected. Thread-safe.
Report checkTicketText(const std::string &text,
                       const std::vector<DaemonReply> &replies,
                       OutputFormat format);

} // namespace balsamrack

#endif // BALSAMRACK_CLIENT_TICKETCOMMANDS_H

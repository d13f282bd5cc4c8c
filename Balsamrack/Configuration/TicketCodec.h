#ifndef BALSAMRACK_CONFIGURATION_TICKETCODEC_H
#define BALSAMRACK_CONFIGURATION_TICKETCODEC_H

#include <cstddef>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Configuration/ObjectState.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Largest ticket text that is read, in bytes: the platform's limit on a value.
constexpr size_t MaxTicketBytes = 1'048'576;

/// Reads a ticket (form: docs/PROTOCOLS.md). The whole ticket is read or none
/// of it: a field that is unknown, missing, of a wrong type or out of its range
/// is an error. The error (step check-ticket) names the place as a JSON
/// pointer. The verdict depends on \p text alone. Thread-safe.
absl::StatusOr<Ticket> parseTicket(const std::string &text);

/// One object in the form of a ticket's objects, with its ticket number as
/// "ticket". Thread-safe.
nlohmann::json objectToJson(const ObjectState &object);

/// Name of a kind of objects, as it stands in a ticket. Thread-safe.
const char *objectKindName(ObjectKind kind);

/// Reads what objectToJson wrote, with the same checks as a ticket's objects.
/// Errors as parseTicket. Thread-safe.
absl::StatusOr<ObjectState> objectFromJson(const nlohmann::json &value);

/// The ticket in the form of docs/PROTOCOLS.md. Thread-safe.
std::string ticketToText(const Ticket &ticket);

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_TICKETCODEC_H

#ifndef BALSAMRACK_CONFIGURATION_TICKETCODEC_H
#define BALSAMRACK_CONFIGURATION_TICKETCODEC_H

#include <cstddef>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Configuration/ObjectState.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Maximum size of a ticket text, in bytes: the size limit of a value on the
/// platform.
constexpr size_t MaxTicketBytes = 1'048'576;

/// Parses a ticket (format: docs/PROTOCOLS.md). Rejects the whole ticket if any
/// field is unknown, missing, of the wrong type or out of range. The error
/// (step check-ticket) contains the JSON pointer of the field. The result
/// depends on \p text alone. Thread-safe.
absl::StatusOr<Ticket> parseTicket(const std::string &text);

/// Encodes one object in the format of a ticket's objects, with its ticket
/// number as "ticket". Thread-safe.
nlohmann::json objectToJson(const ObjectState &object);

/// Name of an object kind as used in tickets. Thread-safe.
const char *objectKindName(ObjectKind kind);

/// Decodes the output of objectToJson() with the same checks as for a ticket's
/// objects. Errors as for parseTicket(). Thread-safe.
absl::StatusOr<ObjectState> objectFromJson(const nlohmann::json &value);

/// Encodes a ticket in the format of docs/PROTOCOLS.md. Thread-safe.
std::string ticketToText(const Ticket &ticket);

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_TICKETCODEC_H

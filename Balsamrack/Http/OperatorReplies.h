#ifndef BALSAMRACK_HTTP_OPERATORREPLIES_H
#define BALSAMRACK_HTTP_OPERATORREPLIES_H

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Http/OperatorPort.h"

namespace balsamrack {

/// Reply with \p body and status 200; bytes that are not valid UTF-8 are
/// replaced. Thread-safe.
OperatorReply successReply(const nlohmann::json &body);

/// Error reply with \p message and status \p status. Thread-safe.
OperatorReply errorReply(uint32_t status, const std::string &message);

/// Returns the query parameter \p name, or an empty string. Thread-safe.
std::string parameterOf(const OperatorRequest &request, const char *name);

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_OPERATORREPLIES_H

#ifndef BALSAMRACK_STANDINS_HTTPCLIENT_H
#define BALSAMRACK_STANDINS_HTTPCLIENT_H

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack::standins {

/// Sends \p message to \p to on a new connection, so that the library never
/// resends it, and waits up to \p timeout for the complete answer. Error
/// kUnavailable: nothing was sent. Error kUnknown: it was sent, but no complete
/// answer arrived. Thread-safe.
absl::StatusOr<Answer> sendHttp(const Address &to, const Message &message,
                                Duration timeout);

/// Sends GET \p target to \p from. Returns the body of a 200 answer, else an
/// error. Thread-safe.
absl::StatusOr<std::string>
getHttp(const Address &from, const std::string &target, Duration timeout);

/// Sends POST \p target with \p body to \p to. Returns the body of a 200
/// answer, else an error. Thread-safe.
absl::StatusOr<std::string> postHttp(const Address &to,
                                     const std::string &target,
                                     const std::string &body, Duration timeout);

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_HTTPCLIENT_H

#ifndef BALSAMRACK_STANDINS_HTTPCLIENT_H
#define BALSAMRACK_STANDINS_HTTPCLIENT_H

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack::standins {

/// Sends \p message to \p to on a connection of its own, so that nothing is
/// ever sent twice behind our back, and waits up to \p limit for the whole
/// answer. Error kUnavailable: no connection, so nothing was sent. Error
/// kUnknown: it was sent, and no whole answer came. Thread-safe.
absl::StatusOr<Answer> sendHttp(const Address &to, const Message &message,
                                Duration timeout);

/// Reads \p target at \p from: the body of a 200 answer, else an error.
/// Thread-safe.
absl::StatusOr<std::string>
getHttp(const Address &from, const std::string &target, Duration timeout);

/// Posts \p body to \p target at \p to: the body of a 200 answer, else an
/// error. Thread-safe.
absl::StatusOr<std::string> postHttp(const Address &to,
                                     const std::string &target,
                                     const std::string &body, Duration timeout);

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_HTTPCLIENT_H

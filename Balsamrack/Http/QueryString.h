#ifndef BALSAMRACK_HTTP_QUERYSTRING_H
#define BALSAMRACK_HTTP_QUERYSTRING_H

#include <map>
#include <string>

#include "absl/status/statusor.h"

namespace balsamrack {

/// An HTTP request target, taken apart.
struct RequestTarget {
  std::string Path;                         ///< Decoded.
  std::map<std::string, std::string> Query; ///< Decoded; of a repeated
                                            ///< parameter the first value.
};

/// Takes \p target apart and decodes its percent escapes. Error
/// kInvalidArgument when an escape is incomplete or stands for a zero byte.
/// Thread-safe.
absl::StatusOr<RequestTarget> parseTarget(const std::string &target);

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_QUERYSTRING_H

#ifndef BALSAMRACK_HTTP_QUERYSTRING_H
#define BALSAMRACK_HTTP_QUERYSTRING_H

#include <map>
#include <string>

#include "absl/status/statusor.h"

namespace balsamrack {

/// Components of an HTTP request target.
struct RequestTarget {
  std::string Path; ///< Percent-decoded.
  std::map<std::string, std::string>
      Query; ///< Percent-decoded; the first value of a repeated parameter.
};

/// Splits \p target and decodes its percent escapes. Error kInvalidArgument
/// when an escape is incomplete or encodes a zero byte. Thread-safe.
absl::StatusOr<RequestTarget> parseTarget(const std::string &target);

} // namespace balsamrack

#endif // BALSAMRACK_HTTP_QUERYSTRING_H

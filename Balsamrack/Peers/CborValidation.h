#ifndef BALSAMRACK_PEERS_CBORVALIDATION_H
#define BALSAMRACK_PEERS_CBORVALIDATION_H

#include <cstddef>
#include <string>

#include "absl/status/status.h"

namespace balsamrack {

/// Limits of a CBOR item received from a peer.
struct CborLimits {
  size_t MaxBytes = size_t(6) << 20; ///< Maximum encoded size, in bytes.
  size_t MaxDepth = 12; ///< Maximum nesting of arrays and maps; a published
                        ///< route's targets are at depth eleven.
  size_t MaxItems =
      size_t(1) << 18; ///< Maximum number of values of any kind on all levels.
};

/// Checks that \p bytes are exactly one well-formed CBOR item within \p limits
/// that has only definite lengths and none of the types that peer messages
/// never use (tags, floats, undefined). Memory use is constant for any input.
/// Error kInvalidArgument, without step. Thread-safe.
absl::Status validateCbor(const std::string &bytes, const CborLimits &limits);

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_CBORVALIDATION_H

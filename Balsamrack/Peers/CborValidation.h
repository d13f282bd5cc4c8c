#ifndef BALSAMRACK_PEERS_CBORVALIDATION_H
#define BALSAMRACK_PEERS_CBORVALIDATION_H

#include <cstddef>
#include <string>

#include "absl/status/status.h"

namespace balsamrack {

/// Limits of a CBOR item that comes from a peer.
struct CborLimits {
  size_t MaxBytes = size_t(6) << 20; ///< Largest encoded size, in bytes.
  size_t MaxDepth = 12; ///< Arrays and maps inside each other: a published
                        ///< route's targets lie eleven deep.
  size_t MaxItems = size_t(1)
                    << 18; ///< Values of any kind, all levels together.
};

/// Checks that \p bytes hold exactly one well-formed CBOR item within \p
/// limits, with definite lengths only, and none of the kinds that peer messages
/// never use (tags, floats, undefined). Uses constant memory for any input.
/// Error kInvalidArgument, without step. Thread-safe.
absl::Status validateCbor(const std::string &bytes, const CborLimits &limits);

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_CBORVALIDATION_H

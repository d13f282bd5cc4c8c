#ifndef BALSAMRACK_CONFIGURATION_CONFIGURATIONMESSAGES_H
#define BALSAMRACK_CONFIGURATION_CONFIGURATIONMESSAGES_H

#include <cstdint>
#include <vector>

#include "Balsamrack/Configuration/ObjectState.h"

namespace balsamrack {

/// Digest of the configuration that a daemon holds, small enough to be part of
/// every probe.
struct StateDigest {
  TicketNumber Highest; ///< Highest ticket number held.
  uint64_t Hash = 0; ///< Order-independent hash over (object, ticket number) of
                     ///< all objects held.
};

/// Requests missing objects from a peer. Has one hash per bucket of objects, so
/// that only differing buckets are sent.
struct StateRequest {
  StateDigest Held;                   ///< Digest of the requester.
  std::vector<uint64_t> BucketHashes; ///< Order-independent hash of each
                                      ///< bucket; empty: send all objects.
};

/// Objects missing at the requester, or the objects of a new ticket. Merged by
/// ticket number, so repetition is harmless.
struct StateUpdate {
  StateDigest Held;                 ///< Digest of the sender.
  std::vector<ObjectState> Objects; ///< Objects of the differing buckets; may
                                    ///< be split into several messages.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_CONFIGURATIONMESSAGES_H

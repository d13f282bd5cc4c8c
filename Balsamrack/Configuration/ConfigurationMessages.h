#ifndef BALSAMRACK_CONFIGURATION_CONFIGURATIONMESSAGES_H
#define BALSAMRACK_CONFIGURATION_CONFIGURATIONMESSAGES_H

#include <cstdint>
#include <vector>

#include "Balsamrack/Configuration/ObjectState.h"

namespace balsamrack {

/// What a daemon holds, small enough to ride on every probe.
struct StateDigest {
  TicketNumber Highest; ///< Highest ticket number held.
  uint64_t Hash =
      0; ///< Order-free hash over (object, ticket number) of all objects held.
};

/// Asks a peer for what we lack: one hash a bucket of objects, so that only
/// differing buckets are sent.
struct StateRequest {
  StateDigest Held; ///< What the asker holds.
  std::vector<uint64_t>
      BucketHashes; ///< Order-free hash of each bucket; empty: send all.
};

/// Objects that the asker lacks, or updates of a fresh ticket; merged by
/// number, so repeats do no harm.
struct StateUpdate {
  StateDigest Held;                 ///< What the sender holds.
  std::vector<ObjectState> Objects; ///< Objects of the buckets that differ; may
                                    ///< come in several messages.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_CONFIGURATIONMESSAGES_H

#ifndef BALSAMRACK_CONFIGURATION_CONFIGURATIONSTORE_H
#define BALSAMRACK_CONFIGURATION_CONFIGURATIONSTORE_H

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "Balsamrack/Configuration/ConfigurationMessages.h"
#include "Balsamrack/Configuration/ConfigurationView.h"

namespace balsamrack {

/// What a ticket would do to one object that is held.
struct ObjectChange {
  /// Kinds of change.
  enum class Kind {
    Created,    ///< Not held, or held as deleted.
    Changed,    ///< Held with a lower ticket number.
    Deleted,    ///< Held, and the ticket deletes it.
    Superseded, ///< Held with this or a higher ticket number: no change.
  };
  ObjectKey Key;               ///< Which object.
  Kind Change = Kind::Created; ///< What would happen.
  TicketNumber HeldTicket;     ///< The ticket that gave the state held.
};

/// The configuration that a daemon holds: a map from object to (ticket number,
/// state), merged by the highest number for each object. Order, repetition and
/// gaps of delivery don't matter, and nothing ever reverts. Thread-safe: one
/// lock; readers share immutable snapshots.
class ConfigurationStore {
public:
  /// Number of buckets that two stores compare.
  static constexpr size_t BucketCount = 256;

  /// What a merge changed.
  struct MergeResult {
    std::vector<ObjectKey> Changed;                ///< Objects with new state.
    std::shared_ptr<const ConfigurationView> View; ///< Snapshot after it.
  };

  /// An empty store. Thread-safe.
  static std::unique_ptr<ConfigurationStore> create();

  /// Merges \p objects: of each object the highest ticket number wins, an equal
  /// or lower one is ignored. Guards against a platform that after a failover
  /// answers with older data: it shows as a lower number and changes nothing.
  /// Commutative, associative, idempotent. Thread-safe.
  MergeResult merge(const std::vector<ObjectState> &objects);

  /// The snapshot in force. Never null. Thread-safe.
  std::shared_ptr<const ConfigurationView> view() const;
  /// What rides on probes. Thread-safe.
  StateDigest digest() const;
  /// Asks a peer for what this store lacks. Thread-safe.
  StateRequest request() const;
  /// Objects of the buckets in which \p asked differs from this store, lowest
  /// ticket first, in messages of about \p maxBytes each (at least one object a
  /// message). Lowest first, so that an asker that gets only some of them does
  /// not claim the highest number too early. Thread-safe.
  std::vector<StateUpdate> updatesFor(const StateRequest &request,
                                      size_t maxBytes) const;
  /// All objects held, deleted ones included, ordered by key. Thread-safe.
  std::vector<ObjectState> objects() const;
  /// True when a ticket with this or a higher number is held. Thread-safe.
  bool isInForce(TicketNumber number) const;
  /// What \p ticket would change here. Thread-safe.
  std::vector<ObjectChange> previewChanges(const Ticket &ticket) const;

private:
  ConfigurationStore();
  bool mergeObject(const ObjectState &object);
  StateDigest digestLocked() const;

  mutable std::mutex Lock;                     ///< Guards all below.
  std::map<ObjectKey, ObjectState> Objects;    ///< Deleted ones included.
  TicketNumber Highest;                        ///< Highest ticket number held.
  std::array<uint64_t, BucketCount> Buckets{}; ///< Sum of hashes a bucket.
  std::shared_ptr<const ConfigurationView> View; ///< Snapshot in force.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_CONFIGURATIONSTORE_H

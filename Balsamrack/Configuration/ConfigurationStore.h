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

/// Change that a ticket would make to one object.
struct ObjectChange {
  /// Kinds of change.
  enum class Kind {
    Created,    ///< Not held, or held as deleted.
    Changed,    ///< Held with a lower ticket number.
    Deleted,    ///< Held, and the ticket deletes it.
    Superseded, ///< Held with this or a higher ticket number: no change.
  };
  ObjectKey Key;               ///< The object.
  Kind Change = Kind::Created; ///< Kind of the change.
  TicketNumber HeldTicket;     ///< The ticket of the state currently held.
};

/// The configuration that a daemon holds: a map from object to (ticket number,
/// state), merged by the highest number for each object. Order, repetition and
/// gaps of delivery have no effect, and nothing ever reverts. Thread-safe: one
/// lock; readers share immutable snapshots.
class ConfigurationStore {
public:
  /// Number of buckets whose hashes two stores compare.
  static constexpr size_t BucketCount = 256;

  /// Result of a merge.
  struct MergeResult {
    std::vector<ObjectKey> Changed; ///< Objects with new state.
    std::shared_ptr<const ConfigurationView>
        View; ///< Snapshot after the merge.
  };

  /// Creates an empty store. Thread-safe.
  static std::unique_ptr<ConfigurationStore> create();

  /// Merges \p objects: the highest ticket number of each object wins, an equal
  /// or lower one is ignored. Guards against a platform that returns older data
  /// after a failover: it has a lower number and changes nothing. Commutative,
  /// associative, idempotent. Thread-safe.
  MergeResult merge(const std::vector<ObjectState> &objects);

  /// Returns the snapshot in force. Never null. Thread-safe.
  std::shared_ptr<const ConfigurationView> view() const;
  /// Returns the digest sent with probes. Thread-safe.
  StateDigest digest() const;
  /// Returns a request for the objects that this store lacks. Thread-safe.
  StateRequest request() const;
  /// Returns the objects of the buckets in which \p request differs from this
  /// store, lowest ticket first, in messages of about \p maxBytes each (at
  /// least one object per message). The lowest tickets come first so that a
  /// requester that receives only some messages does not claim the highest
  /// number too early. Thread-safe.
  std::vector<StateUpdate> updatesFor(const StateRequest &request,
                                      size_t maxBytes) const;
  /// Returns all objects, deleted ones included, ordered by key. Thread-safe.
  std::vector<ObjectState> objects() const;
  /// True if a ticket with this or a higher number is held. Thread-safe.
  bool isInForce(TicketNumber number) const;
  /// Returns the changes that \p ticket would make to this store. Thread-safe.
  std::vector<ObjectChange> previewChanges(const Ticket &ticket) const;

private:
  ConfigurationStore();
  bool mergeObject(const ObjectState &object);
  StateDigest digestLocked() const;

  mutable std::mutex Lock;                  ///< Guards the following members.
  std::map<ObjectKey, ObjectState> Objects; ///< Deleted ones included.
  TicketNumber Highest;                     ///< Highest ticket number held.
  std::array<uint64_t, BucketCount>
      Buckets{}; ///< Sum of object hashes per bucket.
  std::shared_ptr<const ConfigurationView> View; ///< Snapshot in force.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_CONFIGURATIONSTORE_H

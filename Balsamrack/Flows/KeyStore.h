#ifndef BALSAMRACK_FLOWS_KEYSTORE_H
#define BALSAMRACK_FLOWS_KEYSTORE_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Flows/RoutingView.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Replicas of a key: the first \p count of \p members by rendezvous hashing of
/// the key. Pure, thread-safe.
std::vector<EntryVm> keyReplicas(const KeyDigest &key,
                                 const std::vector<EntryVm> &members,
                                 size_t count);

/// Limits of a KeyStore. KeyReplicaCount and KeyMemory must equal those of the
/// entries.
struct KeyStoreSettings {
  uint32_t KeyReplicaCount = 2;     ///< Daemons that store each key.
  Duration KeyMemory{600'000'000};  ///< How long a key is stored.
  bool AssumeNoEarlierKeys = false; ///< True on a first installation, where no
                                    ///< key ran before this daemon started.
  size_t MaxKeys = 1'000'000;       ///< Hard limit; about 100 bytes per key.
  Duration FreedMemory{30'000'000}; ///< How long an attempt that did not run is
                                    ///< remembered; longer than a hand-over
                                    ///< takes to arrive.
  uint32_t Shards = 16;             ///< One lock per shard.
};

/// Stores idempotency keys as one of their replicas, so that a repeated request
/// on another flow, at another daemon or after the owner's death is not run
/// again. Thread-safe.
///
/// When the store is full, expired keys are removed first. If that is not
/// enough, a new key is answered Unable instead of evicting a stored one: an
/// eviction could let a request run twice, for example a deposit, while a
/// refusal only costs a later retry.
class KeyStore {
public:
  /// \p started is when this daemon began to store keys. Error kInvalidArgument
  /// for settings out of range.
  static absl::StatusOr<std::unique_ptr<KeyStore>>
  create(const KeyStoreSettings &settings, TimePoint started);
  ~KeyStore();

  /// Evaluates a claim, and stores it before returning. A claim of an attempt
  /// that is known not to have run is answered Unable. \p view is this daemon's
  /// current view, and \p self its id.
  KeyReply claim(TimePoint now, const KeyClaim &claim,
                 const KeyReplicaView &view, const VmId &self);
  /// Records the ending of an attempt. An attempt that did not run holds the
  /// key no longer, also if a hand-over that still lists it arrives later.
  void settle(TimePoint now, const KeySettled &settled);
  /// One message of a hand-over.
  struct HandOverMessage {
    EntryVm To;           ///< Receiver.
    KeysHandedOver Batch; ///< Keys that the receiver must store.
  };
  /// Exports the keys of a leaving replica: to each daemon the keys of which it
  /// is a replica once \p self has left, in messages of at most \p maxKeys. The
  /// last message to each daemon states the total. Precondition: \p view does
  /// not list \p self, whose incarnation is \p run. From now on every claim of
  /// a new key is answered Unable.
  std::vector<HandOverMessage> exportKeys(TimePoint now,
                                          const KeyReplicaView &view,
                                          const VmId &self, Incarnation run,
                                          size_t maxKeys);
  /// What importKeys() did with one message.
  struct ImportResult {
    uint32_t Stored = 0;   ///< Attempts that are stored now, or known to be
                           ///< over.
    uint32_t Outdated = 0; ///< Attempts whose ending was received before.
    bool Covers = false;   ///< The hand-over is complete, and its sender had
                           ///< the full history.
  };
  /// Imports keys that a leaving replica handed over.
  ImportResult importKeys(TimePoint now, const KeysHandedOver &keys);
  /// True if this daemon has handed its keys over. Thread-safe.
  bool hasHandedOver() const { return HandedOver; }
  /// Removes keys older than the key memory. Call it every few seconds.
  void expire(TimePoint now);
  /// Number of keys stored.
  size_t size() const;

private:
  class Shard;
  /// A replica that left after a complete hand-over.
  struct HandOverSender {
    TimePoint At;                ///< When its hand-over completed.
    std::set<VmId> KnownDaemons; ///< As in KeysHandedOver.
  };
  KeyStore(const KeyStoreSettings &settings, TimePoint started);
  Shard &shardOf(const KeyDigest &key) const;
  bool hasFullHistory(TimePoint now, const KeyDigest &key,
                      const KeyReplicaView &view, const VmId &self) const;
  bool isUpForKeyMemory(TimePoint now) const;
  bool isCoveredByHandOver(TimePoint now, const KeyDigest &key) const;
  void importAttempt(TimePoint now, const KeysHandedOver::Entry &entry,
                     ImportResult &result);

  const KeyStoreSettings Settings;
  const TimePoint Started;
  std::vector<std::unique_ptr<Shard>> Shards;
  std::atomic<bool> HandedOver{false}; ///< Keys were exported; no new key is
                                       ///< granted.
  mutable std::mutex HandOverLock; ///< Guards the members below. No other lock
                                   ///< is taken while it is held.
  std::map<std::pair<VmId, Incarnation>, uint32_t>
      Received; ///< Number of keys received in hand-overs that are incomplete.
  std::map<VmId, HandOverSender> CompleteSenders; ///< Senders of complete
                                                  ///< hand-overs.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_KEYSTORE_H

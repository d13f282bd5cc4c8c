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

/// The guardians of a key among \p members: the first \p count by rendezvous of
/// the key. Pure, thread-safe.
std::vector<EntryVm> keyReplicas(const KeyDigest &key,
                                 const std::vector<EntryVm> &members,
                                 size_t count);

/// Limits of a KeyStore. KeyReplicaCount and KeyMemory must be those of the
/// entries.
struct KeyStoreSettings {
  uint32_t KeyReplicaCount = 2;     ///< Guardians of a key.
  Duration KeyMemory{600'000'000};  ///< How long a key is remembered.
  bool AssumeNoEarlierKeys = false; ///< First installation: no key ran before
                                    ///< this daemon started.
  size_t MaxKeys = 1'000'000;       ///< Hard bound, about 100 bytes each.
  uint32_t Shards = 16;             ///< Each under its own lock.
};

/// Remembers idempotency keys, so that a repeat on another flow, at another
/// daemon or after the owner's death is not run again. Thread-safe.
///
/// When it is full, expired keys go first; then a new key is answered Unable
/// rather than a remembered one forgotten: forgetting could run a deposit
/// twice, refusing costs a retry later.
class KeyStore {
public:
  /// \p started is when this daemon began to guard keys. Error kInvalidArgument
  /// for settings out of range.
  static absl::StatusOr<std::unique_ptr<KeyStore>>
  create(const KeyStoreSettings &settings, TimePoint started);
  ~KeyStore();

  /// Judges a claim, and notes it before it returns. \p view is this daemon's
  /// own; \p self names it.
  KeyReply claim(TimePoint now, const KeyClaim &claim,
                 const KeyReplicaView &view, const VmId &self);
  /// Notes how the attempt that holds a key ended.
  void settle(TimePoint now, const KeySettled &settled);
  /// One message of a hand-over.
  struct HandOverMessage {
    EntryVm To;           ///< The next guardian.
    KeysHandedOver Batch; ///< What it is to remember.
  };
  /// What a leaving guardian passes on: to each daemon the keys that it guards
  /// without us, in messages of at most \p maxKeys, and a last one that says
  /// that nothing is missing. \p view must not list \p self, whose run is
  /// \p run. From now on every claim of a new key is answered Unable.
  std::vector<HandOverMessage> exportKeys(TimePoint now,
                                          const KeyReplicaView &view,
                                          const VmId &self, Incarnation run,
                                          size_t maxKeys);
  /// Takes in what a leaving guardian passed on.
  void importKeys(TimePoint now, const KeysHandedOver &keys);
  /// Forgets keys older than the key memory; call every few seconds.
  void expire(TimePoint now);
  /// Keys remembered.
  size_t size() const;

private:
  class Shard;
  /// A guardian that left and passed all on that it knew.
  struct HandOverSender {
    TimePoint At;                ///< When it left.
    std::set<VmId> KnownDaemons; ///< As in KeysHandedOver.
  };
  KeyStore(const KeyStoreSettings &settings, TimePoint started);
  Shard &shardOf(const KeyDigest &key) const;
  bool hasFullHistory(TimePoint now, const KeyDigest &key,
                      const KeyReplicaView &view, const VmId &self) const;
  bool isUpForKeyMemory(TimePoint now) const;
  bool isCoveredByHandOver(TimePoint now, const KeyDigest &key) const;
  bool importKey(TimePoint now, const KeysHandedOver::Entry &entry);

  const KeyStoreSettings Settings;
  const TimePoint Started;
  std::vector<std::unique_ptr<Shard>> Shards;
  std::atomic<bool> HandedOver{
      false};                      ///< Handed over: grants nothing any more.
  mutable std::mutex HandOverLock; ///< Guards what follows; taken after none.
  std::map<std::pair<VmId, Incarnation>, uint32_t>
      Received; ///< Keys of hand-overs that are not complete yet.
  std::map<VmId, HandOverSender> CompleteSenders; ///< Who passed all on to us.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_KEYSTORE_H

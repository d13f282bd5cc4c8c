#include "Balsamrack/Flows/KeyStore.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

uint64_t rankHash(const KeyDigest &key, const VmId &vm) {
  return combineHash(combineHash(key.High, key.Low), vm.hash());
}

/// True if \p a ranks before \p b for the key.
bool ranksBefore(const KeyDigest &key, const VmId &a, const VmId &b) {
  uint64_t ca = rankHash(key, a);
  uint64_t cb = rankHash(key, b);
  return ca != cb ? ca < cb : a < b;
}

/// All daemons that were members within the key memory, present and departed.
std::set<VmId> knownDaemons(const KeyReplicaView &view) {
  std::set<VmId> all(view.RecentlyDeparted.begin(),
                     view.RecentlyDeparted.end());
  for (const EntryVm &it : view.Members)
    all.insert(it.Id);
  return all;
}

/// Number of \p vms that rank before \p vm for the key.
size_t rankAmong(const KeyDigest &key, const VmId &vm,
                 const std::set<VmId> &vms) {
  return static_cast<size_t>(
      std::count_if(vms.begin(), vms.end(), [&](const VmId &it) {
        return it != vm && ranksBefore(key, it, vm);
      }));
}

KeyVerdict verdictOf(OutcomeKind how) {
  return how == OutcomeKind::Answered ? KeyVerdict::Answered
                                      : KeyVerdict::Unknown;
}

} // namespace

std::vector<EntryVm> keyReplicas(const KeyDigest &key,
                                 const std::vector<EntryVm> &members,
                                 size_t count) {
  std::vector<EntryVm> vms = members;
  std::sort(vms.begin(), vms.end(), [&](const EntryVm &a, const EntryVm &b) {
    return ranksBefore(key, a.Id, b.Id);
  });
  vms.resize(std::min(count, vms.size()));
  return vms;
}

/// One shard of the stored keys.
class KeyStore::Shard {
public:
  /// Record of a key.
  struct Record {
    RequestId Request;  ///< Attempt that holds the key.
    KeyVerdict Verdict; ///< InProgress, Answered or Unknown.
    TimePoint At;       ///< Time of the claim or, once it is settled, of its
                        ///< ending.
  };

  std::mutex Lock; ///< Guards the members below.
  std::map<KeyDigest, Record> Records;
  std::deque<std::pair<TimePoint, KeyDigest>> ByAge; ///< Oldest first.

  void put(const KeyDigest &key, const Record &record) {
    Records[key] = record;
    ByAge.emplace_back(record.At, key);
  }

  void expire(TimePoint now, Duration memory) {
    while (!ByAge.empty() && ByAge.front().first + memory <= now) {
      auto [at, key] = ByAge.front();
      ByAge.pop_front();
      // A record that was updated since has a later entry in ByAge.
      auto it = Records.find(key);
      if (it != Records.end() && it->second.At + memory <= now)
        Records.erase(it);
    }
  }
};

KeyStore::KeyStore(const KeyStoreSettings &settings, TimePoint started)
    : Settings(settings), Started(started) {
  for (uint32_t i = 0; i < settings.Shards; ++i)
    Shards.push_back(std::make_unique<Shard>());
}
KeyStore::~KeyStore() = default;

absl::StatusOr<std::unique_ptr<KeyStore>>
KeyStore::create(const KeyStoreSettings &settings, TimePoint started) {
  if (settings.KeyReplicaCount == 0 || settings.Shards == 0 ||
      settings.MaxKeys < settings.Shards ||
      settings.KeyMemory < Duration(1'000'000))
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "",
                     "key store: settings out of range");
  return std::unique_ptr<KeyStore>(new KeyStore(settings, started));
}

KeyStore::Shard &KeyStore::shardOf(const KeyDigest &key) const {
  return *Shards[key.Low % Shards.size()];
}

bool KeyStore::isUpForKeyMemory(TimePoint now) const {
  return Settings.AssumeNoEarlierKeys || now - Started >= Settings.KeyMemory;
}

bool KeyStore::hasFullHistory(TimePoint now, const KeyDigest &key,
                              const KeyReplicaView &view,
                              const VmId &self) const {
  // Each view within the last key memory consisted of present members and of
  // members that departed within it. Removing others can only improve a rank,
  // so a daemon that is a replica among all of them was a replica in each of
  // those views: each claim of the key was sent to it and waited for its reply.
  // Without this check, the repeat of a key whose replicas died would be
  // granted by their successors, which have no record of the first attempt.
  if (rankAmong(key, self, knownDaemons(view)) >= Settings.KeyReplicaCount)
    return false;
  return isUpForKeyMemory(now) || isCoveredByHandOver(now, key);
}

bool KeyStore::isCoveredByHandOver(TimePoint now, const KeyDigest &key) const {
  // A replica that left sent this daemon every key that it stored and of which
  // this daemon is a replica. For keys of which the sender had the full
  // history, this daemon therefore knows all claims until the sender left.
  // Since then each claim was sent to this daemon, because it is a replica
  // among all daemons that may have been members, which the caller checked. The
  // sender counts as one of those daemons: it may have returned, accepted
  // claims and died. (Leaving it out let a key run twice.) Without this rule, a
  // rolling restart of the fleet would refuse every key until the key memory
  // has passed.
  std::lock_guard<std::mutex> lock(HandOverLock);
  return std::any_of(CompleteSenders.begin(), CompleteSenders.end(),
                     [&](const auto &it) {
                       const auto &[vm, sender] = it;
                       return sender.At + Settings.KeyMemory > now &&
                              rankAmong(key, vm, sender.KnownDaemons) <
                                  Settings.KeyReplicaCount;
                     });
}

KeyReply KeyStore::claim(TimePoint now, const KeyClaim &claim,
                         const KeyReplicaView &view, const VmId &self) {
  KeyReply reply{claim.Key, claim.Request, KeyVerdict::Unable, false};
  Shard &shard = shardOf(claim.Key);
  std::lock_guard<std::mutex> lock(shard.Lock);
  shard.expire(now, Settings.KeyMemory);
  auto it = shard.Records.find(claim.Key);
  if (it != shard.Records.end() && it->second.Request != claim.Request) {
    reply.Verdict = it->second.Verdict;
    return reply;
  }
  // Read under the shard's lock, so that a claim is either part of the
  // hand-over or not granted.
  if (HandedOver) {
    reply.Leaving = true;
    return reply;
  }
  if (it == shard.Records.end()) {
    // If full, refuse the claim instead of evicting a key that may have run.
    if (shard.Records.size() >= Settings.MaxKeys / Settings.Shards)
      return reply;
    // Store the claim before the reply is sent, so that at most one of two
    // attempts is granted even if replies are lost.
    shard.put(claim.Key, {claim.Request, KeyVerdict::InProgress, now});
  }
  reply.Verdict = hasFullHistory(now, claim.Key, view, self)
                      ? KeyVerdict::Granted
                      : KeyVerdict::Fresh;
  return reply;
}

KeyStore::SettleResult KeyStore::settle(TimePoint now,
                                        const KeySettled &settled) {
  bool ran = settled.How == OutcomeKind::Answered ||
             settled.How == OutcomeKind::OutcomeUnknown;
  Shard &shard = shardOf(settled.Key);
  std::lock_guard<std::mutex> lock(shard.Lock);
  shard.expire(now, Settings.KeyMemory);
  auto it = shard.Records.find(settled.Key);
  if (it == shard.Records.end()) {
    // Only another replica has stored the claim. Storing the ending here as
    // well does no harm.
    if (!ran || shard.Records.size() >= Settings.MaxKeys / Settings.Shards)
      return SettleResult::NoClaim;
    shard.put(settled.Key, {settled.Request, verdictOf(settled.How), now});
    return SettleResult::Recorded;
  }
  // Another attempt holds the key, so this attempt must not settle it.
  if (it->second.Request != settled.Request)
    return SettleResult::OtherAttempt;
  if (!ran) {
    shard.Records.erase(it);
    return SettleResult::Freed;
  }
  shard.put(settled.Key, {settled.Request, verdictOf(settled.How), now});
  return SettleResult::Recorded;
}

std::vector<KeyStore::HandOverMessage>
KeyStore::exportKeys(TimePoint now, const KeyReplicaView &view,
                     const VmId &self, Incarnation run, size_t maxKeys) {
  HandedOver = true;
  std::map<VmId, std::vector<HandOverMessage>> messages;
  for (const EntryVm &it : view.Members)
    messages[it.Id].push_back({it, {}});

  // Send each key to all its replicas without this daemon, including those that
  // were replicas before, since one of them may have joined after the key was
  // claimed.
  for (const auto &shard : Shards) {
    std::lock_guard<std::mutex> lock(shard->Lock);
    for (const auto &[key, record] : shard->Records)
      for (const EntryVm &to :
           keyReplicas(key, view.Members, Settings.KeyReplicaCount)) {
        std::vector<HandOverMessage> &out = messages[to.Id];
        if (out.back().Batch.Keys.size() >= maxKeys)
          out.push_back({to, {}});
        out.back().Batch.Keys.push_back(
            {key, record.Request, record.Verdict, now - record.At});
      }
  }

  // The last message to each receiver states the total number of keys.
  std::set<VmId> among = knownDaemons(view);
  among.insert(self);
  std::vector<HandOverMessage> all;
  for (auto &[to, out] : messages) {
    uint32_t total = 0;
    for (HandOverMessage &it : out) {
      it.Batch.From = self;
      it.Batch.Run = run;
      total += static_cast<uint32_t>(it.Batch.Keys.size());
    }
    KeysHandedOver &last = out.back().Batch;
    last.Complete = true;
    last.Total = total;
    last.SenderHasFullHistory = isUpForKeyMemory(now);
    last.KnownDaemons.assign(among.begin(), among.end());
    std::move(out.begin(), out.end(), std::back_inserter(all));
  }
  return all;
}

bool KeyStore::importKey(TimePoint now, const KeysHandedOver::Entry &entry,
                         ImportResult &result) {
  if (entry.Age >= Settings.KeyMemory)
    return true;
  Shard &shard = shardOf(entry.Key);
  std::lock_guard<std::mutex> lock(shard.Lock);
  const auto known = shard.Records.find(entry.Key);
  if (known == shard.Records.end()) {
    if (shard.Records.size() >= Settings.MaxKeys / Settings.Shards)
      return false;
    shard.put(entry.Key, {entry.Request, entry.Verdict, now - entry.Age});
    return true;
  }
  // Another attempt claimed the key here meanwhile. Neither attempt may free
  // the key for the other, so it stays until it expires.
  if (known->second.Request != entry.Request) {
    ++result.Conflicts;
    shard.put(entry.Key, {RequestId(), KeyVerdict::Unknown, now});
  }
  return true;
}

KeyStore::ImportResult KeyStore::importKeys(TimePoint now,
                                            const KeysHandedOver &keys) {
  ImportResult result;
  for (const KeysHandedOver::Entry &it : keys.Keys)
    result.Stored += importKey(now, it, result) ? 1 : 0;
  std::lock_guard<std::mutex> lock(HandOverLock);
  // Count per incarnation: messages left from an earlier hand-over must not
  // make up for messages that this one lost.
  const std::pair<VmId, Incarnation> from(keys.From, keys.Run);
  Received[from] += result.Stored;
  if (!keys.Complete)
    return result;
  // If a message was lost with its connection, or a key did not fit into the
  // store, the counts differ and the hand-over is not treated as complete.
  result.Covers = Received[from] == keys.Total && keys.SenderHasFullHistory;
  if (result.Covers)
    CompleteSenders[keys.From] = {
        now, {keys.KnownDaemons.begin(), keys.KnownDaemons.end()}};
  Received.erase(from);
  return result;
}

void KeyStore::expire(TimePoint now) {
  for (const auto &shard : Shards) {
    std::lock_guard<std::mutex> lock(shard->Lock);
    shard->expire(now, Settings.KeyMemory);
  }
}

size_t KeyStore::size() const {
  size_t n = 0;
  for (const auto &shard : Shards) {
    std::lock_guard<std::mutex> lock(shard->Lock);
    n += shard->Records.size();
  }
  return n;
}

} // namespace balsamrack

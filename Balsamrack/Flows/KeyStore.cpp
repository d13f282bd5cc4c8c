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
  /// An attempt that claimed a key.
  struct Attempt {
    RequestId Request;  ///< The attempt.
    KeyVerdict Verdict; ///< InProgress, Answered or Unknown.
  };
  /// Record of a key. It usually has one attempt; a hand-over may add another
  /// one that claimed the key at the leaving replica.
  struct Record {
    std::vector<Attempt> Attempts; ///< Not empty.
    TimePoint At;                  ///< Time of the last change.
  };

  std::mutex Lock; ///< Guards the members below.
  std::map<KeyDigest, Record> Records;
  std::deque<std::pair<TimePoint, KeyDigest>> ByAge; ///< Oldest first.
  std::set<RequestId> Freed; ///< Attempts that did not run, for FreedMemory.
  std::deque<std::pair<TimePoint, RequestId>> FreedByAge; ///< Oldest first.

  /// Sets the verdict of an attempt, adding it if necessary.
  void put(TimePoint at, const KeyDigest &key, const Attempt &attempt) {
    Record &record = Records[key];
    Attempt *known = find(record, attempt.Request);
    if (known)
      known->Verdict = attempt.Verdict;
    else
      record.Attempts.push_back(attempt);
    record.At = std::max(record.At, at);
    ByAge.emplace_back(record.At, key);
  }

  /// Removes an attempt that did not run.
  void free(TimePoint now, const KeyDigest &key, RequestId request,
            size_t maxFreed) {
    if (Freed.insert(request).second)
      FreedByAge.emplace_back(now, request);
    if (FreedByAge.size() > maxFreed)
      forgetOldestFreed();
    auto it = Records.find(key);
    if (it == Records.end())
      return;
    std::vector<Attempt> &attempts = it->second.Attempts;
    attempts.erase(std::remove_if(attempts.begin(), attempts.end(),
                                  [&](const Attempt &attempt) {
                                    return attempt.Request == request;
                                  }),
                   attempts.end());
    if (attempts.empty())
      Records.erase(it);
  }

  static Attempt *find(Record &record, RequestId request) {
    for (Attempt &it : record.Attempts)
      if (it.Request == request)
        return &it;
    return nullptr;
  }

  /// The verdict for attempts other than \p request; nothing if there is none.
  static std::optional<KeyVerdict> verdictOfOthers(const Record &record,
                                                   RequestId request) {
    std::optional<KeyVerdict> verdict;
    for (const Attempt &it : record.Attempts) {
      if (it.Request == request)
        continue;
      // One that was answered tells the caller most.
      if (!verdict || it.Verdict == KeyVerdict::Answered ||
          *verdict == KeyVerdict::InProgress)
        verdict = it.Verdict;
    }
    return verdict;
  }

  void expire(TimePoint now, const KeyStoreSettings &settings) {
    while (!ByAge.empty() && ByAge.front().first + settings.KeyMemory <= now) {
      auto [at, key] = ByAge.front();
      ByAge.pop_front();
      // A record that was updated since has a later entry in ByAge.
      auto it = Records.find(key);
      if (it != Records.end() && it->second.At + settings.KeyMemory <= now)
        Records.erase(it);
    }
    while (!FreedByAge.empty() &&
           FreedByAge.front().first + settings.FreedMemory <= now)
      forgetOldestFreed();
  }

private:
  void forgetOldestFreed() {
    Freed.erase(FreedByAge.front().second);
    FreedByAge.pop_front();
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
  shard.expire(now, Settings);
  auto it = shard.Records.find(claim.Key);
  if (it != shard.Records.end()) {
    if (auto verdict = Shard::verdictOfOthers(it->second, claim.Request)) {
      reply.Verdict = *verdict;
      return reply;
    }
  }
  // Read under the shard's lock, so that a claim is either part of the
  // hand-over or not granted.
  if (HandedOver) {
    reply.Leaving = true;
    return reply;
  }
  // The claim was overtaken by its attempt's ending, after which nobody would
  // free the key.
  if (shard.Freed.count(claim.Request))
    return reply;
  if (it == shard.Records.end()) {
    // If full, refuse the claim instead of evicting a key that may have run.
    if (shard.Records.size() >= Settings.MaxKeys / Settings.Shards)
      return reply;
    // Store the claim before the reply is sent, so that at most one of two
    // attempts is granted even if replies are lost.
    shard.put(now, claim.Key, {claim.Request, KeyVerdict::InProgress});
  }
  reply.Verdict = hasFullHistory(now, claim.Key, view, self)
                      ? KeyVerdict::Granted
                      : KeyVerdict::Fresh;
  return reply;
}

void KeyStore::settle(TimePoint now, const KeySettled &settled) {
  bool ran = settled.How == OutcomeKind::Answered ||
             settled.How == OutcomeKind::OutcomeUnknown;
  const size_t maxRecords = Settings.MaxKeys / Settings.Shards;
  Shard &shard = shardOf(settled.Key);
  std::lock_guard<std::mutex> lock(shard.Lock);
  shard.expire(now, Settings);
  if (!ran)
    return shard.free(now, settled.Key, settled.Request, maxRecords);
  // Store the ending even if only another replica has stored the claim: this
  // does no harm.
  if (shard.Records.count(settled.Key) || shard.Records.size() < maxRecords)
    shard.put(now, settled.Key, {settled.Request, verdictOf(settled.How)});
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
           keyReplicas(key, view.Members, Settings.KeyReplicaCount))
        for (const Shard::Attempt &attempt : record.Attempts) {
          std::vector<HandOverMessage> &out = messages[to.Id];
          if (out.back().Batch.Keys.size() >= maxKeys)
            out.push_back({to, {}});
          out.back().Batch.Keys.push_back(
              {key, attempt.Request, attempt.Verdict, now - record.At});
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

void KeyStore::importAttempt(TimePoint now, const KeysHandedOver::Entry &entry,
                             ImportResult &result) {
  Shard &shard = shardOf(entry.Key);
  std::lock_guard<std::mutex> lock(shard.Lock);
  // The sender exported the attempt before it received the ending.
  bool isOver = entry.Verdict == KeyVerdict::InProgress &&
                shard.Freed.count(entry.Request) != 0;
  if (entry.Age >= Settings.KeyMemory || isOver) {
    ++result.Stored;
    result.Outdated += isOver ? 1 : 0;
    return;
  }
  auto it = shard.Records.find(entry.Key);
  if (it == shard.Records.end() &&
      shard.Records.size() >= Settings.MaxKeys / Settings.Shards)
    return;
  ++result.Stored;
  // An ending that was received here before is newer.
  const Shard::Attempt *known = it == shard.Records.end()
                                    ? nullptr
                                    : Shard::find(it->second, entry.Request);
  if (known && known->Verdict != KeyVerdict::InProgress)
    return;
  shard.put(now - entry.Age, entry.Key, {entry.Request, entry.Verdict});
}

KeyStore::ImportResult KeyStore::importKeys(TimePoint now,
                                            const KeysHandedOver &keys) {
  ImportResult result;
  for (const KeysHandedOver::Entry &it : keys.Keys)
    importAttempt(now, it, result);
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
    shard->expire(now, Settings);
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

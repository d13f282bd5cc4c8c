#include "Balsamrack/Flows/FlowTable.h"

#include <algorithm>
#include <mutex>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

/// Resolution of stored times; 32 bits of ticks suffice for 13 years.
constexpr Duration TickLength(100'000);
/// Entries examined to select a victim. With 16, the victim is among the oldest
/// fifth with probability 0.97.
constexpr size_t EvictionSample = 16;
/// Entries examined if none of the first sample is a flow with a single packet.
/// Such flows are common during a flood, and missing them would evict an
/// established flow.
constexpr size_t ExtendedEvictionSample = 256;
/// Alignment of shards, so that they share no cache line: two lines, since CPUs
/// fetch lines in pairs.
constexpr size_t CacheLine = 128;
constexpr uint32_t HandleBits = 22;
/// Optimistic reads that fail because of a writer before the reader takes the
/// lock. A write takes less time than a read, so this limit is reached only if
/// a writer was preempted.
constexpr int MaxOptimisticReads = 64;
constexpr size_t InitialSlots = 16;

uint32_t tickOf(TimePoint now) {
  return static_cast<uint32_t>(now.time_since_epoch() / TickLength);
}

uint64_t mixHash(FlowId flow) { return combineHash(flow.Value, 1); }

/// A flow; packed into 16 bytes in its slot.
struct Entry {
  uint64_t Flow = 0;              ///< Zero if the slot is free.
  uint32_t LastSeen = 0;          ///< In ticks.
  uint32_t Handle = 0;            ///< Handle of its server.
  bool HasSeveralPackets = false; ///< The flow has sent more than one packet.
  uint8_t Tag = 0;                ///< As set by setTag().
};

uint64_t pack(const Entry &e) {
  return static_cast<uint64_t>(e.LastSeen) << 32 |
         static_cast<uint64_t>(e.Tag) << 24 |
         static_cast<uint64_t>(e.HasSeveralPackets ? 1 : 0) << HandleBits |
         e.Handle;
}

Entry unpack(uint64_t flow, uint64_t rest) {
  Entry e;
  e.Flow = flow;
  e.LastSeen = static_cast<uint32_t>(rest >> 32);
  e.Tag = static_cast<uint8_t>(rest >> 24);
  e.HasSeveralPackets = (rest >> HandleBits & 1) != 0;
  e.Handle = rest & ((1U << HandleBits) - 1);
  return e;
}

/// Fixed-size array of slots; the size is a power of two.
class SlotArray {
public:
  explicit SlotArray(size_t count) : Mask(count - 1), Slots(count) {}

  size_t size() const { return Mask + 1; }
  size_t next(size_t i) const { return (i + 1) & Mask; }
  size_t homeSlot(uint64_t flow) const { return mixHash(FlowId{flow}) & Mask; }

  // Acquire and release ordering between the slots and the shard's version; see
  // FlowTable::Shard::read.
  Entry get(size_t i) const {
    uint64_t flow = Slots[i].Flow.load(std::memory_order_acquire);
    return unpack(flow, Slots[i].Rest.load(std::memory_order_acquire));
  }
  void set(size_t i, const Entry &e) {
    Slots[i].Flow.store(e.Flow, std::memory_order_release);
    Slots[i].Rest.store(pack(e), std::memory_order_release);
  }
  /// Slot of a flow, if present. Terminates even while a writer moves entries.
  std::optional<size_t> find(uint64_t flow) const {
    size_t i = homeSlot(flow);
    for (size_t n = 0; n <= Mask; ++n, i = next(i)) {
      uint64_t there = Slots[i].Flow.load(std::memory_order_acquire);
      if (there == flow)
        return i;
      if (there == 0)
        break;
    }
    return std::nullopt;
  }
  /// Inserts an entry into the first free slot of its probe sequence.
  /// Precondition: the flow is not present, and a slot is free.
  size_t place(const Entry &e) {
    size_t i = homeSlot(e.Flow);
    while (Slots[i].Flow.load(std::memory_order_relaxed) != 0)
      i = next(i);
    set(i, e);
    return i;
  }

private:
  struct Slot {
    std::atomic<uint64_t> Flow{0};
    std::atomic<uint64_t> Rest{0};
  };
  size_t Mask;
  std::vector<Slot> Slots;
};

} // namespace

/// One shard: an open-addressing hash table with linear probing and no
/// tombstones. The order of entries depends only on the flows, so that a replay
/// evicts the same ones.
///
/// Writers hold the lock. Readers use a sequence lock and write no memory:
/// writers increment the version before and after a change, and readers retry
/// if it changed. With a lock for readers, whose cache line moves between cores
/// on each lookup, 12 threads were no faster than one.
class alignas(CacheLine) FlowTable::Shard {
public:
  Shard() {
    Arrays.push_back(std::make_unique<SlotArray>(InitialSlots));
    Current = Arrays.back().get();
  }

  /// Holds the lock and makes concurrent readers retry during its lifetime.
  class WriteGuard {
  public:
    explicit WriteGuard(Shard &shard)
        : Guard(shard.Lock), Version(shard.Version) {
      Version.store(Version.load(std::memory_order_relaxed) + 1,
                    std::memory_order_relaxed);
    }
    ~WriteGuard() {
      Version.store(Version.load(std::memory_order_relaxed) + 1,
                    std::memory_order_release);
    }
    WriteGuard(const WriteGuard &) = delete;
    WriteGuard &operator=(const WriteGuard &) = delete;

  private:
    std::lock_guard<std::mutex> Guard;
    std::atomic<uint64_t> &Version;
  };

  /// Returns the flow's entry. Thread-safe without the lock.
  std::optional<Entry> read(uint64_t flow) const {
    for (int tries = 0; tries < MaxOptimisticReads; ++tries) {
      uint64_t before = Version.load(std::memory_order_acquire);
      if (before & 1)
        continue;
      const SlotArray &array = *Current.load(std::memory_order_acquire);
      std::optional<size_t> at = array.find(flow);
      Entry e = at ? array.get(*at) : Entry();
      if (Version.load(std::memory_order_relaxed) == before)
        return at ? std::optional<Entry>(e) : std::nullopt;
    }
    // Too many retries: wait for the writer's lock.
    std::lock_guard<std::mutex> lock(Lock);
    std::optional<size_t> at = slots().find(flow);
    return at ? std::optional<Entry>(slots().get(*at)) : std::nullopt;
  }

  // The functions below require the lock; those that write require a
  // WriteGuard.
  SlotArray &slots() const { return *Arrays.back(); }
  size_t used() const { return Used; }
  /// Memory in bytes, including outgrown arrays. Those are kept for the shard's
  /// lifetime, since a reader may still use one; together they are as large as
  /// the current array.
  size_t bytes() const {
    size_t n = sizeof(Shard);
    for (const auto &it : Arrays)
      n += it->size() * sizeof(uint64_t) * 2;
    return n;
  }

  /// Precondition: the flow is not present.
  void insert(const Entry &e) {
    if ((Used + 1) * 4 > slots().size() * 3)
      grow();
    ++Used;
    slots().place(e);
  }

  void erase(size_t hole) {
    // Move back each entry whose probe sequence passes the hole, so that
    // lookups do not stop before it.
    SlotArray &array = slots();
    size_t mask = array.size() - 1;
    for (size_t i = array.next(hole);; i = array.next(i)) {
      Entry e = array.get(i);
      if (e.Flow == 0)
        break;
      if (((i - array.homeSlot(e.Flow)) & mask) < ((i - hole) & mask))
        continue;
      array.set(hole, e);
      hole = i;
    }
    array.set(hole, Entry());
    --Used;
  }

  /// Selects the entry to evict. Precondition: the shard is not empty.
  size_t selectVictim() {
    SlotArray &array = slots();
    size_t victimAt = 0;
    Entry victim;
    for (size_t seen = 0, i = 0; i < array.size(); ++i) {
      if (seen >= ExtendedEvictionSample ||
          (seen >= EvictionSample && !victim.HasSeveralPackets))
        break;
      Cursor = array.next(Cursor);
      Entry e = array.get(Cursor);
      if (e.Flow == 0)
        continue;
      bool worse = e.HasSeveralPackets != victim.HasSeveralPackets
                       ? !e.HasSeveralPackets
                       : e.LastSeen < victim.LastSeen;
      if (seen++ > 0 && !worse)
        continue;
      victim = e;
      victimAt = Cursor;
    }
    return victimAt;
  }

  mutable std::mutex Lock; ///< Held by writers and by scans of many slots.

private:
  void grow() {
    auto larger = std::make_unique<SlotArray>(slots().size() * 2);
    for (size_t i = 0; i < slots().size(); ++i)
      if (Entry e = slots().get(i); e.Flow != 0)
        larger->place(e);
    Arrays.push_back(std::move(larger));
    Current.store(Arrays.back().get(), std::memory_order_release);
    Cursor = 0;
  }

  std::atomic<uint64_t> Version{0}; ///< Odd while a write is in progress.
  std::vector<std::unique_ptr<SlotArray>> Arrays;  ///< The last one is in use.
  std::atomic<const SlotArray *> Current{nullptr}; ///< The last array, for
                                                   ///< readers.
  size_t Used = 0;
  size_t Cursor = 0; ///< Slot at which the next victim selection continues.
};

FlowTable::FlowTable(const FlowTableSettings &settings)
    : Settings(settings),
      ServersByHandle(new std::atomic<const ServerId *>[settings.MaxServers]),
      FlowCounts(new std::atomic<uint32_t>[settings.MaxServers]),
      IdleTicks(new std::atomic<uint32_t>[settings.MaxServers]) {
  auto idle = static_cast<uint32_t>(settings.IdleTimeout / TickLength);
  for (uint32_t i = 0; i < settings.MaxServers; ++i) {
    ServersByHandle[i] = nullptr;
    FlowCounts[i] = 0;
    IdleTicks[i] = idle;
  }
  for (uint32_t i = 0; i < settings.Shards; ++i)
    Shards.push_back(std::make_unique<Shard>());
}

FlowTable::~FlowTable() {
  for (uint32_t i = 0; i < Settings.MaxServers; ++i)
    delete ServersByHandle[i].load();
}

absl::StatusOr<std::unique_ptr<FlowTable>>
FlowTable::create(const FlowTableSettings &settings) {
  bool powerOfTwo =
      settings.Shards > 0 && (settings.Shards & (settings.Shards - 1)) == 0;
  if (!powerOfTwo || settings.MaxFlows < settings.Shards ||
      settings.MaxServers == 0 || settings.MaxServers > (1U << HandleBits) ||
      settings.IdleTimeout < TickLength)
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "",
                     "flow table: settings out of range");
  return std::unique_ptr<FlowTable>(new FlowTable(settings));
}

FlowTable::Shard &FlowTable::shardOf(FlowId flow) const {
  // Use high bits: the low bits select the slot within the shard.
  return *Shards[(mixHash(flow) >> 40) & (Shards.size() - 1)];
}

bool FlowTable::isIdle(uint32_t handle, uint32_t lastSeen, uint32_t now) const {
  return now - lastSeen > IdleTicks[handle].load(std::memory_order_relaxed);
}

std::optional<uint32_t> FlowTable::findHandle(const ServerId &server) const {
  std::shared_lock<std::shared_mutex> lock(HandlesLock);
  auto it = Handles.find(server);
  if (it == Handles.end())
    return std::nullopt;
  return it->second;
}

std::optional<uint32_t> FlowTable::internServer(const ServerId &server) {
  if (std::optional<uint32_t> handle = findHandle(server))
    return handle;
  std::unique_lock<std::shared_mutex> lock(HandlesLock);
  auto handle = static_cast<uint32_t>(Handles.size());
  if (handle >= Settings.MaxServers)
    return std::nullopt;
  auto [it, isNew] = Handles.try_emplace(server, handle);
  if (isNew)
    ServersByHandle[handle].store(new ServerId(server),
                                  std::memory_order_release);
  return it->second;
}

std::optional<FlowBinding> FlowTable::find(TimePoint now, FlowId flow) const {
  if (flow.Value == 0)
    return std::nullopt;
  std::optional<Entry> e = shardOf(flow).read(flow.Value);
  if (!e || isIdle(e->Handle, e->LastSeen, tickOf(now)))
    return std::nullopt;
  return FlowBinding{
      *ServersByHandle[e->Handle].load(std::memory_order_acquire), e->Tag};
}

bool FlowTable::bind(TimePoint now, FlowId flow, const ServerId &server) {
  if (flow.Value == 0)
    return false;
  Shard &shard = shardOf(flow);
  // Most packets change nothing, so they need no lock.
  std::optional<Entry> known = shard.read(flow.Value);
  if (known && known->HasSeveralPackets && known->LastSeen == tickOf(now) &&
      *ServersByHandle[known->Handle].load(std::memory_order_acquire) == server)
    return true;
  std::optional<uint32_t> handle = internServer(server);
  if (!handle)
    return false;
  Shard::WriteGuard writer(shard);
  std::optional<size_t> at = shard.slots().find(flow.Value);
  Entry e = at ? shard.slots().get(*at) : Entry();
  bool sameServer = at && e.Handle == *handle;
  if (at && !sameServer)
    --FlowCounts[e.Handle];
  e.Flow = flow.Value;
  e.LastSeen = tickOf(now);
  e.HasSeveralPackets = e.HasSeveralPackets || sameServer;
  e.Tag = sameServer ? e.Tag : 0;
  e.Handle = *handle;
  if (!sameServer)
    ++FlowCounts[*handle];
  if (at) {
    shard.slots().set(*at, e);
    return true;
  }
  if (shard.used() >= Settings.MaxFlows / Settings.Shards) {
    size_t victim = shard.selectVictim();
    --FlowCounts[shard.slots().get(victim).Handle];
    shard.erase(victim);
  }
  shard.insert(e);
  return true;
}

void FlowTable::setTag(FlowId flow, uint8_t value) {
  Shard &shard = shardOf(flow);
  Shard::WriteGuard writer(shard);
  std::optional<size_t> at = shard.slots().find(flow.Value);
  if (flow.Value == 0 || !at)
    return;
  Entry e = shard.slots().get(*at);
  e.Tag = value;
  shard.slots().set(*at, e);
}

void FlowTable::remove(FlowId flow) {
  Shard &shard = shardOf(flow);
  Shard::WriteGuard writer(shard);
  std::optional<size_t> at = shard.slots().find(flow.Value);
  if (flow.Value == 0 || !at)
    return;
  --FlowCounts[shard.slots().get(*at).Handle];
  shard.erase(*at);
}

template <class Predicate> void FlowTable::eraseWhere(Predicate gone) {
  for (const auto &shard : Shards) {
    Shard::WriteGuard writer(*shard);
    for (size_t i = 0; i < shard->slots().size();) {
      Entry e = shard->slots().get(i);
      if (e.Flow == 0 || !gone(e.Handle, e.LastSeen)) {
        ++i;
        continue;
      }
      // Erasing may move another entry into this slot, so examine it again.
      --FlowCounts[e.Handle];
      shard->erase(i);
    }
  }
}

void FlowTable::removeServer(const ServerId &server) {
  std::optional<uint32_t> dropped = findHandle(server);
  if (dropped)
    eraseWhere([&](uint32_t handle, uint32_t /*lastSeen*/) {
      return handle == *dropped;
    });
}

void FlowTable::setIdleTimeout(const ServerId &server, Duration idle) {
  if (std::optional<uint32_t> handle = internServer(server))
    IdleTicks[*handle] = static_cast<uint32_t>(idle / TickLength);
}

void FlowTable::expire(TimePoint now) {
  eraseWhere([&](uint32_t handle, uint32_t lastSeen) {
    return isIdle(handle, lastSeen, tickOf(now));
  });
}

uint32_t FlowTable::countFlows(const ServerId &server) const {
  std::optional<uint32_t> handle = findHandle(server);
  return handle ? FlowCounts[*handle].load() : 0;
}

std::vector<std::pair<FlowId, ServerId>>
FlowTable::listAllFlows(TimePoint now) const {
  std::vector<std::pair<FlowId, ServerId>> flows;
  for (const auto &shard : Shards) {
    std::lock_guard<std::mutex> lock(shard->Lock);
    for (size_t i = 0; i < shard->slots().size(); ++i) {
      Entry e = shard->slots().get(i);
      if (e.Flow != 0 && !isIdle(e.Handle, e.LastSeen, tickOf(now)))
        flows.emplace_back(FlowId{e.Flow}, *ServersByHandle[e.Handle].load());
    }
  }
  std::sort(flows.begin(), flows.end());
  return flows;
}

std::vector<FlowId> FlowTable::listFlows(TimePoint now,
                                         const ServerId &server) const {
  std::vector<FlowId> flows;
  for (const auto &[flow, bound] : listAllFlows(now))
    if (bound == server)
      flows.push_back(flow);
  return flows;
}

size_t FlowTable::size() const {
  size_t n = 0;
  for (const auto &shard : Shards) {
    std::lock_guard<std::mutex> lock(shard->Lock);
    n += shard->used();
  }
  return n;
}

size_t FlowTable::bytes() const {
  size_t n = 0;
  for (const auto &shard : Shards) {
    std::lock_guard<std::mutex> lock(shard->Lock);
    n += shard->bytes();
  }
  return n;
}

} // namespace balsamrack

#ifndef BALSAMRACK_FLOWS_FLOWTABLE_H
#define BALSAMRACK_FLOWS_FLOWTABLE_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Limits of a FlowTable.
struct FlowTableSettings {
  size_t MaxFlows = 1'000'000;  ///< Hard limit; 32 to 86 bytes per flow.
  uint32_t Shards = 128;        ///< A power of two; about ten per thread keep
                                ///< lock contention low.
  uint32_t MaxServers = 16'384; ///< Distinct servers over the table's lifetime;
                                ///< 12 bytes each.
  Duration IdleTimeout{900'000'000}; ///< For servers without a timeout of their
                                     ///< own.
};

/// Binding of a flow to a server.
struct FlowBinding {
  ServerId Server; ///< The server.
  uint8_t Tag = 0; ///< As last set by setTag().
};

/// Maps each flow to its server. Thread-safe: sharded by flow, with one lock
/// per shard that lookups do not take. Deterministic: no result depends on the
/// iteration order of a hash map.
///
/// Designed for hundreds of thousands of flows on one daemon, many threads, and
/// floods of flows that send a single packet.
///
/// Eviction when a shard is full: among a sample of entries, flows with a
/// single packet are evicted first, then the flow that has been idle for
/// longest. Without the first rule, a flood of new flows would evict
/// established ones, as in a SYN flood; without the second, a busy flow would
/// be as likely a victim as an idle one. An evicted flow is still found by its
/// token or rank.
class FlowTable {
public:
  /// Creates an empty table. Error kInvalidArgument for settings out of range.
  static absl::StatusOr<std::unique_ptr<FlowTable>>
  create(const FlowTableSettings &settings);
  ~FlowTable();

  /// Returns the flow's binding; empty if the flow is unknown or has exceeded
  /// its idle timeout.
  std::optional<FlowBinding> find(TimePoint now, FlowId flow) const;
  /// Binds the flow to \p server and records a packet of it. False if the
  /// flow's id is zero or MaxServers is exceeded.
  bool bind(TimePoint now, FlowId flow, const ServerId &server);
  /// Sets the tag of a flow; no effect if the flow is unknown.
  void setTag(FlowId flow, uint8_t value);
  /// Removes a flow.
  void remove(FlowId flow);
  /// Removes all flows of a server. Scans all entries.
  void removeServer(const ServerId &server);
  /// Sets the idle timeout of a server's flows.
  void setIdleTimeout(const ServerId &server, Duration idle);
  /// Removes idle flows. Scans all entries, locking one shard at a time.
  void expire(TimePoint now);
  /// Number of flows bound to a server, including idle ones not yet removed by
  /// expire().
  uint32_t countFlows(const ServerId &server) const;
  /// Flows bound to a server, in order of their ids. Scans all entries.
  std::vector<FlowId> listFlows(TimePoint now, const ServerId &server) const;
  /// All flows and their servers, in order of the flow ids. Scans all entries.
  std::vector<std::pair<FlowId, ServerId>> listAllFlows(TimePoint now) const;
  /// Number of flows stored.
  size_t size() const;
  /// Memory used for flows in bytes.
  size_t bytes() const;

private:
  class Shard;
  explicit FlowTable(const FlowTableSettings &settings);
  Shard &shardOf(FlowId flow) const;
  template <class Predicate> void eraseWhere(Predicate gone);
  bool isIdle(uint32_t handle, uint32_t lastSeen, uint32_t now) const;
  std::optional<uint32_t> findHandle(const ServerId &server) const;
  std::optional<uint32_t> internServer(const ServerId &server);

  const FlowTableSettings Settings;
  std::vector<std::unique_ptr<Shard>> Shards;
  mutable std::shared_mutex HandlesLock; ///< Guards Handles and the insertion
                                         ///< of servers.
  absl::flat_hash_map<ServerId, uint32_t> Handles; ///< Never iterated.
  std::unique_ptr<std::atomic<const ServerId *>[]>
      ServersByHandle; ///< By handle. A pointer never changes once set, so
                       ///< readers need no lock.
  std::unique_ptr<std::atomic<uint32_t>[]> FlowCounts; ///< Number of flows by
                                                       ///< handle.
  std::unique_ptr<std::atomic<uint32_t>[]> IdleTicks;  ///< By handle.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWTABLE_H

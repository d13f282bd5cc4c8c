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
  size_t MaxFlows = 1'000'000;  ///< Hard bound; 32 to 86 bytes each.
  uint32_t Shards = 128;        ///< A power of two; ten per thread keeps two
                                ///< threads from meeting often.
  uint32_t MaxServers = 16'384; ///< Servers ever named; 12 bytes each.
  Duration IdleTimeout{900'000'000}; ///< For servers without one of their own.
};

/// Where a flow lives, as the table knows it.
struct FlowBinding {
  ServerId Server; ///< The server.
  uint8_t Tag = 0; ///< As last set by mark().
};

/// Which server each flow lives on. Thread-safe; sharded by flow, each shard
/// under its own lock, which lookups do not take. Deterministic: no hash-map
/// order is used.
///
/// Load that it answers: hundreds of thousands of flows on one daemon, many
/// threads, and floods of flows that send one packet.
///
/// What is dropped first when a shard is full: of a few entries looked at in
/// turn, flows that have sent a single packet, then the one idle for longest.
/// Without the first rule a flood of new flows drops established ones, as a SYN
/// flood does; without the second a busy flow is dropped as soon as an idle
/// one. A dropped flow is still found by its token or rank.
class FlowTable {
public:
  /// Makes an empty table. Error kInvalidArgument for settings out of range.
  static absl::StatusOr<std::unique_ptr<FlowTable>>
  create(const FlowTableSettings &settings);
  ~FlowTable();

  /// Where the flow lives, unless it is unknown or idle for too long.
  std::optional<FlowBinding> find(TimePoint now, FlowId flow) const;
  /// Notes a packet of the flow and where it lives. False when the flow's id is
  /// zero or too many servers were named.
  bool bind(TimePoint now, FlowId flow, const ServerId &server);
  /// Sets the mark of a known flow.
  void setTag(FlowId flow, uint8_t value);
  /// Forgets a flow.
  void remove(FlowId flow);
  /// Forgets all flows of a server. Looks at every entry.
  void removeServer(const ServerId &server);
  /// Sets the idle timeout of a server's flows.
  void setIdleTimeout(const ServerId &server, Duration idle);
  /// Forgets idle flows. Looks at every entry, one shard locked at a time.
  void expire(TimePoint now);
  /// Flows that live on a server, idle ones that were not yet expired too.
  uint32_t countFlows(const ServerId &server) const;
  /// The flows that live on a server, in order of their ids. Looks at every
  /// entry.
  std::vector<FlowId> listFlows(TimePoint now, const ServerId &server) const;
  /// All flows and where they live, in order of their ids.
  std::vector<std::pair<FlowId, ServerId>> listAllFlows(TimePoint now) const;
  /// All flows held.
  size_t size() const;
  /// Bytes held for flows.
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
  mutable std::shared_mutex HandlesLock; ///< Guards Handles and adding names.
  absl::flat_hash_map<ServerId, uint32_t> Handles; ///< Looked up only.
  std::unique_ptr<std::atomic<const ServerId *>[]>
      ServersByHandle; ///< By handle; a pointer once set stays, so reading
                       ///< takes no lock.
  std::unique_ptr<std::atomic<uint32_t>[]> FlowCounts; ///< Flows by handle.
  std::unique_ptr<std::atomic<uint32_t>[]> IdleTicks;  ///< By handle.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWTABLE_H

#ifndef BALSAMRACK_OBSERVABILITY_JOURNAL_H
#define BALSAMRACK_OBSERVABILITY_JOURNAL_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/World/Decision.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// The last decisions of this daemon, to be asked about. Thread-safe; decisions
/// are spread over shards by their flow, each under its own lock.
class Journal {
public:
  /// Holds about \p capacity decisions in all.
  explicit Journal(size_t capacity);

  /// Keeps a decision, in place of its shard's oldest when that is full.
  void add(Decision decision);
  /// Decisions about one request, oldest first.
  std::vector<Decision> findByRequest(RequestId request) const;
  /// Decisions about one flow, oldest first.
  std::vector<Decision> findByFlow(FlowId flow) const;
  /// Decisions about one backend server, oldest first.
  std::vector<Decision> findByServer(const ServerId &server) const;
  /// How one ticket was judged, oldest first.
  std::vector<Decision> findByTicket(TicketNumber ticket) const;
  /// One of the above by the operators' words: \p kind is "request" or "flow"
  /// (\p id in hex), "server" or "ticket" (\p id decimal). Error
  /// kInvalidArgument, without step, when they can't be read.
  absl::StatusOr<std::vector<Decision>> query(const std::string &kind,
                                              const std::string &id) const;

private:
  static constexpr size_t ShardCount = 16;

  struct Entry {
    uint64_t Sequence; ///< Place in the order of all decisions.
    Decision Value;
  };
  struct Shard {
    mutable std::mutex Lock; ///< Guards what follows.
    std::deque<Entry> Ring;  ///< Oldest first.
  };

  std::vector<Decision>
  find(const std::function<bool(const Decision &)> &matches) const;

  const size_t CapacityPerShard;
  std::atomic<uint64_t> NextSequence{0};
  std::array<Shard, ShardCount> AllShards;
};

/// One plain sentence that tells what was decided, by which rule, on which
/// inputs, under which ticket, at which step and peer. Thread-safe.
std::string decisionSentence(const Decision &decision);

/// A decision's fields and its sentence. Thread-safe.
nlohmann::json decisionToJson(const Decision &decision);

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_JOURNAL_H

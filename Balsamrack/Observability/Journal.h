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

/// Stores the most recent decisions of this daemon for operators' queries.
/// Thread-safe: decisions are distributed over shards by their flow, each with
/// its own lock.
class Journal {
public:
  /// Creates a journal for a total of about \p capacity decisions.
  explicit Journal(size_t capacity);

  /// Stores a decision; replaces the oldest one of its shard if the shard is
  /// full.
  void add(Decision decision);
  /// Returns the decisions about a request, oldest first.
  std::vector<Decision> findByRequest(RequestId request) const;
  /// Returns the decisions about a flow, oldest first.
  std::vector<Decision> findByFlow(FlowId flow) const;
  /// Returns the decisions about a backend server, oldest first.
  std::vector<Decision> findByServer(const ServerId &server) const;
  /// Returns the decisions to apply or reject a ticket, oldest first.
  std::vector<Decision> findByTicket(TicketNumber ticket) const;
  /// Runs one of the above queries as given by operators: \p kind is "request"
  /// or "flow" (\p id in hex), "server" or "ticket" (\p id in decimal). Returns
  /// kInvalidArgument, without a step, if they can't be parsed.
  absl::StatusOr<std::vector<Decision>> query(const std::string &kind,
                                              const std::string &id) const;

private:
  static constexpr size_t ShardCount = 16;

  struct Entry {
    uint64_t Sequence; ///< Position in the order of all decisions.
    Decision Value;
  };
  struct Shard {
    mutable std::mutex Lock; ///< Guards Ring.
    std::deque<Entry> Ring;  ///< Oldest first.
  };

  std::vector<Decision>
  find(const std::function<bool(const Decision &)> &matches) const;

  const size_t CapacityPerShard;
  std::atomic<uint64_t> NextSequence{0};
  std::array<Shard, ShardCount> AllShards;
};

/// Describes a decision in one sentence: result, rule, inputs, ticket, step and
/// peer. Thread-safe.
std::string decisionSentence(const Decision &decision);

/// Returns a decision's fields and its sentence as JSON. Thread-safe.
nlohmann::json decisionToJson(const Decision &decision);

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_JOURNAL_H

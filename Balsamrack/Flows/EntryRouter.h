#ifndef BALSAMRACK_FLOWS_ENTRYROUTER_H
#define BALSAMRACK_FLOWS_ENTRYROUTER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Flows/EntryEvents.h"
#include "Balsamrack/Flows/EntrySettings.h"
#include "Balsamrack/Flows/Placement.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Request router of an entry, for one shard of its requests: decides where
/// each packet goes and how it ends. Deterministic: the same events and times
/// give the same actions. Not thread-safe: callers hold the shard's lock.
///
/// Guarantees: each packet ends exactly once. A RunOnce request is forwarded
/// again only after the previous owner reported that it did not run it. NotRun
/// and GivenUp are returned only if no owner can have run the request.
class EntryRouter {
public:
  /// Creates a router without a view: every packet ends NotRun until
  /// ViewChanged. \p seed drives the jitter of the retry-after times. Error
  /// kInvalidArgument (step read-settings) for settings out of range.
  static absl::StatusOr<std::unique_ptr<EntryRouter>>
  create(const EntrySettings &settings, uint64_t seed);
  ~EntryRouter();

  /// Handles one event and returns the resulting actions. Precondition: \p now
  /// never decreases.
  std::vector<EntryAction> step(TimePoint now, const EntryEvent &event);
  /// When to call step() with EntryTicked; empty if no timer is set.
  std::optional<TimePoint> nextWakeup() const;
  /// Number of packets that have not ended.
  size_t inProgress() const;

private:
  struct State;
  explicit EntryRouter(std::unique_ptr<State> state);

  std::unique_ptr<State> Impl; ///< Not null.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYROUTER_H

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

/// One shard of the entry's requests: decides where each packet goes and how it
/// ends. Deterministic: the same events and times give the same actions.
/// Not thread-safe: the shard's lock is held around each call.
///
/// What it promises: each packet ends exactly once; a RunOnce request is
/// forwarded again only after the owner before said that it did not run; NotRun
/// and GivenUp are told only when no owner may have run it.
class EntryRouter {
public:
  /// Makes a router without a view: until ViewChanged every packet is NotRun.
  /// \p seed spreads the times that refused callers are told. Error
  /// kInvalidArgument (step read-settings) for settings out of range.
  static absl::StatusOr<std::unique_ptr<EntryRouter>>
  create(const EntrySettings &settings, uint64_t seed);
  ~EntryRouter();

  /// Takes one event in. Precondition: \p now never goes back.
  std::vector<EntryAction> step(TimePoint now, const EntryEvent &event);
  /// When to call step() with EntryTicked, or nothing when nothing waits.
  std::optional<TimePoint> nextWakeup() const;
  /// Packets that have not ended.
  size_t inProgress() const;

private:
  struct State;
  explicit EntryRouter(std::unique_ptr<State> state);

  std::unique_ptr<State> Impl; ///< Not null.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYROUTER_H

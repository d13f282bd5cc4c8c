#ifndef BALSAMRACK_DECISIONS_SLOTTABLE_H
#define BALSAMRACK_DECISIONS_SLOTTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/AdmissionQueue.h"
#include "Balsamrack/Decisions/LongWorkGuard.h"
#include "Balsamrack/Decisions/WaitEstimate.h"

namespace balsamrack {

/// A dispatch whose end the link has not reported yet.
struct RunningRequest {
  QueuedRequest What;  ///< The request.
  TimePoint StartedAt; ///< Time of dispatch.
  /// The caller has left and the server was sent a cancellation.
  bool Cancelled = false;
};

/// Tracks the slots that requests occupy on one backend server, from the
/// owner's point of view.
///
/// Guards against undercounting what the server really runs, which brings down
/// a cold server even though the limit of one request at a time was kept. A
/// dispatch occupies its slot until the link reports its end, even after
/// cancellation. A dispatch that failed after it was sent may still be running
/// on the server. Its slot stays occupied ("abandoned") for a bounded time, or
/// until the server process has been replaced, or until a warm server's health
/// report shows no more requests than the owner knows of. The bound is the time
/// in which nine of ten requests end, since the server was given the deadline
/// but need not honour it. Without a bound, a lost connection would cost a slot
/// permanently. Not thread-safe.
class SlotTable {
public:
  /// Maximum time that an abandoned slot is held.
  static constexpr Duration MaxHold{5'000'000};
  /// Minimum time that an abandoned slot is held while the server is cold.
  /// Answer times seen while it was warm do not show how long a cold server
  /// works on a request that timed out, and one request too many brings a cold
  /// server down.
  static constexpr Duration MinHoldCold{2'000'000};
  /// Records a dispatch. Precondition: the request is not running.
  void start(RunningRequest request);
  /// Removes and returns a dispatch that the link reported as ended. Nothing if
  /// it is unknown.
  std::optional<RunningRequest> end(RequestId request);
  /// Keeps the slot of a failed dispatch occupied until \p deadline, and at
  /// least for \p slow, the time in which nine of ten requests are answered,
  /// within the bounds above.
  void abandon(TimePoint now, TimePoint deadline, Duration slow, bool warm);
  /// Frees the abandoned slots whose hold time is over.
  void releaseExpired(TimePoint now);
  /// Frees the slots abandoned at or before \p since, because the server no
  /// longer runs their requests.
  void releaseAbandonedUntil(TimePoint since);
  /// Returns the running dispatch of \p request, or null. The pointer is valid
  /// until the next change.
  RunningRequest *find(RequestId request);

  /// Number of occupied slots, abandoned ones included.
  uint32_t used() const;
  /// Number of dispatches that the link has not reported as ended.
  uint32_t running() const { return static_cast<uint32_t>(Running.size()); }
  /// Number of abandoned slots.
  uint32_t abandoned() const { return static_cast<uint32_t>(Abandoned.size()); }
  /// Time at which the next abandoned slot is freed.
  std::optional<TimePoint> nextRelease() const;
  /// Number of running dispatches that are long work, by expectation or by age.
  uint32_t longRunningCount(TimePoint now, const LongWorkGuard &guard) const;
  /// Time at which the next running dispatch counts as long work by its age.
  std::optional<TimePoint> nextLongAt(TimePoint now,
                                      const LongWorkGuard &guard) const;
  /// Shortest expected remaining time of the running dispatches, where \p waits
  /// is the estimate for their kind; zero if nothing runs.
  Duration shortestRemaining(TimePoint now, const WaitEstimate &waits) const;

private:
  /// A slot still held for a failed dispatch.
  struct AbandonedSlot {
    TimePoint Since; ///< Time at which the owner saw the dispatch end.
    TimePoint Until; ///< Latest time at which the slot is freed.
  };
  /// Dispatches that the link has not reported as ended.
  std::map<RequestId, RunningRequest> Running;
  std::vector<AbandonedSlot> Abandoned; ///< Ordered by Since.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SLOTTABLE_H

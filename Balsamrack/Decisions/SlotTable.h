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

/// A dispatch that the link has not ended.
struct RunningRequest {
  QueuedRequest What;     ///< The request.
  TimePoint StartedAt;    ///< When it was dispatched.
  bool Cancelled = false; ///< Its caller is gone, the server was told.
};

/// What one backend server has in progress, as its owner counts it.
///
/// Guards against counting less than the server really runs, which shows as a
/// cold server that falls over though "one request at a time" was kept. A
/// dispatch holds its slot until the link says that it ended, also when it was
/// cancelled. One that failed after it had left may still run on the server:
/// its slot stays taken ("abandoned") for a bounded time, until the server's
/// process is another one, or until, being warm, its health says that it runs
/// no more than we know of. The bound is the time in which nine of ten requests
/// end, since the server was given the deadline and need not keep to it;
/// unbounded, a lost connection would cost a slot for good. Not thread-safe.
class SlotTable {
public:
  /// An abandoned slot is held no longer than this.
  static constexpr Duration MaxHold{5'000'000};
  /// Nor shorter than this while the server is cold: the answers seen while it
  /// was warm don't tell how long a cold server works on what timed out, and
  /// one request more than it bears makes it fall over.
  static constexpr Duration MinHoldCold{2'000'000};
  /// Notes a dispatch. Precondition: the request is not running.
  void start(RunningRequest request);
  /// Takes out a dispatch that the link ended. Nothing when there is none.
  std::optional<RunningRequest> end(RequestId request);
  /// Keeps the slot of an ended dispatch taken: until \p deadline and for \p
  /// slow, the time in which nine of ten are answered, within the bounds above.
  void abandon(TimePoint now, TimePoint deadline, Duration slow, bool warm);
  /// Frees the abandoned slots whose time is over.
  void releaseExpired(TimePoint now);
  /// Frees those abandoned at or before \p since: the server runs them no more.
  void releaseAbandonedUntil(TimePoint since);
  /// The running dispatch of \p request, or null; valid until the next change.
  RunningRequest *find(RequestId request);

  /// Slots taken.
  uint32_t used() const;
  /// Dispatches that the link has not ended.
  uint32_t running() const { return static_cast<uint32_t>(Running.size()); }
  /// Slots that ended dispatches still hold.
  uint32_t abandoned() const { return static_cast<uint32_t>(Abandoned.size()); }
  /// When the next abandoned slot is freed.
  std::optional<TimePoint> nextRelease() const;
  /// Running dispatches that are long work, expected or by their age.
  uint32_t longRunningCount(TimePoint now, const LongWorkGuard &guard) const;
  /// When the next running dispatch counts as long work by its age.
  std::optional<TimePoint> nextLongAt(TimePoint now,
                                      const LongWorkGuard &guard) const;
  /// How long the first one to end will run, \p waits being that of its kind;
  /// zero when nothing runs.
  Duration shortestRemaining(TimePoint now, const WaitEstimate &waits) const;

private:
  /// A slot that an ended dispatch still holds.
  struct AbandonedSlot {
    TimePoint Since; ///< When the dispatch ended for us.
    TimePoint Until; ///< When the slot is freed at the latest.
  };
  std::map<RequestId, RunningRequest> Running; ///< Not ended by the link.
  std::vector<AbandonedSlot> Abandoned;        ///< In order of Since.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SLOTTABLE_H

#ifndef BALSAMRACK_DECISIONS_LONGWORKGUARD_H
#define BALSAMRACK_DECISIONS_LONGWORKGUARD_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/AnswerTimes.h"
#include "Balsamrack/Decisions/OwnerSettings.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// Reserves one slot of each backend server for short work while there is short
/// work.
///
/// Guards against long work that blocks short work, such as site plans among
/// lookups. With two slots per server, two long requests at a time block the
/// server for everyone, and a few callers with long work occupy all servers
/// within seconds: a 50 ms lookup then waits for seconds even though the queue
/// is empty.
///
/// Content is opaque, so work is classified by the previous answer times of its
/// flow, or else of its caller, separately for reads and writes, and by how
/// long it has been running. Work expected to be long may start only if it
/// leaves one slot without long work. Unknown work counts as short, so each
/// caller can occupy a server unexpectedly at most once. (Size-based isolation:
/// Harchol-Balter, Crovella, Murta 1999.)
///
/// Long means at least eight times the lower quartile of the service's answer
/// times (a tenth of exponentially distributed work), and at least 200 ms,
/// below which hardly any user at a counter notices the wait: 2% of
/// exponentially distributed work of 50 ms. The quartile remains that of short
/// work until three quarters of the answers are long, while the median flipped
/// in a trial as soon as short work was refused. If most work is long there is
/// nothing to protect. Two long answers in a row classify a caller, so that a
/// single slow lookup does not. A request with less remaining time than long
/// work takes counts as short whatever its caller's history: as long work it
/// could only be refused, and a caller that is always refused could never show
/// that its work has changed. The slot is reserved for 2 s after the last short
/// request: without short work, long work gets all slots. With one slot there
/// is nothing to reserve. Not thread-safe.
class LongWorkGuard {
public:
  /// Maximum number of flows and callers remembered.
  static constexpr size_t MaxHistories = 8192;

  /// Precondition: \p settings were checked.
  explicit LongWorkGuard(const LongWorkSettings &settings);

  /// Records the time of an answer to \p head.
  void recordAnswer(const Envelope &head, Duration took);
  /// Records the arrival of short work at \p now.
  void recordShortArrival(TimePoint now) { LastShort = now; }
  /// Returns true if \p head is expected to be long work, \p typicalLong being
  /// the typical time of long work.
  bool isExpectedLong(const Envelope &head, Duration typicalLong) const;
  /// Returns true if work that was answered after \p took, or has been running
  /// for that time, is long.
  bool isLong(Duration took) const;
  /// Minimum duration of long work, if the guard is enabled.
  Duration longThreshold() const;
  /// Returns whether work may start on a server with a limit of \p limit
  /// requests that is running \p longRunning long ones. Short work always may.
  bool mayStart(TimePoint now, bool longWork, uint32_t limit,
                uint32_t longRunning) const;
  /// End of the slot's reservation if no more short work arrives.
  TimePoint reservedUntil() const;

private:
  /// History of a flow or caller.
  struct History {
    double LongShare = 0; ///< Moving average of the fraction of long answers.
  };
  void updateHistory(uint64_t key, bool wasLong);
  std::optional<double> longShare(uint64_t key) const;

  LongWorkSettings Settings; ///< Thresholds and durations.
  AnswerTimes Times;         ///< Answer times of the whole service.
  /// Time of the last arrival of short work.
  std::optional<TimePoint> LastShort;
  /// Histories by flow or caller; never iterated.
  std::unordered_map<uint64_t, History> Histories;
  std::deque<uint64_t> Order; ///< Keys of Histories, oldest first.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_LONGWORKGUARD_H

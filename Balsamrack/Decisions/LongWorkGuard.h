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

/// Keeps a slot of each backend server free of long work while there is short
/// work.
///
/// Answers: long work among short, such as site plans among lookups. With two
/// slots a server, two long requests at a time stop it for everybody, and a few
/// callers of long work reach all servers within seconds: a lookup of 50 ms
/// then waits for seconds behind no queue at all.
///
/// How: content is opaque, so work is classed by what the flow, or else the
/// caller, was answered before, reads and writes apart, and by how long it runs
/// already. Work expected to be long may start only while it leaves one slot
/// without long work. Unknown work counts as short: each caller surprises at
/// most once a server. (Size-based isolation: Harchol-Balter, Crovella, Murta
/// 1999.)
///
/// Thresholds: long is eight times the lower quartile of the service's answers
/// (a tenth of exponentially distributed work; the quartile stays that of short
/// work until three quarters of the answers are long, while the median flipped
/// in a trial as soon as short work was refused), and at
/// least 200 ms, below which hardly anybody at a counter notices: 2% of
/// exponentially distributed work of 50 ms. When most work is long there is
/// nothing to protect. Two long answers in a
/// row class a caller, so that one slow lookup doesn't. A request that leaves
/// less time than long work takes is short whatever its caller had before: as
/// long work it could only be refused, and a caller that is always refused
/// could never show that it has changed. The slot is
/// kept for 2 s after the last short request: without short work long work gets
/// all slots. With one slot there is nothing to keep. Not thread-safe.
class LongWorkGuard {
public:
  static constexpr size_t MaxHistories = 8192; ///< Flows and callers.

  /// Precondition: \p settings were checked.
  explicit LongWorkGuard(const LongWorkSettings &settings);

  /// Notes an answer to \p head.
  void recordAnswer(const Envelope &head, Duration took);
  /// Notes that short work came at \p now.
  void recordShortArrival(TimePoint now) { LastShort = now; }
  /// True when \p head is expected to be long, \p typicalLong being what long
  /// work takes.
  bool isExpectedLong(const Envelope &head, Duration typicalLong) const;
  /// True when work that was answered after \p took, or has run for so long, is
  /// long.
  bool isLong(Duration took) const;
  /// From which time on work is long, if the guard is in use.
  Duration longThreshold() const;
  /// May work start on a server that may run \p limit requests and runs \p
  /// longRunning long ones? Short work always may.
  bool mayStart(TimePoint now, bool longWork, uint32_t limit,
                uint32_t longRunning) const;
  /// Until when the slot is kept, if no more short work comes.
  TimePoint reservedUntil() const;

private:
  /// What is remembered of a flow or a caller.
  struct History {
    double LongShare = 0; ///< Moving share of long answers.
  };
  void updateHistory(uint64_t key, bool wasLong);
  std::optional<double> longShare(uint64_t key) const;

  LongWorkSettings Settings;          ///< Limits.
  AnswerTimes Times;                  ///< Answers of the whole service.
  std::optional<TimePoint> LastShort; ///< Last arrival of short work.
  std::unordered_map<uint64_t, History>
      Histories;              ///< By flow or caller; never iterated.
  std::deque<uint64_t> Order; ///< Keys of Known, oldest first.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_LONGWORKGUARD_H

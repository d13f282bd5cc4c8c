#ifndef BALSAMRACK_DECISIONS_WAITESTIMATE_H
#define BALSAMRACK_DECISIONS_WAITESTIMATE_H

#include <cstdint>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/AnswerTimes.h"
#include "Balsamrack/Decisions/OwnerSettings.h"

namespace balsamrack {

/// Estimates the wait for one backend server, and assigns retry times to
/// refused requests.
///
/// Guards against saturation and synchronised retries. Without it, a request
/// whose remaining time cannot cover the wait takes a place in the queue, is
/// dispatched late, and its answer reaches nobody: at ten times the capacity
/// hardly any answer is in time. If all refused requests were given the same
/// time, they would return as one burst.
///
/// The wait is the mean of recent answer times divided by the slots in use,
/// because the time to serve a queue is a sum. A request is queued only if the
/// expected wait is at most half of its remaining time. The other half is for
/// its own processing, which varies (with only a tenth left, as a full queue
/// leaves it, a third of the work done under overload is late), and keeps the
/// queue from being permanently full. While no other request needs the slot, a
/// request may be tried if its remaining time covers the time in which the
/// fastest tenth is answered. Under pressure it must cover the time in which
/// nine tenths are answered; otherwise it would take the slot from a request
/// that can be answered in time. Each refusal reserves a retry time at the rate
/// at which the server works, so that as many requests return as can be served,
/// plus a random part of up to half of that delay against synchronised callers
/// (jitter: Floyd, Jacobson 1993). Not thread-safe.
class WaitEstimate {
public:
  /// Number of answers needed before measured times are used.
  static constexpr size_t MinSamples = 4;

  /// Precondition: \p settings were checked.
  explicit WaitEstimate(const WaitSettings &settings);

  /// False while the initial estimate is used.
  bool hasSamples() const { return Times.count() >= MinSamples; }
  /// Sets the initial estimate of the answer time, from the ticket.
  void setExpected(Duration expected) { Expected = expected; }
  /// Records an answer time.
  void recordAnswer(Duration took) { Times.add(took); }
  /// Expected wait of a request behind \p ahead others, with all of \p slots in
  /// use. Zero slots count as one.
  Duration waitFor(uint32_t ahead, uint32_t slots) const;
  /// The longest expected wait for which a request with remaining time \p left
  /// may be queued.
  Duration maxWait(Duration left) const;
  /// Expected remaining time of work that has been running for \p age. Until
  /// answers were recorded it is expected to run for as long again.
  Duration remaining(Duration age) const;
  /// Mean answer time, or the initial estimate.
  Duration mean() const;
  /// The time in which the fastest tenth is answered, or half the initial
  /// estimate.
  Duration fast() const;
  /// The time in which nine tenths are answered, or twice the initial estimate.
  Duration slow() const;
  /// Median answer time, or the initial estimate.
  Duration typical() const;
  /// Reserves a retry time for a request refused at \p now behind \p backlog of
  /// queued work, and returns the delay until then.
  Duration scheduleRetry(TimePoint now, Duration backlog, uint32_t slots,
                         RandomSource &random);

private:
  WaitSettings Settings;     ///< Bounds and fractions.
  Duration Expected{50'000}; ///< Initial estimate of the answer time.
  AnswerTimes Times;         ///< Recorded answer times.
  TimePoint NextRetry;       ///< Latest reserved retry time.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_WAITESTIMATE_H

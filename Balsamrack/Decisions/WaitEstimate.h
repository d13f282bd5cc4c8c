#ifndef BALSAMRACK_DECISIONS_WAITESTIMATE_H
#define BALSAMRACK_DECISIONS_WAITESTIMATE_H

#include <cstdint>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/AnswerTimes.h"
#include "Balsamrack/Decisions/OwnerSettings.h"

namespace balsamrack {

/// Expected wait before one backend server, and when the refused come back.
///
/// Answers: saturation, and callers that come back. Without it a request whose
/// time can't cover the wait takes a place, is dispatched late, and its answer
/// reaches nobody: at ten times the capacity hardly an answer is in time. And
/// when all refused requests are told the same time they return in one herd.
///
/// Thresholds: the wait is the mean of the last answer times over the slots in
/// use, because a queue's length in time is a sum. A request waits only if that
/// takes half its remaining time at most: the other half is for its own work,
/// which varies (with a tenth left, as a full queue leaves it, a third of the
/// work done under overload comes too late), and keeps the queue from standing
/// full. While nobody else needs the slot, a request may try with the time in
/// which the fastest tenth is answered; under pressure it must have the time in
/// which nine tenths are, or it takes the slot from one that can make it. Each
/// refusal books a return at the pace at which the server works, so that what
/// returns is what can be served, plus a random part of up to a half of the
/// booked time against callers that move in step (jitter: Floyd, Jacobson
/// 1993). Not thread-safe.
class WaitEstimate {
public:
  static constexpr size_t MinSamples = 4; ///< Answers before they count.

  /// Precondition: \p settings were checked.
  explicit WaitEstimate(const WaitSettings &settings);

  /// False while the first guess has to do.
  bool hasSamples() const { return Times.count() >= MinSamples; }
  /// Sets the first guess of an answer time, from the ticket.
  void setExpected(Duration expected) { Expected = expected; }
  /// Notes an answer.
  void recordAnswer(Duration took) { Times.add(took); }
  /// Expected wait of a request with \p ahead requests before it, all of \p
  /// slots being in use. A server without slots counts as one with one.
  Duration waitFor(uint32_t ahead, uint32_t slots) const;
  /// The longest wait that a request with \p left may be queued for.
  Duration maxWait(Duration left) const;
  /// How long work that has run for \p age will go on. Until answers were seen
  /// it is expected to run for as long again.
  Duration remaining(Duration age) const;
  /// Mean answer time, or the first guess.
  Duration mean() const;
  /// The time in which the fastest tenth is answered, or half the first guess.
  Duration fast() const;
  /// The time in which nine tenths are answered, or twice the first guess.
  Duration slow() const;
  /// Median answer time, or the first guess.
  Duration typical() const;
  /// When a request refused at \p now, with \p backlog of waiting work, should
  /// come back.
  Duration scheduleRetry(TimePoint now, Duration backlog, uint32_t slots,
                         RandomSource &random);

private:
  WaitSettings Settings;     ///< Limits.
  Duration Expected{50'000}; ///< First guess of an answer time.
  AnswerTimes Times;         ///< Answers seen.
  TimePoint NextRetry;       ///< Up to here returns are booked.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_WAITESTIMATE_H

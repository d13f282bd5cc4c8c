#ifndef BALSAMRACK_DECISIONS_ADMISSIONQUEUE_H
#define BALSAMRACK_DECISIONS_ADMISSIONQUEUE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// A request that waits, or is about to.
struct QueuedRequest {
  Envelope Head;           ///< As it arrived.
  TimePoint Deadline;      ///< When its remaining time is over.
  TimePoint Since;         ///< When it arrived.
  bool LongWork = false;   ///< Expected to be long, see LongWorkGuard.
  uint32_t Attempts = 0;   ///< Dispatches so far.
  bool MayHaveRun = false; ///< An earlier dispatch failed after it had left.
};

/// The requests that wait for one backend server.
///
/// Answers: bursts, and a few callers that take most of the load. Without a
/// bound the wait grows past every deadline, so that under lasting overload the
/// server works for callers who have left. In order of arrival a caller with a
/// hundred requests makes everybody else wait for all of them.
///
/// How: callers are served in rounds, one request of each caller a round (fair
/// queueing: Nagle 1987; Demers, Keshav, Shenker 1989); within a round, and
/// among one caller's own requests, the earliest deadline goes first. A caller
/// that joins waits for the round in progress at most, so a stream of new
/// callers can't starve the old ones. When the queue is full, the caller with
/// most requests loses its latest one to a caller with fewer (longest queue
/// drop: Suter, Lakshman, Stiliadis, Choudhury 1999): a caller alone may use
/// the whole queue, and nobody needs a fixed share.
///
/// Thresholds: the capacity comes from the ticket (Service::QueuePerServer);
/// at 2 slots and 50 ms an answer 32 requests wait 0.8 s. Not thread-safe.
class AdmissionQueue {
public:
  /// What push() decided.
  struct Verdict {
    Reason Refused = Reason::None; ///< None: the request waits now.
    std::optional<QueuedRequest>
        Evicted; ///< Must be ended with CallerShare in its place.
  };

  /// \p fair false gives plain order of arrival, to compare with.
  AdmissionQueue(uint32_t capacity, bool fair);

  /// Queues \p request, or says why not. Precondition: its id is not queued.
  Verdict push(const QueuedRequest &request);
  /// Takes the request whose turn it is; without \p allowLong the next one that
  /// is not long work. Nothing when there is none.
  std::optional<QueuedRequest> pop(bool allowLong);
  /// Counts a request of \p caller that went to the server without waiting.
  void recordBypass(CallerId caller);
  /// Takes one request out. Nothing when it is not queued.
  std::optional<QueuedRequest> remove(RequestId request);
  /// Takes out those whose deadline is not after \p when, earliest first.
  std::vector<QueuedRequest> removeExpired(TimePoint when);
  /// Takes out all, in the order of their turns.
  std::vector<QueuedRequest> removeAll();
  /// Requests of the same kind that would be served before one of \p caller
  /// with \p deadline: long work and short don't wait for each other.
  uint32_t countAhead(CallerId caller, TimePoint deadline, bool longWork) const;
  /// The earliest deadline; nothing when the queue is empty.
  std::optional<TimePoint> earliestDeadline() const;

  /// Changes the bound; what waits already stays.
  void setCapacity(uint32_t capacity) { Capacity = capacity; }
  /// The bound.
  uint32_t capacity() const { return Capacity; }
  /// Requests that wait.
  uint32_t size() const { return Size; }
  /// True when none waits.
  bool empty() const { return Size == 0; }

private:
  /// A waiting request with its place among equals.
  struct Entry {
    QueuedRequest What; ///< The request.
    uint64_t Sequence;  ///< Order of arrival.
  };
  /// Requests of one caller.
  struct CallerQueue {
    uint64_t Round = 0;         ///< Round in which its next one is served.
    std::vector<Entry> Waiting; ///< By deadline, then arrival.
  };
  using CallerQueues = std::map<CallerId, CallerQueue>;

  CallerId queueKey(const QueuedRequest &request) const;
  CallerQueues::iterator longestQueue();
  size_t waitingCallers() const;
  CallerQueues::iterator nextQueue(bool allowLong, size_t &index);
  void releaseEntry(const QueuedRequest &request);
  QueuedRequest removeAt(CallerQueues::iterator line, size_t index);
  void eraseServedCallers();

  uint32_t Capacity;                  ///< Bound of Size.
  bool Fair;                          ///< False: all callers share one line.
  uint32_t Size = 0;                  ///< Requests in all lines.
  uint64_t Round = 0;                 ///< Round in progress.
  uint64_t NextSequence = 0;          ///< For the next arrival.
  std::multiset<TimePoint> Deadlines; ///< Of all that wait.
  CallerQueues ByCaller; ///< Callers that wait or were served in this round.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_ADMISSIONQUEUE_H

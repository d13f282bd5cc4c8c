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

/// A request that is queued, or about to be.
struct QueuedRequest {
  Envelope Head;         ///< Request header as received.
  TimePoint Deadline;    ///< End of its remaining time.
  TimePoint Since;       ///< Time of arrival.
  bool LongWork = false; ///< Expected to be long work, see LongWorkGuard.
  uint32_t Attempts = 0; ///< Number of dispatches so far.
  /// An earlier dispatch failed after the request had been sent.
  bool MayHaveRun = false;
};

/// Queue of the requests for one backend server.
///
/// Guards against bursts, and against a few callers that cause most of the
/// load. Without a bound, the wait exceeds every deadline, so under sustained
/// overload the server works for callers that have left. In order of arrival, a
/// caller with a hundred requests makes everyone else wait for all of them.
///
/// Callers are served in rounds, one request of each caller per round (fair
/// queueing: Nagle 1987; Demers, Keshav, Shenker 1989). Within a round, and
/// among the requests of one caller, the earliest deadline comes first. A new
/// caller waits at most for the round in progress, so a stream of new callers
/// cannot starve the old ones. When the queue is full, the caller with the most
/// requests loses its last one to a caller with fewer (longest queue drop:
/// Suter, Lakshman, Stiliadis, Choudhury 1999): a single caller may use the
/// whole queue, and no caller needs a fixed share.
///
/// The capacity comes from the ticket (Service::QueuePerServer). With 2 slots
/// and 50 ms per answer, 32 requests wait 0.8 s. Not thread-safe.
class AdmissionQueue {
public:
  /// Result of push().
  struct Verdict {
    Reason Refused = Reason::None; ///< Reason::None if the request was queued.
    /// A request removed in its favour, to be ended with CallerOverFairShare.
    std::optional<QueuedRequest> Evicted;
  };

  /// If \p fair is false, requests are served in order of arrival, for
  /// comparison.
  AdmissionQueue(uint32_t capacity, bool fair);

  /// Queues \p request, or returns the reason for refusing it. Precondition:
  /// its id is not queued.
  Verdict push(const QueuedRequest &request);
  /// Removes and returns the next request; without \p allowLong the next one
  /// that is not long work. Nothing if there is none.
  std::optional<QueuedRequest> pop(bool allowLong);
  /// Counts a request of \p caller that was dispatched without queueing.
  void recordBypass(CallerId caller);
  /// Removes and returns \p request. Nothing if it is not queued.
  std::optional<QueuedRequest> remove(RequestId request);
  /// Removes and returns the requests whose deadline is not after \p when,
  /// earliest first.
  std::vector<QueuedRequest> removeExpired(TimePoint when);
  /// Removes and returns all requests in service order.
  std::vector<QueuedRequest> removeAll();
  /// Number of requests of the same kind that would be served before one of \p
  /// caller with \p deadline. Long and short work do not wait for each other.
  uint32_t countAhead(CallerId caller, TimePoint deadline, bool longWork) const;
  /// The earliest deadline; nothing if the queue is empty.
  std::optional<TimePoint> earliestDeadline() const;

  /// Changes the capacity; requests already queued stay.
  void setCapacity(uint32_t capacity) { Capacity = capacity; }
  /// Maximum number of queued requests.
  uint32_t capacity() const { return Capacity; }
  /// Number of queued requests.
  uint32_t size() const { return Size; }
  /// True if no request is queued.
  bool empty() const { return Size == 0; }

private:
  /// A queued request with its order of arrival.
  struct Entry {
    QueuedRequest What; ///< The request.
    uint64_t Sequence;  ///< Order of arrival.
  };
  /// Requests of one caller.
  struct CallerQueue {
    uint64_t Round = 0;         ///< Round in which its next request is served.
    std::vector<Entry> Waiting; ///< Ordered by deadline, then arrival.
  };
  using CallerQueues = std::map<CallerId, CallerQueue>;

  CallerId queueKey(const QueuedRequest &request) const;
  CallerQueues::iterator longestQueue();
  size_t waitingCallers() const;
  CallerQueues::iterator nextQueue(bool allowLong, size_t &index);
  void releaseEntry(const QueuedRequest &request);
  QueuedRequest removeAt(CallerQueues::iterator line, size_t index);
  void eraseServedCallers();

  uint32_t Capacity;         ///< Upper bound of Size.
  bool Fair;                 ///< If false, all callers share one queue.
  uint32_t Size = 0;         ///< Number of requests of all callers.
  uint64_t Round = 0;        ///< Round in progress.
  uint64_t NextSequence = 0; ///< Sequence number of the next arrival.
  std::multiset<TimePoint> Deadlines; ///< Deadlines of all queued requests.
  /// Callers with queued requests, or served in this round.
  CallerQueues ByCaller;
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_ADMISSIONQUEUE_H

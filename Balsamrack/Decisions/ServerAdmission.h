#ifndef BALSAMRACK_DECISIONS_SERVERADMISSION_H
#define BALSAMRACK_DECISIONS_SERVERADMISSION_H

#include <cstdint>
#include <optional>

#include "Balsamrack/Decisions/AdmissionQueue.h"
#include "Balsamrack/Decisions/ColdStartRamp.h"
#include "Balsamrack/Decisions/DispatchPause.h"
#include "Balsamrack/Decisions/DrainTracker.h"
#include "Balsamrack/Decisions/OwnerActions.h"
#include "Balsamrack/Decisions/OwnerContext.h"
#include "Balsamrack/Decisions/OwnerEvents.h"
#include "Balsamrack/Decisions/SlotTable.h"
#include "Balsamrack/Decisions/WaitEstimate.h"

namespace balsamrack {

/// Admission control for one owned backend server. Combines its queue, slots,
/// ramp, wait estimates and drain state into a decision for each request. Not
/// thread-safe.
class ServerAdmission {
public:
  /// Precondition: \p context outlives this object.
  ServerAdmission(OwnerContext &context, const OwnedServer &owned,
                  TimePoint now);

  /// Applies the server's configuration from the ticket and from operators.
  void update(TimePoint now, const OwnedServer &owned);
  /// Holds slots for requests that the previous owner left in progress.
  void inheritInProgress(TimePoint now, const OwnedServer &owned);
  /// Gives up ownership: queued requests end, running ones continue.
  void relinquish(TimePoint now);
  /// Dispatches, queues or refuses a request.
  void handleArrival(TimePoint now, const RequestArrived &event);
  /// Ends \p request if it is queued, or cancels it on the server if it is
  /// running. Returns false if it is neither.
  bool cancel(TimePoint now, RequestId request);
  /// Ends or retries the request of a finished dispatch. Returns false if the
  /// dispatch is unknown.
  bool handleDispatchEnd(TimePoint now, const DispatchEnded &event);
  /// Processes a health report of the server.
  void handleHealth(TimePoint now, const HealthReported &event);
  /// Ends queued requests that can no longer be served in time, and dispatches
  /// those that fit.
  void processQueue(TimePoint now);

  /// Returns the state for operators.
  ServerReport report(TimePoint now) const;
  /// Time at which processQueue() must be called even without an event. \p now
  /// is the time of the last step.
  std::optional<TimePoint> nextWakeup(TimePoint now) const;
  /// True if nothing is queued or running.
  bool isIdle() const { return Queue.empty() && Slots.running() == 0; }
  /// False after relinquish().
  bool isOwned() const { return Owned; }

private:
  std::optional<RequestEnd> checkAdmission(TimePoint now,
                                           const RequestArrived &event);
  std::optional<RequestEnd> checkDeadline(TimePoint now,
                                          const QueuedRequest &what);
  bool mayDispatch(TimePoint now) const;
  bool canStart(TimePoint now, const QueuedRequest &what) const;
  void enqueue(TimePoint now, const QueuedRequest &what);
  void dispatch(TimePoint now, QueuedRequest what);
  void endQueued(TimePoint now, OutcomeKind how, Reason why);
  void endRequest(const QueuedRequest &what, RequestEnd how);
  RequestEnd makeNotRun(TimePoint now, Reason why, Duration backlog);
  RequestEnd makeRetryElsewhere(Reason why) const;
  void recordDispatchEnd(TimePoint now, const RunningRequest &run,
                         const DispatchEnded &event);
  void recordUndelivered(TimePoint now, const DispatchEnded &event);
  void recordFailedDispatch(TimePoint now, const RunningRequest &run,
                            const DispatchEnded &event);
  bool retry(TimePoint now, const RunningRequest &run,
             const DispatchEnded &event);
  RequestEnd makeRequestEnd(TimePoint now, const RunningRequest &run,
                            const DispatchEnded &event);
  void explainRamp(const char *rule);
  void explainEjection(const char *rule);
  void updateInstance(TimePoint now, const InstanceId &instance);
  void publishCondition();

  uint32_t usableSlots(TimePoint now, bool longWork) const;
  Duration dispatchBlockedFor(TimePoint now) const;
  Duration longWorkBlockedFor(TimePoint now) const;
  Duration requiredTime() const;
  const WaitEstimate &waitEstimate(bool longWork) const;
  DecisionInputs inputs() const;

  OwnerContext &Context; ///< Shared with the other servers of the service.
  BackendServer Server;  ///< Configuration from the ticket.
  bool Owned = false;    ///< See isOwned().
  TimePoint DispatchAllowedFrom; ///< No dispatch before this time, when an
                                 ///< earlier owner's authority ends.
  AdmissionQueue Queue;          ///< Queued requests.
  SlotTable Slots;               ///< Requests in progress.
  ColdStartRamp Ramp;            ///< Limit on requests in progress.
  WaitEstimate Waits;            ///< Wait estimate for short work.
  WaitEstimate LongWaits;        ///< Wait estimate for long work.
  DrainTracker Drain;            ///< Drain state.
  uint32_t Flows = 0;            ///< Flows on the server at the last arrival.
  DispatchPause Pause;       ///< Pause after shed load or failed connections.
  bool ReportedReady = true; ///< Readiness in its last health report.
  TimePoint LastAnswer;      ///< Time of the server's last answer.

  ServerCondition PublishedCondition; ///< The condition published last.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SERVERADMISSION_H

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

/// Admission to one owned backend server: joins its queue, slots, ramp, wait
/// estimate and drain into one verdict for each request. Not thread-safe.
class ServerAdmission {
public:
  /// Precondition: \p context outlives this.
  ServerAdmission(OwnerContext &context, const OwnedServer &owned,
                  TimePoint now);

  /// Takes over what the ticket and control say of the server.
  void update(TimePoint now, const OwnedServer &owned);
  /// Counts what the owner before left in progress.
  void inheritInProgress(TimePoint now, const OwnedServer &owned);
  /// The daemon owns the server no more: what waits ends, what runs goes on.
  void relinquish(TimePoint now);
  /// Dispatches, queues or refuses a request.
  void handleArrival(TimePoint now, const RequestArrived &event);
  /// Ends \p request if it waits, tells the server if it runs. False when it is
  /// not here.
  bool cancel(TimePoint now, RequestId request);
  /// Ends or retries the request of a dispatch. False when it is not here.
  bool handleDispatchEnd(TimePoint now, const DispatchEnded &event);
  /// Takes in the server's own word.
  void handleHealth(TimePoint now, const HealthReported &event);
  /// Ends what can't be served any more and dispatches what fits.
  void processQueue(TimePoint now);

  /// State for operators.
  ServerReport report(TimePoint now) const;
  /// When settle() is due for time alone. \p now is the last step's.
  std::optional<TimePoint> nextWakeup(TimePoint now) const;
  /// Nothing waits and nothing runs.
  bool isIdle() const { return Queue.empty() && Slots.running() == 0; }
  /// False after depart().
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
  void endQueued(TimePoint now, Ending how, Reason why);
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

  OwnerContext &Context;         ///< Shared with the other servers.
  BackendServer Server;          ///< As the ticket says.
  bool Owned = false;            ///< See owned().
  TimePoint DispatchAllowedFrom; ///< End of an earlier owner's authority.
  AdmissionQueue Queue;          ///< What waits.
  SlotTable Slots;               ///< What is in progress.
  ColdStartRamp Ramp;            ///< How much may be in progress.
  WaitEstimate Waits;            ///< How long short work will wait.
  WaitEstimate LongWaits;        ///< How long long work will wait.
  DrainTracker Drain;            ///< Its way out.
  uint32_t Flows = 0;            ///< At the last arrival.
  DispatchPause Pause;           ///< After a shed or an unreachable server.
  bool ReportedReady = true;     ///< Its last word on its health.
  TimePoint LastAnswer;          ///< When the server last answered anything.

  ServerCondition PublishedCondition; ///< What was last passed on.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SERVERADMISSION_H

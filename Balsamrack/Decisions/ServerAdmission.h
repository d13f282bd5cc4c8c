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
  void inherit(TimePoint now, const OwnedServer &owned);
  /// The daemon owns the server no more: what waits ends, what runs goes on.
  void depart(TimePoint now);
  /// Dispatches, queues or refuses a request.
  void arrive(TimePoint now, const RequestArrived &event);
  /// Ends \p request if it waits, tells the server if it runs. False when it is
  /// not here.
  bool cancel(TimePoint now, RequestId request);
  /// Ends or retries the request of a dispatch. False when it is not here.
  bool dispatchEnded(TimePoint now, const DispatchEnded &event);
  /// Takes in the server's own word.
  void health(TimePoint now, const HealthReported &event);
  /// Ends what can't be served any more and dispatches what fits.
  void settle(TimePoint now);

  /// State for operators.
  ServerReport report(TimePoint now) const;
  /// When settle() is due for time alone. \p now is the last step's.
  std::optional<TimePoint> nextWakeup(TimePoint now) const;
  /// Nothing waits and nothing runs.
  bool idle() const { return Queue.empty() && Slots.running() == 0; }
  /// False after depart().
  bool owned() const { return Owned; }

private:
  std::optional<RequestEnd> refusal(TimePoint now, const RequestArrived &event);
  std::optional<RequestEnd> hopeless(TimePoint now, const QueuedRequest &what);
  bool mayDispatch(TimePoint now) const;
  bool canStart(TimePoint now, const QueuedRequest &what) const;
  void enqueue(TimePoint now, const QueuedRequest &what);
  void dispatch(TimePoint now, QueuedRequest what);
  void endAll(TimePoint now, OutcomeKind how, Reason why);
  void end(const QueuedRequest &what, RequestEnd how);
  RequestEnd notRun(TimePoint now, Reason why, Duration backlog);
  RequestEnd elsewhere(Reason why) const;
  void noteServer(TimePoint now, const RunningRequest &run,
                  const DispatchEnded &event);
  void noteUndelivered(TimePoint now, const DispatchEnded &event);
  void noteFailed(TimePoint now, const RunningRequest &run,
                  const DispatchEnded &event);
  bool retry(TimePoint now, const RunningRequest &run,
             const DispatchEnded &event);
  RequestEnd endOf(TimePoint now, const RunningRequest &run,
                   const DispatchEnded &event);
  void explainRamp(const char *rule);
  void explainEjection(const char *rule);
  void noteInstance(TimePoint now, const InstanceId &instance);
  void tellCondition();

  uint32_t lanes(TimePoint now, bool longWork) const;
  Duration blockedFor(TimePoint now) const;
  Duration longBlock(TimePoint now) const;
  Duration needed() const;
  const WaitEstimate &waitsOf(bool longWork) const;
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
  bool SaidReady = true;         ///< Its last word on its health.
  TimePoint LastAnswer;          ///< When the server last answered anything.

  ServerCondition Told; ///< What was last passed on.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SERVERADMISSION_H

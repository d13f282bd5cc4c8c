#include "Balsamrack/Decisions/ServerAdmission.h"

// The part of ServerAdmission that processes the results of dispatches.

namespace balsamrack {

namespace {

/// A dispatch that timed out counts as a server failure if it took at least
/// this many times the duration within which nine of ten requests are answered.
constexpr int64_t TimeoutFailureFactor = 3;
constexpr uint32_t FirstServerError = 500; ///< HTTP status codes.
constexpr uint32_t ServiceUnavailable = 503;

} // namespace

bool ServerAdmission::handleDispatchEnd(TimePoint now,
                                        const DispatchEnded &event) {
  std::optional<RunningRequest> run = Slots.end(event.Request);
  if (!run)
    return false;
  Ramp.recordDispatchEnd(now);
  updateInstance(now, event.Instance);
  recordDispatchEnd(now, *run, event);
  if (event.How == DispatchOutcome::Failed)
    run->What.MayHaveRun = true;
  if (!retry(now, *run, event))
    endRequest(run->What, makeRequestEnd(now, *run, event));
  publishCondition();
  processQueue(now);
  return true;
}

void ServerAdmission::recordDispatchEnd(TimePoint now,
                                        const RunningRequest &run,
                                        const DispatchEnded &event) {
  if (event.How == DispatchOutcome::Failed) {
    recordFailedDispatch(now, run, event);
    return;
  }
  if (event.How != DispatchOutcome::Answered) {
    recordUndelivered(now, event);
    return;
  }
  bool good = event.HttpStatus < FirstServerError;
  LastAnswer = now;
  Pause.reportAnswered();
  bool isLong = Context.LongWork.isLong(event.Took);
  (isLong ? LongWaits : Waits).recordAnswer(event.Took);
  Context.LongWork.recordAnswer(run.What.Head, event.Took);
  // Work known to be long is no measure of the server's speed.
  std::optional<Duration> took = event.Took;
  if (run.What.LongWork)
    took.reset();
  explainEjection(Context.Ejection.recordResult(now, Server.Id, good, took));
  if (good) {
    Context.Retries.recordSuccess();
    explainRamp(Ramp.recordAnswer(now, took));
  } else if (event.HttpStatus == ServiceUnavailable) {
    explainRamp(Ramp.recordFailure(now, "server-unavailable"));
  }
}

void ServerAdmission::recordUndelivered(TimePoint now,
                                        const DispatchEnded &event) {
  bool shed = event.How == DispatchOutcome::Shed;
  // Without authority the daemon itself did not send the request, which is no
  // fault of the server.
  if (!shed && !Context.MayDispatch)
    return;
  if (shed)
    Pause.reportShed(now, event.RetryAfter);
  else
    Pause.reportUnreachable(now);
  Context.Retries.recordRefusal();
  explainEjection(
      Context.Ejection.recordResult(now, Server.Id, false, event.Took));
  explainRamp(
      Ramp.recordFailure(now, shed ? "server-shed" : "server-unreachable"));
  if (Pause.isUnreachable())
    endQueued(now, OutcomeKind::NotRun, Reason::ServerUnreachable);
}

void ServerAdmission::recordFailedDispatch(TimePoint now,
                                           const RunningRequest &run,
                                           const DispatchEnded &event) {
  Slots.abandon(now, run.What.Deadline, Waits.slow(), Ramp.isWarm());
  // A short deadline or a cancellation by the caller is no fault of the server,
  // nor is a single slow request while it answers others.
  bool timedOut = now >= run.What.Deadline;
  bool late = event.Took >= Waits.slow() * TimeoutFailureFactor &&
              LastAnswer < run.StartedAt;
  if (run.Cancelled || (timedOut && !late))
    return;
  explainEjection(
      Context.Ejection.recordResult(now, Server.Id, false, event.Took));
  explainRamp(
      Ramp.recordFailure(now, timedOut ? "server-timeout" : "server-broke"));
}

bool ServerAdmission::retry(TimePoint now, const RunningRequest &run,
                            const DispatchEnded &event) {
  const QueuedRequest &what = run.What;
  // Never dispatches a RunOnce request twice, whatever the result was.
  if (what.Head.Kind != Semantics::Idempotent || run.Cancelled ||
      event.How == DispatchOutcome::Answered ||
      what.Attempts >= Context.Settings.Retries.MaxAttempts)
    return false;
  if (!Owned || Drain.checkRefusal(now, false) ||
      Queue.size() >= Queue.capacity() || checkDeadline(now, what) ||
      !Context.Retries.tryConsume())
    return false;
  Queue.push(what);
  Context.Out.explainRetry(what, Server.Id, inputs());
  return true;
}

RequestEnd ServerAdmission::makeRequestEnd(TimePoint now,
                                           const RunningRequest &run,
                                           const DispatchEnded &event) {
  if (event.How == DispatchOutcome::Answered)
    return {OutcomeKind::Answered, Reason::None, Duration(0),
            Step::AwaitResponse};
  RequestEnd how = makeNotRun(now, Reason::ServerShed, dispatchBlockedFor(now));
  how.At = Step::Dispatch;
  if (event.How == DispatchOutcome::Unreachable)
    how.Why = Context.MayDispatch ? Reason::ServerUnreachable
                                  : Reason::OwnerWithoutAuthority;
  if (event.How == DispatchOutcome::Failed)
    how = {OutcomeKind::OutcomeUnknown,
           run.Cancelled ? Reason::CallerDisconnected : Reason::ServerFailed,
           Duration(0), Step::AwaitResponse};
  return how;
}

} // namespace balsamrack

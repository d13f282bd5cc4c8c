#include "Balsamrack/Decisions/ServerAdmission.h"

// The part of ServerAdmission that learns from the ends of dispatches.

namespace balsamrack {

namespace {

/// A timed out dispatch is the server's fault from this many times on the time
/// in which nine of ten are answered.
constexpr int64_t TimeoutBlame = 3;
constexpr uint32_t ServerErrorFrom = 500; ///< HTTP status codes.
constexpr uint32_t ServiceUnavailable = 503;

} // namespace

bool ServerAdmission::dispatchEnded(TimePoint now, const DispatchEnded &event) {
  std::optional<RunningRequest> run = Slots.end(event.Request);
  if (!run)
    return false;
  Ramp.proved(now);
  noteInstance(now, event.Instance);
  noteServer(now, *run, event);
  if (event.How == DispatchOutcome::Failed)
    run->What.MayHaveRun = true;
  if (!retry(now, *run, event))
    end(run->What, endOf(now, *run, event));
  tellCondition();
  settle(now);
  return true;
}

void ServerAdmission::noteServer(TimePoint now, const RunningRequest &run,
                                 const DispatchEnded &event) {
  if (event.How == DispatchOutcome::Failed) {
    noteFailed(now, run, event);
    return;
  }
  if (event.How != DispatchOutcome::Answered) {
    noteUndelivered(now, event);
    return;
  }
  bool good = event.HttpStatus < ServerErrorFrom;
  LastAnswer = now;
  Pause.reportAnswered();
  bool isLong = Context.LongWork.isLong(event.Took);
  (isLong ? LongWaits : Waits).seen(event.Took);
  Context.LongWork.learn(run.What.Head, event.Took);
  // Work known to be long says nothing of the server's speed.
  std::optional<Duration> took = event.Took;
  if (run.What.LongWork)
    took.reset();
  explainEjection(Context.Ejection.noted(now, Server.Id, good, took));
  if (good) {
    Context.Retries.succeeded();
    explainRamp(Ramp.answered(now, took));
  } else if (event.HttpStatus == ServiceUnavailable) {
    explainRamp(Ramp.faltered(now, "server-unavailable"));
  }
}

void ServerAdmission::noteUndelivered(TimePoint now,
                                      const DispatchEnded &event) {
  bool shed = event.How == DispatchOutcome::Shed;
  // Without authority it was the daemon that did not send: no fault of the
  // server.
  if (!shed && !Context.MayDispatch)
    return;
  if (shed)
    Pause.reportShed(now, event.RetryAfter);
  else
    Pause.reportUnreachable(now);
  Context.Retries.refused();
  explainEjection(Context.Ejection.noted(now, Server.Id, false, event.Took));
  explainRamp(Ramp.faltered(now, shed ? "server-shed" : "server-unreachable"));
  if (Pause.isUnreachable())
    endAll(now, OutcomeKind::NotRun, Reason::ServerUnreachable);
}

void ServerAdmission::noteFailed(TimePoint now, const RunningRequest &run,
                                 const DispatchEnded &event) {
  Slots.abandon(now, run.What.Deadline, Waits.slow(), Ramp.warm());
  // A caller's short deadline or its leaving is no fault of the server, nor is
  // one slow request while it answers others.
  bool timedOut = now >= run.What.Deadline;
  bool late =
      event.Took >= Waits.slow() * TimeoutBlame && LastAnswer < run.StartedAt;
  if (run.Cancelled || (timedOut && !late))
    return;
  explainEjection(Context.Ejection.noted(now, Server.Id, false, event.Took));
  explainRamp(Ramp.faltered(now, timedOut ? "server-timeout" : "server-broke"));
}

bool ServerAdmission::retry(TimePoint now, const RunningRequest &run,
                            const DispatchEnded &event) {
  const QueuedRequest &what = run.What;
  // Never a second dispatch of a RunOnce request, whatever the server said.
  if (what.Head.Kind != Semantics::Idempotent || run.Cancelled ||
      event.How == DispatchOutcome::Answered ||
      what.Attempts >= Context.Settings.Retries.MostAttempts)
    return false;
  if (!Owned || Drain.refuses(now, false) || Queue.size() >= Queue.capacity() ||
      hopeless(now, what) || !Context.Retries.take())
    return false;
  Queue.push(what);
  Context.Out.retried(what, Server.Id, inputs());
  return true;
}

RequestEnd ServerAdmission::endOf(TimePoint now, const RunningRequest &run,
                                  const DispatchEnded &event) {
  if (event.How == DispatchOutcome::Answered)
    return {OutcomeKind::Answered, Reason::None, Duration(0),
            Step::AwaitAnswer};
  RequestEnd how = notRun(now, Reason::ServerShed, blockedFor(now));
  how.At = Step::Dispatch;
  if (event.How == DispatchOutcome::Unreachable)
    how.Why =
        Context.MayDispatch ? Reason::ServerUnreachable : Reason::OwnerUnsure;
  if (event.How == DispatchOutcome::Failed)
    how = {OutcomeKind::OutcomeUnknown,
           run.Cancelled ? Reason::CallerGone : Reason::ServerFailed,
           Duration(0), Step::AwaitAnswer};
  return how;
}

} // namespace balsamrack

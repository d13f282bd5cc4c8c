#include "Balsamrack/Decisions/ServerAdmission.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// Upper bound of the requests that a previous owner left in progress, more
/// than a server has slots.
constexpr uint32_t MaxInheritedRequests = 1024;

/// Upper bound on remaining times, so that sums of times do not overflow on
/// values supplied by callers.
constexpr Duration MaxRemaining{3'600'000'000};
/// A health report may have been made before dispatches that ended this
/// recently, so it says nothing about them.
constexpr Duration HealthLag{250'000};
/// Assumed duration of requests that the previous owner left in progress.
constexpr Duration InheritedSlotHold{1'000'000};

} // namespace

ServerAdmission::ServerAdmission(OwnerContext &context,
                                 const OwnedServer &owned, TimePoint now)
    : Context(context), Queue(context.Config.QueuePerServer,
                              context.Settings.Queue.FairAmongCallers),
      Ramp(context.Settings.Ramp, owned.Server.Slots, now),
      Waits(context.Settings.Waits), LongWaits(context.Settings.Waits) {
  update(now, owned);
}

void ServerAdmission::update(TimePoint now, const OwnedServer &owned) {
  Server = owned.Server;
  DispatchAllowedFrom = owned.DispatchAllowedFrom;
  Queue.setCapacity(Context.Config.QueuePerServer);
  Waits.setExpected(Context.Config.ExpectedServiceTime);
  LongWaits.setExpected(Context.Config.ExpectedServiceTime);
  if (!Owned) {
    // The server is new here, or returned from another owner during whose
    // ownership it may have restarted. Assumes the worst case.
    Owned = true;
    Ramp = ColdStartRamp(Context.Settings.Ramp, Server.Slots, now);
    if (owned.LastKnown.Warm)
      Ramp.trustInstance(owned.LastKnown.Instance);
    inheritInProgress(now, owned);
  }
  Ramp.setSlots(Server.Slots);
  Ramp.setExpected(Context.Config.ExpectedServiceTime);
  bool wasOut = Drain.isDomainOut();
  if (Drain.update(now, Server, owned.DomainInService)) {
    // The servers of the domain may have restarted while it was out of service.
    // Starting all of them at their old limits would overload cold servers.
    if (wasOut && !Drain.isDomainOut())
      Ramp.resetForDomainReturn(now);
    Context.Out.explain(DecisionKind::Drained, Server.Id, Drain.rule(),
                        Drain.result(), inputs());
  }
}

void ServerAdmission::inheritInProgress(TimePoint now,
                                        const OwnedServer &owned) {
  // Requests that the previous owner left in progress still occupy slots.
  // Without this the server briefly received the work of both owners and shed
  // it.
  // The number comes from a peer.
  uint32_t inherited = std::min(owned.InProgress, MaxInheritedRequests);
  for (uint32_t i = 0; i < inherited; ++i)
    Slots.abandon(now, now + InheritedSlotHold, Waits.slow(),
                  owned.LastKnown.Warm);
}

void ServerAdmission::relinquish(TimePoint now) {
  Owned = false;
  endQueued(now, OutcomeKind::NotRun, Reason::NotOwner);
}

void ServerAdmission::handleArrival(TimePoint now,
                                    const RequestArrived &event) {
  processQueue(now);
  QueuedRequest what;
  what.Head = event.Head;
  what.Deadline = now + std::min(event.Head.Remaining, MaxRemaining);
  what.Since = now;
  what.LongWork =
      Context.LongWork.isExpectedLong(event.Head, LongWaits.typical());
  Flows = event.FlowsOnServer;
  if (!what.LongWork)
    Context.LongWork.recordShortArrival(now);
  if (auto refused = checkAdmission(now, event)) {
    endRequest(what, *refused);
    return;
  }
  // No queued request could start now, so starting this one is fair.
  if (canStart(now, what)) {
    Queue.recordBypass(what.Head.Caller);
    dispatch(now, std::move(what));
    return;
  }
  if (auto refused = checkDeadline(now, what)) {
    Context.Retries.recordRefusal();
    endRequest(what, *refused);
    return;
  }
  enqueue(now, what);
}

std::optional<RequestEnd>
ServerAdmission::checkAdmission(TimePoint now, const RequestArrived &event) {
  if (Context.ShuttingDown)
    return makeRetryElsewhere(Reason::ShuttingDown);
  if (!Owned)
    return makeRetryElsewhere(Reason::NotOwner);
  if (auto out = Drain.checkRefusal(now, event.NewFlow)) {
    RequestEnd how = makeRetryElsewhere(out->Why);
    how.How = out->How;
    return how;
  }
  if (event.Head.Remaining <= Duration(0))
    return RequestEnd{OutcomeKind::NotRun, Reason::DeadlinePassed};
  if (Pause.isUnreachable() && now < Pause.until())
    return makeNotRun(now, Reason::ServerUnreachable, Pause.until() - now);
  auto unsure = Context.authorityWaitEnd();
  if (unsure && now >= *unsure)
    return makeNotRun(now, Reason::OwnerWithoutAuthority, Duration(0));
  if (!event.NewFlow)
    return std::nullopt;
  if (event.FlowsOnServer >= Server.Connections)
    return makeRetryElsewhere(Reason::ServerFull);
  // The queue of a cold server is for its established flows; new flows go to a
  // warmer server.
  double share = Context.Settings.Queue.ColdShare * Queue.capacity();
  if (!Ramp.isWarm() && Queue.size() >= std::max(share, 1.0))
    return makeRetryElsewhere(Reason::ServerCold);
  if (!Context.Ejection.tryAdmit(now, Server.Id, event.Head.Request))
    return makeRetryElsewhere(Reason::ServerEjected);
  return std::nullopt;
}

std::optional<RequestEnd>
ServerAdmission::checkDeadline(TimePoint now, const QueuedRequest &what) {
  if (!Context.Settings.Waits.RefuseLate)
    return std::nullopt;
  const WaitEstimate &waits = waitEstimate(what.LongWork);
  uint32_t ahead =
      Queue.countAhead(what.Head.Caller, what.Deadline, what.LongWork);
  Duration blocked = dispatchBlockedFor(now) + longWorkBlockedFor(now);
  Duration wait = waits.waitFor(ahead, usableSlots(now, what.LongWork));
  Duration left = what.Deadline - now - blocked;
  Duration most = waits.maxWait(left);
  if (wait <= most)
    return std::nullopt;
  Reason why = Reason::DeadlineTooShort;
  if (what.Deadline - waits.fast() < DispatchAllowedFrom)
    why = Reason::OwnerWithoutAuthority;
  else if (!Ramp.isWarm() && waits.waitFor(ahead, Server.Slots) <= most)
    why = Reason::ServerCold;
  return makeNotRun(now, why, wait + blocked);
}

bool ServerAdmission::mayDispatch(TimePoint now) const {
  // Checks authority before each dispatch and not by a timer, since timers fire
  // late in a process that was paused.
  return Owned && Context.MayDispatch && now >= DispatchAllowedFrom &&
         now >= Pause.until() && !Drain.isDomainOut();
}

bool ServerAdmission::canStart(TimePoint now, const QueuedRequest &what) const {
  return mayDispatch(now) && Slots.used() < Ramp.limit() &&
         Context.LongWork.mayStart(
             now, what.LongWork, Ramp.limit(),
             Slots.longRunningCount(now, Context.LongWork));
}

void ServerAdmission::enqueue(TimePoint now, const QueuedRequest &what) {
  AdmissionQueue::Verdict verdict = Queue.push(what);
  if (verdict.Evicted) {
    Context.Retries.recordRefusal();
    endRequest(*verdict.Evicted,
               makeNotRun(now, Reason::CallerOverFairShare, Duration(0)));
  }
  if (verdict.Refused != Reason::None) {
    Context.Retries.recordRefusal();
    endRequest(what, makeNotRun(now, verdict.Refused, Duration(0)));
    return;
  }
  Context.Out.explainQueued(what, Server.Id, inputs());
}

void ServerAdmission::dispatch(TimePoint now, QueuedRequest what) {
  if (Slots.running() == 0)
    Ramp.recordStartFromIdle(now);
  ++what.Attempts;
  Context.Out.startDispatch(what, Server.Id, inputs());
  Slots.start(RunningRequest{std::move(what), now});
}

void ServerAdmission::endQueued(TimePoint now, OutcomeKind how, Reason why) {
  for (const QueuedRequest &what : Queue.removeAll()) {
    RequestEnd ending = makeNotRun(now, why, Duration(0));
    ending.How = how;
    endRequest(what, ending);
  }
}

void ServerAdmission::endRequest(const QueuedRequest &what, RequestEnd how) {
  Context.Ejection.finishProbe(Server.Id, what.Head.Request);
  Context.Out.endRequest(what, Server.Id, how, inputs());
}

RequestEnd ServerAdmission::makeNotRun(TimePoint now, Reason why,
                                       Duration backlog) {
  Duration queued = Waits.waitFor(Queue.size(), Ramp.limit());
  Duration after = Waits.scheduleRetry(now, std::max(backlog, queued),
                                       Ramp.limit(), Context.Random);
  return RequestEnd{OutcomeKind::NotRun, why, after};
}

RequestEnd ServerAdmission::makeRetryElsewhere(Reason why) const {
  // Another server or daemon may accept the request at once.
  return RequestEnd{OutcomeKind::NotRun, why,
                    Context.Settings.Waits.MinRetryAfter};
}

bool ServerAdmission::cancel(TimePoint now, RequestId request) {
  if (auto what = Queue.remove(request)) {
    endRequest(*what,
               RequestEnd{OutcomeKind::NotRun, Reason::CallerDisconnected});
    processQueue(now);
    return true;
  }
  RunningRequest *run = Slots.find(request);
  if (run == nullptr)
    return false;
  // The slot stays in use until the link reports that the dispatch has ended.
  if (!run->Cancelled)
    Context.Out.cancelDispatch(request, Server.Id);
  run->Cancelled = true;
  return true;
}

void ServerAdmission::handleHealth(TimePoint now, const HealthReported &event) {
  // Health reports may lag or be wrong, so they only reduce load. Only
  // abandoned slots, whose hold time is bounded anyway, are freed by them, and
  // not on a cold server, which one extra request could bring down.
  updateInstance(now, event.Instance);
  // Only a change counts: a server that answers well but is stuck at "not
  // ready" must not be limited to one request forever.
  if (!event.Ready && ReportedReady)
    explainRamp(Ramp.recordFailure(now, "not-ready"));
  ReportedReady = event.Ready;
  if (Ramp.isWarm() && event.InProgress <= Slots.running())
    Slots.releaseAbandonedUntil(now - HealthLag);
  publishCondition();
  processQueue(now);
}

void ServerAdmission::updateInstance(TimePoint now,
                                     const InstanceId &instance) {
  InstanceId before = Ramp.instance();
  explainRamp(Ramp.updateInstance(now, instance));
  // A new server process does not run the requests of the previous one.
  if (!before.empty() && Ramp.instance() != before)
    Slots.releaseAbandonedUntil(now);
}

void ServerAdmission::processQueue(TimePoint now) {
  Slots.releaseExpired(now);
  if (!Owned)
    return;
  if (auto out = Drain.checkRefusal(now, false))
    endQueued(now, out->How, out->Why);
  auto unsure = Context.authorityWaitEnd();
  if (unsure && now >= *unsure)
    endQueued(now, OutcomeKind::NotRun, Reason::OwnerWithoutAuthority);
  // Ends requests that can no longer be answered in time, including when work
  // that was not known to be long occupies all slots.
  Duration block = longWorkBlockedFor(now);
  bool blocked = block > Duration(0);
  for (const QueuedRequest &what :
       Queue.removeExpired(now + requiredTime() + block)) {
    Context.Retries.recordRefusal();
    endRequest(what, makeNotRun(now,
                                blocked ? Reason::DeadlineTooShort
                                        : Reason::DeadlinePassed,
                                block));
  }
  while (mayDispatch(now) && Slots.used() < Ramp.limit()) {
    bool allowLong = Context.LongWork.mayStart(
        now, true, Ramp.limit(), Slots.longRunningCount(now, Context.LongWork));
    std::optional<QueuedRequest> next = Queue.pop(allowLong);
    if (!next)
      break;
    dispatch(now, std::move(*next));
  }
}

ServerReport ServerAdmission::report(TimePoint now) const {
  ServerReport r;
  r.Server = Server.Id;
  r.Instance = Ramp.instance();
  r.Slots = Server.Slots;
  r.Limit = Ramp.limit();
  r.InProgress = Slots.running();
  r.Abandoned = Slots.abandoned();
  r.Queued = Queue.size();
  r.LongRunning = Slots.longRunningCount(now, Context.LongWork);
  r.Flows = Flows;
  r.Warm = Ramp.isWarm();
  r.Ejected = Context.Ejection.isEjected(Server.Id);
  r.Draining = Drain.isDraining();
  r.DomainOut = Drain.isDomainOut();
  r.MayDispatch = mayDispatch(now);
  r.TypicalAnswer = Waits.typical();
  r.ExpectedWait = Waits.waitFor(Queue.size(), Ramp.limit());
  return r;
}

std::optional<TimePoint> ServerAdmission::nextWakeup(TimePoint now) const {
  std::optional<TimePoint> next;
  auto add = [&next, now](std::optional<TimePoint> when) {
    if (when && *when > now)
      next = next ? std::min(*next, *when) : *when;
  };
  if (Queue.empty())
    return next;
  add(*Queue.earliestDeadline() - requiredTime());
  add(Slots.nextLongAt(now, Context.LongWork));
  // Until answer times of long work are known, its expected end recedes as fast
  // as time passes, so it meets the deadline halfway.
  Duration block = longWorkBlockedFor(now);
  if (block > Duration(0) && !LongWaits.hasSamples())
    add(now + (*Queue.earliestDeadline() - requiredTime() - block - now) / 2);
  add(Slots.nextRelease());
  add(DispatchAllowedFrom);
  add(Pause.until());
  add(Context.LongWork.reservedUntil());
  add(Context.authorityWaitEnd());
  add(Drain.limit());
  return next;
}

void ServerAdmission::explainRamp(const char *rule) {
  if (rule != nullptr)
    Context.Out.explain(DecisionKind::Ramped, Server.Id, rule,
                        absl::StrCat("limit is ", Ramp.limit()), inputs());
}

void ServerAdmission::explainEjection(const char *rule) {
  if (rule == nullptr)
    return;
  bool out = Context.Ejection.isEjected(Server.Id);
  Context.Out.explain(DecisionKind::Ejected, Server.Id, rule,
                      out ? "takes no new flows" : "takes new flows", inputs());
}

void ServerAdmission::publishCondition() {
  if (PublishedCondition.Warm == Ramp.isWarm() &&
      PublishedCondition.Instance == Ramp.instance())
    return;
  PublishedCondition.Server = Server.Id;
  PublishedCondition.Warm = Ramp.isWarm();
  PublishedCondition.Instance = Ramp.instance();
  ++PublishedCondition.Version;
  Context.Out.publishCondition(PublishedCondition);
}

uint32_t ServerAdmission::usableSlots(TimePoint now, bool longWork) const {
  uint32_t limit = Ramp.limit();
  // Long work leaves one slot to short work, and short work cannot use the
  // slots that long work occupies.
  uint32_t lost = longWork ? 1 : Slots.longRunningCount(now, Context.LongWork);
  return limit > lost ? limit - lost : 1;
}

Duration ServerAdmission::dispatchBlockedFor(TimePoint now) const {
  return std::max(
      {DispatchAllowedFrom - now, Pause.until() - now, Duration(0)});
}

Duration ServerAdmission::requiredTime() const {
  if (!Context.Settings.Waits.RefuseLate)
    return Duration(0);
  // While other requests could use the slot, a request that will probably be
  // late would take it from one that will not.
  bool pressed = Queue.size() >= Ramp.limit() || !Ramp.isWarm();
  return pressed ? Waits.slow() : Waits.fast();
}

const WaitEstimate &ServerAdmission::waitEstimate(bool longWork) const {
  return longWork ? LongWaits : Waits;
}

Duration ServerAdmission::longWorkBlockedFor(TimePoint now) const {
  if (!Context.Settings.Waits.RefuseLate || Slots.running() == 0 ||
      Slots.longRunningCount(now, Context.LongWork) < Ramp.limit())
    return Duration(0);
  return Slots.shortestRemaining(now, LongWaits);
}

DecisionInputs ServerAdmission::inputs() const {
  return {{"limit", absl::StrCat(Ramp.limit())},
          {"slots", absl::StrCat(Server.Slots)},
          {"in-progress", absl::StrCat(Slots.running())},
          {"abandoned", absl::StrCat(Slots.abandoned())},
          {"queued", absl::StrCat(Queue.size())},
          {"typical-answer-us", absl::StrCat(Waits.typical().count())}};
}

} // namespace balsamrack

#include "Balsamrack/Decisions/ServerAdmission.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// Longer remaining times count as this: times are sums, which must not
/// overflow on what a caller wrote.
constexpr Duration MostRemaining{3'600'000'000};
/// A health report says nothing of what ended so shortly before: it may have
/// been made earlier.
constexpr Duration HealthLag{250'000};
/// Work that the owner before left in progress is taken to last so long.
constexpr Duration InheritedHold{1'000'000};

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
    // New, or back from another owner, which may have seen it restart: the
    // worst case.
    Owned = true;
    Ramp = ColdStartRamp(Context.Settings.Ramp, Server.Slots, now);
    if (owned.LastKnown.Warm)
      Ramp.trust(owned.LastKnown.Instance);
    inherit(now, owned);
  }
  Ramp.setSlots(Server.Slots);
  Ramp.setExpected(Context.Config.ExpectedServiceTime);
  bool wasOut = Drain.domainOut();
  if (Drain.update(now, Server, owned.DomainInService)) {
    // While the domain was out its servers may have been restarted; all of them
    // at their old limits would be more than cold ones bear.
    if (wasOut && !Drain.domainOut())
      Ramp.returned(now);
    Context.Out.explain(DecisionKind::Drained, Server.Id, Drain.rule(),
                        Drain.result(), inputs());
  }
}

void ServerAdmission::inherit(TimePoint now, const OwnedServer &owned) {
  // What the owner before left in progress still holds its slots. Without this
  // the server got both owners' work for a moment, and shed it.
  for (uint32_t i = 0; i < owned.InProgress; ++i)
    Slots.abandon(now, now + InheritedHold, Waits.slow(), owned.LastKnown.Warm);
}

void ServerAdmission::depart(TimePoint now) {
  Owned = false;
  endAll(now, OutcomeKind::NotRun, Reason::NotOwner);
}

void ServerAdmission::arrive(TimePoint now, const RequestArrived &event) {
  settle(now);
  QueuedRequest what;
  what.Head = event.Head;
  what.Deadline = now + std::min(event.Head.Remaining, MostRemaining);
  what.Since = now;
  what.LongWork = Context.LongWork.expectsLong(event.Head, LongWaits.typical());
  Flows = event.FlowsOnServer;
  if (!what.LongWork)
    Context.LongWork.shortCame(now);
  if (auto refused = refusal(now, event)) {
    end(what, *refused);
    return;
  }
  // What waits could not start just now, so nobody is overtaken unfairly.
  if (canStart(now, what)) {
    Queue.passedBy(what.Head.Caller);
    dispatch(now, std::move(what));
    return;
  }
  if (auto refused = hopeless(now, what)) {
    Context.Retries.refused();
    end(what, *refused);
    return;
  }
  enqueue(now, what);
}

std::optional<RequestEnd>
ServerAdmission::refusal(TimePoint now, const RequestArrived &event) {
  if (Context.ShuttingDown)
    return elsewhere(Reason::ShuttingDown);
  if (!Owned)
    return elsewhere(Reason::NotOwner);
  if (auto out = Drain.refuses(now, event.NewFlow)) {
    RequestEnd how = elsewhere(out->Why);
    how.How = out->How;
    return how;
  }
  if (event.Head.Remaining <= Duration(0))
    return RequestEnd{OutcomeKind::NotRun, Reason::DeadlinePassed};
  if (Pause.isUnreachable() && now < Pause.until())
    return notRun(now, Reason::ServerUnreachable, Pause.until() - now);
  auto unsure = Context.unsureFrom();
  if (unsure && now >= *unsure)
    return notRun(now, Reason::OwnerUnsure, Duration(0));
  if (!event.NewFlow)
    return std::nullopt;
  if (event.FlowsOnServer >= Server.Connections)
    return elsewhere(Reason::ServerFull);
  // A cold server's queue is for the flows that live there already; new ones
  // find a warmer server.
  double share = Context.Settings.Queue.ColdShare * Queue.capacity();
  if (!Ramp.warm() && Queue.size() >= std::max(share, 1.0))
    return elsewhere(Reason::ServerCold);
  if (!Context.Ejection.admits(now, Server.Id, event.Head.Request))
    return elsewhere(Reason::ServerEjected);
  return std::nullopt;
}

std::optional<RequestEnd> ServerAdmission::hopeless(TimePoint now,
                                                    const QueuedRequest &what) {
  if (!Context.Settings.Waits.RefuseHopeless)
    return std::nullopt;
  const WaitEstimate &waits = waitsOf(what.LongWork);
  uint32_t ahead = Queue.ahead(what.Head.Caller, what.Deadline, what.LongWork);
  Duration blocked = blockedFor(now) + longBlock(now);
  Duration wait = waits.waitFor(ahead, lanes(now, what.LongWork));
  Duration left = what.Deadline - now - blocked;
  Duration most = waits.mostWait(left);
  if (wait <= most)
    return std::nullopt;
  Reason why = Reason::DeadlineTooShort;
  if (what.Deadline - waits.fast() < DispatchAllowedFrom)
    why = Reason::OwnerUnsure;
  else if (!Ramp.warm() && waits.waitFor(ahead, Server.Slots) <= most)
    why = Reason::ServerCold;
  return notRun(now, why, wait + blocked);
}

bool ServerAdmission::mayDispatch(TimePoint now) const {
  // Authority is looked at before each dispatch and not when a timer fires: a
  // process that was paused finds its timers late.
  return Owned && Context.MayDispatch && now >= DispatchAllowedFrom &&
         now >= Pause.until() && !Drain.domainOut();
}

bool ServerAdmission::canStart(TimePoint now, const QueuedRequest &what) const {
  return mayDispatch(now) && Slots.used() < Ramp.limit() &&
         Context.LongWork.mayStart(now, what.LongWork, Ramp.limit(),
                                   Slots.longRunning(now, Context.LongWork));
}

void ServerAdmission::enqueue(TimePoint now, const QueuedRequest &what) {
  AdmissionQueue::Verdict verdict = Queue.push(what);
  if (verdict.PushedOut) {
    Context.Retries.refused();
    end(*verdict.PushedOut, notRun(now, Reason::CallerShare, Duration(0)));
  }
  if (verdict.Refused != Reason::None) {
    Context.Retries.refused();
    end(what, notRun(now, verdict.Refused, Duration(0)));
    return;
  }
  Context.Out.queued(what, Server.Id, inputs());
}

void ServerAdmission::dispatch(TimePoint now, QueuedRequest what) {
  if (Slots.running() == 0)
    Ramp.startsFromIdle(now);
  ++what.Attempts;
  Context.Out.start(what, Server.Id, inputs());
  Slots.start(RunningRequest{std::move(what), now});
}

void ServerAdmission::endAll(TimePoint now, OutcomeKind how, Reason why) {
  for (const QueuedRequest &what : Queue.takeAll()) {
    RequestEnd ending = notRun(now, why, Duration(0));
    ending.How = how;
    end(what, ending);
  }
}

void ServerAdmission::end(const QueuedRequest &what, RequestEnd how) {
  Context.Ejection.ended(Server.Id, what.Head.Request);
  Context.Out.end(what, Server.Id, how, inputs());
}

RequestEnd ServerAdmission::notRun(TimePoint now, Reason why,
                                   Duration backlog) {
  Duration queued = Waits.waitFor(Queue.size(), Ramp.limit());
  Duration after = Waits.bookReturn(now, std::max(backlog, queued),
                                    Ramp.limit(), Context.Random);
  return RequestEnd{OutcomeKind::NotRun, why, after};
}

RequestEnd ServerAdmission::elsewhere(Reason why) const {
  // Another server or daemon may take it at once.
  return RequestEnd{OutcomeKind::NotRun, why,
                    Context.Settings.Waits.LeastRetryAfter};
}

bool ServerAdmission::cancel(TimePoint now, RequestId request) {
  if (auto what = Queue.remove(request)) {
    end(*what, RequestEnd{OutcomeKind::NotRun, Reason::CallerGone});
    settle(now);
    return true;
  }
  RunningRequest *run = Slots.find(request);
  if (run == nullptr)
    return false;
  // The slot stays taken until the link says that the dispatch has ended.
  if (!run->Cancelled)
    Context.Out.cancel(request, Server.Id);
  run->Cancelled = true;
  return true;
}

void ServerAdmission::health(TimePoint now, const HealthReported &event) {
  // Only more careful on a server's own word: it may lag or lie. It frees
  // abandoned slots alone, whose time is bounded anyway, and not of a cold
  // server, which a wrong word would make fall over.
  noteInstance(now, event.Instance);
  // Only the change counts: health that is stuck at "not ready" while the
  // server answers well must not keep it at one request for ever.
  if (!event.Ready && SaidReady)
    explainRamp(Ramp.faltered(now, "not-ready"));
  SaidReady = event.Ready;
  if (Ramp.warm() && event.InProgress <= Slots.running())
    Slots.releaseSince(now - HealthLag);
  tellCondition();
  settle(now);
}

void ServerAdmission::noteInstance(TimePoint now, const InstanceId &instance) {
  InstanceId before = Ramp.instance();
  explainRamp(Ramp.instanceSeen(now, instance));
  // Another process does not run what the one before it left.
  if (!before.empty() && Ramp.instance() != before)
    Slots.releaseSince(now);
}

void ServerAdmission::settle(TimePoint now) {
  Slots.release(now);
  if (!Owned)
    return;
  if (auto out = Drain.refuses(now, false))
    endAll(now, out->How, out->Why);
  auto unsure = Context.unsureFrom();
  if (unsure && now >= *unsure)
    endAll(now, OutcomeKind::NotRun, Reason::OwnerUnsure);
  // What can't be answered in time any more gets its ending now.
  // Nor is there hope once work that was not known as long holds all slots.
  Duration block = longBlock(now);
  bool blocked = block > Duration(0);
  for (const QueuedRequest &what : Queue.takeExpired(now + needed() + block)) {
    Context.Retries.refused();
    end(what,
        notRun(now, blocked ? Reason::DeadlineTooShort : Reason::DeadlinePassed,
               block));
  }
  while (mayDispatch(now) && Slots.used() < Ramp.limit()) {
    bool allowLong = Context.LongWork.mayStart(
        now, true, Ramp.limit(), Slots.longRunning(now, Context.LongWork));
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
  r.LongRunning = Slots.longRunning(now, Context.LongWork);
  r.Flows = Flows;
  r.Warm = Ramp.warm();
  r.Ejected = Context.Ejection.ejected(Server.Id);
  r.Draining = Drain.draining();
  r.DomainOut = Drain.domainOut();
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
  add(*Queue.earliestDeadline() - needed());
  add(Slots.nextLong(now, Context.LongWork));
  // Until long work is known its expected end moves away as fast as time
  // passes, and meets the deadline halfway.
  Duration block = longBlock(now);
  if (block > Duration(0) && !LongWaits.known())
    add(now + (*Queue.earliestDeadline() - needed() - block - now) / 2);
  add(Slots.nextRelease());
  add(DispatchAllowedFrom);
  add(Pause.until());
  add(Context.LongWork.keptUntil());
  add(Context.unsureFrom());
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
  bool out = Context.Ejection.ejected(Server.Id);
  Context.Out.explain(DecisionKind::Ejected, Server.Id, rule,
                      out ? "takes no new flows" : "takes new flows", inputs());
}

void ServerAdmission::tellCondition() {
  if (Told.Warm == Ramp.warm() && Told.Instance == Ramp.instance())
    return;
  Told.Server = Server.Id;
  Told.Warm = Ramp.warm();
  Told.Instance = Ramp.instance();
  ++Told.Version;
  Context.Out.condition(Told);
}

uint32_t ServerAdmission::lanes(TimePoint now, bool longWork) const {
  uint32_t limit = Ramp.limit();
  // Long work leaves one slot to short work, and short work can't use those
  // that long work holds.
  uint32_t lost = longWork ? 1 : Slots.longRunning(now, Context.LongWork);
  return limit > lost ? limit - lost : 1;
}

Duration ServerAdmission::blockedFor(TimePoint now) const {
  return std::max(
      {DispatchAllowedFrom - now, Pause.until() - now, Duration(0)});
}

Duration ServerAdmission::needed() const {
  if (!Context.Settings.Waits.RefuseHopeless)
    return Duration(0);
  // While somebody else could use the slot, a request that will probably be
  // late takes an answer from one that won't.
  bool pressed = Queue.size() >= Ramp.limit() || !Ramp.warm();
  return pressed ? Waits.slow() : Waits.fast();
}

const WaitEstimate &ServerAdmission::waitsOf(bool longWork) const {
  return longWork ? LongWaits : Waits;
}

Duration ServerAdmission::longBlock(TimePoint now) const {
  if (!Context.Settings.Waits.RefuseHopeless || Slots.running() == 0 ||
      Slots.longRunning(now, Context.LongWork) < Ramp.limit())
    return Duration(0);
  return Slots.leastRemaining(now, LongWaits);
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

#include "Balsamrack/Daemon/OwnerDispatcher.h"

#include <cassert>
#include <optional>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Errors.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// Upper 16 bits of the request ids of health probes. They keep these ids apart
/// from most of the ids that entries assign to requests. Entries' ids are
/// hashes: about 1 in 65,536 of them has the same upper 16 bits, so that it can
/// equal the id of a probe.
constexpr uint64_t HealthRequestIdPrefix = 0xFFFF'0000'0000'0000ULL;
constexpr Duration HealthTimeout{1'000'000};
/// A hand-over takes one round trip, a takeover takes seconds: a caller that
/// retries at this interval finds the new owner soon and adds little load until
/// then.
constexpr Duration OwnershipRetryAfter{500'000};

/// Parses a server's response to a health probe; nothing if it is malformed.
std::optional<HealthReported> readHealth(const ServerId &server,
                                         const DispatchResult &result) {
  if (result.How != DispatchOutcome::Answered || result.Content.Status != 200)
    return std::nullopt;
  const nlohmann::json body =
      nlohmann::json::parse(result.Content.Body, nullptr, false);
  if (!body.is_object() || !body.contains("ready") ||
      !body["ready"].is_boolean() || !body.contains("in_progress") ||
      !body["in_progress"].is_number_unsigned())
    return std::nullopt;
  return HealthReported{server, body["ready"].get<bool>(),
                        body["in_progress"].get<uint32_t>(), result.Instance};
}

} // namespace

/// A forwarded request whose outcome hasn't been reported yet.
struct OwnerDispatcher::PendingRequest {
  EntryVm From;         ///< Entry that waits for the outcome.
  Envelope Head;        ///< Envelope with the traceparent of the owner's span.
  std::string Parent;   ///< traceparent of the forwarded request.
  ServerId Server;      ///< Server that the request is for.
  Message Content;      ///< Message to dispatch.
  TimePoint Start;      ///< Time of arrival.
  bool NewFlow = false; ///< The flow is new; its binding is removed if the
                        ///< request isn't run.
  std::optional<Answer> Reply; ///< The server's response, once received.
};

/// The owner of one service and the requests that it handles.
struct OwnerDispatcher::Shard {
  ServiceId Id;
  mutable std::mutex Lock;             ///< Guards all members below.
  std::unique_ptr<ServiceOwner> Owner; ///< Not null.
  absl::flat_hash_map<RequestId, PendingRequest> Requests;
  std::map<ServerId, BackendServer> Servers;         ///< Servers owned now.
  std::map<ServerId, uint32_t> DispatchesInProgress; ///< By server.
  bool MayDispatch = false;    ///< Last value passed to Owner.
  TimePoint LastHealthProbeAt; ///< Time of the last round of probes.
  uint64_t HealthSequence = 0; ///< Sequence number of probe ids.
};

OwnerDispatcher::OwnerDispatcher(const OwnerDispatcherSettings &settings,
                                 const Clock &clock,
                                 const OwnershipFence &fence, OwnerFlows &flows,
                                 ServerLink &link, PeerSender &sender,
                                 Telemetry &telemetry,
                                 ConditionSink onCondition)
    : Settings(settings), Time(clock), Fence(fence), Flows(flows), Link(link),
      Sender(sender), TelemetrySink(telemetry),
      OnCondition(std::move(onCondition)) {}

OwnerDispatcher::~OwnerDispatcher() = default;

OwnerDispatcher::Shard &OwnerDispatcher::shardOf(const ServiceId &service) {
  std::lock_guard<std::mutex> guard(ShardsLock);
  std::unique_ptr<Shard> &shard = Shards[service];
  if (!shard) {
    shard = std::make_unique<Shard>();
    shard->Id = service;
    auto owner = ServiceOwner::create(
        Settings.Limits, service, combineHash(Settings.Seed, service.hash()));
    // The limits were validated with the settings, so a failure here is a bug.
    assert(owner.ok());
    shard->Owner = std::move(*owner);
    if (Settings.Record)
      Settings.Record->record(
          {absl::StrCat("owner-", service.str()), Time.now(),
           OwnerOpened{service, combineHash(Settings.Seed, service.hash())}});
  }
  return *shard;
}

std::vector<OwnerDispatcher::Shard *> OwnerDispatcher::allShards() const {
  std::lock_guard<std::mutex> guard(ShardsLock);
  std::vector<Shard *> all;
  for (const auto &[id, shard] : Shards)
    all.push_back(shard.get());
  return all;
}

void OwnerDispatcher::onForward(const EntryVm &from, Forward forward) {
  const TimePoint now = Time.now();
  Outcome refusal;
  refusal.Request = forward.Head.Request;
  refusal.Server = forward.Server;
  refusal.AtStep = stepName(Step::Admit);
  refusal.AtPeer = forward.Server.str();

  // Check that this daemon owns the server and that the flow is bound to it.
  Shard &shard = shardOf(forward.Head.Service);
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    if (shard.Requests.contains(forward.Head.Request))
      return; // A duplicate delivery; the first copy is being processed.
    if (shard.Servers.count(forward.Server) == 0)
      refusal.Cause = Reason::NotOwner;
  }
  if (refusal.Cause == Reason::NotOwner) {
    refusal.RetryAfter = OwnershipRetryAfter;
    report(from, std::move(refusal));
    return;
  }
  const FlowVerdict verdict = Flows.resolveFlow(
      now, forward.Head, forward.Server, forward.Accept, forward.ByToken);
  if (verdict.How == FlowVerdict::Elsewhere ||
      verdict.How == FlowVerdict::Unknown) {
    refusal.Cause = Reason::FlowNotOnServer;
    refusal.Server = verdict.Server;
    report(from, std::move(refusal));
    return;
  }

  // Admit the request.
  PendingRequest work;
  work.From = from;
  work.Parent = forward.Head.Trace;
  work.Head = forward.Head;
  work.Head.Trace = TelemetrySink.startSpan(work.Parent);
  work.Server = forward.Server;
  work.Content = std::move(forward.Content);
  work.Start = now;
  work.NewFlow = verdict.How == FlowVerdict::New;
  RequestArrived arrived{work.Head, forward.Server, work.NewFlow, 0};
  const uint32_t flows = Flows.countFlows(forward.Server);
  arrived.FlowsOnServer = work.NewFlow && flows > 0 ? flows - 1 : flows;
  std::vector<OwnerAction> actions;
  {
    // Insert and step under one lock, so that the second of two simultaneous
    // copies finds the first.
    std::lock_guard<std::mutex> guard(shard.Lock);
    if (!shard.Requests.emplace(work.Head.Request, std::move(work)).second)
      return;
    actions = stepOwner(shard, arrived);
  }
  performAll(shard, std::move(actions));
}

void OwnerDispatcher::onCancel(RequestId request) {
  for (Shard *shard : allShards()) {
    bool known = false;
    {
      std::lock_guard<std::mutex> guard(shard->Lock);
      known = shard->Requests.contains(request);
    }
    if (known)
      step(*shard, RequestCancelled{request});
  }
}

void OwnerDispatcher::setOwned(const OwnedServers &owned) {
  for (const auto &[service, change] : owned)
    shardOf(service);
  for (Shard *shard : allShards()) {
    auto it = owned.find(shard->Id);
    ServersChanged change;
    if (it != owned.end())
      change = it->second;
    else
      change.Settings.Id = shard->Id;
    std::vector<OwnerAction> actions;
    {
      // Hold the lock for both changes: a step in between would dispatch to a
      // server that is no longer in the map.
      std::lock_guard<std::mutex> guard(shard->Lock);
      shard->Servers.clear();
      for (const OwnedServer &server : change.Servers)
        shard->Servers[server.Server.Id] = server.Server;
      actions = stepOwner(*shard, change);
    }
    performAll(*shard, std::move(actions));
  }
}

uint32_t OwnerDispatcher::inProgressAt(const ServerId &server) const {
  uint32_t n = 0;
  for (Shard *shard : allShards()) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    auto it = shard->DispatchesInProgress.find(server);
    if (it != shard->DispatchesInProgress.end())
      n += it->second;
  }
  return n;
}

void OwnerDispatcher::tick(TimePoint now, bool mayDispatch) {
  for (Shard *shard : allShards()) {
    updateAuthority(*shard, mayDispatch);
    std::optional<TimePoint> due;
    {
      std::lock_guard<std::mutex> guard(shard->Lock);
      due = shard->Owner->nextWakeup();
    }
    if (due && *due <= now)
      step(*shard, Ticked{});
    probeHealth(*shard, now);
  }
}

void OwnerDispatcher::updateAuthority(Shard &shard, bool mayDispatch) {
  std::vector<OwnerAction> actions;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    if (std::exchange(shard.MayDispatch, mayDispatch) == mayDispatch)
      return;
    actions = stepOwner(shard, AuthorityChanged{mayDispatch});
  }
  performAll(shard, std::move(actions));
}

void OwnerDispatcher::beginShutdown() {
  for (Shard *shard : allShards())
    step(*shard, ShutdownBegan{});
}

bool OwnerDispatcher::idle() const {
  for (Shard *shard : allShards()) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    if (!shard->Owner->idle() || !shard->Requests.empty())
      return false;
  }
  return true;
}

std::vector<ServerReport> OwnerDispatcher::report() const {
  std::vector<ServerReport> all;
  for (Shard *shard : allShards()) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    for (ServerReport &it : shard->Owner->report(Time.now()))
      all.push_back(std::move(it));
  }
  return all;
}

std::vector<OwnerAction> OwnerDispatcher::stepOwner(Shard &shard,
                                                    const OwnerEvent &event) {
  const TimePoint now = Time.now();
  if (Settings.Record)
    Settings.Record->record(
        {absl::StrCat("owner-", shard.Id.str()), now, event});
  std::vector<OwnerAction> actions = shard.Owner->step(now, event);
  // Start dispatches under the lock: once setOwned() has held it, no dispatch
  // that was decided earlier can start. A hand-over that overtakes a dispatch
  // would leave one server with two owners.
  for (const OwnerAction &it : actions)
    if (const auto *start = std::get_if<StartDispatch>(&it))
      dispatch(shard, *start);
  return actions;
}

void OwnerDispatcher::step(Shard &shard, const OwnerEvent &event) {
  std::vector<OwnerAction> actions;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    actions = stepOwner(shard, event);
  }
  performAll(shard, std::move(actions));
}

void OwnerDispatcher::performAll(Shard &shard,
                                 std::vector<OwnerAction> actions) {
  for (OwnerAction &it : actions)
    perform(shard, std::move(it));
}

void OwnerDispatcher::dispatch(Shard &shard, const StartDispatch &action) {
  auto work = shard.Requests.find(action.Request);
  auto server = shard.Servers.find(action.Server);
  assert(work != shard.Requests.end() && server != shard.Servers.end());
  ++shard.DispatchesInProgress[action.Server];
  const TimePoint start = Time.now();
  Envelope head = work->second.Head;
  head.Trace = TelemetrySink.startSpan(work->second.Head.Trace);
  const std::string span = head.Trace;
  Link.dispatch(server->second, head, work->second.Content, action.Timeout,
                [this, &shard, request = action.Request, id = action.Server,
                 start, span](DispatchResult result) {
                  onDispatchEnded(shard, request, id, start, span,
                                  std::move(result));
                });
}

void OwnerDispatcher::onDispatchEnded(Shard &shard, RequestId request,
                                      const ServerId &server, TimePoint start,
                                      const std::string &span,
                                      DispatchResult result) {
  TelemetrySink.recordDispatchEnd(server, result.How, result.Took);
  HopSpan hop{"server",
              "",
              span,
              start,
              Time.now() - start,
              shard.Id,
              server,
              request,
              dispatchOutcomeName(result.How),
              result.How != DispatchOutcome::Answered};
  DispatchEnded event{request,     result.How,        result.Instance,
                      result.Took, result.RetryAfter, result.Content.Status};
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    if (--shard.DispatchesInProgress[server] == 0)
      shard.DispatchesInProgress.erase(server);
    auto it = shard.Requests.find(request);
    if (it != shard.Requests.end()) {
      hop.Parent = it->second.Head.Trace;
      if (result.How == DispatchOutcome::Answered)
        it->second.Reply = std::move(result.Content);
    }
  }
  TelemetrySink.endSpan(std::move(hop));
  // This daemon's own fence may have blocked the dispatch. Update the owner's
  // authority first; otherwise it treats the server as unreachable, and as cold
  // afterwards.
  if (result.How == DispatchOutcome::Unreachable && !mayDispatch())
    updateAuthority(shard, false);
  step(shard, event);
}

void OwnerDispatcher::perform(Shard &shard, OwnerAction action) {
  if (auto *it = std::get_if<EndRequest>(&action))
    endRequest(shard, std::move(it->Result));
  else if (auto *it = std::get_if<CancelDispatch>(&action))
    Link.cancel(it->Request);
  else if (auto *it = std::get_if<Explain>(&action))
    TelemetrySink.recordDecision(std::move(it->What));
  else if (auto *it = std::get_if<ConditionLearned>(&action))
    OnCondition(it->Condition);
}

void OwnerDispatcher::endRequest(Shard &shard, Outcome outcome) {
  std::optional<PendingRequest> work;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    auto it = shard.Requests.find(outcome.Request);
    if (it == shard.Requests.end())
      return;
    work = std::move(it->second);
    shard.Requests.erase(it);
  }
  if (outcome.Kind == OutcomeKind::Answered && work->Reply)
    outcome.Content = std::move(*work->Reply);
  // Remove the binding of a new flow whose request was not run.
  if (work->NewFlow && outcome.Kind == OutcomeKind::NotRun)
    Flows.removeFlow(work->Head.Flow);
  if (outcome.Server.empty())
    outcome.Server = work->Server;
  TelemetrySink.endSpan({"owner", work->Parent, work->Head.Trace, work->Start,
                         Time.now() - work->Start, shard.Id, work->Server,
                         outcome.Request,
                         absl::StrCat(outcomeKindName(outcome.Kind), " ",
                                      reasonName(outcome.Cause)),
                         outcome.Kind != OutcomeKind::Answered});
  report(work->From, std::move(outcome));
}

void OwnerDispatcher::report(const EntryVm &to, Outcome outcome) {
  Decision undelivered;
  undelivered.At = Time.now();
  undelivered.Kind = DecisionKind::Refused;
  undelivered.Rule = "outcome-not-reported";
  undelivered.Result = outcomeKindName(outcome.Kind);
  undelivered.Request = outcome.Request;
  undelivered.Server = outcome.Server;
  undelivered.AtStep = stepName(Step::SendToPeer);
  undelivered.AtPeer = to.Id.str();
  const absl::Status status =
      Sender.send(to, OutcomeReport{std::move(outcome)});
  if (status.ok())
    return;
  TelemetrySink.recordDecision(std::move(undelivered));
  TelemetrySink.recordError(Component::Owner, status);
}

void OwnerDispatcher::probeHealth(Shard &shard, TimePoint now) {
  std::lock_guard<std::mutex> guard(shard.Lock);
  if (now - shard.LastHealthProbeAt < Settings.HealthPeriod)
    return;
  shard.LastHealthProbeAt = now;
  Message question;
  question.Target = "/balsamrack/health";
  for (const auto &[id, server] : shard.Servers) {
    Envelope head;
    head.Request.Value =
        HealthRequestIdPrefix |
        (combineHash(shard.Id.hash(), ++shard.HealthSequence) >> 16);
    head.Kind = Semantics::Idempotent;
    Link.dispatch(server, head, question, HealthTimeout,
                  [this, &shard, id = id](const DispatchResult &result) {
                    if (auto health = readHealth(id, result))
                      step(shard, *health);
                  });
  }
}

} // namespace balsamrack

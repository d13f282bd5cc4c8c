#include "Balsamrack/Flows/EntryRouter.h"

#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Flows/EntryRouterState.h"
#include "Balsamrack/Flows/KeyStore.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// Limit of UnsentEndings; more are dropped.
constexpr size_t MaxUnsentEndings = 10'000;

/// True if the ending that the owner reported proves that the server did not
/// run the request.
bool provablyNotRun(OutcomeKind how) {
  return how == OutcomeKind::NotRun || how == OutcomeKind::GivenUp;
}

/// Formats an ending and its reason, such as "answered" or "not-run,
/// queue-full".
std::string formatEnding(const Outcome &outcome) {
  if (outcome.Cause == Reason::None)
    return outcomeKindName(outcome.Kind);
  return absl::StrCat(outcomeKindName(outcome.Kind), ", ",
                      reasonName(outcome.Cause));
}

} // namespace

EntryRouter::EntryRouter(std::unique_ptr<State> state)
    : Impl(std::move(state)) {}
EntryRouter::~EntryRouter() = default;

absl::StatusOr<std::unique_ptr<EntryRouter>>
EntryRouter::create(const EntrySettings &settings, uint64_t seed) {
  if (absl::Status status = settings.check(); !status.ok())
    return status;
  return std::unique_ptr<EntryRouter>(
      new EntryRouter(std::make_unique<State>(settings, seed)));
}

std::vector<EntryAction> EntryRouter::step(TimePoint now,
                                           const EntryEvent &event) {
  Impl->Now = now;
  std::visit([this](const auto &e) { Impl->on(e); }, event);
  return std::exchange(Impl->Actions, {});
}

std::optional<TimePoint> EntryRouter::nextWakeup() const {
  std::optional<TimePoint> next;
  if (!Impl->Timers.empty())
    next = Impl->Timers.begin()->first;
  if (!Impl->EndingTimers.empty())
    next = std::min(next.value_or(TimePoint::max()),
                    Impl->EndingTimers.begin()->first);
  return next;
}

size_t EntryRouter::inProgress() const {
  return Impl->Packets.size() - Impl->NumLingering;
}

void EntryRouter::State::on(const PacketArrived &event) {
  RequestId id = event.Head.Request;
  auto [it, isNew] = Packets.try_emplace(id);
  if (!isNew)
    return;
  EntryPacket &p = it->second;
  p.Head = event.Head;
  p.Token = event.Token;
  // The key's replicas must remember the key for longer than the request can
  // run.
  if (p.claimsKey())
    p.Head.Remaining = std::min(p.Head.Remaining, Settings.KeyMemory / 2);
  p.Deadline = Now + p.Head.Remaining;
  setTimer(p, p.Deadline);
  if (p.Head.Remaining <= Duration::zero())
    return end(p, OutcomeKind::NotRun, Reason::DeadlinePassed, {}, {},
               "deadline");
  if (!View)
    return end(p, OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, {},
               jitteredRetryAfter(), "no-view");
  Budgets.try_emplace(p.Head.Service, Settings.RetryRatio, Settings.RetryBurst)
      .first->second.addPacket();
  if (!p.claimsKey())
    return place(p);
  p.CurrentPhase = EntryPacket::Phase::ClaimingKey;
  startClaimWaits(p);
  sendKeyClaims(p);
  evaluateKeyClaims(p);
}

void EntryRouter::State::on(const OwnerReplied &event) {
  EntryPacket *p = find(event.Result.Request);
  // Ignore late replies of an owner that no longer has the request, and replies
  // that crossed with another owner's. Taking such a refusal for the current
  // owner's would start a second run while the first is still in progress.
  if (!p || !p->Outstanding || p->Outstanding->To.Id != event.From)
    return;
  bool elsewhere = event.Result.Kind == OutcomeKind::NotRun &&
                   event.Result.Cause == Reason::FlowNotOnServer;
  // An owner that was told to accept the flow never replies FlowNotOnServer, so
  // such a reply is a duplicate of an earlier one.
  if (elsewhere && p->Outstanding->AcceptFlow)
    return;
  if (!elsewhere && !event.Result.Server.empty() &&
      event.Result.Server != p->Outstanding->Server)
    return;
  if (p->CurrentPhase == EntryPacket::Phase::Lingering) {
    settleKey(*p, event.Result.Kind);
    return erase(*p);
  }
  ServerId server = p->Outstanding->Server;
  p->Outstanding.reset();
  if (elsewhere && event.Result.Server.empty())
    return startSearch(*p);
  if (elsewhere)
    return forwardToFlowServerById(*p, event.Result.Server, "exception");
  if (event.Result.Kind == OutcomeKind::NotRun && p->OpensFlow)
    return retryOnNextCandidate(*p, event.Result);
  Outcome outcome = event.Result;
  if (outcome.Server.empty())
    outcome.Server = server;
  // The owner states the time after which another server may take a new flow.
  // This flow has to wait until its server has its next owner.
  if (outcome.Cause == Reason::ShuttingDown ||
      outcome.Cause == Reason::NotOwner)
    outcome.RetryAfter = std::max(outcome.RetryAfter, jitteredRetryAfter());
  end(*p, std::move(outcome), "owner-said");
}

void EntryRouter::State::on(const FlowReplied &event) {
  EntryPacket *p = find(event.Reply.Request);
  if (p && p->CurrentPhase == EntryPacket::Phase::SearchingFlow &&
      event.Reply.Flow == p->Head.Flow &&
      p->Search.recordReply(event.From, event.Reply, View->Ticket))
    evaluateSearch(*p);
}

void EntryRouter::State::on(const KeyReplied &event) {
  EntryPacket *p = find(event.Reply.Request);
  if (p && p->CurrentPhase == EntryPacket::Phase::ClaimingKey &&
      event.Reply.Key == p->Head.Key &&
      p->Keys.recordReply(event.From, event.Reply.Verdict, event.Reply.Leaving))
    evaluateKeyClaims(*p);
}

void EntryRouter::State::on(const PeerLost &event) {
  for (RequestId id : requestIds()) {
    if (event.Only.Value != 0 && id != event.Only)
      continue;
    EntryPacket &p = *find(id);
    if (p.CurrentPhase == EntryPacket::Phase::ClaimingKey) {
      if (p.Keys.recordNoReply(event.Peer))
        evaluateKeyClaims(p);
    } else if (p.CurrentPhase == EntryPacket::Phase::SearchingFlow) {
      if (p.Search.recordNoReply(event.Peer))
        evaluateSearch(p);
    } else if (p.CurrentPhase == EntryPacket::Phase::Forwarded &&
               p.Outstanding->To.Id == event.Peer &&
               std::find(event.NotSent.begin(), event.NotSent.end(), id) ==
                   event.NotSent.end()) {
      handleOwnerLoss(p, false);
    }
  }
}

void EntryRouter::State::on(const SendFailed &event) {
  EntryPacket *p = find(event.Request);
  if (!p)
    return;
  if (p->CurrentPhase == EntryPacket::Phase::ClaimingKey) {
    if (p->Keys.recordNoReply(event.Peer))
      evaluateKeyClaims(*p);
  } else if (p->CurrentPhase == EntryPacket::Phase::SearchingFlow) {
    if (p->Search.recordNoReply(event.Peer))
      evaluateSearch(*p);
  } else if (p->CurrentPhase == EntryPacket::Phase::Forwarded &&
             p->Outstanding->To.Id == event.Peer) {
    handleOwnerLoss(*p, true);
  }
}

void EntryRouter::State::on(const CallerLeft &event) {
  EntryPacket *p = find(event.Request);
  if (p && p->CurrentPhase != EntryPacket::Phase::Lingering)
    abandon(*p, Reason::CallerDisconnected);
}

void EntryRouter::State::on(const EntryTicked & /*event*/) {
  while (!Timers.empty() && Timers.begin()->first <= Now)
    handleTimer(*find(Timers.begin()->second));
  while (!EndingTimers.empty() && EndingTimers.begin()->first <= Now)
    handleEndingTimer(UnsentEndings.at(EndingTimers.begin()->second));
}

void EntryRouter::State::on(const ViewChanged &event) {
  View = event.View;
  for (RequestId id : requestIds()) {
    EntryPacket &p = *find(id);
    if (p.CurrentPhase != EntryPacket::Phase::ClaimingKey)
      continue;
    sendKeyClaims(p);
    evaluateKeyClaims(p);
  }
}

void EntryRouter::State::on(const SettleFailed &event) {
  // An ending that did not run and is never received would hold the key until
  // it expires: the caller was told so and would be refused when it comes back.
  // Repeating it is safe, since it concerns this attempt only.
  const RequestId request = event.Settled.Request;
  auto it = UnsentEndings.find(request);
  if (it == UnsentEndings.end()) {
    if (UnsentEndings.size() >= MaxUnsentEndings)
      return;
    it =
        UnsentEndings
            .emplace(request, UnsentEnding{event.Settled, Now + Settings.Linger,
                                           Now, Settings.ClaimRepeat, false})
            .first;
  }
  UnsentEnding &ending = it->second;
  if (std::exchange(ending.IsRetryDue, true))
    return;
  setEndingTimer(ending, std::min(ending.Until, Now + ending.RetryDelay));
  ending.RetryDelay = std::min(2 * ending.RetryDelay, Settings.RetryAfter);
}

void EntryRouter::State::setEndingTimer(UnsentEnding &ending, TimePoint when) {
  EndingTimers.erase({ending.NextAt, ending.Settled.Request});
  ending.NextAt = when;
  EndingTimers.emplace(when, ending.Settled.Request);
}

void EntryRouter::State::handleEndingTimer(UnsentEnding &ending) {
  if (Now >= ending.Until) {
    const RequestId request = ending.Settled.Request;
    EndingTimers.erase({ending.NextAt, request});
    UnsentEndings.erase(request);
    return;
  }
  // Send it to the present replicas: one that left has handed the key to them.
  ending.IsRetryDue = false;
  for (const EntryVm &vm :
       keyReplicas(ending.Settled.Key, View->KeyReplicas.Members,
                   Settings.KeyReplicaCount))
    Actions.emplace_back(SendSettled{vm, ending.Settled});
  setEndingTimer(ending, ending.Until);
}

void EntryRouter::State::handleTimer(EntryPacket &p) {
  if (p.CurrentPhase == EntryPacket::Phase::Lingering)
    return erase(p);
  if (Now >= p.Deadline)
    return abandon(p, Reason::DeadlinePassed);
  if (p.CurrentPhase == EntryPacket::Phase::ClaimingKey) {
    if (std::exchange(p.ClaimResendDue, false))
      return resendKeyClaims(p);
    // The missing replies may still come while the caller waits. Ending now is
    // better only if the caller can be told that nothing ran.
    if (Settings.OnUnreachableReplica == UnreachableReplicaPolicy::Refuse &&
        !p.Keys.isProvenNotRun(Settings))
      return setTimer(p, p.Deadline);
    p.Keys.recordTimeout();
    return evaluateKeyClaims(p);
  }
  p.Search.recordTimeout();
  evaluateSearch(p);
}

void EntryRouter::State::abandon(EntryPacket &p, Reason why) {
  if (!p.Outstanding)
    return end(p, OutcomeKind::NotRun, why, {}, {}, reasonName(why));
  Actions.emplace_back(SendCancel{p.Outstanding->To, p.Head.Request});
  ServerId server = p.Outstanding->Server;
  end(p, OutcomeKind::OutcomeUnknown, why, server, {}, reasonName(why));
}

void EntryRouter::State::settleKey(const EntryPacket &p, OutcomeKind how) {
  if (!p.claimsKey())
    return;
  OutcomeKind told = provablyNotRun(how) ? OutcomeKind::NotRun : how;
  for (const EntryVm &vm : p.Keys.claimedReplicas())
    Actions.emplace_back(SendSettled{vm, {p.Head.Key, p.Head.Request, told}});
}

void EntryRouter::State::end(EntryPacket &p, OutcomeKind how, Reason why,
                             const ServerId &server, Duration retryAfter,
                             const char *rule) {
  Outcome o;
  o.Kind = how;
  o.Cause = why;
  o.Server = server;
  o.RetryAfter = retryAfter;
  o.AtStep = stepName(Step::Place);
  o.AtPeer = View ? View->Self.Id.str() : "";
  end(p, std::move(o), rule);
}

void EntryRouter::State::end(EntryPacket &p, Outcome outcome,
                             const char *rule) {
  // The connection to an owner that had the request was lost, so the request
  // may have run whatever later owners reported.
  if (p.MayHaveRun && provablyNotRun(outcome.Kind)) {
    outcome.Kind = OutcomeKind::OutcomeUnknown;
    outcome.Cause = Reason::OwnerLost;
    outcome.Server = p.LostServer;
  }
  outcome.Request = p.Head.Request;
  EndPacket done;
  if (outcome.Kind == OutcomeKind::Answered && !Settings.TokenKey.empty())
    done.Token = Codec.encode({p.Head.Service.hash(), outcome.Server.hash(),
                               p.Head.Flow, View->Ticket});
  // A request that was never forwarded frees its key, whatever the replicas
  // reported about other attempts.
  settleKey(p, p.TriedServers.empty() ? OutcomeKind::NotRun : outcome.Kind);
  explain(p, DecisionKind::Ended, rule, formatEnding(outcome), outcome.Server,
          VmId(outcome.AtPeer));
  done.Result = std::move(outcome);
  Actions.emplace_back(std::move(done));
  if (!p.claimsKey() || !p.Outstanding)
    return erase(p);
  p.CurrentPhase = EntryPacket::Phase::Lingering;
  ++NumLingering;
  setTimer(p, Now + Settings.Linger);
}

void EntryRouter::State::erase(EntryPacket &p) {
  if (p.CurrentPhase == EntryPacket::Phase::Lingering)
    --NumLingering;
  Timers.erase({p.TimerAt, p.Head.Request});
  Packets.erase(p.Head.Request);
}

EntryPacket *EntryRouter::State::find(RequestId request) {
  auto it = Packets.find(request);
  return it == Packets.end() ? nullptr : &it->second;
}

std::vector<RequestId> EntryRouter::State::requestIds() const {
  std::vector<RequestId> ids;
  ids.reserve(Packets.size());
  for (const auto &[id, p] : Packets)
    ids.push_back(id);
  return ids;
}

void EntryRouter::State::setTimer(EntryPacket &p, TimePoint when) {
  Timers.erase({p.TimerAt, p.Head.Request});
  p.TimerAt = when;
  Timers.emplace(when, p.Head.Request);
}

Duration EntryRouter::State::jitteredRetryAfter() {
  // Add up to half of the base at random, so that callers that were refused
  // together do not retry together.
  auto base = static_cast<uint64_t>(Settings.RetryAfter.count());
  return Duration(static_cast<int64_t>(base + Random.below(base / 2 + 1)));
}

void EntryRouter::State::explain(const EntryPacket &p, DecisionKind kind,
                                 const char *rule, const std::string &result,
                                 const ServerId &server, const VmId &peer) {
  if (!Settings.Explain)
    return;
  Decision d;
  d.At = Now;
  d.Kind = kind;
  d.Rule = rule;
  d.Result = result;
  d.Request = p.Head.Request;
  d.Flow = p.Head.Flow;
  d.Server = server;
  d.Ticket = View ? View->Ticket : TicketNumber();
  d.AtStep = stepName(Step::Place);
  d.AtPeer = peer.str();
  d.Inputs = {{"service", p.Head.Service.str()},
              {"first-of-flow", p.Head.FirstOfFlow ? "yes" : "no"},
              {"tries", absl::StrCat(p.TriedServers.size())},
              {"remaining-us", absl::StrCat((p.Deadline - Now).count())}};
  if (p.claimsKey()) {
    d.Key = p.Head.Key;
    d.KeyReplicas = p.Keys.describe();
  }
  Actions.emplace_back(ExplainEntry{std::move(d)});
}

} // namespace balsamrack

// Placement steps of EntryRouter::State: choose where a packet goes next.
#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Flows/EntryRouterState.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// True if a new flow refused for this reason may be offered to another server,
/// because the reason concerns only the one server or its owner.
bool isRetryableElsewhere(Reason why) {
  switch (why) {
  case Reason::QueueFull:
  case Reason::DeadlineTooShort:
  case Reason::CallerOverFairShare:
  case Reason::ServerCold:
  case Reason::ServerFull:
  case Reason::ServerDraining:
  case Reason::ServerEjected:
  case Reason::ServerShed:
  case Reason::ServerUnreachable:
  case Reason::DomainOutOfService:
  case Reason::NotOwner:
  case Reason::OwnerWithoutAuthority:
  case Reason::OwnerUnreachable:
  case Reason::ShuttingDown:
    return true;
  default:
    return false;
  }
}

} // namespace

FlowId EntryRouter::State::rankKey(const EntryPacket &p) const {
  if (Settings.UseRank)
    return p.Head.Flow;
  return FlowId{combineHash(p.Head.Flow.Value, p.Head.Request.Value)};
}

void EntryRouter::State::sendKeyClaims(EntryPacket &p) {
  for (const EntryVm &vm :
       p.Keys.updateReplicas(p.Head.Key, View->KeyReplicas, Settings))
    Actions.emplace_back(SendClaim{vm, {p.Head.Key, p.Head.Request}});
  setTimer(p, std::min(p.Deadline, Now + Settings.ClaimTimeout));
}

void EntryRouter::State::resendKeyClaims(EntryPacket &p) {
  if (p.Keys.isHeldInProgress()) {
    if (Now >= p.EndingAwaitedUntil)
      return evaluateKeyClaims(p);
    p.ClaimResendDelay = std::min(2 * p.ClaimResendDelay, Settings.RetryAfter);
  }
  for (const EntryVm &vm : p.Keys.resetForResend(View->KeyReplicas))
    Actions.emplace_back(SendClaim{vm, {p.Head.Key, p.Head.Request}});
  setTimer(p, std::min(p.Deadline, Now + Settings.ClaimTimeout));
  evaluateKeyClaims(p);
}

void EntryRouter::State::startClaimWaits(EntryPacket &p) {
  p.ClaimResendUntil = Now + Settings.ClaimTimeout;
  p.ClaimResendDelay = Settings.ClaimRepeat;
  // Leave the caller as much time as it waits, to act on the refusal. The
  // jitter lets one of two attempts that each hold the key at one replica end
  // before the other one, which then runs.
  const Duration wait = std::min(Settings.EndingWait, p.Head.Remaining / 2);
  if (wait <= Duration::zero())
    return;
  const auto jitter = static_cast<uint64_t>(wait.count() / 4);
  p.EndingAwaitedUntil =
      Now + wait - Duration(static_cast<int64_t>(Random.below(jitter + 1)));
}

std::optional<Duration>
EntryRouter::State::claimResendDelay(const EntryPacket &p) const {
  // An attempt in progress may have ended as not run, and its caller may have
  // come back, before a replica has handled that ending.
  if (p.Keys.isHeldInProgress()) {
    const Duration rest = p.EndingAwaitedUntil - Now;
    if (rest <= Duration::zero())
      return std::nullopt;
    // The last claim is sent early enough for its reply to count.
    return rest <= Settings.ClaimRepeat
               ? rest
               : std::min(p.ClaimResendDelay, rest - Settings.ClaimRepeat);
  }
  // During a rolling restart one replica may have stopped granting keys while
  // the other has not received its hand-over yet, or this daemon has just
  // started and knows no peers. Refusing at once would end the request with an
  // unknown outcome, although a replica with the key's history becomes
  // available shortly. A replica that is leaving may need all the time that the
  // caller has left.
  const TimePoint until = p.Keys.awaitsHandOver(View->KeyReplicas)
                              ? p.Deadline
                              : p.ClaimResendUntil;
  if (Now < until && p.Keys.mayBecomeGranted(View->KeyReplicas, Settings))
    return Settings.ClaimRepeat;
  return std::nullopt;
}

void EntryRouter::State::evaluateKeyClaims(EntryPacket &p) {
  KeyClaims::Result result = p.Keys.evaluate(Settings);
  if (result == KeyClaims::Result::Waiting)
    return;
  if (result == KeyClaims::Result::Run) {
    explain(p, DecisionKind::KeyJudged, "key-granted", "may run", {}, {});
    return place(p);
  }
  // Resend the claims for a while before refusing.
  if (std::optional<Duration> delay = claimResendDelay(p)) {
    p.ClaimResendDue = true;
    return setTimer(p, std::min(p.Deadline, Now + *delay));
  }
  Reason why = p.Keys.refusalReason();
  explain(p, DecisionKind::KeyJudged, reasonName(why),
          p.Keys.hasMissingReply() ? "a guardian gave no answer"
                                   : "may not run",
          {}, {});
  // The request provably did not run, so the caller may retry safely, which it
  // could not after "unknown".
  if (p.Keys.isProvenNotRun(Settings))
    return end(p, OutcomeKind::NotRun, why, {}, jitteredRetryAfter(),
               "key-proved-new");
  // A retry helps if another attempt is in progress or a replica was
  // unreachable. A key whose replicas are all fresh stays unknown for long.
  bool mayRetry = why == Reason::KeyInProgress || p.Keys.hasMissingReply();
  end(p, OutcomeKind::OutcomeUnknown, why, {},
      mayRetry ? jitteredRetryAfter() : Duration(0), "idempotency-key");
}

void EntryRouter::State::place(EntryPacket &p) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  if (!route)
    return end(p, OutcomeKind::NotRun, Reason::UnknownService, {}, {},
               "unknown-service");
  if (placeByToken(p, *route))
    return;
  if (p.Head.FirstOfFlow)
    return placeNewFlow(p, *route);
  placeEstablishedFlow(p, *route);
}

bool EntryRouter::State::placeByToken(EntryPacket &p,
                                      const ServiceRoute &route) {
  if (Settings.TokenKey.empty() || p.Token.empty())
    return false;
  std::optional<FlowToken> token = Codec.decode(p.Token);
  if (!token || token->ServiceHash != p.Head.Service.hash() ||
      token->Flow != p.Head.Flow)
    return false;
  const RoutedServer *server = route.findByHash(token->ServerHash);
  if (p.Head.FirstOfFlow) {
    // A retransmitted first packet may return to the same server, but need not.
    if (!server || !server->acceptsNewFlows())
      return false;
  }
  if (server) {
    forwardToFlowServer(p, *server, true, "token");
    return true;
  }
  // The server is not in the view. If the token's ticket is not in force here
  // yet, another server would break the flow, and the ticket arrives within
  // seconds. Otherwise the server was deleted and the flow has ended.
  if (token->Ticket > View->Ticket)
    end(p, OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, {},
        jitteredRetryAfter(), "token-of-later-ticket");
  else
    end(p, OutcomeKind::GivenUp, Reason::NoServer, {}, {},
        "token-server-deleted");
  return true;
}

void EntryRouter::State::placeNewFlow(EntryPacket &p,
                                      const ServiceRoute &route) {
  p.OpensFlow = true;
  const RoutedServer *server =
      chooseForNewFlow(route, rankKey(p), p.TriedServers);
  if (!server)
    return end(p, OutcomeKind::NotRun, Reason::NoServer, {},
               jitteredRetryAfter(), "no-server");
  forward(p, *server, false, false, "new-flow");
}

void EntryRouter::State::placeEstablishedFlow(EntryPacket &p,
                                              const ServiceRoute &route) {
  if (route.Servers.empty())
    return end(p, OutcomeKind::GivenUp, Reason::NoServer, {}, {}, "no-server");
  // Most flows are bound to their first candidate: forward the packet without a
  // search; the owner replies FlowNotOnServer if the flow is not bound there.
  const RoutedServer &best =
      route.Servers[route.Rank.firstCandidate(rankKey(p))];
  if (best.DomainInService && best.isReachable())
    return forward(p, best, false, false, "first-candidate");
  startSearch(p);
}

void EntryRouter::State::forwardToFlowServer(EntryPacket &p,
                                             const RoutedServer &server,
                                             bool byToken, const char *rule) {
  const ServerId &id = server.Server.Id;
  if (!server.DomainInService)
    return end(p, OutcomeKind::GivenUp, Reason::DomainOutOfService, id, {},
               "domain-out");
  // The server may still be alive. Moving the flow would break it permanently,
  // while the domain or owner may become reachable again.
  if (!server.DomainReachable)
    return end(p, OutcomeKind::NotRun, Reason::DomainUnreachable, id,
               jitteredRetryAfter(), "domain-unreachable");
  if (!server.isReachable())
    return end(p, OutcomeKind::NotRun, Reason::OwnerUnreachable, id,
               jitteredRetryAfter(), "owner-unreachable");
  forward(p, server, !byToken, byToken, rule);
}

void EntryRouter::State::forwardToFlowServerById(EntryPacket &p,
                                                 const ServerId &server,
                                                 const char *rule) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  const RoutedServer *flowServer = route ? route->find(server) : nullptr;
  // The peer has a later ticket, with a server that is not in force here yet.
  if (!flowServer)
    return end(p, OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, server,
               jitteredRetryAfter(), "server-of-later-ticket");
  forwardToFlowServer(p, *flowServer, false, rule);
}

void EntryRouter::State::startSearch(EntryPacket &p) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  if (!route || route->Servers.empty())
    return end(p, OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, {},
               jitteredRetryAfter(), "service-gone");
  if (!Settings.UseQuestion) {
    const RoutedServer &best =
        route->Servers[route->Rank.firstCandidate(rankKey(p))];
    return forwardToFlowServer(p, best, false, "question-off");
  }
  p.CurrentPhase = EntryPacket::Phase::SearchingFlow;
  p.Search.start(*route, rankKey(p), 1 + Settings.QuestionCandidates);
  evaluateSearch(p);
}

void EntryRouter::State::sendQuestions(EntryPacket &p) {
  setTimer(p, std::min(p.Deadline, Now + Settings.QuestionTimeout));
  for (const EntryVm &vm : p.Search.selectOwnersToAsk())
    Actions.emplace_back(
        SendQuestion{vm, {p.Head.Request, p.Head.Flow, p.Head.Service}});
  explain(p, DecisionKind::Asked, "question", "asked the likeliest owners", {},
          {});
}

void EntryRouter::State::evaluateSearch(EntryPacket &p) {
  FlowSearch::Conclusion conclusion = p.Search.evaluate();
  switch (conclusion) {
  case FlowSearch::Conclusion::Pending:
    return;
  case FlowSearch::Conclusion::AskMoreOwners:
    return sendQuestions(p);
  case FlowSearch::Conclusion::Found:
    return forwardToFlowServerById(p, p.Search.server(), "question-found");
  case FlowSearch::Conclusion::Inferred:
    return forwardToFlowServerById(p, p.Search.server(), "question-inferred");
  case FlowSearch::Conclusion::Unreachable:
    return end(p, OutcomeKind::NotRun, Reason::OwnerUnreachable,
               p.Search.server(), jitteredRetryAfter(),
               "likely-home-unreachable");
  case FlowSearch::Conclusion::DomainOut:
    return end(p, OutcomeKind::GivenUp, Reason::DomainOutOfService,
               p.Search.server(), {}, "likely-home-out");
  case FlowSearch::Conclusion::LaterTicket:
    return end(p, OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, {},
               jitteredRetryAfter(), "owner-has-later-ticket");
  case FlowSearch::Conclusion::NotFound:
    break;
  }
  // The flow was idle for too long, or more failures than the lookup layers
  // tolerate removed all records of it: bind it anew.
  const ServiceRoute *route = View->findService(p.Head.Service);
  const RoutedServer *server =
      route ? chooseForNewFlow(*route, rankKey(p), {}) : nullptr;
  if (!server)
    return end(p, OutcomeKind::NotRun, Reason::NoServer, {},
               jitteredRetryAfter(), "no-server");
  forward(p, *server, true, false, "nobody-knows");
}

void EntryRouter::State::retryOnNextCandidate(EntryPacket &p,
                                              const Outcome &refusal) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  const RoutedServer *next = nullptr;
  if (route && isRetryableElsewhere(refusal.Cause) &&
      p.TriedServers.size() < Settings.MaxTries)
    next = chooseForNewFlow(*route, rankKey(p), p.TriedServers);
  Outcome last = refusal;
  if (last.RetryAfter <= Duration::zero() && isRetryableElsewhere(last.Cause))
    last.RetryAfter = jitteredRetryAfter();
  if (!next)
    return end(p, std::move(last), "owner-refused");
  if (!consumeRetry(p)) {
    last.Cause = Reason::RetryBudgetExhausted;
    return end(p, std::move(last), "retry-budget");
  }
  explain(p, DecisionKind::Retried, reasonName(refusal.Cause),
          absl::StrCat("offered to ", next->Server.Id.str()), refusal.Server,
          next->Owner.Id);
  forward(p, *next, false, false, "next-candidate");
}

bool EntryRouter::State::consumeRetry(const EntryPacket &p) {
  return Budgets
      .try_emplace(p.Head.Service, Settings.RetryRatio, Settings.RetryBurst)
      .first->second.tryConsume();
}

bool EntryRouter::State::reserveRetryAfterOwnerLoss(EntryPacket &p,
                                                    const VmId &lost) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  if (!route || p.Head.Kind != Semantics::Idempotent || !p.LostServer.empty())
    return false;
  const RoutedServer *server =
      p.OpensFlow ? chooseForNewFlow(*route, rankKey(p), p.TriedServers)
                  : route->find(p.Outstanding->Server);
  // Do not retry on the lost owner, which may still have the request under the
  // same id.
  return server && server->DomainInService && server->isReachable() &&
         server->Owner.Id != lost && consumeRetry(p);
}

void EntryRouter::State::handleOwnerLoss(EntryPacket &p, bool notSent) {
  const EntryPacket::OutstandingForward gone = *p.Outstanding;
  if (!notSent) {
    // It is unknown whether the owner dispatched the request before it was
    // lost. A second run could, for example, charge a deposit twice, so only
    // idempotent requests are retried, and only once.
    bool retry = reserveRetryAfterOwnerLoss(p, gone.To.Id);
    p.MayHaveRun = true;
    p.LostServer = gone.Server;
    if (!retry)
      return end(p, OutcomeKind::OutcomeUnknown, Reason::OwnerLost, gone.Server,
                 {}, "owner-lost");
    p.Outstanding.reset();
    const ServiceRoute &route = *View->findService(p.Head.Service);
    const RoutedServer &next =
        p.OpensFlow ? *chooseForNewFlow(route, rankKey(p), p.TriedServers)
                    : *route.find(gone.Server);
    return forward(p, next, !p.OpensFlow, false, "owner-lost-idempotent");
  }
  p.Outstanding.reset();
  Outcome refusal;
  refusal.Cause = Reason::OwnerUnreachable;
  refusal.Server = gone.Server;
  refusal.AtStep = stepName(Step::ForwardToOwner);
  refusal.AtPeer = gone.To.Id.str();
  refusal.RetryAfter = jitteredRetryAfter();
  if (p.OpensFlow)
    return retryOnNextCandidate(p, refusal);
  if (gone.AcceptFlow)
    return end(p, std::move(refusal), "owner-unreachable");
  startSearch(p);
}

void EntryRouter::State::forward(EntryPacket &p, const RoutedServer &server,
                                 bool accept, bool byToken, const char *rule) {
  const ServerId &id = server.Server.Id;
  p.CurrentPhase = EntryPacket::Phase::Forwarded;
  p.Outstanding =
      EntryPacket::OutstandingForward{server.Owner, id, accept || byToken};
  p.TriedServers.push_back(id);
  setTimer(p, p.Deadline);
  Actions.emplace_back(SendForward{server.Owner, p.Head.Request, id,
                                   View->Ticket, accept, byToken,
                                   p.Deadline - Now});
  explain(p, DecisionKind::Placed, rule,
          absl::StrCat("handed to the owner of ", id.str()), id,
          server.Owner.Id);
}

} // namespace balsamrack

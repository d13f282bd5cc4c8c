// The placement half of EntryRouter::State: where a packet goes next.
#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Flows/EntryRouterState.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// May a new flow that was refused for this reason be offered to another
/// server? Those are obstacles of the one server or its owner.
bool anotherMayTakeIt(Reason why) {
  switch (why) {
  case Reason::QueueFull:
  case Reason::DeadlineTooShort:
  case Reason::CallerShare:
  case Reason::ServerCold:
  case Reason::ServerFull:
  case Reason::ServerDraining:
  case Reason::ServerEjected:
  case Reason::ServerShed:
  case Reason::ServerUnreachable:
  case Reason::DomainOut:
  case Reason::NotOwner:
  case Reason::OwnerUnsure:
  case Reason::OwnerUnreachable:
  case Reason::ShuttingDown:
    return true;
  default:
    return false;
  }
}

} // namespace

FlowId EntryRouter::State::rankBy(const EntryPacket &p) const {
  if (Settings.UseRank)
    return p.Head.Flow;
  return FlowId{combineHash(p.Head.Flow.Value, p.Head.Request.Value)};
}

void EntryRouter::State::sendClaims(EntryPacket &p) {
  for (const EntryVm &vm : p.Keys.update(p.Head.Key, View->Guardians, Settings))
    Actions.emplace_back(SendClaim{vm, {p.Head.Key, p.Head.Request}});
  wakeAt(p, std::min(p.Deadline, Now + Settings.ClaimTimeout));
}

void EntryRouter::State::repeatClaims(EntryPacket &p) {
  for (const EntryVm &vm : p.Keys.askAgain())
    Actions.emplace_back(SendClaim{vm, {p.Head.Key, p.Head.Request}});
  wakeAt(p, std::min(p.Deadline, Now + Settings.ClaimTimeout));
  judgeKeys(p);
}

void EntryRouter::State::judgeKeys(EntryPacket &p) {
  KeyClaims::Result result = p.Keys.judge(Settings);
  if (result == KeyClaims::Result::Waiting)
    return;
  if (result == KeyClaims::Result::Run) {
    explain(p, DecisionKind::KeyJudged, "key-granted", "may run", {}, {});
    return place(p);
  }
  // Guards against a deposit that ends unknown during a rolling restart: one
  // guardian has closed its memory and the other has not got what that one
  // passes on, or this daemon has just started and met nobody. A moment later
  // there is somebody who can vouch.
  if (Now < p.ClaimUntil &&
      p.Keys.mayStillBeGranted(View->Guardians, Settings)) {
    p.AskAgain = true;
    return wakeAt(p, std::min(p.Deadline, Now + Settings.ClaimRepeat));
  }
  Reason why = p.Keys.why();
  explain(p, DecisionKind::KeyJudged, reasonName(why),
          p.Keys.anyUnanswered() ? "a guardian gave no answer" : "may not run",
          {}, {});
  // True, and better for the caller than "unknown": it may simply come back.
  if (p.Keys.provedNew(Settings))
    return end(p, OutcomeKind::NotRun, why, {}, spread(), "key-proved-new");
  // Coming back helps when another attempt is under way or a guardian was out
  // of reach; a key whose guardians are all fresh stays unknown for long.
  bool comeBack = why == Reason::KeyInProgress || p.Keys.anyUnanswered();
  end(p, OutcomeKind::OutcomeUnknown, why, {},
      comeBack ? spread() : Duration(0), "idempotency-key");
}

void EntryRouter::State::place(EntryPacket &p) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  if (!route)
    return end(p, OutcomeKind::NotRun, Reason::UnknownService, {}, {},
               "unknown-service");
  if (placeByToken(p, *route))
    return;
  if (p.Head.FirstOfFlow)
    return placeNew(p, *route);
  placeEstablished(p, *route);
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
    // A first packet that is sent again may go back, but need not.
    if (!server || !server->takesNewFlows())
      return false;
  }
  if (server) {
    sendToHome(p, *server, true, "token");
    return true;
  }
  // The server is not listed. Either the token's ticket has not come into
  // force here yet: then another server would break the flow, and the ticket
  // arrives within seconds. Or the server was deleted: the flow is over.
  if (token->Ticket > View->Ticket)
    end(p, OutcomeKind::NotRun, Reason::OwnerUnsure, {}, spread(),
        "token-of-later-ticket");
  else
    end(p, OutcomeKind::GivenUp, Reason::NoServer, {}, {},
        "token-server-deleted");
  return true;
}

void EntryRouter::State::placeNew(EntryPacket &p, const ServiceRoute &route) {
  p.NewFlow = true;
  const RoutedServer *server = chooseForNewFlow(route, rankBy(p), p.Tried);
  if (!server)
    return end(p, OutcomeKind::NotRun, Reason::NoServer, {}, spread(),
               "no-server");
  forward(p, *server, false, false, "new-flow");
}

void EntryRouter::State::placeEstablished(EntryPacket &p,
                                          const ServiceRoute &route) {
  if (route.Servers.empty())
    return end(p, OutcomeKind::GivenUp, Reason::NoServer, {}, {}, "no-server");
  // Most flows live on their first candidate: hand the packet over right away,
  // its owner says if not.
  const RoutedServer &best = route.Servers[route.Rank.first(rankBy(p))];
  if (best.DomainInService && best.reachable())
    return forward(p, best, false, false, "first-candidate");
  search(p);
}

void EntryRouter::State::sendToHome(EntryPacket &p, const RoutedServer &server,
                                    bool byToken, const char *rule) {
  const ServerId &id = server.Server.Id;
  if (!server.DomainInService)
    return end(p, OutcomeKind::GivenUp, Reason::DomainOut, id, {},
               "domain-out");
  // Its server may well be alive: moving the flow would break it for good,
  // while the obstacle may go away.
  if (!server.DomainReachable)
    return end(p, OutcomeKind::NotRun, Reason::DomainUnreachable, id, spread(),
               "domain-unreachable");
  if (!server.reachable())
    return end(p, OutcomeKind::NotRun, Reason::OwnerUnreachable, id, spread(),
               "owner-unreachable");
  forward(p, server, !byToken, byToken, rule);
}

void EntryRouter::State::sendToNamed(EntryPacket &p, const ServerId &server,
                                     const char *rule) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  const RoutedServer *home = route ? route->find(server) : nullptr;
  // A peer with a later ticket names a server that is not in force here yet.
  if (!home)
    return end(p, OutcomeKind::NotRun, Reason::OwnerUnsure, server, spread(),
               "server-of-later-ticket");
  sendToHome(p, *home, false, rule);
}

void EntryRouter::State::search(EntryPacket &p) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  if (!route || route->Servers.empty())
    return end(p, OutcomeKind::NotRun, Reason::OwnerUnsure, {}, spread(),
               "service-gone");
  if (!Settings.UseQuestion) {
    const RoutedServer &best = route->Servers[route->Rank.first(rankBy(p))];
    return sendToHome(p, best, false, "question-off");
  }
  p.Now = EntryPacket::Phase::Asking;
  p.Search.start(*route, rankBy(p), 1 + Settings.QuestionCandidates);
  concludeSearch(p);
}

void EntryRouter::State::askOwners(EntryPacket &p) {
  wakeAt(p, std::min(p.Deadline, Now + Settings.QuestionTimeout));
  for (const EntryVm &vm : p.Search.askNext())
    Actions.emplace_back(
        SendQuestion{vm, {p.Head.Request, p.Head.Flow, p.Head.Service}});
  explain(p, DecisionKind::Asked, "question", "asked the likeliest owners", {},
          {});
}

void EntryRouter::State::concludeSearch(EntryPacket &p) {
  FlowSearch::Conclusion conclusion = p.Search.judge();
  switch (conclusion) {
  case FlowSearch::Conclusion::Pending:
    return;
  case FlowSearch::Conclusion::AskMore:
    return askOwners(p);
  case FlowSearch::Conclusion::Found:
    return sendToNamed(p, p.Search.server(), "question-found");
  case FlowSearch::Conclusion::Inferred:
    return sendToNamed(p, p.Search.server(), "question-inferred");
  case FlowSearch::Conclusion::Unreachable:
    return end(p, OutcomeKind::NotRun, Reason::OwnerUnreachable,
               p.Search.server(), spread(), "likely-home-unreachable");
  case FlowSearch::Conclusion::DomainOut:
    return end(p, OutcomeKind::GivenUp, Reason::DomainOut, p.Search.server(),
               {}, "likely-home-out");
  case FlowSearch::Conclusion::LaterTicket:
    return end(p, OutcomeKind::NotRun, Reason::OwnerUnsure, {}, spread(),
               "owner-has-later-ticket");
  case FlowSearch::Conclusion::Nowhere:
    break;
  }
  // Idle for too long, or lost by more failures than the layers stand.
  const ServiceRoute *route = View->findService(p.Head.Service);
  const RoutedServer *server =
      route ? chooseForNewFlow(*route, rankBy(p), {}) : nullptr;
  if (!server)
    return end(p, OutcomeKind::NotRun, Reason::NoServer, {}, spread(),
               "no-server");
  forward(p, *server, true, false, "nobody-knows");
}

void EntryRouter::State::tryNext(EntryPacket &p, const Outcome &refusal) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  const RoutedServer *next = nullptr;
  if (route && anotherMayTakeIt(refusal.Why) &&
      p.Tried.size() < Settings.MaxTries)
    next = chooseForNewFlow(*route, rankBy(p), p.Tried);
  Outcome last = refusal;
  if (last.RetryAfter <= Duration::zero() && anotherMayTakeIt(last.Why))
    last.RetryAfter = spread();
  if (!next)
    return end(p, std::move(last), "owner-refused");
  if (!takeRetry(p)) {
    last.Why = Reason::RetryBudget;
    return end(p, std::move(last), "retry-budget");
  }
  explain(p, DecisionKind::Retried, reasonName(refusal.Why),
          absl::StrCat("offered to ", next->Server.Id.str()), refusal.Server,
          next->Owner.Id);
  forward(p, *next, false, false, "next-candidate");
}

bool EntryRouter::State::takeRetry(const EntryPacket &p) {
  return Budgets
      .try_emplace(p.Head.Service, Settings.RetryRatio, Settings.RetryBurst)
      .first->second.take();
}

bool EntryRouter::State::retryLost(EntryPacket &p, const VmId &lost) {
  const ServiceRoute *route = View->findService(p.Head.Service);
  if (!route || p.Head.Kind != Semantics::Idempotent || !p.Lost.empty())
    return false;
  const RoutedServer *server =
      p.NewFlow ? chooseForNewFlow(*route, rankBy(p), p.Tried)
                : route->find(p.Unanswered->Server);
  // The same owner may still have the request under the same id.
  return server && server->DomainInService && server->reachable() &&
         server->Owner.Id != lost && takeRetry(p);
}

void EntryRouter::State::ownerGone(EntryPacket &p, bool provablyNotSent) {
  const EntryPacket::Outstanding gone = *p.Unanswered;
  if (!provablyNotSent) {
    // Whether the owner passed the request on before it vanished can't be
    // known. A second run would charge a deposit twice, so only a request that
    // may run twice is tried again, once.
    bool retry = retryLost(p, gone.To.Id);
    p.MayHaveRun = true;
    p.Lost = gone.Server;
    if (!retry)
      return end(p, OutcomeKind::OutcomeUnknown, Reason::OwnerLost, gone.Server,
                 {}, "owner-lost");
    p.Unanswered.reset();
    const ServiceRoute &route = *View->findService(p.Head.Service);
    const RoutedServer &next =
        p.NewFlow ? *chooseForNewFlow(route, rankBy(p), p.Tried)
                  : *route.find(gone.Server);
    return forward(p, next, !p.NewFlow, false, "owner-lost-idempotent");
  }
  p.Unanswered.reset();
  Outcome refusal;
  refusal.Why = Reason::OwnerUnreachable;
  refusal.Server = gone.Server;
  refusal.AtStep = stepName(Step::ForwardToOwner);
  refusal.AtPeer = gone.To.Id.str();
  refusal.RetryAfter = spread();
  if (p.NewFlow)
    return tryNext(p, refusal);
  if (gone.Accepting)
    return end(p, std::move(refusal), "owner-unreachable");
  search(p);
}

void EntryRouter::State::forward(EntryPacket &p, const RoutedServer &server,
                                 bool accept, bool byToken, const char *rule) {
  const ServerId &id = server.Server.Id;
  p.Now = EntryPacket::Phase::Forwarded;
  p.Unanswered = EntryPacket::Outstanding{server.Owner, id, accept || byToken};
  p.Tried.push_back(id);
  wakeAt(p, p.Deadline);
  Actions.emplace_back(SendForward{server.Owner, p.Head.Request, id,
                                   View->Ticket, accept, byToken,
                                   p.Deadline - Now});
  explain(p, DecisionKind::Placed, rule,
          absl::StrCat("handed to the owner of ", id.str()), id,
          server.Owner.Id);
}

} // namespace balsamrack

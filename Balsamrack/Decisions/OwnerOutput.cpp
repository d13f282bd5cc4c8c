#include "Balsamrack/Decisions/OwnerOutput.h"

#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

DecisionKind kindOf(OutcomeKind how, Step at) {
  bool refused = how == OutcomeKind::NotRun && at == Step::Admit;
  return refused ? DecisionKind::Refused : DecisionKind::Ended;
}

} // namespace

void OwnerOutput::begin(TimePoint now, TicketNumber ticket) {
  Now = now;
  Ticket = ticket;
  Actions.clear();
}

std::vector<OwnerAction> OwnerOutput::finish() {
  return std::exchange(Actions, {});
}

Decision OwnerOutput::makeDecision(const Envelope &head, const ServerId &server,
                                   Step step) const {
  Decision what;
  what.At = Now;
  what.Request = head.Request;
  what.Flow = head.Flow;
  what.Server = server;
  what.Ticket = Ticket;
  what.AtStep = stepName(step);
  what.AtPeer = server.str();
  return what;
}

void OwnerOutput::startDispatch(const QueuedRequest &request,
                                const ServerId &server, DecisionInputs inputs) {
  Decision what = makeDecision(request.Head, server, Step::Dispatch);
  what.Kind = DecisionKind::Admitted;
  what.Rule = "slot-free";
  what.Result = absl::StrCat("dispatched to ", server.str());
  what.Inputs = std::move(inputs);
  Actions.emplace_back(Explain{std::move(what)});
  Actions.emplace_back(
      StartDispatch{request.Head.Request, server, request.Deadline - Now});
}

void OwnerOutput::explainQueued(const QueuedRequest &request,
                                const ServerId &server, DecisionInputs inputs) {
  Decision what = makeDecision(request.Head, server, Step::Admit);
  what.Kind = DecisionKind::Admitted;
  what.Rule = "wait-covered";
  what.Result = absl::StrCat("queued for ", server.str());
  what.Inputs = std::move(inputs);
  Actions.emplace_back(Explain{std::move(what)});
}

void OwnerOutput::cancelDispatch(RequestId request, const ServerId &server) {
  Actions.emplace_back(CancelDispatch{request, server});
}

void OwnerOutput::endRequest(const QueuedRequest &request,
                             const ServerId &server, RequestEnd end,
                             DecisionInputs inputs) {
  bool says = end.How == OutcomeKind::NotRun || end.How == OutcomeKind::GivenUp;
  if (says && request.MayHaveRun)
    end.How = OutcomeKind::OutcomeUnknown;
  Decision what = makeDecision(request.Head, server, end.At);
  what.Kind = kindOf(end.How, end.At);
  what.Rule = end.Why == Reason::None ? "server-answered" : reasonName(end.Why);
  what.Result = absl::StrCat("ended ", outcomeKindName(end.How));
  what.Inputs = std::move(inputs);
  Actions.emplace_back(Explain{std::move(what)});
  Outcome result;
  result.Request = request.Head.Request;
  result.Kind = end.How;
  result.Cause = end.Why;
  result.RetryAfter = end.RetryAfter;
  result.Server = server;
  result.AtStep = stepName(end.At);
  result.AtPeer = server.str();
  Actions.emplace_back(EndRequest{std::move(result)});
}

void OwnerOutput::explain(DecisionKind kind, const ServerId &server,
                          const std::string &rule, const std::string &result,
                          DecisionInputs inputs) {
  Decision what = makeDecision(Envelope(), server, Step::Admit);
  what.Kind = kind;
  what.Rule = rule;
  what.Result = result;
  what.Inputs = std::move(inputs);
  Actions.emplace_back(Explain{std::move(what)});
}

void OwnerOutput::explainRetry(const QueuedRequest &request,
                               const ServerId &server, DecisionInputs inputs) {
  Decision what = makeDecision(request.Head, server, Step::AwaitResponse);
  what.Kind = DecisionKind::Retried;
  what.Rule = "retry-budget";
  what.Result = absl::StrCat("queued again for ", server.str());
  what.Inputs = std::move(inputs);
  Actions.emplace_back(Explain{std::move(what)});
}

void OwnerOutput::publishCondition(ServerCondition condition) {
  Actions.emplace_back(ConditionLearned{std::move(condition)});
}

} // namespace balsamrack

#include "Balsamrack/World/Request.h"

namespace balsamrack {

const char *outcomeKindName(OutcomeKind ending) {
  switch (ending) {
  case OutcomeKind::Answered:
    return "answered";
  case OutcomeKind::NotRun:
    return "not-run";
  case OutcomeKind::OutcomeUnknown:
    return "unknown";
  case OutcomeKind::GivenUp:
    return "given-up";
  }
  return "unknown";
}

const char *reasonName(Reason reason) {
  switch (reason) {
  case Reason::None:
    return "none";
  case Reason::QueueFull:
    return "queue-full";
  case Reason::DeadlineTooShort:
    return "deadline-too-short";
  case Reason::DeadlinePassed:
    return "deadline-passed";
  case Reason::CallerOverFairShare:
    return "caller-share";
  case Reason::ServerCold:
    return "server-cold";
  case Reason::ServerFull:
    return "server-full";
  case Reason::ServerDraining:
    return "server-draining";
  case Reason::ServerEjected:
    return "server-ejected";
  case Reason::ServerShed:
    return "server-shed";
  case Reason::ServerUnreachable:
    return "server-unreachable";
  case Reason::ServerFailed:
    return "server-failed";
  case Reason::DomainOutOfService:
    return "domain-out";
  case Reason::DomainUnreachable:
    return "domain-unreachable";
  case Reason::NotOwner:
    return "not-owner";
  case Reason::OwnerWithoutAuthority:
    return "owner-unsure";
  case Reason::OwnerUnreachable:
    return "owner-unreachable";
  case Reason::OwnerLost:
    return "owner-lost";
  case Reason::FlowNotOnServer:
    return "flow-elsewhere";
  case Reason::KeyInProgress:
    return "key-in-progress";
  case Reason::KeyAnswered:
    return "key-answered";
  case Reason::KeyOutcomeUnknown:
    return "key-unknown";
  case Reason::NoServer:
    return "no-server";
  case Reason::RetryBudgetExhausted:
    return "retry-budget";
  case Reason::ShuttingDown:
    return "shutting-down";
  case Reason::CallerDisconnected:
    return "caller-gone";
  case Reason::BadRequest:
    return "bad-request";
  case Reason::UnknownService:
    return "unknown-service";
  }
  return "unknown";
}

const char *dispatchOutcomeName(DispatchOutcome end) {
  switch (end) {
  case DispatchOutcome::Answered:
    return "answered";
  case DispatchOutcome::Shed:
    return "shed";
  case DispatchOutcome::Unreachable:
    return "unreachable";
  case DispatchOutcome::Failed:
    return "failed";
  }
  return "unknown";
}

} // namespace balsamrack

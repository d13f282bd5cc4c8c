#include "Balsamrack/World/Decision.h"

namespace balsamrack {

const char *decisionKindName(DecisionKind kind) {
  switch (kind) {
  case DecisionKind::Placed:
    return "placed";
  case DecisionKind::Asked:
    return "asked";
  case DecisionKind::Admitted:
    return "admitted";
  case DecisionKind::Refused:
    return "refused";
  case DecisionKind::Ended:
    return "ended";
  case DecisionKind::Retried:
    return "retried";
  case DecisionKind::Ramped:
    return "ramped";
  case DecisionKind::Ejected:
    return "ejected";
  case DecisionKind::Drained:
    return "drained";
  case DecisionKind::OwnershipMoved:
    return "ownership-moved";
  case DecisionKind::MemberChanged:
    return "member-changed";
  case DecisionKind::TicketApplied:
    return "ticket-applied";
  case DecisionKind::TicketRejected:
    return "ticket-rejected";
  case DecisionKind::KeyJudged:
    return "key-judged";
  }
  return "unknown";
}

} // namespace balsamrack

#ifndef BALSAMRACK_WORLD_DECISION_H
#define BALSAMRACK_WORLD_DECISION_H

#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Subject of a recorded decision.
enum class DecisionKind {
  Placed,   ///< A backend server was chosen for a packet.
  Asked,    ///< Other daemons were queried about a flow.
  Admitted, ///< A request was dispatched or queued.
  Refused,  ///< A request was refused.
  Ended,    ///< The outcome of a request was determined.
  Retried,  ///< A request that did not run was retried.
  Ramped,   ///< The concurrency limit of a cold server changed.
  Ejected, ///< A server was ejected from or readmitted to the selection for new
           ///< flows.
  Drained, ///< A server's drain began or ended.
  OwnershipMoved, ///< A server's owner changed.
  MemberChanged,  ///< The membership state of a daemon changed: alive, suspect,
                  ///< dead or left.
  TicketApplied,  ///< A ticket came into force.
  TicketRejected, ///< A ticket was rejected as a whole.
  KeyJudged,      ///< An idempotency key was granted or refused.
};

/// Name of a kind in lower case with hyphens. Thread-safe.
const char *decisionKindName(DecisionKind kind);

/// Record of one decision, with everything needed to explain it later.
struct Decision {
  TimePoint At; ///< When, on the daemon's monotonic clock.
  DecisionKind Kind = DecisionKind::Placed; ///< Subject of the decision.
  std::string Rule; ///< Name of the rule, such as "bounded-load" or
                    ///< "deadline-too-short".
  std::string
      Result; ///< Result as a short phrase, such as "dispatched to booking-03".
  RequestId Request;       ///< The request concerned; zero for none.
  FlowId Flow;             ///< The flow concerned; zero for none.
  KeyDigest Key;           ///< The idempotency key concerned; empty for none.
  std::string KeyReplicas; ///< State of the key's replicas, for logs.
  ServerId Server;         ///< The backend server concerned; may be empty.
  TicketNumber Ticket;     ///< Highest ticket in force at that time.
  std::string AtStep;      ///< Processing step that made the decision.
  std::string AtPeer;      ///< Peer whose message led to it; may be empty.
  std::vector<std::pair<std::string, std::string>>
      Inputs; ///< Inputs of the rule, by name.
};

/// Action of a decision class: writes a decision to the journal.
struct Explain {
  Decision What; ///< Decision to record, with its inputs.
};

} // namespace balsamrack

#endif // BALSAMRACK_WORLD_DECISION_H

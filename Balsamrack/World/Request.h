#ifndef BALSAMRACK_WORLD_REQUEST_H
#define BALSAMRACK_WORLD_REQUEST_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// May a request run more than once?
enum class Semantics {
  Idempotent, ///< Running it again does no harm (GET, HEAD, OPTIONS, PUT,
              ///< DELETE).
  RunOnce,    ///< A second run would charge a deposit twice or engrave a second
              ///< bottle (POST, PATCH, others).
};

/// How one attempt ended for its caller. Exactly one of them is told, and it is
/// always true.
enum class OutcomeKind {
  Answered,       ///< The backend server's whole answer is passed on.
  NotRun,         ///< Provably no backend server ran it.
  OutcomeUnknown, ///< It left towards a backend server, and no answer came; or
                  ///< an earlier run of its key is unknown.
  GivenUp, ///< Not run, and its flow has ended: its backend server or failure
           ///< domain is gone for good.
};

/// Why an attempt ended as it did.
enum class Reason {
  None,              ///< Answered, nothing to explain.
  QueueFull,         ///< The server's queue is full.
  DeadlineTooShort,  ///< The expected wait is longer than the remaining time.
  DeadlinePassed,    ///< The remaining time ran out while it waited.
  CallerShare,       ///< This caller already holds its share of the queue.
  ServerCold,        ///< The ramp of a cold server lets nothing more in.
  ServerFull,        ///< The server holds as many flows as it can.
  ServerDraining,    ///< A new flow for a server that drains.
  ServerEjected,     ///< A new flow for a server that fails or is slow.
  ServerShed,        ///< The server said that it did not run the request.
  ServerUnreachable, ///< No connection to the server came about.
  ServerFailed, ///< The connection broke or timed out after the request left.
  DomainOut,    ///< Operators took the failure domain out of service.
  DomainUnreachable, ///< The owner's failure domain can't be reached.
  NotOwner,    ///< The daemon asked is not the server's owner in its own view.
  OwnerUnsure, ///< The owner's authority has expired, or it waits for an
               ///< earlier owner's to expire.
  OwnerUnreachable, ///< The owner could not be reached: not sent.
  OwnerLost,        ///< The owner vanished after the request was sent to it.
  FlowElsewhere,    ///< The flow is not known here and is established.
  KeyInProgress,    ///< An attempt with the same key is under way.
  KeyAnswered,      ///< An attempt with the same key was answered before.
  KeyUnknown,       ///< Whether the same key ran before can't be known.
  NoServer,         ///< The service has no backend server that may take it.
  RetryBudget,      ///< Another try would exceed the service's retry budget.
  ShuttingDown,     ///< The daemon is on its way out.
  CallerGone,       ///< The caller has hung up.
  BadRequest,       ///< The envelope could not be read.
  UnknownService,   ///< No service has this port in the ticket in force.
};

/// What became of one dispatch, as far as the link can prove it.
enum class DispatchOutcome {
  Answered,    ///< The server's whole answer came.
  Shed,        ///< The server said that it did not run the request (503 with
               ///< "Balsamrack-Run: no", see PROTOCOLS).
  Unreachable, ///< No connection came about: nothing left this process.
  Failed, ///< The connection broke, timed out or was cancelled after something
          ///< may have left.
};

/// Name of an ending in lower case with hyphens: "answered", "not-run",
/// "unknown", "given-up". Thread-safe.
const char *outcomeKindName(OutcomeKind ending);

/// Name of a reason in lower case with hyphens. Thread-safe.
const char *reasonName(Reason reason);

/// Name of a dispatch end in lower case. Thread-safe.
const char *dispatchOutcomeName(DispatchOutcome end);

/// Header fields in the order in which they came.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// The message of a caller, opaque but for its envelope.
struct Message {
  std::string Method = "GET"; ///< HTTP method.
  std::string Target = "/";   ///< Path and query.
  HeaderList Headers;         ///< Without hop-by-hop fields.
  std::string Body;           ///< Any bytes.
};

/// The answer of a backend server.
struct Answer {
  uint32_t Status = 200; ///< HTTP status code.
  HeaderList Headers;    ///< Without hop-by-hop fields.
  std::string Body;      ///< Any bytes.
};

/// The envelope of one attempt: all that decisions may look at.
struct Envelope {
  RequestId Request; ///< This attempt.
  FlowId Flow;       ///< The flow that it belongs to.
  CallerId Caller;   ///< Who sent it, for fairness.
  ServiceId
      Service; ///< From the port that it came in on, never from its content.
  bool FirstOfFlow = false;            ///< Opens the flow, like a SYN.
  Semantics Kind = Semantics::RunOnce; ///< From the method.
  KeyDigest Key;                       ///< From Idempotency-Key; may be empty.
  Duration Remaining{0}; ///< Remaining time when it was handed over.
  std::string
      Trace; ///< W3C traceparent of the span that hands it over; may be empty.
};

/// How an attempt ended, with all that the next hop needs to tell and to
/// explain it.
struct Outcome {
  RequestId Request;                     ///< The attempt.
  OutcomeKind How = OutcomeKind::NotRun; ///< What the caller is told.
  Reason Why = Reason::None;             ///< The rule behind it.
  Duration RetryAfter{
      0};             ///< When to come back; zero when it makes no sense to.
  ServerId Server;    ///< The server concerned; may be empty.
  std::string AtStep; ///< Step at which it ended.
  std::string AtPeer; ///< Peer at which it ended.
  Answer Content;     ///< Set when Answered.
};

} // namespace balsamrack

#endif // BALSAMRACK_WORLD_REQUEST_H

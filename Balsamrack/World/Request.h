#ifndef BALSAMRACK_WORLD_REQUEST_H
#define BALSAMRACK_WORLD_REQUEST_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Whether a request may be executed more than once.
enum class Semantics {
  Idempotent, ///< Safe to execute again (GET, HEAD, OPTIONS, PUT, DELETE).
  RunOnce,    ///< Must execute at most once, such as charging a deposit (POST,
              ///< PATCH and others).
};

/// Outcome of one attempt as reported to its caller. Exactly one is reported
/// per attempt, and it must never claim more than is known.
enum class OutcomeKind {
  Answered, ///< The complete response of the backend server was forwarded.
  NotRun,   ///< Provably not executed by any backend server.
  OutcomeUnknown, ///< It was sent to a backend server that did not answer, or
                  ///< it is unknown whether an earlier attempt with its key was
                  ///< executed.
  GivenUp, ///< Not executed, and its flow is closed because its backend server
           ///< or failure domain is permanently gone.
};

/// Reason for the outcome of an attempt.
enum class Reason {
  None,             ///< Answered; no reason needed.
  QueueFull,        ///< The server's queue is full.
  DeadlineTooShort, ///< The expected queueing time exceeds the remaining time.
  DeadlinePassed,   ///< The remaining time expired in the queue.
  CallerOverFairShare, ///< The caller already uses its fair share of the queue.
  ServerCold,          ///< The ramp-up limit of a cold server is reached.
  ServerFull,          ///< The server has reached its flow limit.
  ServerDraining,      ///< A new flow for a draining server.
  ServerEjected, ///< A new flow for a server ejected for failures or slowness.
  ServerShed,    ///< The server reported that it did not execute the request.
  ServerUnreachable, ///< No connection to the server could be opened.
  ServerFailed, ///< The connection broke or timed out after the request left.
  DomainOutOfService, ///< The failure domain was taken out of service by
                      ///< operators.
  DomainUnreachable,  ///< The owner's failure domain is unreachable.
  NotOwner, ///< The daemon that received it does not consider itself the
            ///< server's owner.
  OwnerWithoutAuthority, ///< The owner's lease has expired, or it is waiting
                         ///< for the previous owner's lease to expire.
  OwnerUnreachable, ///< The owner was unreachable; the request was not sent.
  OwnerLost, ///< The owner became unreachable after the request was sent to it.
  FlowNotOnServer,   ///< The flow is established but not known to this daemon.
  KeyInProgress,     ///< An attempt with the same key is in progress.
  KeyAnswered,       ///< An attempt with the same key was already answered.
  KeyOutcomeUnknown, ///< Unknown whether an attempt with the same key was
                     ///< executed.
  NoServer,          ///< The service has no eligible backend server.
  RetryBudgetExhausted, ///< Another retry would exceed the service's retry
                        ///< budget.
  ShuttingDown,         ///< The daemon is shutting down.
  CallerDisconnected,   ///< The caller closed its connection.
  BadRequest,           ///< The request envelope is malformed.
  UnknownService, ///< The ticket in force assigns this port to no service.
};

/// Result of sending one request to a backend server, as far as the connection
/// can prove it.
enum class DispatchOutcome {
  Answered, ///< The complete response was received.
  Shed, ///< The server reported that it did not execute the request (503 with
        ///< "Balsamrack-Run: no", see PROTOCOLS).
  Unreachable, ///< No connection could be opened; nothing was sent.
  Failed, ///< The connection broke, timed out or was cancelled after data may
          ///< have been sent.
};

/// Name of an outcome in lower case with hyphens: "answered", "not-run",
/// "unknown", "given-up". Thread-safe.
const char *outcomeKindName(OutcomeKind ending);

/// Name of a reason in lower case with hyphens. Thread-safe.
const char *reasonName(Reason reason);

/// Name of a dispatch outcome in lower case. Thread-safe.
const char *dispatchOutcomeName(DispatchOutcome end);

/// Header fields in the order of arrival.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Request message of a caller. Only its envelope is interpreted.
struct Message {
  std::string Method = "GET"; ///< HTTP method.
  std::string Target = "/";   ///< Path and query.
  HeaderList Headers;         ///< Without hop-by-hop fields.
  std::string Body;           ///< Arbitrary bytes.
};

/// Response of a backend server.
struct Answer {
  uint32_t Status = 200; ///< HTTP status code.
  HeaderList Headers;    ///< Without hop-by-hop fields.
  std::string Body;      ///< Arbitrary bytes.
};

/// Envelope of one attempt: the only part of a request that decisions depend
/// on.
struct Envelope {
  RequestId Request; ///< Id of this attempt.
  FlowId Flow;       ///< Flow that the attempt belongs to.
  CallerId Caller;   ///< Sender, used for fair queueing.
  ServiceId
      Service; ///< Derived from the port it arrived on, never from its content.
  bool FirstOfFlow = false; ///< First request of the flow, like a SYN.
  Semantics Kind = Semantics::RunOnce; ///< Derived from the method.
  KeyDigest Key;         ///< Digest of the Idempotency-Key field; may be empty.
  Duration Remaining{0}; ///< Remaining time when it was forwarded.
  std::string Trace; ///< W3C traceparent of the forwarding span; may be empty.
};

/// Outcome of an attempt, with everything that the next hop needs to report
/// and explain it.
struct Outcome {
  RequestId Request;                      ///< Id of the attempt.
  OutcomeKind Kind = OutcomeKind::NotRun; ///< Outcome reported to the caller.
  Reason Cause = Reason::None;            ///< Reason for the outcome.
  Duration RetryAfter{
      0};             ///< Delay before a retry; zero when a retry is pointless.
  ServerId Server;    ///< Backend server concerned; may be empty.
  std::string AtStep; ///< Processing step that determined the outcome.
  std::string AtPeer; ///< Peer that determined the outcome.
  Answer Content;     ///< Response; set only when Answered.
};

} // namespace balsamrack

#endif // BALSAMRACK_WORLD_REQUEST_H

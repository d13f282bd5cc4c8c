#ifndef BALSAMRACK_DECISIONS_OWNEREVENTS_H
#define BALSAMRACK_DECISIONS_OWNEREVENTS_H

#include <cstdint>
#include <variant>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"
#include "Balsamrack/World/ServerCondition.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// A backend server that this daemon owns, and how the daemon became its owner.
struct OwnedServer {
  /// Previous ownership of the server.
  enum class Origin {
    FirstOwner, ///< No previous owner, or none known: assumes the worst case.
    HandedOver, ///< The previous owner handed it over by message.
    TakenOver,  ///< The previous owner's authority has expired.
  };
  BackendServer Server; ///< Configuration from the ticket in force.
  /// False while operators have its domain out of service.
  bool DomainInService = true;
  Origin How = Origin::FirstOwner; ///< How this daemon became the owner.
  ServerCondition LastKnown;       ///< Condition reported by an earlier owner.
  /// Requests that the previous owner left in progress.
  uint32_t InProgress = 0;
  TimePoint DispatchAllowedFrom; ///< No dispatch before this time, when an
                                 ///< earlier owner's authority has expired.
};

/// The complete new set of servers of the service that this daemon owns. A
/// repeated event changes nothing.
struct ServersChanged {
  TicketNumber Ticket; ///< Highest ticket in force.
  Service Settings;    ///< Configuration of the service under that ticket.
  std::vector<OwnedServer> Servers; ///< All servers owned from now on.
};

/// A request for one owned server. Precondition: its RequestId is new.
struct RequestArrived {
  /// Request header; Remaining counts from the time of the step.
  Envelope Head;
  ServerId Server;      ///< The server that its flow is assigned to.
  bool NewFlow = false; ///< The request would open a flow on the server.
  /// Flows assigned to the server, without this one.
  uint32_t FlowsOnServer = 0;
};

/// The caller has left, or the entry has abandoned the attempt.
struct RequestCancelled {
  RequestId Request; ///< Id of the attempt; unknown ids are ignored.
};

/// Result of a StartDispatch as reported by the link, exactly once for each.
struct DispatchEnded {
  RequestId Request; ///< Id of the dispatched request.
  DispatchOutcome How = DispatchOutcome::Failed; ///< Result of the dispatch.
  /// Instance of the server process that answered, if known.
  InstanceId Instance;
  Duration Took{0};        ///< Time from sending to the end of the dispatch.
  Duration RetryAfter{0};  ///< Delay requested by the server, if Shed.
  uint32_t HttpStatus = 0; ///< HTTP status, if Answered.
};

/// Health report of a server. It may lag or be wrong, so it is only a hint that
/// can make the owner more cautious, never less.
struct HealthReported {
  ServerId Server;         ///< Which server.
  bool Ready = false;      ///< The server reports that it accepts work.
  uint32_t InProgress = 0; ///< Requests that the server reports as in progress.
  InstanceId Instance;     ///< Instance of the server process; may be empty.
};

/// The authority of this daemon over its servers expired or was restored.
struct AuthorityChanged {
  /// True while the daemon is certain to be the owner.
  bool MayDispatch = false;
};

/// The daemon is shutting down: new requests are refused, queued and running
/// ones continue until they end.
struct ShutdownBegan {};

/// Events that a ServiceOwner processes.
using OwnerEvent = std::variant<ServersChanged, RequestArrived,
                                RequestCancelled, DispatchEnded, HealthReported,
                                AuthorityChanged, Ticked, ShutdownBegan>;

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNEREVENTS_H

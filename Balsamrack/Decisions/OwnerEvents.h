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

/// A backend server that this daemon owns, and how it came to own it.
struct OwnedServer {
  /// Whose the server was before.
  enum class Origin {
    Founded,    ///< Nobody's, or nobody knows: the worst case.
    HandedOver, ///< The old owner passed it on by message.
    TakenOver,  ///< The old owner's authority has expired.
  };
  BackendServer Server;          ///< As the ticket in force describes it.
  bool DomainInService = true;   ///< False once operators took its domain out.
  Origin How = Origin::Founded;  ///< How the server came to this daemon.
  ServerCondition LastKnown;     ///< What an earlier owner said of it.
  uint32_t InProgress = 0;       ///< Requests that the owner before left there.
  TimePoint DispatchAllowedFrom; ///< End of the wait for an earlier owner's
                                 ///< authority to expire.
};

/// The whole new set of servers that this daemon owns of the service. A repeat
/// changes nothing.
struct ServersChanged {
  TicketNumber Ticket;              ///< Highest ticket in force.
  Service Settings;                 ///< The service, under that ticket.
  std::vector<OwnedServer> Servers; ///< All servers owned from now on.
};

/// A request for one owned server. Precondition: its RequestId is new.
struct RequestArrived {
  Envelope Head;              ///< Remaining counts from the time of the step.
  ServerId Server;            ///< The server that its flow lives on.
  bool NewFlow = false;       ///< It would open a flow on the server.
  uint32_t FlowsOnServer = 0; ///< Flows that live there, without this one.
};

/// The caller is gone or the entry has given the attempt up.
struct RequestCancelled {
  RequestId Request; ///< The attempt; an unknown one is ignored.
};

/// What the link says of an earlier StartDispatch, exactly once for each.
struct DispatchEnded {
  RequestId Request;                             ///< As dispatched.
  DispatchOutcome How = DispatchOutcome::Failed; ///< What became of it.
  InstanceId Instance; ///< Run of the server process that answered, if known.
  Duration Took{0};    ///< From the send to the end.
  Duration RetryAfter{0};  ///< The server's wish, when Shed.
  uint32_t HttpStatus = 0; ///< Status, when Answered.
};

/// A server's own word on its health. Only a hint: it may lag or lie, so it can
/// make the owner more careful, never less.
struct HealthReported {
  ServerId Server;         ///< Which server.
  bool Ready = false;      ///< It says that it can take work.
  uint32_t InProgress = 0; ///< Requests that it says it works on.
  InstanceId Instance;     ///< Run of its process; may be empty.
};

/// This daemon's authority over its servers expired or came back.
struct AuthorityChanged {
  bool MayDispatch = false; ///< True while the daemon is surely the owner.
};

/// The daemon leaves: new requests are refused, queued and running ones end.
struct ShutdownBegan {};

/// All that a ServiceOwner decides upon.
using OwnerEvent = std::variant<ServersChanged, RequestArrived,
                                RequestCancelled, DispatchEnded, HealthReported,
                                AuthorityChanged, Ticked, ShutdownBegan>;

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNEREVENTS_H

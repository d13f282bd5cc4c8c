#ifndef BALSAMRACK_DECISIONS_OWNERACTIONS_H
#define BALSAMRACK_DECISIONS_OWNERACTIONS_H

#include <cstdint>
#include <variant>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Decision.h"
#include "Balsamrack/World/Request.h"
#include "Balsamrack/World/ServerCondition.h"

namespace balsamrack {

/// Sends a request to its server now. The daemon must check its authority again
/// immediately before sending, and report a refusal by that check as
/// DispatchEnded with Unreachable, since nothing was sent.
struct StartDispatch {
  RequestId Request;   ///< Which request.
  ServerId Server;     ///< To which server.
  Duration Timeout{0}; ///< Remaining time of the request.
};

/// Tells the server that the caller no longer waits; DispatchEnded still
/// follows.
struct CancelDispatch {
  RequestId Request; ///< Which request.
  ServerId Server;   ///< At which server.
};

/// Ends a request; issued exactly once for each.
struct EndRequest {
  Outcome Result; ///< Content is empty; the daemon adds the server's answer.
};

/// Actions that a ServiceOwner requires of the daemon, to be carried out in
/// order.
using OwnerAction = std::variant<StartDispatch, CancelDispatch, EndRequest,
                                 Explain, ConditionLearned>;

/// State of one owned server, reported to operators.
struct ServerReport {
  ServerId Server; ///< Which server.
  /// Instance of the server process seen last; may be empty.
  InstanceId Instance;
  uint32_t Slots = 0; ///< Number of slots from the ticket.
  uint32_t Limit = 0; ///< Current limit on requests in progress.
  /// Dispatches that the link has not reported as ended.
  uint32_t InProgress = 0;
  uint32_t Abandoned = 0;   ///< Dispatches that failed but may still run on the
                            ///< server; each still holds its slot.
  uint32_t Queued = 0;      ///< Number of queued requests.
  uint32_t LongRunning = 0; ///< Running dispatches that count as long work.
  uint32_t Flows = 0;       ///< Number of flows at the last arrival.
  bool Warm = false;        ///< The limit has reached all slots.
  bool Ejected = false;     ///< Receives no new flows except probes.
  bool Draining = false;    ///< Being drained by operators.
  bool DomainOut = false;   ///< Operators took its domain out of service.
  /// The owner has authority and DispatchAllowedFrom has passed.
  bool MayDispatch = false;
  Duration TypicalAnswer{0}; ///< Median of recent answer times.
  Duration ExpectedWait{0};  ///< Expected wait of a request queued last.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNERACTIONS_H

#ifndef BALSAMRACK_DECISIONS_OWNERCONTEXT_H
#define BALSAMRACK_DECISIONS_OWNERCONTEXT_H

#include <optional>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/LongWorkGuard.h"
#include "Balsamrack/Decisions/OutlierEjection.h"
#include "Balsamrack/Decisions/OwnerOutput.h"
#include "Balsamrack/Decisions/OwnerSettings.h"
#include "Balsamrack/Decisions/RetryBudget.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// State shared by all servers of one owned service. Not thread-safe.
struct OwnerContext {
  /// Precondition: \p settings were checked.
  OwnerContext(const OwnerSettings &settings, ServiceId service, uint64_t seed)
      : Settings(settings), LongWork(settings.LongWork),
        Ejection(settings.Ejection), Retries(settings.Retries), Random(seed) {
    Config.Id = std::move(service);
  }

  OwnerSettings Settings; ///< Settings that are not in the tickets.
  Service Config; ///< Configuration of the service under the ticket in force.
  TicketNumber Ticket;       ///< The ticket in force.
  LongWorkGuard LongWork;    ///< Reserves slots for short work.
  OutlierEjection Ejection;  ///< Ejection of slow and failing servers.
  RetryBudget Retries;       ///< Retry budget of the service.
  SeededRandom Random;       ///< Source of the jitter of retry times.
  OwnerOutput Out;           ///< Actions of the current step.
  bool MayDispatch = false;  ///< The owner has authority to dispatch.
  TimePoint ExpiredAt;       ///< Time at which authority expired, if it has.
  bool ShuttingDown = false; ///< The daemon is shutting down.

  /// Time until which requests wait for authority to be restored; nothing while
  /// the owner has it.
  std::optional<TimePoint> authorityWaitEnd() const {
    if (MayDispatch)
      return std::nullopt;
    return ExpiredAt + Settings.Waits.AuthorityWait;
  }
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNERCONTEXT_H

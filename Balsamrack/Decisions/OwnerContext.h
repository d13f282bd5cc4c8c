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

/// What all servers of one owned service share. Not thread-safe.
struct OwnerContext {
  /// Precondition: \p settings were checked.
  OwnerContext(const OwnerSettings &settings, ServiceId service, uint64_t seed)
      : Settings(settings), LongWork(settings.LongWork),
        Ejection(settings.Ejection), Retries(settings.Retries), Random(seed) {
    Config.Id = std::move(service);
  }

  OwnerSettings Settings;    ///< Limits that are not in the tickets.
  Service Config;            ///< The service under the ticket in force.
  TicketNumber Ticket;       ///< That ticket.
  LongWorkGuard LongWork;    ///< Long work among short.
  OutlierEjection Ejection;  ///< Slow and failing servers.
  RetryBudget Retries;       ///< Retries of the service.
  SeededRandom Random;       ///< For the jitter of refusals.
  OwnerOutput Out;           ///< Actions of the step in progress.
  bool MayDispatch = false;  ///< The owner's authority is in force.
  TimePoint ExpiredAt;       ///< Since when it is not, if it is not.
  bool ShuttingDown = false; ///< The daemon leaves.

  /// Until when requests wait for the authority to come back; nothing while it
  /// is in force.
  std::optional<TimePoint> authorityWaitEnd() const {
    if (MayDispatch)
      return std::nullopt;
    return ExpiredAt + Settings.Waits.AuthorityWait;
  }
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNERCONTEXT_H

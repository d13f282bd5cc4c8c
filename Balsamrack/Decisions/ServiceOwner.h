#ifndef BALSAMRACK_DECISIONS_SERVICEOWNER_H
#define BALSAMRACK_DECISIONS_SERVICEOWNER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/OwnerActions.h"
#include "Balsamrack/Decisions/OwnerEvents.h"
#include "Balsamrack/Decisions/OwnerSettings.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Makes all admission decisions for the backend servers of one service that
/// this daemon owns: which requests are dispatched, queued or refused, how long
/// they wait, and how fast the load on a cold server rises. Pure and
/// deterministic: the same events at the same times give the same actions, byte
/// for byte.
///
/// Each RequestArrived results in exactly one EndRequest, possibly later. A
/// RunOnce request is dispatched at most once. Nothing is dispatched unless the
/// last AuthorityChanged had MayDispatch set and the server's
/// DispatchAllowedFrom has passed. Not thread-safe: calls must hold the lock of
/// the shard.
class ServiceOwner {
public:
  /// Creates the owner of \p service, without servers or authority. \p seed
  /// seeds the jitter of retry times. Returns kInvalidArgument (step
  /// read-settings) if \p settings are invalid or the service is empty.
  static absl::StatusOr<std::unique_ptr<ServiceOwner>>
  create(const OwnerSettings &settings, ServiceId service, uint64_t seed);
  virtual ~ServiceOwner() = default;

  /// Processes \p event and returns the resulting actions, to be carried out in
  /// order. Precondition: \p now is not before that of the previous step.
  virtual std::vector<OwnerAction> step(TimePoint now,
                                        const OwnerEvent &event) = 0;
  /// Returns the state of each owned server, ordered by id.
  virtual std::vector<ServerReport> report(TimePoint now) const = 0;
  /// Time at which a Ticked event is due; nothing if no action depends on time
  /// alone.
  virtual std::optional<TimePoint> nextWakeup() const = 0;
  /// True if nothing is queued or in progress, so that a daemon that is
  /// shutting down may exit.
  virtual bool idle() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SERVICEOWNER_H

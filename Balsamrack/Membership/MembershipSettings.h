#ifndef BALSAMRACK_MEMBERSHIP_MEMBERSHIPSETTINGS_H
#define BALSAMRACK_MEMBERSHIP_MEMBERSHIPSETTINGS_H

#include <cstddef>
#include <cstdint>

#include "Balsamrack/Core/Time.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Periods and limits of membership and ownership. docs/design/membership.md
/// gives the reasons for the defaults. Not thread-safe for writing.
struct MembershipSettings {
  Duration ProbePeriod{500'000}; ///< Time between probes, which alternate
                                 ///< between the own domain and the fleet.
  Duration StartPeriod{500'000}; ///< Replaces ProbePeriod during StartSpan.
  Duration StartSpan{
      0}; ///< Time after the start in which StartPeriod applies. A shorter
          ///< StartPeriod speeds up discovery when a whole fleet starts.
  Duration ProbeTimeout{
      200'000}; ///< Wait for an answer before sending indirect probes.
  Duration IndirectTimeout{400'000}; ///< Further wait for an indirect answer.
  uint32_t IndirectProbes = 3;       ///< Daemons that are sent a PingRequest.
  Duration MinSuspicion{1'500'000};  ///< Shortest time from suspect to dead.
  Duration SuspicionPerDoubling{
      500'000}; ///< Suspicion time for each doubling of the fleet; covers the
                ///< spread of an update and of its refutation.
  Duration LeaseTime{4'000'000}; ///< Authority to dispatch, counted from the
                                 ///< send time of the last answered probe.
  Duration DriftMargin{
      250'000}; ///< Added to LeaseTime when waiting for another daemon's lease,
                ///< since clock rates differ.
  Duration ForgetAfter{120'000'000}; ///< Time for which dead and departed
                                     ///< daemons are remembered.
  Duration ForgetUnreachableAfter{
      86'400'000'000}; ///< Time for which daemons of an unreachable domain are
                       ///< remembered.
  Duration UnreachableProbePeriod{
      2'000'000}; ///< Mean time between probes of unreachable or dead daemons;
                  ///< jittered.
  Duration MaxHintRetryPeriod{
      30'000'000}; ///< Maximum time between probes of a listed VM that has
                   ///< never answered.
  size_t GossipBytes =
      500; ///< Piggybacked updates per message, in estimated bytes.
  size_t FullTableBytes =
      65'536; ///< Full table for a newly started daemon, in estimated bytes.
  Duration OwnershipRequestPeriod{
      250'000}; ///< Time between repeated ownership requests.
  uint32_t OwnershipRequestsPerPeriod =
      16; ///< Daemons that get requests in one OwnershipRequestPeriod.

  /// Returns kInvalidArgument (step read-settings) if a value is out of range,
  /// or if the lease could end before two probes of the own domain.
  /// Thread-safe.
  absl::Status check() const;
  /// Returns the time from suspect to dead in a fleet of \p members.
  /// Thread-safe.
  Duration suspicionTime(size_t members) const;
  /// Returns how long a new owner waits for a lease whose end it does not know.
  /// Thread-safe.
  Duration takeoverWait() const { return LeaseTime + DriftMargin; }
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIPSETTINGS_H

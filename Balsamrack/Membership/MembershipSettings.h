#ifndef BALSAMRACK_MEMBERSHIP_MEMBERSHIPSETTINGS_H
#define BALSAMRACK_MEMBERSHIP_MEMBERSHIPSETTINGS_H

#include <cstddef>
#include <cstdint>

#include "Balsamrack/Core/Time.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Times and limits of membership and ownership. The reasons for the defaults
/// stand in docs/design/membership.md. Not thread-safe for writing.
struct MembershipSettings {
  Duration ProbePeriod{500'000}; ///< One probe each, own domain and fleet by
                                 ///< turns.
  Duration StartPeriod{500'000}; ///< As ProbePeriod, for the first StartSpan.
  Duration StartSpan{0}; ///< A fleet that starts as a whole finds itself sooner
                         ///< by a shorter StartPeriod.
  Duration ProbeTimeout{200'000}; ///< Wait for an answer before asking others.
  Duration IndirectTimeout{400'000}; ///< Then for an answer through others.
  uint32_t IndirectProbes = 3;       ///< Daemons asked to probe for us.
  Duration MinSuspicion{1'500'000};  ///< Shortest time from suspect to dead.
  Duration SuspicionPerDoubling{
      500'000}; ///< Suspicion lasts this long for each doubling of the fleet,
                ///< the time that updates need to spread and to be refuted.
  Duration LeaseTime{4'000'000}; ///< Authority to dispatch lasts this long from
                                 ///< the sending of the last answered probe.
  Duration DriftMargin{250'000}; ///< Added to LeaseTime by whoever waits for
                                 ///< another's lease: clock rates differ.
  Duration ForgetAfter{120'000'000}; ///< Dead and left daemons are remembered.
  Duration ForgetUnreachableAfter{
      86'400'000'000}; ///< Daemons of an unreachable domain are remembered.
  Duration UnreachableProbePeriod{
      2'000'000}; ///< One probe towards unreachable domains, with jitter.
  Duration MaxHintRetryPeriod{30'000'000}; ///< Longest wait between probes of a
                                           ///< listed VM that never answered.
  size_t GossipBytes = 500; ///< Updates on a message, in estimated bytes.
  size_t FullTableBytes =
      65'536; ///< Updates for a daemon that has just started.
  Duration OwnershipRequestPeriod{
      250'000}; ///< Between repeats of an ownership question.
  uint32_t OwnershipRequestsPerPeriod =
      16; ///< Daemons asked in one OwnershipRequestPeriod.

  /// Error kInvalidArgument (step read-settings) when a value is out of its
  /// range, or when the lease could end before two probes of the own domain.
  /// Thread-safe.
  absl::Status check() const;
  /// Time from suspect to dead in a fleet of \p members. Thread-safe.
  Duration suspicionTime(size_t members) const;
  /// How long a new owner waits for a lease that it can't see. Thread-safe.
  Duration takeoverWait() const { return LeaseTime + DriftMargin; }
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIPSETTINGS_H

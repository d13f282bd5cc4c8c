#include "Balsamrack/Membership/MembershipSettings.h"

#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// The own domain is probed at least every second period; the lease must span
/// two such probes.
constexpr int ProbesOfOwnDomainPerLease = 2;

absl::Status settingsError(const std::string &what) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "",
                   absl::StrCat("membership: ", what));
}

} // namespace

absl::Status MembershipSettings::check() const {
  const Duration zero{0};
  for (Duration d :
       {ProbePeriod, ProbeTimeout, IndirectTimeout, MinSuspicion, LeaseTime,
        ForgetAfter, ForgetUnreachableAfter, UnreachableProbePeriod,
        MaxHintRetryPeriod, OwnershipRequestPeriod})
    if (d <= zero)
      return settingsError("every time must be above zero");
  if (SuspicionPerDoubling < zero || DriftMargin < zero)
    return settingsError("margins must not be negative");
  if (LeaseTime < ProbePeriod * 2 * ProbesOfOwnDomainPerLease)
    return settingsError("the lease must outlast two probes of the own domain");
  if (OwnershipRequestsPerPeriod == 0 || GossipBytes == 0 ||
      FullTableBytes == 0)
    return settingsError("limits must be above zero");
  return absl::OkStatus();
}

Duration MembershipSettings::suspicionTime(size_t members) const {
  int64_t doublings = 0;
  for (size_t n = 1; n < members + 1; n *= 2)
    ++doublings;
  return std::max(MinSuspicion, SuspicionPerDoubling * doublings);
}

} // namespace balsamrack

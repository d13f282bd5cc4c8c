#ifndef BALSAMRACK_MEMBERSHIP_MEMBERSHIP_H
#define BALSAMRACK_MEMBERSHIP_MEMBERSHIP_H

#include <memory>
#include <optional>
#include <vector>

#include "Balsamrack/Membership/MemberView.h"
#include "Balsamrack/Membership/MembershipEvents.h"
#include "Balsamrack/Membership/MembershipSettings.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Membership and failure detection by SWIM (Das, Gupta, Motivala 2002), as a
/// state machine. The load per daemon does not depend on the size of the fleet.
/// Deterministic: the same events give the same actions. Not thread-safe.
class Membership {
public:
  virtual ~Membership() = default;

  /// Creates a membership that knows only \p self. Returns kInvalidArgument for
  /// invalid settings (step read-settings), or for an empty id or domain or a
  /// zero run (step probe). Thread-safe.
  static absl::StatusOr<std::unique_ptr<Membership>>
  create(const MembershipSettings &settings, const EntryVm &self,
         Incarnation run, uint64_t seed);

  /// Handles one event and returns the actions to carry out, in order.
  /// Precondition: \p now never decreases between calls. Not thread-safe.
  virtual std::vector<MembershipAction> step(TimePoint now,
                                             const MembershipEvent &event) = 0;

  /// Returns the known daemons, this one included. Not thread-safe.
  virtual const MemberMap &members() const = 0;
  /// Returns false while the other domain \p domain is silent as a whole; true
  /// for the own domain and for unknown ones. Not thread-safe.
  virtual bool domainReachable(const DomainId &domain) const = 0;
  /// Returns the daemons that died or left within \p span before \p now. Not
  /// thread-safe.
  virtual std::vector<VmId> recentlyDeparted(TimePoint now,
                                             Duration span) const = 0;
  /// Returns the VMs of the own domain in the platform's list or the seeds,
  /// this one excluded; for ListedPeers. Not thread-safe.
  virtual std::vector<VmId> listedDomainPeers() const = 0;
  /// Returns the live daemons of the own domain, this one excluded; for
  /// OwnershipFence::setPeers. Not thread-safe.
  virtual std::vector<VmId> liveDomainPeers() const = 0;
  /// Returns when the next MembershipTicked is due; nothing before the first
  /// one. Not thread-safe.
  virtual std::optional<TimePoint> nextWakeup() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIP_H

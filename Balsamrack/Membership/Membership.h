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

/// Who is there: SWIM (Das, Gupta, Motivala 2002) as a state machine. Constant
/// load whatever the fleet's size. Deterministic: the same events in give the
/// same actions out. Not thread-safe.
class Membership {
public:
  virtual ~Membership() = default;

  /// A membership that knows only itself. Error kInvalidArgument (step probe)
  /// for bad settings, an empty id or a zero run. Thread-safe.
  static absl::StatusOr<std::unique_ptr<Membership>>
  create(const MembershipSettings &settings, const EntryVm &self,
         Incarnation run, uint64_t seed);

  /// Takes one event and says what to do, in order. Precondition: \p now is not
  /// before that of the call before. Not thread-safe.
  virtual std::vector<MembershipAction> step(TimePoint now,
                                             const MembershipEvent &event) = 0;

  /// The known daemons, this one included. Not thread-safe.
  virtual const MemberMap &members() const = 0;
  /// False while a whole other domain is silent; true for the own domain and
  /// for one that is not known. Not thread-safe.
  virtual bool domainReachable(const DomainId &domain) const = 0;
  /// Daemons that died or left within \p span before \p now. Not thread-safe.
  virtual std::vector<VmId> recentlyDeparted(TimePoint now,
                                             Duration span) const = 0;
  /// Listed VMs of the own domain, this one left out: for ListedPeers. Not
  /// thread-safe.
  virtual std::vector<VmId> listedDomainPeers() const = 0;
  /// Live daemons of the own domain, this one left out: for
  /// OwnershipFence::setPeers. Not thread-safe.
  virtual std::vector<VmId> liveDomainPeers() const = 0;
  /// When the next MembershipTicked is due; nothing before the first step. Not
  /// thread-safe.
  virtual std::optional<TimePoint> nextWakeup() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIP_H

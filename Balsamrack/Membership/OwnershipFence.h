#ifndef BALSAMRACK_MEMBERSHIP_OWNERSHIPFENCE_H
#define BALSAMRACK_MEMBERSHIP_OWNERSHIPFENCE_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Membership/MembershipSettings.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// May this daemon dispatch at all?
enum class AuthorityState {
  Held,    ///< A domain peer renewed the lease, or there is no other daemon.
  Expired, ///< Paused or unheard for too long; nobody has renewed since.
  Renewed, ///< Renewed after a expiry, but all ownership has to be won anew:
           ///< tell the tracker, then call restart.
};

/// Name of a state in lower case. Thread-safe.
const char *authorityName(AuthorityState state);

/// Fences this daemon's authority by time (leases: Gray, Cheriton 1989). Asked
/// before each dispatch. Guards against two owners: a daemon that was paused
/// or cut off may have been replaced meanwhile; it shows as a late reading of
/// the monotonic clock, and since whoever replaces it waits for the lease to
/// end (MembershipSettings::takeoverWait), no dispatch passes this check after
/// that. A pause between the check and the send stays: docs/UNPROVED.md.
///
/// After a expiry: state() becomes Renewed once a peer answered a probe that
/// was sent after it. The daemon then gives its OwnershipTracker an
/// AuthorityExpired, and calls restart(expiries()).
class OwnershipFence {
public:
  /// Authority starts out as held (the tracker starts with no server). Error
  /// kInvalidArgument for bad settings. Thread-safe.
  static absl::StatusOr<std::unique_ptr<OwnershipFence>>
  create(const MembershipSettings &settings, TimePoint now);

  /// The process is running. Call at least every ProbePeriod. Thread-safe.
  void onTick(TimePoint now);
  /// \p peer of the own domain answered a probe sent at \p sentAt, and holds
  /// this daemon for alive. Thread-safe.
  void renewLease(const VmId &peer, TimePoint sentAt, TimePoint now);
  /// The live daemons of the own domain, without this one, are now \p peers.
  /// With none left the lease runs with the ticks. Thread-safe.
  void setPeers(const std::vector<VmId> &peers, TimePoint now);
  /// Whether a dispatch may leave now. \p now must be read from the clock right
  /// before. Wait-free, thread-safe.
  bool mayDispatch(TimePoint now) const;
  /// The state, for the daemon's tick and for operators. Thread-safe.
  AuthorityState state(TimePoint now) const;
  /// Number of expiries so far. Thread-safe.
  uint64_t expiries() const;
  /// All ownership has been put back to be won anew: authority holds again,
  /// unless there has been another expiry since \p expiry. Thread-safe.
  void restart(uint64_t expiry, TimePoint now);

private:
  OwnershipFence(const MembershipSettings &settings, TimePoint now);
  void expireIfDue(TimePoint now);
  void extendLease(TimePoint until);

  const MembershipSettings Settings;  ///< Times.
  mutable std::mutex Lock;            ///< Guards all but DispatchUntil.
  std::atomic<int64_t> DispatchUntil; ///< End of the authority, microseconds;
                                      ///< zero while expired.
  TimePoint LastTick;                 ///< Zero before the first one.
  TimePoint LeaseEnd;                 ///< End of the lease.
  TimePoint ExpiredAt;                ///< Start of the last expiry.
  bool Expired = false;               ///< A expiry that restart has not ended.
  bool RenewedAfterExpiry = false;    ///< Renewed after ExpiredAt.
  uint64_t Expiries = 0;              ///< How many.
  std::set<VmId> Peers;               ///< Live daemons of the own domain.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_OWNERSHIPFENCE_H

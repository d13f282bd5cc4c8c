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

/// Whether this daemon currently has the authority to dispatch.
enum class AuthorityState {
  Held,    ///< A domain peer renewed the lease, or there is no other daemon.
  Expired, ///< The lease ran out and no peer has renewed it since.
  Renewed, ///< Renewed after an expiry, but every server has to be acquired
           ///< again: send AuthorityExpired to the tracker, then call restart.
};

/// Returns the lower-case name of \p state. Thread-safe.
const char *authorityName(AuthorityState state);

/// Limits this daemon's authority to dispatch by a lease (Gray, Cheriton 1989).
/// Checked before each dispatch. Prevents two owners of a server: a daemon that
/// was paused or partitioned may have been replaced in the meantime. The check
/// compares the monotonic clock with the end of the lease, and a new owner
/// waits until that lease has ended (MembershipSettings::takeoverWait), so a
/// stale owner fails the check. A pause between the check and the send is not
/// covered: see docs/UNPROVED.md.
///
/// After an expiry, state() becomes Renewed once a peer has answered a probe
/// that was sent after the expiry. The daemon then sends AuthorityExpired to
/// its OwnershipTracker and calls restart(expiries()).
class OwnershipFence {
public:
  /// Creates a fence in state Held; the tracker owns no server at that point.
  /// Returns kInvalidArgument for invalid settings. Thread-safe.
  static absl::StatusOr<std::unique_ptr<OwnershipFence>>
  create(const MembershipSettings &settings, TimePoint now);

  /// Records that the process is running. Call at least every ProbePeriod.
  /// Thread-safe.
  void onTick(TimePoint now);
  /// Renews the lease from \p sentAt: \p peer of the own domain answered a
  /// probe sent at that time and considers this daemon alive. Ignores unknown
  /// peers. Thread-safe.
  void renewLease(const VmId &peer, TimePoint sentAt, TimePoint now);
  /// Sets the live daemons of the own domain, this one excluded. Without peers,
  /// onTick renews the lease. Thread-safe.
  void setPeers(const std::vector<VmId> &peers, TimePoint now);
  /// Returns whether a request may be dispatched now. Precondition: \p now has
  /// just been read from the clock. Wait-free, thread-safe.
  bool mayDispatch(TimePoint now) const;
  /// Returns the state, for the daemon's tick and for operators. Thread-safe.
  AuthorityState state(TimePoint now) const;
  /// Returns the number of expiries so far. Thread-safe.
  uint64_t expiries() const;
  /// Returns to Held after the tracker has given up all servers, unless another
  /// expiry has followed the one numbered \p expiry. Thread-safe.
  void restart(uint64_t expiry, TimePoint now);

private:
  OwnershipFence(const MembershipSettings &settings, TimePoint now);
  void expireIfDue(TimePoint now);
  void extendLease(TimePoint until);

  const MembershipSettings Settings;  ///< Lease and probe times.
  mutable std::mutex Lock;            ///< Guards all but DispatchUntil.
  std::atomic<int64_t> DispatchUntil; ///< End of the authority to dispatch, in
                                      ///< microseconds; zero while expired.
  TimePoint LastTick;                 ///< Zero before the first one.
  TimePoint LeaseEnd;                 ///< Also extended while expired.
  TimePoint ExpiredAt;                ///< Start of the last expiry.
  bool Expired = false;               ///< True from an expiry until restart.
  bool RenewedAfterExpiry = false;    ///< A renewal arrived after ExpiredAt.
  uint64_t Expiries = 0;              ///< Number of expiries.
  std::set<VmId> Peers;               ///< Live daemons of the own domain.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_OWNERSHIPFENCE_H

#ifndef BALSAMRACK_MEMBERSHIP_MEMBERVIEW_H
#define BALSAMRACK_MEMBERSHIP_MEMBERVIEW_H

#include <map>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Membership/MembershipMessages.h"

namespace balsamrack {

/// One daemon's view of another. Not thread-safe for writing.
struct MemberView {
  MemberRecord Record; ///< Highest record received.
  bool Unreachable =
      false; ///< Its whole domain is silent; it may still be alive.
  TimePoint
      StateChangedAt;   ///< Time of the last change of state or reachability.
  TimePoint AliveUntil; ///< Time of its last change from alive to another
                        ///< state; its lease is not renewed after that.
  TimePoint LastHeard;  ///< Time of its last direct message; zero if none.
  TimePoint PreviousRunLeaseRenewal; ///< LastLeaseRenewal of the previous
                                     ///< incarnation, whose lease may still
                                     ///< run; zero if that one left.
  TimePoint LastLeaseRenewal; ///< When this daemon last answered a probe of it
                              ///< and considered it alive; its lease may run
                              ///< from then on.

  /// Returns whether it is alive or suspect, and its domain is reachable.
  /// Thread-safe.
  bool live() const {
    return !Unreachable && (Record.State == MemberState::Alive ||
                            Record.State == MemberState::Suspect);
  }
};

/// The known daemons by id, this one included.
using MemberMap = std::map<VmId, MemberView>;

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERVIEW_H

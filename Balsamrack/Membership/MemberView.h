#ifndef BALSAMRACK_MEMBERSHIP_MEMBERVIEW_H
#define BALSAMRACK_MEMBERSHIP_MEMBERVIEW_H

#include <map>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Membership/MembershipMessages.h"

namespace balsamrack {

/// What one daemon knows of another. Not thread-safe for writing.
struct MemberView {
  MemberRecord Record;      ///< The highest record of it.
  bool Unreachable = false; ///< Its whole domain is silent: not the same as
                            ///< dead.
  TimePoint StateChangedAt; ///< When its state or reachability changed.
  TimePoint AliveUntil;     ///< When it was last taken from alive to suspect or
                            ///< dead: it ran no longer, and renewed nothing.
  TimePoint LastHeard;      ///< Last message straight from it; zero: never.
  TimePoint
      PreviousRunLeaseRenewal; ///< LastLeaseRenewal of the run before, unless
                               ///< that one left: its lease may still run.
  TimePoint LastLeaseRenewal; ///< When we last answered a probe of it and held
                              ///< it for alive: its lease may run from there.

  /// Alive or suspect, and its domain can be reached. Thread-safe.
  bool live() const {
    return !Unreachable && (Record.State == MemberState::Alive ||
                            Record.State == MemberState::Suspect);
  }
};

/// The known daemons by id, the own one included.
using MemberMap = std::map<VmId, MemberView>;

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERVIEW_H

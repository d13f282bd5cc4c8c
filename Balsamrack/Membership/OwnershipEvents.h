#ifndef BALSAMRACK_MEMBERSHIP_OWNERSHIPEVENTS_H
#define BALSAMRACK_MEMBERSHIP_OWNERSHIPEVENTS_H

#include <variant>
#include <vector>

#include "Balsamrack/Membership/MemberView.h"
#include "Balsamrack/Membership/MembershipEvents.h"

namespace balsamrack {

/// The known daemons changed, or a lease was renewed for one.
struct MembersChanged {
  MemberMap Members; ///< All of them, the own one included.
};
/// The VMs of the own domain that the platform's list or the seeds name, the
/// own one left out. Until each has answered, died or left, or takeoverWait has
/// passed since the start, nothing is founded.
struct ListedPeers {
  std::vector<VmId> Vms; ///< Who may be there.
};
/// The backend servers of the own domain are now these.
struct DomainServersChanged {
  std::vector<ServerId> Servers; ///< All of them.
};
/// A peer asks for servers or releases some.
struct HandOverReceived {
  OwnershipHandOver Message; ///< What it says.
};
/// After StopDispatching: the daemon dispatches nothing more to the server.
struct DispatchStopped {
  HandedOverServer Server; ///< What it leaves behind.
};
/// A condition that the owner of a server spread.
struct PeerConditionReceived {
  ServerCondition Condition; ///< As its owner saw it.
};
/// The fence had a expiry: all ownership has to be won anew.
struct AuthorityExpired {};
/// Time has passed.
struct OwnershipTicked {};

/// All that an OwnershipTracker reacts to.
using OwnershipEvent =
    std::variant<MembersChanged, ListedPeers, DomainServersChanged,
                 HandOverReceived, DispatchStopped, PeerConditionReceived,
                 AuthorityExpired, OwnershipTicked>;

/// How a daemon came to own a server.
enum class AcquisitionKind {
  FirstOwner, ///< Nobody is known to have owned it.
  HandedOver, ///< A live owner released it.
  TakenOver,  ///< Its owner died.
};

/// Name in lower case with hyphens. Thread-safe.
const char *acquisitionKindName(AcquisitionKind how);

/// This daemon owns the server now.
struct ServerAcquired {
  ServerId Server;                                    ///< Which.
  AcquisitionKind Kind = AcquisitionKind::FirstOwner; ///< In which way.
  TimePoint DispatchAllowedFrom; ///< Not later than now: the tracker waits.
  ServerCondition LastKnown; ///< What is known of it; Version 0 for nothing.
  uint32_t InProgress = 0;   ///< Requests that the old owner still has there;
                             ///< only meaningful when HandedOver.
};
/// This daemon stops dispatching to the server at once; answer with
/// DispatchStopped as soon as nothing more can leave.
struct StopDispatching {
  ServerId Server;  ///< Which.
  EntryVm NewOwner; ///< Who takes it; empty id when nobody is known to.
};
/// Send a question or a release.
struct SendHandOver {
  EntryVm To;                ///< To whom.
  OwnershipHandOver Message; ///< What.
};

/// All that an OwnershipTracker asks for, to be carried out in order.
using OwnershipAction =
    std::variant<ServerAcquired, StopDispatching, SendHandOver, Explain>;

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_OWNERSHIPEVENTS_H

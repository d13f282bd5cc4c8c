#ifndef BALSAMRACK_MEMBERSHIP_OWNERSHIPEVENTS_H
#define BALSAMRACK_MEMBERSHIP_OWNERSHIPEVENTS_H

#include <variant>
#include <vector>

#include "Balsamrack/Membership/MemberView.h"
#include "Balsamrack/Membership/MembershipEvents.h"

namespace balsamrack {

/// The known daemons changed, or this daemon renewed the lease of one.
struct MembersChanged {
  MemberMap Members; ///< All known daemons, this one included.
};
/// VMs of the own domain that the platform's list or the seeds name, this one
/// excluded. After its start, the daemon acquires no server until each of them
/// has become known as a member, or until takeoverWait has passed.
struct ListedPeers {
  std::vector<VmId> Vms; ///< Possible peers.
};
/// The set of backend servers in the own domain changed.
struct DomainServersChanged {
  std::vector<ServerId> Servers; ///< All servers of the domain.
};
/// A peer requests servers, or replies to a request.
struct HandOverReceived {
  OwnershipHandOver Message; ///< The message.
};
/// Confirms StopDispatching: nothing more is dispatched to the server.
struct DispatchStopped {
  HandedOverServer Server; ///< State for the new owner.
};
/// Gossip delivered a server's condition from its owner.
struct PeerConditionReceived {
  ServerCondition Condition; ///< As observed by the owner.
};
/// The daemon's authority expired: all servers have to be acquired again.
struct AuthorityExpired {};
/// Periodic timer; due by OwnershipTracker::nextWakeup.
struct OwnershipTicked {};

/// Events that an OwnershipTracker handles.
using OwnershipEvent =
    std::variant<MembersChanged, ListedPeers, DomainServersChanged,
                 HandOverReceived, DispatchStopped, PeerConditionReceived,
                 AuthorityExpired, OwnershipTicked>;

/// How a daemon acquired a server.
enum class AcquisitionKind {
  FirstOwner, ///< No earlier owner is known.
  HandedOver, ///< A live owner released it.
  TakenOver,  ///< Its owner died.
};

/// Returns the name in lower case with hyphens. Thread-safe.
const char *acquisitionKindName(AcquisitionKind how);

/// This daemon now owns the server.
struct ServerAcquired {
  ServerId Server;                                    ///< The server.
  AcquisitionKind Kind = AcquisitionKind::FirstOwner; ///< How it was acquired.
  TimePoint DispatchAllowedFrom; ///< Never in the future: the tracker has
                                 ///< waited for the leases to end.
  ServerCondition
      LastKnown; ///< Latest known condition; Version 0 if none is known.
  uint32_t InProgress = 0; ///< Requests that the old owner still has in
                           ///< progress; valid only for HandedOver.
};
/// Stop dispatching to the server at once; reply with DispatchStopped as soon
/// as no more dispatch can leave.
struct StopDispatching {
  ServerId Server;  ///< The server.
  EntryVm NewOwner; ///< Daemon that requested it; empty id if none.
};
/// Send a request or a reply to a peer.
struct SendHandOver {
  EntryVm To;                ///< Receiver.
  OwnershipHandOver Message; ///< The message.
};

/// Actions that an OwnershipTracker returns, to be carried out in order.
using OwnershipAction =
    std::variant<ServerAcquired, StopDispatching, SendHandOver, Explain>;

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_OWNERSHIPEVENTS_H

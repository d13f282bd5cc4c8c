#ifndef BALSAMRACK_MEMBERSHIP_MEMBERSHIPEVENTS_H
#define BALSAMRACK_MEMBERSHIP_MEMBERSHIPEVENTS_H

#include <variant>
#include <vector>

#include "Balsamrack/Membership/MembershipMessages.h"
#include "Balsamrack/World/Decision.h"

namespace balsamrack {

/// Periodic timer; due at Membership::nextWakeup at the latest.
struct MembershipTicked {};
/// A probe message was received.
struct MessageReceived {
  EntryVm From;                                 ///< Sender.
  std::variant<Ping, PingRequest, Ack> Content; ///< The message.
};
/// The platform's list of VMs. It lags and may contain dead VMs, so it serves
/// as a hint only.
struct PlatformList {
  std::vector<EntryVm> Vms; ///< The whole list.
};
/// Peers from the settings, used while the platform is down.
struct Seeds {
  std::vector<EntryVm> Vms; ///< Possible peers.
};
/// This daemon's configuration changed.
struct DigestChanged {
  StateDigest Held; ///< Digest of the tickets held now.
};

/// This daemon shuts down gracefully and acquires no more servers.
struct MembershipLeaving {};
/// This daemon has released all its servers and announces that it leaves.
struct MembershipLeft {};

/// Events that a Membership handles.
using MembershipEvent =
    std::variant<MembershipTicked, MessageReceived, PlatformList, Seeds,
                 DigestChanged, ConditionLearned, MembershipLeaving,
                 MembershipLeft>;

/// Send a probe message.
struct SendTo {
  EntryVm To;                                   ///< Receiver.
  std::variant<Ping, PingRequest, Ack> Content; ///< The message.
};
/// A daemon's state, run or reachability changed.
struct MemberChanged {
  MemberRecord Record;      ///< Record after the change.
  bool Unreachable = false; ///< Its domain is silent as a whole.
};
/// A peer holds tickets that are missing here: request state from it.
struct PeerHasNewer {
  EntryVm Peer;     ///< The peer.
  StateDigest Held; ///< Its digest.
};
/// A peer misses tickets that are held here. It received this daemon's digest
/// and will request them; nothing has to be sent.
struct PeerHasOlder {
  EntryVm Peer;     ///< The peer.
  StateDigest Held; ///< Its digest.
};
/// A newer condition of a server in the own domain was received.
struct ConditionReceived {
  ServerCondition Condition; ///< As observed by the owner.
};
/// A peer of the own domain answered a probe and considers this daemon alive:
/// renew the lease (OwnershipFence::renewLease).
struct LeaseRenewed {
  VmId Peer;        ///< The peer that answered.
  TimePoint SentAt; ///< Send time of the answered probe.
};
/// A peer declared this daemon dead, so a new owner of its servers may dispatch
/// soon. Send AuthorityExpired to the OwnershipTracker before the next action
/// is carried out, since that action tells peers that this daemon is alive.
struct DeclaredDead {};
/// A later incarnation of this daemon exists: the VM was replaced while this
/// process was paused. Stop dispatching and shut down.
struct Superseded {
  MemberRecord Record; ///< Record of the later incarnation.
};

/// Actions that a Membership returns, to be carried out in order.
using MembershipAction =
    std::variant<SendTo, MemberChanged, PeerHasNewer, PeerHasOlder,
                 ConditionReceived, LeaseRenewed, DeclaredDead, Superseded,
                 Explain>;

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIPEVENTS_H

#ifndef BALSAMRACK_MEMBERSHIP_MEMBERSHIPEVENTS_H
#define BALSAMRACK_MEMBERSHIP_MEMBERSHIPEVENTS_H

#include <variant>
#include <vector>

#include "Balsamrack/Membership/MembershipMessages.h"
#include "Balsamrack/World/Decision.h"

namespace balsamrack {

/// Time has passed; come back by Membership::nextWakeup at the latest.
struct MembershipTicked {};
/// A probe message came in.
struct MessageReceived {
  EntryVm From;                                 ///< Who sent it.
  std::variant<Ping, PingRequest, Ack> Content; ///< What it says.
};
/// The platform's list: a hint that lags and lists the dead.
struct PlatformList {
  std::vector<EntryVm> Vms; ///< The whole list.
};
/// Peers from the settings, for when the platform is down.
struct Seeds {
  std::vector<EntryVm> Vms; ///< Who may be there.
};
/// The own configuration changed.
struct DigestChanged {
  StateDigest Held; ///< What is held now.
};

/// This daemon shuts down gracefully: it takes no new ownership.
struct MembershipLeaving {};
/// This daemon has released all that it owned: it Announces that it leaves.
struct MembershipLeft {};

/// All that a Membership reacts to.
using MembershipEvent =
    std::variant<MembershipTicked, MessageReceived, PlatformList, Seeds,
                 DigestChanged, ConditionLearned, MembershipLeaving,
                 MembershipLeft>;

/// Send a probe message.
struct SendTo {
  EntryVm To;                                   ///< To whom.
  std::variant<Ping, PingRequest, Ack> Content; ///< What.
};
/// A daemon's state, run or reachability changed.
struct MemberChanged {
  MemberRecord Record;      ///< The record.
  bool Unreachable = false; ///< Its domain is silent as a whole.
};
/// A peer holds tickets that are lacking here: ask it for state.
struct PeerHasNewer {
  EntryVm Peer;     ///< Whom to ask.
  StateDigest Held; ///< What it holds.
};
/// A peer lacks tickets that are held here. It has been told our digest and
/// will ask; nothing has to be sent.
struct PeerHasOlder {
  EntryVm Peer;     ///< Who.
  StateDigest Held; ///< What it holds.
};
/// A newer condition of a server in the own domain.
struct ConditionReceived {
  ServerCondition Condition; ///< As its owner saw it.
};
/// A domain peer answered a probe and holds us for alive: renew the lease
/// (OwnershipFence::renewLease).
struct LeaseRenewed {
  VmId Peer;        ///< Who answered.
  TimePoint SentAt; ///< When the answered probe was sent.
};
/// Others held this daemon for dead: whoever they made owner may dispatch soon.
/// Give the OwnershipTracker an AuthorityExpired before the next action is
/// carried out, since that tells the others that this daemon lives.
struct DeclaredDead {};
/// A later run under this daemon's name is known: the VM was replaced while
/// this process was paused. Stop dispatching and shut down.
struct Superseded {
  MemberRecord Record; ///< The later run.
};

/// All that a Membership asks for, to be carried out in order.
using MembershipAction =
    std::variant<SendTo, MemberChanged, PeerHasNewer, PeerHasOlder,
                 ConditionReceived, LeaseRenewed, DeclaredDead, Superseded,
                 Explain>;

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIPEVENTS_H

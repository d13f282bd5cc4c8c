#ifndef BALSAMRACK_MEMBERSHIP_MEMBERSHIPMESSAGES_H
#define BALSAMRACK_MEMBERSHIP_MEMBERSHIPMESSAGES_H

#include <cstdint>
#include <vector>

#include "Balsamrack/Configuration/ConfigurationMessages.h"
#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/ServerCondition.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// State of a daemon as known to the fleet.
enum class MemberState {
  Alive,   ///< Answers probes.
  Suspect, ///< Answered neither direct nor indirect probes; may still refute.
  Dead,    ///< Did not refute the suspicion in time.
  Left,    ///< Announced that it leaves.
};

/// State of one daemon. Ordered by Run, then Refutation, then State: the
/// higher one wins.
struct MemberRecord {
  EntryVm Vm;              ///< The daemon's VM and address.
  Incarnation Run;         ///< Incarnation of the daemon.
  uint32_t Refutation = 0; ///< Incremented by the daemon itself to refute a
                           ///< suspicion of this incarnation.
  MemberState State = MemberState::Alive; ///< Its state.
};

/// Updates that are piggybacked on each probe message.
struct Gossip {
  StateDigest Held; ///< Digest of the sender's tickets.
  std::vector<MemberRecord>
      Members; ///< Some member records, least often sent first.
  std::vector<ServerCondition>
      Conditions; ///< Some conditions of servers in the sender's domain.
};

/// Direct probe (SWIM: Das, Gupta, Motivala 2002).
struct Ping {
  uint64_t Sequence = 0; ///< Repeated in the Ack.
  MemberRecord Sender;   ///< The sender's own record.
  Gossip Updates;        ///< Piggybacked updates.
};

/// Asks a peer to probe a third daemon on the sender's behalf.
struct PingRequest {
  uint64_t Sequence = 0; ///< Repeated in the Ack.
  EntryVm Target;        ///< Daemon to probe.
  Gossip Updates;        ///< Piggybacked updates.
};

/// Answer to a Ping or, once the target answered, to a PingRequest.
struct Ack {
  uint64_t Sequence = 0; ///< Of the Ping or PingRequest.
  VmId About; ///< The daemon that is proved alive: the sender itself, or the
              ///< target of the PingRequest.
  MemberRecord Sender; ///< Record of the daemon in About.
  Gossip Updates;      ///< Piggybacked updates.
  bool Renews =
      true; ///< False if the sender does not renew the receiver's lease, for
            ///< instance since its own is not renewed yet after a pause.
};

/// State of a backend server, sent when its ownership moves to another daemon.
struct HandedOverServer {
  ServerCondition Condition; ///< Condition, including warm-up state, as
                             ///< observed by the old owner.
  uint32_t InProgress = 0;   ///< Requests still in progress at the old owner,
                             ///< which completes them itself.
  bool Owned = false; ///< The sender owned the server until this release.
};

/// Request for or release of ownership inside one failure domain, after Ricart
/// and Agrawala (1981). A daemon that wants to own a server requests it from
/// every live daemon of its domain (Wanted). Those that do not own it release
/// it (Servers). Its owner reports that it holds it (Held), keeps dispatching,
/// and releases it once all others have done so (AllOthersReleased).
struct OwnershipHandOver {
  VmId From;       ///< Sender.
  Incarnation Run; ///< Incarnation of the sender.
  std::vector<HandedOverServer>
      Servers; ///< Released: the sender does not dispatch to them, and will not
               ///< before it has requested them again.
  std::vector<ServerId> Held;   ///< Owned by the sender; to be requested again
                                ///< once all others have released them.
  std::vector<ServerId> Wanted; ///< Servers that the sender requests.
  bool AllOthersReleased = false; ///< All other daemons have released Wanted.
  uint64_t Sequence = 0; ///< Chosen by the requester and repeated in the reply,
                         ///< so that replies to earlier requests are ignored.
  uint64_t LiveHash =
      0; ///< Hash of the domain's live daemons and their incarnations in the
         ///< sender's view; a release requires equal hashes.
  Duration TimeSinceDeadLease{
      0}; ///< Time since the latest possible start of a lease of a daemon of
          ///< the domain that the sender considers dead, or of an earlier
          ///< incarnation.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIPMESSAGES_H

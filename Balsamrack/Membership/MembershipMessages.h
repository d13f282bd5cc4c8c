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

/// What the fleet says of a daemon.
enum class MemberState {
  Alive,   ///< Answers probes.
  Suspect, ///< Did not answer, directly or through others; may still refute.
  Dead,    ///< Did not refute in time.
  Left,    ///< Announced that it leaves.
};

/// State of one daemon. Ordered by Run, then Refutation, then State: the
/// higher one wins.
struct MemberRecord {
  EntryVm Vm;      ///< Who and where.
  Incarnation Run; ///< Which run of that daemon.
  uint32_t Refutation =
      0; ///< Raised by the daemon itself to refute a suspicion of this run.
  MemberState State = MemberState::Alive; ///< What is said of it.
};

/// What rides on each probe.
struct Gossip {
  StateDigest Held; ///< Tickets that the sender holds.
  std::vector<MemberRecord>
      Members; ///< A few updates of members, least often sent first.
  std::vector<ServerCondition>
      Conditions; ///< A few conditions of servers of the sender's domain.
};

/// Direct probe (SWIM: Das, Gupta, Motivala 2002).
struct Ping {
  uint64_t Sequence = 0; ///< Repeated in the Ack.
  MemberRecord Sender;   ///< The sender about itself.
  Gossip Updates;        ///< What rides along.
};

/// Asks a peer to probe a third daemon for us.
struct PingRequest {
  uint64_t Sequence = 0; ///< Repeated in the Ack.
  EntryVm Target;        ///< Whom to probe.
  Gossip Updates;        ///< What rides along.
};

/// Answer to a Ping or, once the target answered, to a PingRequest.
struct Ack {
  uint64_t Sequence = 0; ///< Of the Ping or PingRequest.
  VmId About; ///< Whose life it proves: the sender itself, or the target of the
              ///< PingRequest.
  MemberRecord Sender; ///< The sender about itself.
  Gossip Updates;      ///< What rides along.
  bool Renews = true;  ///< False: the answerer was paused and has no right yet
                       ///< to renew the lease of another.
};

/// One backend server's state, passed on when its owner leaves or loses it to a
/// joiner.
struct HandedOverServer {
  ServerCondition Condition; ///< Warmth as the old owner saw it.
  uint32_t InProgress = 0;   ///< Requests that the old owner still has in
                             ///< progress; it ends them itself.
  bool Owned = false;        ///< The sender owned it until it released it.
};

/// Ownership inside one failure domain, after Ricart and Agrawala (1981): who
/// wants to dispatch to a server asks every live daemon of its domain (Wanted).
/// Those that don't own it release it (Servers); its owner says that it holds
/// it (Held), goes on, and releases it when it is asked last.
struct OwnershipHandOver {
  VmId From;       ///< Who sends it.
  Incarnation Run; ///< Its run.
  std::vector<HandedOverServer>
      Servers; ///< Released: the sender does not dispatch to them and will not
               ///< without asking again.
  std::vector<ServerId> Held; ///< Owned by the sender: ask again, as the last.
  std::vector<ServerId> Wanted;   ///< The sender asks the receiver for these.
  bool AllOthersReleased = false; ///< Of Wanted: all others have released them.
  uint64_t Sequence = 0; ///< Chosen by the asker and repeated in the answer, so
                         ///< that an answer to an earlier question is ignored.
  uint64_t LiveHash =
      0; ///< Of the live daemons of the domain and their runs,
         ///< as the sender sees them; a release needs agreement.
  Duration TimeSinceDeadLease{
      0}; ///< Since a lease may have begun that a daemon of the
          ///< domain has which the sender holds for dead.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_MEMBERSHIPMESSAGES_H

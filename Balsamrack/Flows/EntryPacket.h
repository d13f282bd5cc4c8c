#ifndef BALSAMRACK_FLOWS_ENTRYPACKET_H
#define BALSAMRACK_FLOWS_ENTRYPACKET_H

#include <optional>
#include <string>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Flows/FlowSearch.h"
#include "Balsamrack/Flows/KeyClaims.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// State of a packet from its arrival to its ending. Not thread-safe.
struct EntryPacket {
  /// What the packet waits for.
  enum class Phase {
    ClaimingKey,   ///< Replies of the replicas of its key.
    SearchingFlow, ///< Replies of owners that may know its flow.
    Forwarded,     ///< Reply of the owner that has it.
    Lingering,     ///< Nothing: it ended with an unknown outcome, and a late
                   ///< outcome may still settle its key.
  };
  /// A Forward without a reply.
  struct OutstandingForward {
    EntryVm To;      ///< The owner that has the packet.
    ServerId Server; ///< Target server.
    bool AcceptFlow; ///< The owner was told to accept the flow.
  };

  Envelope Head;                           ///< As received, with Remaining
                                           ///< capped.
  std::string Token;                       ///< As received.
  TimePoint Deadline;                      ///< Deadline of the caller.
  TimePoint TimerAt;                       ///< Time of its entry in the timers.
  Phase CurrentPhase = Phase::ClaimingKey; ///< What the packet waits for.
  KeyClaims Keys;                          ///< Used when claimsKey().
  TimePoint ClaimResendUntil;              ///< Claims are not resent after this
                                           ///< time.
  TimePoint EndingAwaitedUntil;            ///< Another attempt that is in
                                           ///< progress refuses the key after
                                           ///< this time.
  Duration ClaimResendDelay{0};            ///< Delay of the next claim while
                                           ///< another attempt is in progress.
  bool ClaimResendDue = false;             ///< The timer is set for resending
                                           ///< claims.
  FlowSearch Search;                       ///< Used while SearchingFlow.
  std::optional<OutstandingForward> Outstanding; ///< Set while an owner has it.
  std::vector<ServerId> TriedServers; ///< Servers it was forwarded to.
  ServerId LostServer;     ///< Server whose owner was lost with it, if any.
  bool OpensFlow = false;  ///< It opens a flow, so it may go to any server.
  bool MayHaveRun = false; ///< An owner was lost with it, so it must not end
                           ///< NotRun.

  /// True if it must claim its key before it runs.
  bool claimsKey() const {
    return Head.Kind == Semantics::RunOnce && !Head.Key.empty();
  }
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYPACKET_H

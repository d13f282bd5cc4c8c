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

/// One packet between its arrival and its ending. Not thread-safe.
struct EntryPacket {
  /// What it waits for.
  enum class Phase {
    ClaimingKey,   ///< Guardians of its key.
    SearchingFlow, ///< Owners that may know its flow.
    Forwarded,     ///< The owner that has it.
    Lingering, ///< It ended unknown; a late outcome may still settle its key.
  };
  /// The Forward that has no answer yet.
  struct OutstandingForward {
    EntryVm To;      ///< The owner that has it.
    ServerId Server; ///< For this server.
    bool AcceptFlow; ///< The owner was told to take the flow in.
  };

  Envelope Head;                           ///< As it came, Remaining capped.
  std::string Token;                       ///< As it came.
  TimePoint Deadline;                      ///< When the caller stops waiting.
  TimePoint TimerAt;                       ///< Its entry among the timers.
  Phase CurrentPhase = Phase::ClaimingKey; ///< What it waits for.
  KeyClaims Keys;                          ///< Used when claimsKey().
  TimePoint ClaimResendUntil;              ///< No claim is repeated after this.
  bool ClaimResendDue = false;             ///< Claims are to be repeated.
  FlowSearch Search;                       ///< Used while Asking.
  std::optional<OutstandingForward> Outstanding; ///< Set while an owner has it.
  std::vector<ServerId> TriedServers; ///< Servers that it was forwarded to.
  ServerId LostServer;     ///< Server whose owner vanished with it, if any.
  bool OpensFlow = false;  ///< It opens a flow: another server will do as well.
  bool MayHaveRun = false; ///< An owner vanished with it: never NotRun again.

  /// True when it must ask the guardians before it runs.
  bool claimsKey() const {
    return Head.Kind == Semantics::RunOnce && !Head.Key.empty();
  }
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYPACKET_H

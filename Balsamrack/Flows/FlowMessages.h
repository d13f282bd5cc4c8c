#ifndef BALSAMRACK_FLOWS_FLOWMESSAGES_H
#define BALSAMRACK_FLOWS_FLOWMESSAGES_H

#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// Asks an owner where an established flow lives.
struct FlowQuestion {
  RequestId Request; ///< The packet for which it is asked.
  FlowId Flow;       ///< The flow.
  ServiceId Service; ///< Its service.
};

/// Answer to a FlowQuestion.
struct FlowReply {
  RequestId Request;   ///< As asked.
  FlowId Flow;         ///< As asked.
  ServerId Server;     ///< Where the flow lives; empty when the asked daemon
                       ///< doesn't know and rules its servers out.
  bool Fresh = false;  ///< The asked daemon doesn't know the flow, but took
                       ///< Server over so recently that this proves nothing: if
                       ///< the flow lives with it, then there.
  TicketNumber Ticket; ///< Highest ticket in force there: an asker with an
                       ///< older one can't conclude from not knowing.
};

/// A flow that doesn't live where its rank says.
struct FlowException {
  FlowId Flow;     ///< The flow.
  ServerId Server; ///< Where it lives.
};

/// Exceptions copied to the owner of the runner-up, in batches within the byte
/// budget.
struct FlowExceptions {
  ServiceId Service;                ///< Their service.
  std::vector<FlowException> Flows; ///< The exceptions.
};

/// Asks a guardian of an idempotency key for leave to run.
struct KeyClaim {
  KeyDigest Key;     ///< The key.
  RequestId Request; ///< The attempt that wants to run; a repeat by the same
                     ///< attempt is granted again.
};

/// What a guardian knows of a key.
enum class KeyVerdict {
  Granted, ///< New to this guardian; the attempt is noted before this is said.
  InProgress, ///< Another attempt holds the key.
  Answered,   ///< Another attempt was answered.
  Unknown,    ///< Another attempt ended unknown.
  Fresh,  ///< New to this guardian, which has not been up for as long as keys
          ///< are remembered; it is noted.
  Unable, ///< New to this guardian, which can't note it: it leaves or is
          ///< full. As good as no answer.
};

/// Answer to a KeyClaim.
struct KeyReply {
  KeyDigest Key;                               ///< As asked.
  RequestId Request;                           ///< As asked.
  KeyVerdict Verdict = KeyVerdict::InProgress; ///< What the guardian knows.
};

/// Tells a guardian how the attempt that holds a key ended. NotRun frees the
/// key.
struct KeySettled {
  KeyDigest Key;                         ///< The key.
  RequestId Request;                     ///< The attempt that holds it.
  OutcomeKind How = OutcomeKind::NotRun; ///< Its ending.
};

/// Keys that a leaving guardian passes on to the daemon that guards them next.
struct KeysHandedOver {
  /// One remembered key.
  struct Entry {
    KeyDigest Key;     ///< The key.
    RequestId Request; ///< The attempt that claimed it.
    KeyVerdict Verdict = KeyVerdict::InProgress; ///< What is known of it.
    Duration Age{0};                             ///< Since it was claimed.
  };
  std::vector<Entry> Keys; ///< A batch of them.
  VmId From;               ///< The leaving guardian.
  Incarnation Run;         ///< Which run of it.
  bool Complete = false;   ///< The last message: Total keys were sent to the
                           ///< receiver, and the sender answers no more claims.
  uint32_t Total = 0;      ///< Keys in all messages to the receiver.
  bool SenderHasFullHistory =
      false; ///< The sender had been up for the key memory, or no
             ///< key ran before it started.
  std::vector<VmId> KnownDaemons; ///< All daemons of the key memory, present
                                  ///< and departed, as the sender knew them.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWMESSAGES_H

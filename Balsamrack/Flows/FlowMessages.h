#ifndef BALSAMRACK_FLOWS_FLOWMESSAGES_H
#define BALSAMRACK_FLOWS_FLOWMESSAGES_H

#include <string>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// Asks an owner which server an established flow is bound to.
struct FlowQuestion {
  RequestId Request; ///< The packet that causes the question.
  FlowId Flow;       ///< The flow.
  ServiceId Service; ///< Its service.
};

/// Answer to a FlowQuestion.
struct FlowReply {
  RequestId Request;   ///< As asked.
  FlowId Flow;         ///< As asked.
  ServerId Server;     ///< Server that the flow is bound to; empty if the asked
                       ///< daemon does not know the flow and rules its own
                       ///< servers out.
  bool Fresh = false;  ///< The asked daemon does not know the flow, but took
                       ///< Server over so recently that this proves nothing: if
                       ///< the flow is bound to one of its servers, it is this
                       ///< one.
  TicketNumber Ticket; ///< Highest ticket in force there. An asker with an
                       ///< older ticket must not infer anything from an unknown
                       ///< flow.
};

/// A flow that is not bound to its first candidate.
struct FlowException {
  FlowId Flow;     ///< The flow.
  ServerId Server; ///< Server that it is bound to.
};

/// Exceptions sent to another owner, usually that of the flows' first
/// candidate, in batches within the byte budget; also the flows of a server
/// that are handed over to its next owner.
struct FlowExceptions {
  ServiceId Service;                ///< Their service.
  std::vector<FlowException> Flows; ///< The exceptions.
};

/// Asks a replica of an idempotency key for permission to run.
struct KeyClaim {
  KeyDigest Key;     ///< The key.
  RequestId Request; ///< The attempt that wants to run. A repeated claim by the
                     ///< same attempt is granted again.
};

/// State of a key at one of its replicas.
enum class KeyVerdict {
  Granted, ///< New to this replica, which stored the attempt before replying.
  InProgress, ///< Another attempt that holds the key is in progress.
  Answered,   ///< Another attempt was answered.
  Unknown,    ///< Another attempt ended with an unknown outcome.
  Fresh,  ///< New to this replica, which stored the attempt, but may lack part
          ///< of the key's history, as it has not been up for the key memory.
  Unable, ///< New to this replica, which cannot store the attempt because it is
          ///< leaving or full. Equivalent to no reply.
};

/// Name of a verdict in lower case with hyphens. Thread-safe.
const char *keyVerdictName(KeyVerdict verdict);
/// Formats a digest as 32 hex digits. Thread-safe.
std::string formatKey(KeyDigest key);

/// Answer to a KeyClaim.
struct KeyReply {
  KeyDigest Key;                               ///< As asked.
  RequestId Request;                           ///< As asked.
  KeyVerdict Verdict = KeyVerdict::InProgress; ///< State of the key at the
                                               ///< replica.
  bool Leaving = false; ///< The replica has handed its keys over and grants no
                        ///< new key.
};

/// Reports to a replica how the attempt that holds a key ended. NotRun frees
/// the key.
struct KeySettled {
  KeyDigest Key;                         ///< The key.
  RequestId Request;                     ///< The attempt that holds it.
  OutcomeKind How = OutcomeKind::NotRun; ///< Outcome of the attempt.
};

/// Keys that a leaving replica hands over to their next replicas.
struct KeysHandedOver {
  /// One stored key.
  struct Entry {
    KeyDigest Key;     ///< The key.
    RequestId Request; ///< The attempt that claimed it.
    KeyVerdict Verdict = KeyVerdict::InProgress; ///< State of the key.
    Duration Age{0};                             ///< Time since it was claimed.
  };
  std::vector<Entry> Keys; ///< A batch of keys.
  VmId From;               ///< The leaving replica.
  Incarnation Run;         ///< Incarnation of the sender.
  bool Complete = false;   ///< True in the last message: Total keys were sent
                           ///< to the receiver, and the sender grants no more
                           ///< claims.
  uint32_t Total = 0;      ///< Keys in all messages to the receiver.
  bool SenderHasFullHistory =
      false; ///< The sender had been up for the key memory, or no key ran
             ///< before it started.
  std::vector<VmId> KnownDaemons; ///< All daemons, present and departed, that
                                  ///< the sender knew within the key memory.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWMESSAGES_H

#ifndef BALSAMRACK_FLOWS_KEYCLAIMS_H
#define BALSAMRACK_FLOWS_KEYCLAIMS_H

#include <string>
#include <vector>

#include "Balsamrack/Flows/EntrySettings.h"
#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Flows/RoutingView.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// Claims of one request to the replicas of its idempotency key.
///
/// Prevents a request, such as a deposit, from running twice when the caller
/// repeats it on another flow or through another daemon while the first attempt
/// is queued, running, answered, or lost with its owner. This holds because a
/// replica stores a claim before it replies, and a request runs only if every
/// replica not known to be dead replied, none knows the key, and one of them
/// would know it (Granted, not Fresh). Not thread-safe.
class KeyClaims {
public:
  /// Result of the replies so far.
  enum class Result {
    Waiting, ///< Replies are outstanding.
    Run,     ///< The request may run.
    Refuse,  ///< It must not run; see refusalReason().
  };

  /// Adds the key's replicas under \p view that are new, and marks those that
  /// are no longer members as departed. Returns the replicas to send a claim
  /// to.
  std::vector<EntryVm> updateReplicas(const KeyDigest &key,
                                      const KeyReplicaView &view,
                                      const EntrySettings &settings);
  /// Records a reply; false if it is unsolicited or changes nothing. A later
  /// reply replaces "in progress", which the ending of that attempt changes.
  /// \p leaving is true if the replica has handed its keys over.
  bool recordReply(const VmId &from, KeyVerdict verdict, bool leaving = false);
  /// Records that a replica will not reply; false if no reply was outstanding.
  bool recordNoReply(const VmId &from);
  /// Records that the outstanding replies timed out.
  void recordTimeout();
  /// Evaluates the replies received so far.
  Result evaluate(const EntrySettings &settings) const;
  /// Why the request must not run. Precondition: evaluate() returned Refuse.
  Reason refusalReason() const;
  /// True if a replica confirmed that no earlier attempt ran, although the
  /// request must not run because another replica's reply is missing or reports
  /// an attempt in progress.
  bool isProvenNotRun(const EntrySettings &settings) const;
  /// True if a replica that may be alive did not reply.
  bool hasMissingReply() const;
  /// True if the request must not run only because another attempt is in
  /// progress, as far as the replicas know: no replica knows its outcome yet.
  bool isHeldInProgress() const;
  /// True if pending updates may still turn Refuse into Run: a replica is
  /// leaving and handing over its keys, or this daemon has just started and
  /// knows fewer daemons than a key has replicas. \p view is the current one.
  bool mayBecomeGranted(const KeyReplicaView &view,
                        const EntrySettings &settings) const;
  /// True if a replica is leaving and no longer grants keys. Until it has left,
  /// the key cannot be granted; then the next replicas have its keys.
  bool awaitsHandOver(const KeyReplicaView &view) const;
  /// Discards the replies that such updates may change, except "in progress",
  /// which holds until the replica replies otherwise. Returns the replicas to
  /// send the same claim to again. \p view is the current one.
  std::vector<EntryVm> resetForResend(const KeyReplicaView &view);
  /// State of each replica as one line, such as "vm-1 granted, vm-2 waiting".
  std::string describe() const;
  /// All replicas that a claim was sent to.
  std::vector<EntryVm> claimedReplicas() const;

private:
  enum class State { Waiting, NoAnswer, Dead, Answered };
  struct Replica {
    EntryVm Vm;
    State Status = State::Waiting;
    KeyVerdict Verdict = KeyVerdict::InProgress; ///< Valid if Answered.
    bool Sent = false;                           ///< A claim was sent to it.
    bool Departed = false;                       ///< It is no longer a member.
    bool HandedOver = false; ///< It replied that it has handed its keys over.
  };
  Replica *find(const VmId &vm);
  static bool isUnable(const Replica &replica);
  static bool isLeaving(const Replica &replica, const KeyReplicaView &view);
  const Replica *findReplicaKnowingKey() const;

  std::vector<Replica> Replicas;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_KEYCLAIMS_H

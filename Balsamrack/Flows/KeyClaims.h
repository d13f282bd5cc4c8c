#ifndef BALSAMRACK_FLOWS_KEYCLAIMS_H
#define BALSAMRACK_FLOWS_KEYCLAIMS_H

#include <vector>

#include "Balsamrack/Flows/EntrySettings.h"
#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Flows/RoutingView.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// The claims that one request makes to the guardians of its key.
///
/// Failure guarded against: a deposit charged twice, because the caller sent it
/// again on another flow or through another daemon while the first try was
/// queued, running, answered, or its owner had died. The guard holds because a
/// guardian notes a claim before it answers, and a request runs only when every
/// guardian that is not known dead answered, none knows the key and one of them
/// would know it (Granted, not Fresh). Not thread-safe.
class KeyClaims {
public:
  /// What the answers so far amount to.
  enum class Result {
    Waiting, ///< Answers are missing.
    Run,     ///< The request may run.
    Refuse,  ///< It may not; see why().
  };

  /// Adds the key's guardians of \p view that were not claimed from before, and
  /// takes those that are no longer members for dead. Returns the guardians to
  /// send a claim to.
  std::vector<EntryVm> updateReplicas(const KeyDigest &key,
                                      const KeyReplicaView &view,
                                      const EntrySettings &settings);
  /// Notes an answer; false when it was not asked for or came before.
  bool recordReply(const VmId &from, KeyVerdict verdict);
  /// Notes that no answer will come; false when none was awaited.
  bool recordNoReply(const VmId &from);
  /// Notes that no answer came in time from those still awaited.
  void recordTimeout();
  /// Judges the answers so far.
  Result evaluate(const EntrySettings &settings) const;
  /// Why the request may not run. Precondition: judge() said Refuse.
  Reason refusalReason() const;
  /// True when a guardian gave its word that no earlier attempt ran, though the
  /// request may not run for want of another's. Precondition: judge() said
  /// Refuse.
  bool isProvenNotRun(const EntrySettings &settings) const;
  /// True when a guardian that may be alive gave no answer.
  bool hasMissingReply() const;
  /// True when updates that are under way may still turn Refuse into Run: a
  /// guardian leaves and is handing over what it knows, or this daemon has just
  /// started and knows of fewer daemons than a key has guardians. \p view is
  /// the present one.
  bool mayBecomeGranted(const KeyReplicaView &view,
                        const EntrySettings &settings) const;
  /// Forgets the answers that such updates may change. Returns the guardians to
  /// send the same claim to once more.
  std::vector<EntryVm> resetForResend();
  /// All guardians that a claim was sent to.
  std::vector<EntryVm> claimedReplicas() const;

private:
  enum class State { Waiting, NoAnswer, Dead, Answered };
  struct Replica {
    EntryVm Vm;
    State Status = State::Waiting;
    KeyVerdict Verdict = KeyVerdict::InProgress; ///< Set when Answered.
    bool Sent = false;                           ///< A claim left for it.
  };
  Replica *find(const VmId &vm);
  static bool isUnable(const Replica &replica);
  const Replica *findReplicaKnowingKey() const;

  std::vector<Replica> Replicas;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_KEYCLAIMS_H

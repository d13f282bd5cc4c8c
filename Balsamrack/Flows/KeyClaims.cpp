#include "Balsamrack/Flows/KeyClaims.h"

#include <algorithm>

#include "Balsamrack/Flows/KeyStore.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

bool isMember(const KeyReplicaView &view, const VmId &vm) {
  return std::any_of(view.Members.begin(), view.Members.end(),
                     [&](const EntryVm &it) { return it.Id == vm; });
}

bool isUnreachable(const KeyReplicaView &view, const VmId &vm) {
  return std::find(view.Unreachable.begin(), view.Unreachable.end(), vm) !=
         view.Unreachable.end();
}

bool knowsKey(KeyVerdict verdict) {
  return verdict != KeyVerdict::Granted && verdict != KeyVerdict::Fresh;
}

} // namespace

std::vector<EntryVm> KeyClaims::updateReplicas(const KeyDigest &key,
                                               const KeyReplicaView &view,
                                               const EntrySettings &settings) {
  // A replica that died without replying can no longer refuse the key.
  bool anyDeparted = false;
  bool lostInProgress = false;
  for (Replica &it : Replicas) {
    if (it.Status == State::Waiting && isUnreachable(view, it.Vm.Id))
      it.Status = State::NoAnswer;
    if (it.Departed || isMember(view, it.Vm.Id))
      continue;
    it.Departed = anyDeparted = true;
    // It will not report the ending of an attempt that it knows as in progress.
    // The present replicas decide.
    bool inProgress =
        it.Status == State::Answered && it.Verdict == KeyVerdict::InProgress;
    lostInProgress = lostInProgress || inProgress;
    if (it.Status != State::Answered || inProgress)
      it.Status = State::Dead;
  }
  bool anyUnreachable = false;
  size_t before = Replicas.size();
  for (const EntryVm &vm :
       keyReplicas(key, view.Members, settings.KeyReplicaCount)) {
    if (find(vm.Id))
      continue;
    bool unreachable = isUnreachable(view, vm.Id);
    anyUnreachable = anyUnreachable || unreachable;
    Replicas.push_back({vm, unreachable ? State::NoAnswer : State::Waiting,
                        KeyVerdict::InProgress, false, false, false});
  }
  // The request will be refused for as long as a replica is unreachable, so
  // send no claims. Otherwise another replica's reply could end it as "not
  // run", and the caller would retry in vain.
  std::vector<EntryVm> toSend;
  if (anyUnreachable &&
      settings.OnUnreachableReplica == UnreachableReplicaPolicy::Refuse) {
    for (size_t i = before; i < Replicas.size(); ++i)
      Replicas[i].Status = State::NoAnswer;
    return toSend;
  }
  // Ask replicas that replied Fresh again: one that left has handed its keys to
  // them since. Judging by the earlier reply would refuse a key that can be
  // granted. If the one that left knew another attempt, ask all again, as a
  // claim that starts now would: the hand-over may have told them of it.
  for (size_t i = 0; anyDeparted && i < before; ++i) {
    Replica &it = Replicas[i];
    if (it.Status != State::Answered || it.Departed ||
        (it.Verdict != KeyVerdict::Fresh && !lostInProgress))
      continue;
    it.Status = State::Waiting;
    toSend.push_back(it.Vm);
  }
  for (size_t i = before; i < Replicas.size(); ++i) {
    Replica &it = Replicas[i];
    if (it.Status != State::Waiting)
      continue;
    it.Sent = true;
    toSend.push_back(it.Vm);
  }
  return toSend;
}

KeyClaims::Replica *KeyClaims::find(const VmId &vm) {
  for (Replica &it : Replicas)
    if (it.Vm.Id == vm)
      return &it;
  return nullptr;
}

bool KeyClaims::recordReply(const VmId &from, KeyVerdict verdict,
                            bool leaving) {
  Replica *g = find(from);
  if (!g || !g->Sent)
    return false;
  if (g->Status == State::Answered && (g->Verdict != KeyVerdict::InProgress ||
                                       verdict == KeyVerdict::InProgress))
    return false;
  g->Status = verdict == KeyVerdict::Unable ? State::NoAnswer : State::Answered;
  g->Verdict = verdict;
  g->HandedOver = leaving;
  return true;
}

bool KeyClaims::recordNoReply(const VmId &from) {
  Replica *g = find(from);
  if (!g || g->Status != State::Waiting)
    return false;
  g->Status = State::NoAnswer;
  return true;
}

void KeyClaims::recordTimeout() {
  for (Replica &it : Replicas)
    if (it.Status == State::Waiting)
      it.Status = State::NoAnswer;
}

bool KeyClaims::isUnable(const Replica &replica) {
  return replica.Sent && replica.Status == State::NoAnswer &&
         replica.Verdict == KeyVerdict::Unable;
}

const KeyClaims::Replica *KeyClaims::findReplicaKnowingKey() const {
  const Replica *found = nullptr;
  for (const Replica &it : Replicas) {
    if (it.Status != State::Answered || !knowsKey(it.Verdict))
      continue;
    // One that knows the outcome is newer than one that lacks it.
    if (!found || found->Verdict == KeyVerdict::InProgress)
      found = &it;
  }
  return found;
}

bool KeyClaims::isHeldInProgress() const {
  const Replica *it = findReplicaKnowingKey();
  return it && it->Verdict == KeyVerdict::InProgress;
}

bool KeyClaims::hasMissingReply() const {
  return std::any_of(Replicas.begin(), Replicas.end(), [](const Replica &g) {
    return g.Status == State::NoAnswer;
  });
}

KeyClaims::Result KeyClaims::evaluate(const EntrySettings &settings) const {
  // One replica that knows the key suffices to refuse.
  if (findReplicaKnowingKey())
    return Result::Refuse;
  bool granted = false;
  bool fresh = false;
  for (const Replica &it : Replicas) {
    if (it.Status == State::Waiting)
      return Result::Waiting;
    if (it.Status != State::Answered)
      continue;
    granted = granted || it.Verdict == KeyVerdict::Granted;
    fresh = fresh || it.Verdict == KeyVerdict::Fresh;
  }
  if (hasMissingReply() &&
      settings.OnUnreachableReplica == UnreachableReplicaPolicy::Refuse)
    return Result::Refuse;
  // Fresh replicas alone prove nothing, since the key's history was lost with
  // their predecessors. Without this rule, a repeat would run after all
  // replicas of its key died.
  if (granted || (fresh && settings.AssumeNoEarlierKeys))
    return Result::Run;
  return Result::Refuse;
}

bool KeyClaims::isProvenNotRun(const EntrySettings &settings) const {
  // Under the policy Refuse, each run was confirmed by every replica, so a
  // replica that would know of a run and does not proves that there was none,
  // also if another one still lists an attempt as in progress: its ending is on
  // its way. Under the other policy, the key may have run on the other side of
  // a network partition.
  const Replica *knowing = findReplicaKnowingKey();
  return settings.OnUnreachableReplica == UnreachableReplicaPolicy::Refuse &&
         (!knowing || knowing->Verdict == KeyVerdict::InProgress) &&
         std::any_of(Replicas.begin(), Replicas.end(), [](const Replica &it) {
           return it.Status == State::Answered &&
                  it.Verdict == KeyVerdict::Granted;
         });
}

Reason KeyClaims::refusalReason() const {
  const Replica *g = findReplicaKnowingKey();
  if (!g || g->Verdict == KeyVerdict::Unknown)
    return Reason::KeyOutcomeUnknown;
  return g->Verdict == KeyVerdict::Answered ? Reason::KeyAnswered
                                            : Reason::KeyInProgress;
}

bool KeyClaims::mayBecomeGranted(const KeyReplicaView &view,
                                 const EntrySettings &settings) const {
  if (findReplicaKnowingKey())
    return false;
  return view.Members.size() < settings.KeyReplicaCount ||
         awaitsHandOver(view) ||
         std::any_of(Replicas.begin(), Replicas.end(), isUnable);
}

bool KeyClaims::isLeaving(const Replica &replica, const KeyReplicaView &view) {
  if (!replica.Sent || replica.Status != State::NoAnswer)
    return false;
  auto it = std::find_if(
      view.Members.begin(), view.Members.end(),
      [&](const EntryVm &member) { return member.Id == replica.Vm.Id; });
  return it != view.Members.end() && (it->Leaving || replica.HandedOver) &&
         !isUnreachable(view, it->Id);
}

bool KeyClaims::awaitsHandOver(const KeyReplicaView &view) const {
  return !findReplicaKnowingKey() &&
         std::any_of(Replicas.begin(), Replicas.end(),
                     [&](const Replica &it) { return isLeaving(it, view); });
}

std::vector<EntryVm> KeyClaims::resetForResend(const KeyReplicaView &view) {
  std::vector<EntryVm> toSend;
  for (Replica &it : Replicas) {
    bool fresh =
        it.Status == State::Answered && it.Verdict == KeyVerdict::Fresh;
    if (it.Status == State::Answered && it.Verdict == KeyVerdict::InProgress &&
        !it.Departed)
      toSend.push_back(it.Vm);
    if (!isUnable(it) && !isLeaving(it, view) && !fresh)
      continue;
    it.Status = State::Waiting;
    toSend.push_back(it.Vm);
  }
  return toSend;
}

std::string KeyClaims::describe() const {
  std::string text;
  for (const Replica &it : Replicas) {
    const char *state = it.Status == State::Waiting ? "waiting"
                        : it.Status == State::Dead  ? "dead"
                        : it.Status == State::Answered || isUnable(it)
                            ? keyVerdictName(it.Verdict)
                            : "no-reply";
    absl::StrAppend(&text, text.empty() ? "" : ", ", it.Vm.Id.str(), " ",
                    state);
  }
  return text;
}

std::vector<EntryVm> KeyClaims::claimedReplicas() const {
  std::vector<EntryVm> vms;
  for (const Replica &it : Replicas)
    if (it.Sent)
      vms.push_back(it.Vm);
  return vms;
}

} // namespace balsamrack

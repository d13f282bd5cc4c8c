#include "Balsamrack/Flows/KeyClaims.h"

#include <algorithm>

#include "Balsamrack/Flows/KeyGuard.h"

namespace balsamrack {

namespace {

bool isMember(const GuardianView &view, const VmId &vm) {
  return std::any_of(view.Members.begin(), view.Members.end(),
                     [&](const EntryVm &it) { return it.Id == vm; });
}

bool isUnreachable(const GuardianView &view, const VmId &vm) {
  return std::find(view.Unreachable.begin(), view.Unreachable.end(), vm) !=
         view.Unreachable.end();
}

bool knowsKey(KeyVerdict verdict) {
  return verdict != KeyVerdict::Granted && verdict != KeyVerdict::Fresh;
}

} // namespace

std::vector<EntryVm> KeyClaims::update(const KeyDigest &key,
                                       const GuardianView &view,
                                       const EntrySettings &settings) {
  // A guardian that died without an answer can't object any more.
  for (Guardian &it : Guardians)
    if (it.Now != State::Answered && !isMember(view, it.Vm.Id))
      it.Now = State::Dead;
  bool anyCut = false;
  size_t before = Guardians.size();
  for (const EntryVm &vm :
       guardiansOf(key, view.Members, settings.GuardianCount)) {
    if (find(vm.Id))
      continue;
    bool cut = isUnreachable(view, vm.Id);
    anyCut = anyCut || cut;
    Guardians.push_back({vm, cut ? State::NoAnswer : State::Waiting,
                         KeyVerdict::InProgress, false});
  }
  // Refused for as long as the cut lasts: then nobody needs to be bothered, and
  // a caller that was told "not run" would come back again and again in vain.
  std::vector<EntryVm> toAsk;
  if (anyCut && settings.WhenCut == KeyPolicy::Refuse) {
    for (size_t i = before; i < Guardians.size(); ++i)
      Guardians[i].Now = State::NoAnswer;
    return toAsk;
  }
  for (size_t i = before; i < Guardians.size(); ++i) {
    Guardian &it = Guardians[i];
    if (it.Now != State::Waiting)
      continue;
    it.Sent = true;
    toAsk.push_back(it.Vm);
  }
  return toAsk;
}

KeyClaims::Guardian *KeyClaims::find(const VmId &vm) {
  for (Guardian &it : Guardians)
    if (it.Vm.Id == vm)
      return &it;
  return nullptr;
}

bool KeyClaims::answered(const VmId &from, KeyVerdict verdict) {
  Guardian *g = find(from);
  if (!g || g->Now == State::Answered || !g->Sent)
    return false;
  g->Now = verdict == KeyVerdict::Unable ? State::NoAnswer : State::Answered;
  g->Verdict = verdict;
  return true;
}

bool KeyClaims::noAnswer(const VmId &from) {
  Guardian *g = find(from);
  if (!g || g->Now != State::Waiting)
    return false;
  g->Now = State::NoAnswer;
  return true;
}

void KeyClaims::timedOut() {
  for (Guardian &it : Guardians)
    if (it.Now == State::Waiting)
      it.Now = State::NoAnswer;
}

bool KeyClaims::isUnable(const Guardian &guardian) {
  return guardian.Sent && guardian.Now == State::NoAnswer &&
         guardian.Verdict == KeyVerdict::Unable;
}

const KeyClaims::Guardian *KeyClaims::firstThatKnows() const {
  for (const Guardian &it : Guardians)
    if (it.Now == State::Answered && knowsKey(it.Verdict))
      return &it;
  return nullptr;
}

bool KeyClaims::anyUnanswered() const {
  return std::any_of(Guardians.begin(), Guardians.end(), [](const Guardian &g) {
    return g.Now == State::NoAnswer;
  });
}

KeyClaims::Result KeyClaims::judge(const EntrySettings &settings) const {
  // One guardian that knows the key is enough to refuse.
  if (firstThatKnows())
    return Result::Refuse;
  bool granted = false;
  bool fresh = false;
  for (const Guardian &it : Guardians) {
    if (it.Now == State::Waiting)
      return Result::Waiting;
    if (it.Now != State::Answered)
      continue;
    granted = granted || it.Verdict == KeyVerdict::Granted;
    fresh = fresh || it.Verdict == KeyVerdict::Fresh;
  }
  if (anyUnanswered() && settings.WhenCut == KeyPolicy::Refuse)
    return Result::Refuse;
  // Fresh guardians alone prove nothing: the ones before them took the key's
  // history with them. Without this rule the death of all guardians of a key
  // would let its repeat run.
  if (granted || (fresh && settings.AssumeNoEarlierKeys))
    return Result::Run;
  return Result::Refuse;
}

bool KeyClaims::provedNew(const EntrySettings &settings) const {
  // Under the policy Refuse every run had each guardian's word, so one that
  // would know of a run and doesn't proves that there was none. Under the other
  // policy the key may have run on the far side of a cut.
  return settings.WhenCut == KeyPolicy::Refuse && !firstThatKnows() &&
         std::any_of(Guardians.begin(), Guardians.end(),
                     [](const Guardian &it) {
                       return it.Now == State::Answered &&
                              it.Verdict == KeyVerdict::Granted;
                     });
}

Reason KeyClaims::why() const {
  const Guardian *g = firstThatKnows();
  if (!g || g->Verdict == KeyVerdict::Unknown)
    return Reason::KeyUnknown;
  return g->Verdict == KeyVerdict::Answered ? Reason::KeyAnswered
                                            : Reason::KeyInProgress;
}

bool KeyClaims::mayStillBeGranted(const GuardianView &view,
                                  const EntrySettings &settings) const {
  if (firstThatKnows())
    return false;
  return view.Members.size() < settings.GuardianCount ||
         std::any_of(Guardians.begin(), Guardians.end(), isUnable);
}

std::vector<EntryVm> KeyClaims::askAgain() {
  std::vector<EntryVm> toAsk;
  for (Guardian &it : Guardians) {
    bool fresh = it.Now == State::Answered && it.Verdict == KeyVerdict::Fresh;
    if (!isUnable(it) && !fresh)
      continue;
    it.Now = State::Waiting;
    toAsk.push_back(it.Vm);
  }
  return toAsk;
}

std::vector<EntryVm> KeyClaims::claimed() const {
  std::vector<EntryVm> vms;
  for (const Guardian &it : Guardians)
    if (it.Sent)
      vms.push_back(it.Vm);
  return vms;
}

} // namespace balsamrack

#include "Balsamrack/Membership/OwnershipTracker.h"

#include <algorithm>
#include <utility>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

/// Said when no lease of another daemon can be running.
constexpr Duration QuietForEver{3'600'000'000};

} // namespace

const char *gainedHowName(GainedHow how) {
  switch (how) {
  case GainedHow::Founded:
    return "founded";
  case GainedHow::HandedOver:
    return "handed-over";
  case GainedHow::TakenOver:
    return "taken-over";
  }
  return "unknown";
}

absl::StatusOr<std::unique_ptr<OwnershipTracker>>
OwnershipTracker::create(const MembershipSettings &settings,
                         const EntryVm &self, Incarnation run, TimePoint now) {
  absl::Status checked = settings.check();
  if (!checked.ok())
    return checked;
  return std::unique_ptr<OwnershipTracker>(
      new OwnershipTracker(settings, self, run, now));
}

OwnershipTracker::OwnershipTracker(const MembershipSettings &settings,
                                   const EntryVm &self, Incarnation run,
                                   TimePoint now)
    : Settings(settings), Self(self), Run(run), StartedAt(now), Now(now),
      NextAsk(now) {
  Members[Self.Id].Record = {Self, Run, 0, MemberState::Alive};
  Map = OwnershipMap::create(Members);
  LiveHash = liveHash();
}

std::vector<OwnershipAction>
OwnershipTracker::step(TimePoint now, const OwnershipEvent &event) {
  Now = now;
  Actions.clear();
  std::visit([this](const auto &what) { on(what); }, event);
  reconcile();
  gainReady();
  ask();
  return std::exchange(Actions, {});
}

void OwnershipTracker::on(const MembersChanged &event) {
  Members.clear();
  for (const auto &[id, member] : event.Members)
    if (member.Record.Vm.Domain == Self.Domain)
      Members[id] = member;
  Map = OwnershipMap::create(Members);
  Unranked = true;
  uint64_t hash = liveHash();
  if (hash != LiveHash)
    restartQuestions();
  LiveHash = hash;
}

void OwnershipTracker::on(const ListedPeers &event) {
  Listed = std::set<VmId>(event.Vms.begin(), event.Vms.end());
}

void OwnershipTracker::on(const DomainServersChanged &event) {
  for (auto &[id, entry] : Servers)
    entry.Configured = false;
  for (const ServerId &id : event.Servers) {
    Servers[id].Configured = true;
    Servers[id].Known.Condition.Server = id;
  }
  Unranked = true;
}

void OwnershipTracker::on(const ConditionNoted &event) {
  auto it = Servers.find(event.Condition.Server);
  if (it == Servers.end())
    return;
  ServerCondition &known = it->second.Known.Condition;
  if (event.Condition.Version > known.Version)
    known = event.Condition;
}

void OwnershipTracker::on(const AuthorityExpired &) {
  restartQuestions();
  for (auto &[id, entry] : Servers)
    if (entry.In == Phase::Owned)
      stop(id, entry, {});
    else if (entry.In == Phase::Wanting)
      enter(id, entry, Phase::Other);
}

void OwnershipTracker::on(const OwnershipTicked &) {}

void OwnershipTracker::enter(const ServerId &id, Entry &entry, Phase phase) {
  entry.In = phase;
  Unsettled = true;
  if (phase == Phase::Wanting)
    WantedIds.insert(id);
  else
    WantedIds.erase(id);
}

void OwnershipTracker::rank() {
  for (auto &[id, entry] : Servers) {
    std::optional<EntryVm> owner = Map.ownerOf(id, Self.Domain);
    entry.Mine = owner && owner->Id == Self.Id;
  }
  Unranked = false;
  Unsettled = true;
}

void OwnershipTracker::on(const ServerStopped &event) {
  const ServerId &id = event.Server.Condition.Server;
  auto it = Servers.find(id);
  if (it == Servers.end() || it->second.In != Phase::Stopping)
    return;
  Entry &entry = it->second;
  enter(id, entry, Phase::Other);
  entry.Known = event.Server;
  entry.Known.Owned = true;
  Asker next = std::exchange(entry.Next, {});
  if (next.Vm.Id.empty())
    return;
  OwnershipHandOver release = message(next.Sequence);
  release.Servers.push_back(entry.Known);
  Actions.push_back(SendHandOver{next.Vm, std::move(release)});
}

void OwnershipTracker::stop(const ServerId &id, Entry &entry,
                            const Asker &next) {
  enter(id, entry, Phase::Stopping);
  entry.Next = next;
  Actions.push_back(Lose{id, next.Vm});
  explain(id, next.Vm.Id.empty() ? "authority-ended" : "handed-over",
          "gave up " + id.str(), next.Vm.Id);
}

void OwnershipTracker::on(const HandOverReceived &event) {
  const OwnershipHandOver &message = event.Message;
  // Updates of a daemon or of a run that is not known as live yet; it asks
  // again.
  const MemberView *sender = livePeer(message.From, message.Run);
  if (!sender)
    return;
  if (!message.Wanted.empty())
    onQuestion(sender->Record.Vm, message);
  else
    onAnswer(message);
}

void OwnershipTracker::onQuestion(const EntryVm &asker,
                                  const OwnershipHandOver &message) {
  // Guards against a release to one who holds another daemon for dead that we
  // hold for live (or the other way round): that one may be the owner.
  if (message.LiveHash != LiveHash)
    return;
  OwnershipHandOver answer = this->message(message.Sequence);
  for (const ServerId &server : message.Wanted)
    answerFor(asker, message, server, answer);
  if (!answer.Servers.empty() || !answer.Held.empty())
    Actions.push_back(SendHandOver{asker, std::move(answer)});
}

void OwnershipTracker::answerFor(const EntryVm &asker,
                                 const OwnershipHandOver &question,
                                 const ServerId &server,
                                 OwnershipHandOver &answer) {
  std::optional<EntryVm> owner = Map.ownerOf(server, Self.Domain);
  if (!owner || owner->Id != asker.Id)
    return;
  auto it = Servers.find(server);
  if (it == Servers.end()) {
    HandedServer unknown;
    unknown.Condition.Server = server;
    answer.Servers.push_back(unknown);
    return;
  }
  Entry &entry = it->second;
  if (entry.In == Phase::Stopping) {
    entry.Next = {asker, question.Sequence};
  } else if (entry.In == Phase::Owned && question.Last) {
    stop(server, entry, {asker, question.Sequence});
  } else if (entry.In == Phase::Owned) {
    answer.Held.push_back(server);
  } else {
    answer.Servers.push_back(entry.Known);
  }
}

void OwnershipTracker::onAnswer(const OwnershipHandOver &message) {
  // Guards against an answer to an earlier question that comes late: the peer
  // may have become the owner since.
  if (message.Sequence != Sequence || message.LiveHash != LiveHash)
    return;
  for (const ServerId &id : message.Held)
    if (Servers.count(id) && Servers[id].In == Phase::Wanting)
      Servers[id].Holding.insert(message.From);
  for (const HandedServer &handed : message.Servers) {
    auto it = Servers.find(handed.Condition.Server);
    if (it == Servers.end() || it->second.In != Phase::Wanting)
      continue;
    Entry &entry = it->second;
    bool first = entry.Released.insert(message.From).second;
    entry.Holding.erase(message.From);
    if (!first)
      continue;
    entry.LeasesEnd = std::max(entry.LeasesEnd, Now - message.QuietFor +
                                                    Settings.takeoverWait());
    entry.HandedOver = entry.HandedOver || handed.Owned;
    if (handed.Owned ||
        handed.Condition.Version > entry.Known.Condition.Version)
      entry.Known = handed;
  }
}

void OwnershipTracker::restartQuestions() {
  ++Sequence;
  Asked.clear();
  NextAsk = Now;
  for (const ServerId &id : std::set<ServerId>(WantedIds))
    want(id, Servers.at(id));
}

void OwnershipTracker::want(const ServerId &id, Entry &entry) {
  enter(id, entry, Phase::Wanting);
  entry.Released.clear();
  entry.Holding.clear();
  entry.HandedOver = false;
  entry.LeasesEnd = {};
}

void OwnershipTracker::reconcile() {
  if (Unranked)
    rank();
  if (!Unsettled)
    return;
  bool fresh = false;
  for (const auto &[id, entry] : Servers)
    fresh =
        fresh || (entry.Configured && entry.In == Phase::Other && entry.Mine);
  // A new sequence keeps answers for an earlier want of a server from counting.
  if (fresh)
    restartQuestions();
  for (auto it = Servers.begin(); it != Servers.end();) {
    reconcileOne(it->first, it->second);
    bool gone = !it->second.Configured && it->second.In == Phase::Other;
    it = gone ? Servers.erase(it) : std::next(it);
  }
  Unsettled = false;
}

void OwnershipTracker::reconcileOne(const ServerId &id, Entry &entry) {
  if (!entry.Configured) {
    if (entry.In == Phase::Owned)
      stop(id, entry, {});
    else if (entry.In == Phase::Wanting)
      enter(id, entry, Phase::Other);
    return;
  }
  // An owner that is not first any more goes on until it is asked last.
  if (entry.In == Phase::Other && entry.Mine)
    want(id, entry);
  else if (entry.In == Phase::Wanting && !entry.Mine)
    enter(id, entry, Phase::Other);
}

void OwnershipTracker::ask() {
  if (Now < NextAsk || WantedIds.empty())
    return;
  NextAsk = Now + Settings.AskPeriod;
  uint32_t left = Settings.AsksPerPeriod;
  std::vector<const MemberView *> order = peers();
  // Whoever was asked longest ago comes first.
  std::stable_sort(order.begin(), order.end(),
                   [this](const MemberView *a, const MemberView *b) {
                     return Asked[a->Record.Vm.Id] < Asked[b->Record.Vm.Id];
                   });
  for (const MemberView *peer : order)
    if (left > 0 && askPeer(*peer))
      --left;
}

bool OwnershipTracker::askPeer(const MemberView &peer) {
  const VmId &id = peer.Record.Vm.Id;
  OwnershipHandOver first = message(Sequence), last = message(Sequence);
  last.Last = true;
  for (const ServerId &server : WantedIds) {
    const Entry &entry = Servers.at(server);
    if (entry.Released.count(id))
      continue;
    // The owner is asked last once nothing else is waited for, so that the
    // server goes unserved for one round trip only.
    if (lackLastOnly(entry, id))
      last.Wanted.push_back(server);
    // A holder is asked again too: it may have lost the server meanwhile, and
    // with two such holders neither would ever be the last.
    else
      first.Wanted.push_back(server);
  }
  Asked[id] = Now;
  bool any = false;
  for (OwnershipHandOver *question : {&first, &last}) {
    if (question->Wanted.empty())
      continue;
    any = true;
    Actions.push_back(SendHandOver{peer.Record.Vm, *question});
  }
  return any;
}

bool OwnershipTracker::lackLastOnly(const Entry &entry,
                                    const VmId &peer) const {
  return entry.Holding.count(peer) && startSettled() &&
         Now >= std::max(entry.LeasesEnd, othersLeasesEnd()) &&
         entry.Released.size() + 1 == peers().size();
}

void OwnershipTracker::gainReady() {
  if (WantedIds.empty() || !startSettled())
    return;
  for (const ServerId &id : std::set<ServerId>(WantedIds)) {
    Entry &entry = Servers.at(id);
    if (allReleased(entry) &&
        Now >= std::max(entry.LeasesEnd, othersLeasesEnd()))
      gain(id, entry);
  }
}

bool OwnershipTracker::allReleased(const Entry &entry) const {
  for (const MemberView *peer : peers())
    if (entry.Released.count(peer->Record.Vm.Id) == 0)
      return false;
  return true;
}

void OwnershipTracker::gain(const ServerId &id, Entry &entry) {
  bool died = false;
  for (const auto &[vm, member] : Members)
    died = died || member.Record.State == MemberState::Dead ||
           member.PreviousRunRenewed != TimePoint{};
  GainedHow how = entry.HandedOver ? GainedHow::HandedOver
                  : died           ? GainedHow::TakenOver
                                   : GainedHow::Founded;
  enter(id, entry, Phase::Owned);
  uint32_t inProgress = entry.HandedOver ? entry.Known.InProgress : 0;
  Actions.push_back(Gain{id, how, Now, entry.Known.Condition, inProgress});
  explain(id, gainedHowName(how), "owns " + id.str(), Self.Id);
}

bool OwnershipTracker::startSettled() const {
  if (Now >= StartedAt + Settings.takeoverWait())
    return true;
  // Without any peer it can't be told whether there is none or none was found.
  if (Members.size() < 2)
    return false;
  return std::all_of(Listed.begin(), Listed.end(),
                     [this](const VmId &vm) { return Members.count(vm) != 0; });
}

std::vector<const MemberView *> OwnershipTracker::peers() const {
  std::vector<const MemberView *> list;
  for (const auto &[id, member] : Members)
    if (id != Self.Id && member.live())
      list.push_back(&member);
  return list;
}

const MemberView *OwnershipTracker::livePeer(const VmId &id,
                                             Incarnation run) const {
  auto it = Members.find(id);
  bool known = it != Members.end() && id != Self.Id && it->second.live() &&
               it->second.Record.Run == run;
  return known ? &it->second : nullptr;
}

uint64_t OwnershipTracker::liveHash() const {
  uint64_t hash = 0;
  for (const auto &[id, member] : Members)
    if (member.live())
      hash += combineHash(id.hash(), member.Record.Run.Value);
  return hash;
}

TimePoint OwnershipTracker::othersLeasesEnd() const {
  Duration quiet = quietFor();
  return quiet == QuietForEver ? TimePoint{}
                               : Now - quiet + Settings.takeoverWait();
}

Duration OwnershipTracker::quietFor() const {
  TimePoint latest;
  for (const auto &[id, member] : Members) {
    latest = std::max(latest, member.PreviousRunRenewed);
    if (member.Record.State == MemberState::Dead)
      latest = std::max({latest, member.LastRenewed, member.SilentSince});
  }
  return latest == TimePoint{} ? QuietForEver
                               : std::min(Now - latest, QuietForEver);
}

OwnershipHandOver OwnershipTracker::message(uint64_t sequence) const {
  OwnershipHandOver text;
  text.From = Self.Id;
  text.Run = Run;
  text.Sequence = sequence;
  text.LiveHash = LiveHash;
  text.QuietFor = quietFor();
  return text;
}

bool OwnershipTracker::owns(const ServerId &server) const {
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.In == Phase::Owned;
}

std::vector<ServerId> OwnershipTracker::owned() const {
  std::vector<ServerId> list;
  for (const auto &[id, entry] : Servers)
    if (entry.In == Phase::Owned)
      list.push_back(id);
  return list;
}

std::vector<ServerId> OwnershipTracker::wanted() const {
  return {WantedIds.begin(), WantedIds.end()};
}

std::optional<VmId> OwnershipTracker::holderOf(const ServerId &server) const {
  auto it = Servers.find(server);
  if (it == Servers.end() || it->second.In != Phase::Wanting ||
      it->second.Holding.empty())
    return std::nullopt;
  return *it->second.Holding.begin();
}

void OwnershipTracker::explain(const ServerId &server, const std::string &rule,
                               const std::string &result, const VmId &peer) {
  Decision decision;
  decision.At = Now;
  decision.Kind = DecisionKind::OwnershipMoved;
  decision.Rule = rule;
  decision.Result = result;
  decision.Server = server;
  decision.AtStep = stepName(Step::HandOver);
  decision.AtPeer = peer.str();
  decision.Inputs = {{"live-daemons", std::to_string(peers().size() + 1)}};
  Actions.push_back(Explain{std::move(decision)});
}

} // namespace balsamrack

#include "Balsamrack/Membership/OwnershipTracker.h"

#include <algorithm>
#include <utility>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

/// Reported when no dead daemon of the domain can still hold a lease.
constexpr Duration NoLeaseRunning{3'600'000'000};

} // namespace

const char *acquisitionKindName(AcquisitionKind how) {
  switch (how) {
  case AcquisitionKind::FirstOwner:
    return "founded";
  case AcquisitionKind::HandedOver:
    return "handed-over";
  case AcquisitionKind::TakenOver:
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
      NextRequestAt(now) {
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
  acquireReleased();
  sendDueRequests();
  return std::exchange(Actions, {});
}

void OwnershipTracker::on(const MembersChanged &event) {
  Members.clear();
  for (const auto &[id, member] : event.Members)
    if (member.Record.Vm.Domain == Self.Domain)
      Members[id] = member;
  Map = OwnershipMap::create(Members);
  RanksOutdated = true;
  uint64_t hash = liveHash();
  if (hash != LiveHash)
    restartRequests();
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
    Servers[id].LastKnown.Condition.Server = id;
  }
  RanksOutdated = true;
}

void OwnershipTracker::on(const PeerConditionReceived &event) {
  auto it = Servers.find(event.Condition.Server);
  if (it == Servers.end())
    return;
  ServerCondition &known = it->second.LastKnown.Condition;
  if (event.Condition.Version > known.Version)
    known = event.Condition;
}

void OwnershipTracker::on(const AuthorityExpired &) {
  restartRequests();
  for (auto &[id, entry] : Servers)
    if (entry.CurrentPhase == Phase::Owned)
      beginRelease(id, entry, {});
    else if (entry.CurrentPhase == Phase::Requesting)
      setPhase(id, entry, Phase::NotOwned);
}

void OwnershipTracker::on(const OwnershipTicked &) {}

void OwnershipTracker::setPhase(const ServerId &id, Entry &entry, Phase phase) {
  entry.CurrentPhase = phase;
  PhasesOutdated = true;
  if (phase == Phase::Requesting)
    WantedIds.insert(id);
  else
    WantedIds.erase(id);
}

void OwnershipTracker::updateRanks() {
  for (auto &[id, entry] : Servers) {
    std::optional<EntryVm> owner = Map.ownerOf(id, Self.Domain);
    entry.RankedFirst = owner && owner->Id == Self.Id;
  }
  RanksOutdated = false;
  PhasesOutdated = true;
}

void OwnershipTracker::on(const DispatchStopped &event) {
  const ServerId &id = event.Server.Condition.Server;
  auto it = Servers.find(id);
  if (it == Servers.end() || it->second.CurrentPhase != Phase::Releasing)
    return;
  Entry &entry = it->second;
  setPhase(id, entry, Phase::NotOwned);
  entry.LastKnown = event.Server;
  entry.LastKnown.Owned = true;
  PendingRelease next = std::exchange(entry.Release, {});
  if (next.Vm.Id.empty())
    return;
  OwnershipHandOver release = message(next.Sequence);
  release.Servers.push_back(entry.LastKnown);
  Actions.push_back(SendHandOver{next.Vm, std::move(release)});
}

void OwnershipTracker::beginRelease(const ServerId &id, Entry &entry,
                                    const PendingRelease &next) {
  setPhase(id, entry, Phase::Releasing);
  entry.Release = next;
  Actions.push_back(StopDispatching{id, next.Vm});
  explain(id, next.Vm.Id.empty() ? "authority-ended" : "handed-over",
          "gave up " + id.str(), next.Vm.Id);
}

void OwnershipTracker::on(const HandOverReceived &event) {
  const OwnershipHandOver &message = event.Message;
  // The sender or its incarnation is not known as live yet: ignore the message,
  // requests are repeated.
  const MemberView *sender = findLivePeer(message.From, message.Run);
  if (!sender)
    return;
  if (!message.Wanted.empty())
    onRequest(sender->Record.Vm, message);
  else
    onReply(message);
}

void OwnershipTracker::onRequest(const EntryVm &asker,
                                 const OwnershipHandOver &message) {
  // Never release a server to a requester with another view of the live
  // daemons: a daemon that only one side considers live may be the owner.
  if (message.LiveHash != LiveHash)
    return;
  OwnershipHandOver answer = this->message(message.Sequence);
  for (const ServerId &server : message.Wanted)
    addReplyFor(asker, message, server, answer);
  if (!answer.Servers.empty() || !answer.Held.empty())
    Actions.push_back(SendHandOver{asker, std::move(answer)});
}

void OwnershipTracker::addReplyFor(const EntryVm &asker,
                                   const OwnershipHandOver &question,
                                   const ServerId &server,
                                   OwnershipHandOver &answer) {
  std::optional<EntryVm> owner = Map.ownerOf(server, Self.Domain);
  if (!owner || owner->Id != asker.Id)
    return;
  auto it = Servers.find(server);
  if (it == Servers.end()) {
    HandedOverServer unknown;
    unknown.Condition.Server = server;
    answer.Servers.push_back(unknown);
    return;
  }
  Entry &entry = it->second;
  if (entry.CurrentPhase == Phase::Releasing) {
    entry.Release = {asker, question.Sequence};
  } else if (entry.CurrentPhase == Phase::Owned && question.AllOthersReleased) {
    beginRelease(server, entry, {asker, question.Sequence});
  } else if (entry.CurrentPhase == Phase::Owned) {
    answer.Held.push_back(server);
  } else {
    answer.Servers.push_back(entry.LastKnown);
  }
}

void OwnershipTracker::onReply(const OwnershipHandOver &message) {
  // Ignore late replies to earlier requests: the peer may have become the owner
  // since.
  if (message.Sequence != Sequence || message.LiveHash != LiveHash)
    return;
  for (const ServerId &id : message.Held)
    if (Servers.count(id) && Servers[id].CurrentPhase == Phase::Requesting)
      Servers[id].HeldBy.insert(message.From);
  for (const HandedOverServer &handed : message.Servers) {
    auto it = Servers.find(handed.Condition.Server);
    if (it == Servers.end() || it->second.CurrentPhase != Phase::Requesting)
      continue;
    Entry &entry = it->second;
    bool first = entry.ReleasedBy.insert(message.From).second;
    entry.HeldBy.erase(message.From);
    if (!first)
      continue;
    entry.OtherLeasesEnd =
        std::max(entry.OtherLeasesEnd,
                 Now - message.TimeSinceDeadLease + Settings.takeoverWait());
    entry.HandedOver = entry.HandedOver || handed.Owned;
    if (handed.Owned ||
        handed.Condition.Version > entry.LastKnown.Condition.Version)
      entry.LastKnown = handed;
  }
}

void OwnershipTracker::restartRequests() {
  ++Sequence;
  LastRequestAt.clear();
  NextRequestAt = Now;
  for (const ServerId &id : std::set<ServerId>(WantedIds))
    beginRequest(id, Servers.at(id));
}

void OwnershipTracker::beginRequest(const ServerId &id, Entry &entry) {
  setPhase(id, entry, Phase::Requesting);
  entry.ReleasedBy.clear();
  entry.HeldBy.clear();
  entry.HandedOver = false;
  entry.OtherLeasesEnd = {};
}

void OwnershipTracker::reconcile() {
  if (RanksOutdated)
    updateRanks();
  if (!PhasesOutdated)
    return;
  bool fresh = false;
  for (const auto &[id, entry] : Servers)
    fresh =
        fresh || (entry.Configured && entry.CurrentPhase == Phase::NotOwned &&
                  entry.RankedFirst);
  // A new sequence invalidates replies to earlier requests for the same server.
  if (fresh)
    restartRequests();
  for (auto it = Servers.begin(); it != Servers.end();) {
    reconcileServer(it->first, it->second);
    bool gone =
        !it->second.Configured && it->second.CurrentPhase == Phase::NotOwned;
    it = gone ? Servers.erase(it) : std::next(it);
  }
  PhasesOutdated = false;
}

void OwnershipTracker::reconcileServer(const ServerId &id, Entry &entry) {
  if (!entry.Configured) {
    if (entry.CurrentPhase == Phase::Owned)
      beginRelease(id, entry, {});
    else if (entry.CurrentPhase == Phase::Requesting)
      setPhase(id, entry, Phase::NotOwned);
    return;
  }
  // An owner that no longer ranks first keeps the server until all others have
  // released it to the new owner.
  if (entry.CurrentPhase == Phase::NotOwned && entry.RankedFirst)
    beginRequest(id, entry);
  else if (entry.CurrentPhase == Phase::Requesting && !entry.RankedFirst)
    setPhase(id, entry, Phase::NotOwned);
}

void OwnershipTracker::sendDueRequests() {
  if (Now < NextRequestAt || WantedIds.empty())
    return;
  NextRequestAt = Now + Settings.OwnershipRequestPeriod;
  uint32_t left = Settings.OwnershipRequestsPerPeriod;
  std::vector<const MemberView *> order = peers();
  // Start with the peers whose last request is the oldest.
  std::stable_sort(order.begin(), order.end(),
                   [this](const MemberView *a, const MemberView *b) {
                     return LastRequestAt[a->Record.Vm.Id] <
                            LastRequestAt[b->Record.Vm.Id];
                   });
  for (const MemberView *peer : order)
    if (left > 0 && sendRequestsTo(*peer))
      --left;
}

bool OwnershipTracker::sendRequestsTo(const MemberView &peer) {
  const VmId &id = peer.Record.Vm.Id;
  OwnershipHandOver first = message(Sequence), last = message(Sequence);
  last.AllOthersReleased = true;
  for (const ServerId &server : WantedIds) {
    const Entry &entry = Servers.at(server);
    if (entry.ReleasedBy.count(id))
      continue;
    // Ask the owner to release only once nothing else is missing, so that the
    // server is unserved for only one round trip.
    if (isOnlyHolderMissing(entry, id))
      last.Wanted.push_back(server);
    // Ask other holders again as well: they may have given up the server since.
    // With two stale holders, neither would ever be the only one missing.
    else
      first.Wanted.push_back(server);
  }
  LastRequestAt[id] = Now;
  bool any = false;
  for (OwnershipHandOver *question : {&first, &last}) {
    if (question->Wanted.empty())
      continue;
    any = true;
    Actions.push_back(SendHandOver{peer.Record.Vm, *question});
  }
  return any;
}

bool OwnershipTracker::isOnlyHolderMissing(const Entry &entry,
                                           const VmId &peer) const {
  return entry.HeldBy.count(peer) && isStartupComplete() &&
         Now >= std::max(entry.OtherLeasesEnd, othersLeasesEnd()) &&
         entry.ReleasedBy.size() + 1 == peers().size();
}

void OwnershipTracker::acquireReleased() {
  if (WantedIds.empty() || !isStartupComplete())
    return;
  for (const ServerId &id : std::set<ServerId>(WantedIds)) {
    Entry &entry = Servers.at(id);
    if (allReleased(entry) &&
        Now >= std::max(entry.OtherLeasesEnd, othersLeasesEnd()))
      acquire(id, entry);
  }
}

bool OwnershipTracker::allReleased(const Entry &entry) const {
  for (const MemberView *peer : peers())
    if (entry.ReleasedBy.count(peer->Record.Vm.Id) == 0)
      return false;
  return true;
}

void OwnershipTracker::acquire(const ServerId &id, Entry &entry) {
  bool died = false;
  for (const auto &[vm, member] : Members)
    died = died || member.Record.State == MemberState::Dead ||
           member.PreviousRunLeaseRenewal != TimePoint{};
  AcquisitionKind how = entry.HandedOver ? AcquisitionKind::HandedOver
                        : died           ? AcquisitionKind::TakenOver
                                         : AcquisitionKind::FirstOwner;
  setPhase(id, entry, Phase::Owned);
  uint32_t inProgress = entry.HandedOver ? entry.LastKnown.InProgress : 0;
  Actions.push_back(
      ServerAcquired{id, how, Now, entry.LastKnown.Condition, inProgress});
  explain(id, acquisitionKindName(how), "owns " + id.str(), Self.Id);
}

bool OwnershipTracker::isStartupComplete() const {
  if (Now >= StartedAt + Settings.takeoverWait())
    return true;
  // With no known peer, it is unclear whether none exists or none was found
  // yet.
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

const MemberView *OwnershipTracker::findLivePeer(const VmId &id,
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
  Duration quiet = timeSinceDeadLease();
  return quiet == NoLeaseRunning ? TimePoint{}
                                 : Now - quiet + Settings.takeoverWait();
}

Duration OwnershipTracker::timeSinceDeadLease() const {
  TimePoint latest;
  for (const auto &[id, member] : Members) {
    latest = std::max(latest, member.PreviousRunLeaseRenewal);
    if (member.Record.State == MemberState::Dead)
      latest = std::max({latest, member.LastLeaseRenewal, member.AliveUntil});
  }
  return latest == TimePoint{} ? NoLeaseRunning
                               : std::min(Now - latest, NoLeaseRunning);
}

OwnershipHandOver OwnershipTracker::message(uint64_t sequence) const {
  OwnershipHandOver handOver;
  handOver.From = Self.Id;
  handOver.Run = Run;
  handOver.Sequence = sequence;
  handOver.LiveHash = LiveHash;
  handOver.TimeSinceDeadLease = timeSinceDeadLease();
  return handOver;
}

bool OwnershipTracker::owns(const ServerId &server) const {
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.CurrentPhase == Phase::Owned;
}

std::vector<ServerId> OwnershipTracker::owned() const {
  std::vector<ServerId> list;
  for (const auto &[id, entry] : Servers)
    if (entry.CurrentPhase == Phase::Owned)
      list.push_back(id);
  return list;
}

std::vector<ServerId> OwnershipTracker::wanted() const {
  return {WantedIds.begin(), WantedIds.end()};
}

std::optional<VmId> OwnershipTracker::holderOf(const ServerId &server) const {
  auto it = Servers.find(server);
  if (it == Servers.end() || it->second.CurrentPhase != Phase::Requesting ||
      it->second.HeldBy.empty())
    return std::nullopt;
  return *it->second.HeldBy.begin();
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

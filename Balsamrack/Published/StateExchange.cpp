#include "Balsamrack/Published/StateExchange.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace balsamrack {

namespace {

/// Daemons of each other domain that hear of a change at once.
constexpr size_t ElsewhereFanout = 2;
/// Daemons of each other domain that hear of a proof at once: one that is lost
/// is made up for by the next.
constexpr size_t ProofElsewhereFanout = 1;
/// The wait before a takeover doubles so many times at most.
constexpr size_t MostDoublings = 6;
/// Peers that get a digest of a first listing.
constexpr size_t StartFanout = 2;
/// Peers asked for updates after a pause.
constexpr size_t WakeupFanout = 2;

} // namespace

StateExchange::StateExchange(const StateExchangeSettings &settings,
                             const EntryVm &self, RandomSource &random)
    : Settings(settings), Self(self), Random(random) {}

void StateExchange::setPeers(const std::vector<EntryVm> &peers) {
  Peers = peers;
  // By hash, so that no VM is special by its name; the same order everywhere.
  uint64_t own = Self.Id.hash();
  uint64_t ownDomain = Self.Domain.hash();
  Place = 0;
  std::set<uint64_t> before;
  for (const EntryVm &vm : Peers) {
    if (vm.Leaving)
      continue;
    if (vm.Domain == Self.Domain)
      Place += vm.Id.hash() < own ? 1 : 0;
    else if (vm.Domain.hash() < ownDomain)
      before.insert(vm.Domain.hash());
  }
  DomainPlace = before.size();
}

bool StateExchange::waitsForOther(PublishedSection section) const {
  // While the service is away one section finds out when it is back.
  return std::any_of(AllSections.begin(), AllSections.end(),
                     [&](PublishedSection other) {
                       return other != section && at(other).Away &&
                              (!at(section).Away || other < section);
                     });
}

bool StateExchange::wantsRead(TimePoint now, PublishedSection section) const {
  const SectionState &state = at(section);
  if (state.Reading || now < state.NextRead || waitsForOther(section))
    return false;
  if (Store.completeAs(section) == Revision{} || state.TakenOver ||
      state.ListNext)
    return true;
  if (reads() && !young(now))
    return true;
  int steps = (1 << std::min(Place, MostDoublings)) - 1;
  return now - state.ProvedAt >
         Settings.TakeoverAge + Settings.TakeoverStep * steps;
}

Duration StateExchange::periodOf(PublishedSection section) const {
  return section == PublishedSection::Servers ? Settings.ServersPeriod
                                              : Settings.OperatorsPeriod;
}

void StateExchange::readIfWanted(TimePoint now, PublishedSection section) {
  if (!wantsRead(now, section))
    return;
  SectionState &state = at(section);
  state.Reading = true;
  state.TakenOver = state.ProvedAt != TimePoint{} && !reads();
  Revision held = Store.completeAs(section);
  PublishedRead read;
  read.Section = section;
  bool list = state.ListNext || held == Revision{};
  if (!list) {
    read.After = held;
    read.Wait = Settings.Watch;
  }
  // A first listing may be old: the watch that follows, or a peer, brings it up
  // to date.
  read.MayBeOld = list && held == Revision{} && state.Failures == 0;
  Actions.emplace_back(StartRead{read});
}

std::vector<StateExchangeAction> StateExchange::tick(TimePoint now) {
  if (StartedAt == TimePoint{})
    StartedAt = now;
  for (PublishedSection section : AllSections)
    readIfWanted(now, section);
  if (now >= NextDigest) {
    NextDigest = now + Settings.DigestPeriod;
    sendDigestToOne(now);
  }
  return take();
}

std::vector<StateExchangeAction>
StateExchange::requestAfterPause(TimePoint now) {
  for (bool ownDomain : {true, false})
    send(pick(ownDomain, WakeupFanout), requestByRevision());
  for (PublishedSection section : AllSections)
    readIfWanted(now, section);
  return take();
}

std::vector<StateExchangeAction>
StateExchange::readEnded(TimePoint now, const PublishedRead &read,
                         absl::StatusOr<PublishedChanges> result) {
  SectionState &state = at(read.Section);
  state.Reading = false;
  if (!result.ok()) {
    failed(now, read, result.status());
    return take();
  }
  if (state.Failures > 0 || state.ProvedAt == TimePoint{})
    Actions.emplace_back(SourceChanged{read.Section, true, ""});
  state.Failures = 0;
  state.Away = false;
  state.ListNext = false;
  state.NextRead = nextReadAfter(now, read);
  if (!read.MayBeOld)
    setProved(read.Section, now, Self.Id.hash(), readerRank());
  Revision before = Store.completeAs(read.Section);
  std::vector<PublishedObject> changed = merge(*result, VmId());
  // What a daemon lists first is no update to those that run; whoever lacks it
  // asks. Told to all, it would cost each daemon of a fleet that starts two
  // dozen copies of everything.
  if (!changed.empty() && before != Revision{})
    broadcastToFleet(now,
                     read.After == Revision{}
                         ? changesOfListing(read.Section, std::move(changed))
                         : Store.changesAfter(read.Section, before));
  else if (!read.MayBeOld)
    broadcastProof(now);
  else if (!changed.empty())
    sendDigestToDomain(now, StartFanout);
  for (PublishedSection section : AllSections)
    readIfWanted(now, section);
  return take();
}

void StateExchange::setProved(PublishedSection section, TimePoint at,
                              uint64_t prover, uint32_t rank) {
  SectionState &state = this->at(section);
  if (at <= state.ProvedAt)
    return;
  state.ProvedAt = at;
  state.Prover = prover;
  state.ProverRank = rank;
}

bool StateExchange::yieldsTo(const SectionDigest &theirs) const {
  uint64_t own = Self.Id.hash();
  if (theirs.Prover == own || theirs.Age > Settings.TakeoverAge)
    return false;
  uint32_t rank = readerRank();
  return theirs.ProverRank != rank ? theirs.ProverRank < rank
                                   : theirs.Prover < own;
}

PublishedChanges
StateExchange::changesOfListing(PublishedSection section,
                                std::vector<PublishedObject> changed) const {
  // Guards against a publishing service that drops its history in a release:
  // each listing in place of a watch would go to the whole fleet as it is. A
  // list that begins where it ends completes nobody; the hash of all objects,
  // which comes with it, does.
  Revision as = Store.completeAs(section);
  return {section, as, as, std::move(changed)};
}

TimePoint StateExchange::nextReadAfter(TimePoint now,
                                       const PublishedRead &read) {
  if (!read.MayBeOld)
    return now + periodOf(read.Section);
  // Guards against a fleet that starts: each daemon that does not know the
  // others yet would take itself for the reader. The first that reads proves
  // the state of all.
  auto span = static_cast<uint64_t>(Settings.StartSpan.count());
  return now + Settings.StartWait +
         Duration(static_cast<int64_t>(Random.below(span)));
}

void StateExchange::failed(TimePoint now, const PublishedRead &read,
                           const absl::Status &status) {
  SectionState &state = at(read.Section);
  if (status.code() == absl::StatusCode::kOutOfRange) {
    // The service has dropped the history that we would need.
    state.ListNext = true;
    state.NextRead = now + Settings.OperatorsPeriod;
    return;
  }
  if (state.Failures == 0)
    Actions.emplace_back(
        SourceChanged{read.Section, false, std::string(status.message())});
  ++state.Failures;
  state.Away = status.code() == absl::StatusCode::kUnavailable;
  // The first daemon of a domain finds out for the others when the service is
  // back.
  bool first = Place == 0;
  Duration most = first ? Settings.MaxBackoff : Settings.MaxBackoffOfOthers;
  Duration wait = first ? Settings.MinBackoff : most / 2;
  for (uint32_t i = 1; i < state.Failures && wait < most; ++i)
    wait *= 2;
  wait = std::min(wait, most);
  // Jitter keeps daemons that lost the service together from coming back so.
  auto half = static_cast<uint64_t>(wait.count() / 2);
  state.NextRead =
      now + wait / 2 + Duration(static_cast<int64_t>(Random.below(half + 1)));
}

std::vector<PublishedObject>
StateExchange::merge(const PublishedChanges &changes, const VmId &from) {
  std::vector<PublishedObject> changed = Store.merge(changes);
  if (!changed.empty())
    Actions.emplace_back(StateChanged{changes.Section, changed, from});
  return changed;
}

std::vector<EntryVm> StateExchange::pick(bool ownDomain, size_t most) {
  std::vector<EntryVm> chosen;
  size_t seen = 0;
  for (const EntryVm &vm : Peers) {
    if ((vm.Domain == Self.Domain) != ownDomain)
      continue;
    ++seen;
    if (chosen.size() < most) {
      chosen.push_back(vm);
      continue;
    }
    // Reservoir: each of those seen is as likely to be among the chosen.
    uint64_t place = Random.below(seen);
    if (place < most)
      chosen[place] = vm;
  }
  return chosen;
}

std::vector<EntryVm> StateExchange::pickOfOtherDomains(size_t ofEach) {
  std::vector<EntryVm> others = pick(false, Peers.size());
  for (size_t i = others.size(); i > 1; --i)
    std::swap(others[i - 1], others[Random.below(i)]);
  std::map<DomainId, size_t> chosenOf;
  std::vector<EntryVm> chosen;
  for (const EntryVm &peer : others)
    if (chosenOf[peer.Domain]++ < ofEach)
      chosen.push_back(peer);
  return chosen;
}

void StateExchange::send(std::vector<EntryVm> to,
                         decltype(SendStateMessage::What) what) {
  if (!to.empty())
    Actions.emplace_back(SendStateMessage{std::move(to), std::move(what)});
}

bool StateExchange::isBroadcast(const PublishedChanges &changes) const {
  return changes.Section == PublishedSection::Operators ||
         changes.Objects.size() <= Settings.MostBroadcast ||
         Peers.size() <= Settings.WholeFleetFanout;
}

void StateExchange::advertise(TimePoint now) {
  sendDigestToDomain(now, Settings.PullFanout);
  send(pickOfOtherDomains(ElsewhereFanout),
       PublishedDigest{digests(now), true, false});
}

void StateExchange::broadcastToDomain(const PublishedUpdate &update) {
  send(pick(true, Settings.DomainFanout), update);
}

void StateExchange::broadcastToFleet(TimePoint now, PublishedChanges changes) {
  if (!isBroadcast(changes)) {
    advertise(now);
    return;
  }
  PublishedUpdate update;
  update.Changes.push_back(std::move(changes));
  update.Digests = digests(now);
  broadcastToDomain(update);
  bool all = Peers.size() <= Settings.WholeFleetFanout;
  send(all ? pick(false, Peers.size()) : pickOfOtherDomains(ElsewhereFanout),
       std::move(update));
}

void StateExchange::sendDigest(TimePoint now, const EntryVm &peer,
                               bool answer) {
  send({peer}, PublishedDigest{digests(now), answer, false});
}

void StateExchange::sendDigestToOne(TimePoint now) {
  DomainTurn = !DomainTurn;
  std::vector<EntryVm> chosen = pick(DomainTurn, 1);
  if (chosen.empty())
    chosen = pick(!DomainTurn, 1);
  if (!chosen.empty())
    sendDigest(now, chosen.front(), false);
}

void StateExchange::sendDigestToDomain(TimePoint now, size_t most) {
  send(pick(true, most), PublishedDigest{digests(now), true, false});
}

void StateExchange::broadcastProof(TimePoint now) {
  sendDigestToDomain(now, Settings.DomainFanout);
  send(pickOfOtherDomains(ProofElsewhereFanout),
       PublishedDigest{digests(now), true, true});
}

TimePoint StateExchange::nextWakeup() const {
  // What only the age of a proof calls for is found out when a digest is due.
  TimePoint next = NextDigest;
  for (PublishedSection section : AllSections) {
    const SectionState &state = at(section);
    if (state.Reading || waitsForOther(section))
      continue;
    bool unknown = Store.completeAs(section) == Revision{};
    if (unknown || state.TakenOver || state.ListNext)
      next = std::min(next, state.NextRead);
    else if (reads())
      next = std::min(next,
                      std::max(state.NextRead, StartedAt + Settings.StartSpan));
  }
  return next;
}

} // namespace balsamrack

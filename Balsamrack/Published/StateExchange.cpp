#include "Balsamrack/Published/StateExchange.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace balsamrack {

namespace {

constexpr std::array<PublishedSection, PublishedSections> AllSections = {
    PublishedSection::Operators, PublishedSection::Servers};
/// A digest of this age or more proves nothing; keeps sums of ages in range.
constexpr Duration NeverProved{3'600'000'000};
/// Daemons of each other domain that hear of a change at once.
constexpr size_t ElsewhereFanout = 2;
/// Daemons of each other domain that hear of a proof at once: one that is lost
/// is made up for by the next.
constexpr size_t ProofElsewhereFanout = 1;
/// A proof that is newer than the last by less is not passed on.
constexpr Duration LeastNewer{500'000};
/// The wait before a takeover doubles so many times at most.
constexpr size_t MostDoublings = 6;
/// Peers that are offered a first listing.
constexpr size_t StartFanout = 2;
/// Peers asked for updates after a pause.
constexpr size_t WakeupFanout = 2;
/// Objects a bucket: more make answers longer, fewer make requests longer.
constexpr size_t ObjectsPerBucket = 4;

uint32_t bucketCountFor(size_t objects) {
  uint32_t count = 1;
  while (count < PublishedStore::MaxBuckets &&
         count * ObjectsPerBucket < objects)
    count *= 2;
  return count;
}

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

std::vector<SectionDigest> StateExchange::digests(TimePoint now) const {
  std::vector<SectionDigest> all;
  for (PublishedSection section : AllSections) {
    TimePoint proved = at(section).ProvedAt;
    Duration age = proved == TimePoint{} ? NeverProved
                                         : std::min(now - proved, NeverProved);
    SectionDigest digest;
    digest.As = Store.completeAs(section);
    digest.LastChange = Store.lastChange(section);
    digest.Present = Store.presentHash(section);
    digest.HistoryFrom = Store.historyFrom(section);
    digest.Objects = static_cast<uint32_t>(Store.objectCount(section));
    digest.Age = age;
    digest.Prover = at(section).Prover;
    digest.ProverRank = at(section).ProverRank;
    all.push_back(digest);
  }
  return all;
}

PublishedRequest StateExchange::requestByRevision() const {
  PublishedRequest request;
  for (PublishedSection section : AllSections)
    request.Sections.push_back({Store.completeAs(section), {}});
  return request;
}

PublishedRequest
StateExchange::requestFor(const std::vector<SectionDigest> &theirs) const {
  PublishedRequest request = requestByRevision();
  for (size_t i = 0; i < std::min(theirs.size(), AllSections.size()); ++i) {
    PublishedSection section = AllSections[i];
    SectionRequest &wanted = request.Sections[i];
    if (theirs[i].As <= wanted.After || wanted.After >= theirs[i].HistoryFrom)
      continue;
    size_t objects =
        std::max<size_t>(Store.objectCount(section), theirs[i].Objects);
    wanted.BucketHashes = Store.bucketHashes(section, bucketCountFor(objects));
  }
  return request;
}

void StateExchange::requestIfBehind(TimePoint now, const EntryVm &peer,
                                    const std::vector<SectionDigest> &theirs) {
  // Guards against a link that fills with answers: whoever lags is behind each
  // peer that it hears of while the first answer is under way.
  if (!isBehind(theirs) || now < NextRequest)
    return;
  NextRequest = now + Settings.RequestTimeout;
  AskedPeer = peer.Id;
  send({peer}, requestFor(theirs));
}

bool StateExchange::mergeDigests(TimePoint now,
                                 const std::vector<SectionDigest> &digests) {
  bool newer = false;
  for (size_t i = 0; i < std::min(digests.size(), AllSections.size()); ++i) {
    const SectionDigest &theirs = digests[i];
    PublishedSection section = AllSections[i];
    if (theirs.As > Store.completeAs(section))
      Store.completeUpTo(section, theirs.LastChange, theirs.As, theirs.Present);
    // What they had proved to be the newest is no newer than what is held.
    bool held =
        theirs.As != Revision{} && theirs.As <= Store.completeAs(section);
    if (!held || theirs.Age >= NeverProved)
      continue;
    SectionState &state = at(section);
    TimePoint proved = now - theirs.Age;
    if (yieldsTo(theirs))
      state.TakenOver = false;
    newer = newer || proved > state.ProvedAt + LeastNewer;
    setProved(section, proved, theirs.Prover, theirs.ProverRank);
  }
  return newer;
}

bool StateExchange::isBehind(const std::vector<SectionDigest> &theirs) const {
  for (size_t i = 0; i < std::min(theirs.size(), AllSections.size()); ++i)
    if (theirs[i].As > Store.completeAs(AllSections[i]))
      return true;
  return false;
}

std::vector<StateExchangeAction>
StateExchange::handleDigest(TimePoint now, const EntryVm &from,
                            const PublishedDigest &offer) {
  if (mergeDigests(now, offer.Digests) && offer.Relay)
    sendDigestToDomain(now, Settings.DomainFanout);
  requestIfBehind(now, from, offer.Digests);
  bool theyLack = false;
  for (size_t i = 0; i < std::min(offer.Digests.size(), AllSections.size());
       ++i)
    theyLack =
        theyLack || offer.Digests[i].As < Store.completeAs(AllSections[i]);
  if (theyLack && !offer.Answer)
    sendDigest(now, from, true);
  return take();
}

std::vector<StateExchangeAction>
StateExchange::handleRequest(TimePoint now, const EntryVm &from,
                             const PublishedRequest &request) {
  PublishedUpdate answer;
  size_t n = std::min(request.Sections.size(), AllSections.size());
  for (size_t i = 0; i < n; ++i)
    answerSection(request.Sections[i], AllSections[i], answer);
  answer.Digests = digests(now);
  answer.Relayed = true;
  send({from}, std::move(answer));
  return take();
}

void StateExchange::answerSection(const SectionRequest &request,
                                  PublishedSection section,
                                  PublishedUpdate &answer) {
  if (Store.completeAs(section) <= request.After)
    return;
  if (request.After >= Store.historyFrom(section)) {
    answer.Changes.push_back(Store.changesAfter(section, request.After));
    return;
  }
  // Without hashes the digest that goes with the answer has to do: the peer
  // learns from it that it needs to send them.
  size_t count = request.BucketHashes.size();
  if (!PublishedStore::validBucketCount(count))
    return;
  // From a random bucket on, so that daemons that start together learn of
  // different servers first.
  auto first = static_cast<uint32_t>(Random.below(count));
  answer.Changes.push_back(Store.differencesFrom(
      section, request.BucketHashes, first, Settings.ObjectsPerAnswer));
}

std::vector<StateExchangeAction>
StateExchange::handleUpdate(TimePoint now, const EntryVm &from,
                            const PublishedUpdate &update) {
  bool changed = false;
  for (const PublishedChanges &changes : update.Changes)
    changed = !merge(changes, from.Id).empty() || changed;
  mergeDigests(now, update.Digests);
  // An answer that brought nothing would bring nothing again.
  if (from.Id == AskedPeer && (changed || !isBehind(update.Digests))) {
    NextRequest = now;
    AskedPeer = VmId();
    if (changed && !isBehind(update.Digests))
      sendDigestToDomain(now, Settings.PullFanout);
  }
  requestIfBehind(now, from, update.Digests);
  if (changed && !update.Relayed && from.Domain != Self.Domain) {
    PublishedUpdate relay = update;
    relay.Relayed = true;
    relay.Digests = digests(now);
    broadcastToDomain(relay);
  }
  return take();
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
  // What only the age of a proof calls for is found out when an offer is due.
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

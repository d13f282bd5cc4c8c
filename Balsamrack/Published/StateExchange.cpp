#include "Balsamrack/Published/StateExchange.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace balsamrack {

namespace {

/// Daemons of each other domain that a change is sent to at once.
constexpr size_t OtherDomainFanout = 2;
/// Daemons of each other domain that get the digest of a new verification; a
/// lost one is replaced by the next.
constexpr size_t OtherDomainDigestFanout = 1;
/// Maximum number of doublings of the wait before a takeover.
constexpr size_t MaxTakeoverDoublings = 6;
/// Peers that get a digest after a first listing.
constexpr size_t FirstListingFanout = 2;
/// Peers per group (own domain, other domains) that get a request after a
/// pause.
constexpr size_t PauseRequestFanout = 2;

/// Returns whether the same watch would fail again, now that it has failed with
/// \p status: the service has dropped the history that it needs, or has
/// answered with something that is too large or invalid. A listing needs no
/// history and has pages.
bool isListingNeededAfter(const absl::Status &status) {
  return status.code() == absl::StatusCode::kOutOfRange ||
         status.code() == absl::StatusCode::kResourceExhausted ||
         status.code() == absl::StatusCode::kInvalidArgument;
}

} // namespace

StateExchange::StateExchange(const StateExchangeSettings &settings,
                             const EntryVm &self, RandomSource &random)
    : Settings(settings), Self(self), Random(random) {}

void StateExchange::setPeers(const std::vector<EntryVm> &peers) {
  Peers = peers;
  // Order by hash, so that the rank does not follow from the VM's name; all
  // daemons compute the same order.
  uint64_t own = Self.Id.hash();
  uint64_t ownDomain = Self.Domain.hash();
  RankInDomain = 0;
  std::set<uint64_t> before;
  for (const EntryVm &vm : Peers) {
    if (vm.Leaving)
      continue;
    if (vm.Domain == Self.Domain)
      RankInDomain += vm.Id.hash() < own ? 1 : 0;
    else if (vm.Domain.hash() < ownDomain)
      before.insert(vm.Domain.hash());
  }
  RankOfDomain = before.size();
}

bool StateExchange::shouldRead(TimePoint now, PublishedSection section) const {
  const SectionState &state = at(section);
  if (state.Reading || now < state.NextRead)
    return false;
  if (Store.completeRevision(section) == Revision{} || state.TakenOver ||
      state.ListingRequired)
    return true;
  if (isRegularReader() && !isStarting(now))
    return true;
  int steps = (1 << std::min(RankInDomain, MaxTakeoverDoublings)) - 1;
  return now - state.VerifiedAt >
         Settings.TakeoverAge + Settings.TakeoverStep * steps;
}

bool StateExchange::isUsable() const {
  const SectionState &servers = at(PublishedSection::Servers);
  return Store.completeRevision(PublishedSection::Operators) != Revision{} &&
         (Store.isComplete() || servers.UsesShares);
}

bool StateExchange::isWaitingForCopy(PublishedSection section) const {
  const SectionState &state = at(section);
  return state.UsesShares && state.SharesDone &&
         Store.completeRevision(section) == Revision{};
}

uint32_t StateExchange::nextShare(const SectionState &state) const {
  return static_cast<uint32_t>((Self.Domain.hash() + state.SharesRead) %
                               PublishedRead::ShareCount);
}

Duration StateExchange::drawDoublingWait(Duration most) {
  // Of n daemons, the first one waits about log2(n) times ListDoubling less
  // than most, and the number of those whose wait has ended doubles from then
  // on.
  double doublings = std::log2(Random.nextDouble());
  auto step = static_cast<double>(Settings.ListDoubling.count());
  double wait = static_cast<double>(most.count()) + step * doublings;
  return Duration(static_cast<int64_t>(std::max(0.0, wait)));
}

bool StateExchange::postponeFirstWatch(TimePoint now, SectionState &state) {
  // After a start of the whole fleet no peer has verified the listings yet. If
  // all daemons did so after the same random wait, the number of calls would
  // grow with the fleet.
  bool isFirst = state.VerifiedAt == TimePoint{} && !state.FirstWatchPostponed;
  if (!isFirst || Peers.size() <= Settings.FullBroadcastFleetSize)
    return false;
  state.FirstWatchPostponed = true;
  state.NextRead = now + drawDoublingWait(Settings.StartSpan);
  return true;
}

void StateExchange::onShareRead(TimePoint now, SectionState &state,
                                size_t objects) {
  ++state.SharesRead;
  state.ObjectsOfShares += objects;
  // Small sections, and those whose names do not permit shares, are listed as a
  // whole at once.
  if (state.SharesRead == 1 && objects < Settings.MinShareObjects) {
    state.SharesDone = true;
    return;
  }
  state.UsesShares = true;
  state.SharesDone = state.ObjectsOfShares >= Settings.StartObjects ||
                     state.SharesRead == PublishedRead::ShareCount;
  // When a whole fleet starts, listing the section in each daemon would take
  // seconds of the publishing service's link.
  if (state.SharesDone && !state.IsCopying)
    state.NextRead = now + drawDoublingWait(Settings.MaxListWait);
}

Duration StateExchange::readPeriodOf(PublishedSection section) const {
  return section == PublishedSection::Servers ? Settings.ServersPeriod
                                              : Settings.OperatorsPeriod;
}

void StateExchange::startReadIfDue(TimePoint now, PublishedSection section) {
  if (!shouldRead(now, section))
    return;
  SectionState &state = at(section);
  Revision held = Store.completeRevision(section);
  bool list = state.ListingRequired || held == Revision{};
  if (!list && postponeFirstWatch(now, state))
    return;
  state.Reading = true;
  state.ReadStartedAt = now;
  state.TakenOver = state.VerifiedAt != TimePoint{} && !isRegularReader();
  PublishedRead read;
  read.Section = section;
  if (!list) {
    read.After = held;
    // After a failure, the answer has to show at once that the service is back.
    read.Wait = state.Failures == 0 ? Settings.WatchTimeout : Duration{0};
  } else if (held == Revision{} && section == PublishedSection::Servers &&
             !state.SharesDone) {
    read.Share = nextShare(state);
  } else if (isWaitingForCopy(section)) {
    announceListing(now);
  }
  // A first listing may be stale: the watch that follows, or a peer, completes
  // it.
  read.AllowStale = list && held == Revision{} && state.Failures == 0;
  Actions.emplace_back(StartRead{read});
}

std::vector<StateExchangeAction> StateExchange::tick(TimePoint now) {
  if (StartedAt == TimePoint{})
    StartedAt = now;
  for (PublishedSection section : AllSections)
    startReadIfDue(now, section);
  if (now >= NextDigest) {
    NextDigest = now + Settings.DigestPeriod;
    sendDigestToRandomPeer(now);
  }
  return takeActions();
}

std::vector<StateExchangeAction>
StateExchange::requestAfterPause(TimePoint now) {
  for (bool ownDomain : {true, false})
    send(pickPeers(ownDomain, PauseRequestFanout), requestByRevision());
  for (PublishedSection section : AllSections)
    startReadIfDue(now, section);
  return takeActions();
}

std::vector<StateExchangeAction>
StateExchange::handleReadResult(TimePoint now, const PublishedRead &read,
                                absl::StatusOr<PublishedChanges> result) {
  SectionState &state = at(read.Section);
  state.Reading = false;
  if (!result.ok()) {
    onReadFailed(now, read, result.status());
    return takeActions();
  }
  bool isFirst = state.VerifiedAt == TimePoint{} && state.SharesRead == 0;
  if (state.Failures > 0 || isFirst)
    Actions.emplace_back(SourceChanged{read.Section, true, ""});
  if (state.Failures > 0)
    retryFailedReads(now);
  state.Failures = 0;
  state.ListingRequired = false;
  if (read.Share) {
    onShareRead(now, state, result->Objects.size());
    merge(*result, VmId());
    startReadIfDue(now, read.Section);
    return takeActions();
  }
  state.NextRead = nextReadTime(now, read);
  // The last page of a listing says nothing about changes in the first one.
  bool isListing = read.After == Revision{};
  if (!read.AllowStale)
    setVerified(read.Section, isListing ? state.ReadStartedAt : now,
                Self.Id.hash(), readerRank());
  Revision before = Store.completeRevision(read.Section);
  std::vector<PublishedObject> changed = merge(*result, VmId());
  // A first listing is no update for running daemons; those that miss it
  // request it. If it were broadcast, each daemon of a starting fleet would
  // receive two dozen copies of everything.
  if (!changed.empty() && before != Revision{})
    broadcastToFleet(now,
                     read.After == Revision{}
                         ? changesOfListing(read.Section, std::move(changed))
                         : Store.changesAfter(read.Section, before));
  else if (!read.AllowStale)
    broadcastVerification(now);
  else if (state.UsesShares)
    advertise(now);
  else if (!changed.empty())
    sendDigestToDomain(now, FirstListingFanout);
  for (PublishedSection section : AllSections)
    startReadIfDue(now, section);
  return takeActions();
}

void StateExchange::setVerified(PublishedSection section, TimePoint at,
                                uint64_t prover, uint32_t rank) {
  SectionState &state = this->at(section);
  if (at <= state.VerifiedAt)
    return;
  state.VerifiedAt = at;
  state.VerifiedBy = prover;
  state.VerifierRank = rank;
}

bool StateExchange::yieldsTo(const SectionDigest &theirs) const {
  uint64_t own = Self.Id.hash();
  if (theirs.VerifiedBy == own || theirs.Age > Settings.TakeoverAge)
    return false;
  uint32_t rank = readerRank();
  return theirs.VerifierRank != rank ? theirs.VerifierRank < rank
                                     : theirs.VerifiedBy < own;
}

PublishedChanges
StateExchange::changesOfListing(PublishedSection section,
                                std::vector<PublishedObject> changed) const {
  // If the publishing service drops its history during a rollout, listings
  // replace watches. Send only the changed objects, not the whole listing, to
  // the fleet. Since After equals UpTo, this list completes no receiver that is
  // behind; the hash of all objects in the digest does.
  Revision as = Store.completeRevision(section);
  return {section, as, as, std::move(changed)};
}

TimePoint StateExchange::nextReadTime(TimePoint now,
                                      const PublishedRead &read) {
  if (!read.AllowStale)
    return now + readPeriodOf(read.Section);
  // When a whole fleet starts, each daemon that does not know its peers yet
  // would act as a reader. After the random wait, the first one that reads
  // verifies the state of all others.
  auto span = static_cast<uint64_t>(Settings.StartSpan.count());
  return now + Settings.StartWait +
         Duration(static_cast<int64_t>(Random.below(span)));
}

bool StateExchange::isFirstFailed(PublishedSection section) const {
  return std::none_of(AllSections.begin(), AllSections.end(),
                      [&](PublishedSection other) {
                        return other < section && at(other).Failures > 0;
                      });
}

void StateExchange::retryFailedReads(TimePoint now) {
  for (SectionState &state : Sections)
    if (state.Failures > 0)
      state.NextRead = std::min(state.NextRead, now);
}

void StateExchange::onReadFailed(TimePoint now, const PublishedRead &read,
                                 const absl::Status &status) {
  SectionState &state = at(read.Section);
  bool isWatch = read.After != Revision{};
  if (isWatch && isListingNeededAfter(status)) {
    state.ListingRequired = true;
    state.NextRead = now + Settings.OperatorsPeriod;
    return;
  }
  if (state.Failures == 0)
    Actions.emplace_back(
        SourceChanged{read.Section, false, std::string(status.message())});
  ++state.Failures;
  // The first-ranked daemon of a domain polls the service on behalf of the
  // others, and its first failed section on behalf of its others.
  bool first = RankInDomain == 0;
  Duration most = first ? Settings.MaxBackoff : Settings.MaxBackoffOfLaterRanks;
  Duration wait =
      first && isFirstFailed(read.Section) ? Settings.MinBackoff : most;
  for (uint32_t i = 1; i < state.Failures && wait < most; ++i)
    wait *= 2;
  wait = std::min(wait, most);
  // Jitter prevents daemons that lost the service at the same time from
  // retrying at the same time.
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

std::vector<EntryVm> StateExchange::pickPeers(bool ownDomain, size_t most) {
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
    // Reservoir sampling: all peers are equally likely to be chosen.
    uint64_t place = Random.below(seen);
    if (place < most)
      chosen[place] = vm;
  }
  return chosen;
}

std::vector<EntryVm> StateExchange::pickFromOtherDomains(size_t ofEach) {
  std::vector<EntryVm> others = pickPeers(false, Peers.size());
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
                         decltype(SendStateMessage::Message) what) {
  if (!to.empty())
    Actions.emplace_back(SendStateMessage{std::move(to), std::move(what)});
}

bool StateExchange::shouldBroadcast(const PublishedChanges &changes) const {
  return changes.Section == PublishedSection::Operators ||
         changes.Objects.size() <= Settings.MaxBroadcastObjects ||
         Peers.size() <= Settings.FullBroadcastFleetSize;
}

void StateExchange::advertise(TimePoint now) {
  sendDigestToDomain(now, Settings.AdvertiseFanout);
  send(pickFromOtherDomains(OtherDomainFanout),
       PublishedDigest{digests(now), true, false});
}

void StateExchange::broadcastToDomain(const PublishedUpdate &update) {
  send(pickPeers(true, Settings.DomainFanout), update);
}

void StateExchange::broadcastToFleet(TimePoint now, PublishedChanges changes) {
  if (!shouldBroadcast(changes)) {
    advertise(now);
    return;
  }
  PublishedUpdate update;
  update.Changes.push_back(std::move(changes));
  update.Digests = digests(now);
  broadcastToDomain(update);
  bool all = Peers.size() <= Settings.FullBroadcastFleetSize;
  send(all ? pickPeers(false, Peers.size())
           : pickFromOtherDomains(OtherDomainFanout),
       std::move(update));
}

void StateExchange::sendDigest(TimePoint now, const EntryVm &peer,
                               bool answer) {
  send({peer}, PublishedDigest{digests(now), answer, false});
}

void StateExchange::sendDigestToRandomPeer(TimePoint now) {
  OwnDomainNext = !OwnDomainNext;
  std::vector<EntryVm> chosen = pickPeers(OwnDomainNext, 1);
  if (chosen.empty())
    chosen = pickPeers(!OwnDomainNext, 1);
  if (chosen.empty())
    return;
  PublishedDigest digest{digests(now), false, false};
  if (LoadReporter)
    digest.Loads = LoadReporter(now);
  send(std::move(chosen), std::move(digest));
}

void StateExchange::sendDigestToDomain(TimePoint now, size_t most) {
  send(pickPeers(true, most), PublishedDigest{digests(now), true, false});
}

void StateExchange::announceListing(TimePoint now) {
  PublishedDigest digest{digests(now), true, false};
  digest.Listing = true;
  send(pickPeers(true, Settings.DomainFanout), digest);
}

void StateExchange::broadcastDigestToDomain(TimePoint now) {
  PublishedDigest digest{digests(now), true, false};
  digest.Broadcast = Peers.size() > Settings.FullBroadcastFleetSize;
  send(pickPeers(true, Settings.DomainFanout), digest);
}

void StateExchange::broadcastVerification(TimePoint now) {
  broadcastDigestToDomain(now);
  send(pickFromOtherDomains(OtherDomainDigestFanout),
       PublishedDigest{digests(now), true, true});
}

TimePoint StateExchange::nextWakeup() const {
  // Takeovers after the maximum age of a verification are checked when a digest
  // is due.
  TimePoint next = NextDigest;
  for (PublishedSection section : AllSections) {
    const SectionState &state = at(section);
    if (state.Reading)
      continue;
    bool unknown = Store.completeRevision(section) == Revision{};
    if (unknown || state.TakenOver || state.ListingRequired)
      next = std::min(next, state.NextRead);
    else if (isRegularReader())
      next = std::min(next,
                      std::max(state.NextRead, StartedAt + Settings.StartSpan));
  }
  return next;
}

} // namespace balsamrack

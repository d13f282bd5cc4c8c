#include <algorithm>
#include <utility>

#include "Balsamrack/Published/StateExchange.h"

// Part of StateExchange: compares digests with peers and copies missing
// objects.

namespace balsamrack {

namespace {

/// Age of a section that was never verified. Also caps reported ages, so that
/// sums of ages stay in range.
constexpr Duration MaxVerificationAge{3'600'000'000};
/// A verification is relayed only if it is newer than the last one by more than
/// this.
constexpr Duration MinRelayInterval{500'000};
/// Target number of objects per bucket: more lengthen answers, fewer lengthen
/// requests.
constexpr size_t ObjectsPerBucket = 4;

uint32_t bucketCountFor(size_t objects) {
  uint32_t count = 1;
  while (count < PublishedStore::MaxBuckets &&
         count * ObjectsPerBucket < objects)
    count *= 2;
  return count;
}

} // namespace

std::vector<SectionDigest> StateExchange::digests(TimePoint now) const {
  std::vector<SectionDigest> all;
  for (PublishedSection section : AllSections) {
    TimePoint proved = at(section).VerifiedAt;
    Duration age = proved == TimePoint{}
                       ? MaxVerificationAge
                       : std::min(now - proved, MaxVerificationAge);
    SectionDigest digest;
    digest.CompleteUpTo = Store.completeRevision(section);
    digest.LastChange = Store.lastChange(section);
    digest.PresentHash = Store.presentHash(section);
    digest.HistoryFrom = Store.historyFrom(section);
    digest.ObjectCount = static_cast<uint32_t>(Store.objectCount(section));
    digest.Age = age;
    digest.VerifiedBy = at(section).VerifiedBy;
    digest.VerifierRank = at(section).VerifierRank;
    all.push_back(digest);
  }
  return all;
}

PublishedRequest StateExchange::requestByRevision() const {
  PublishedRequest request;
  for (PublishedSection section : AllSections)
    request.Sections.push_back({Store.completeRevision(section), {}});
  return request;
}

PublishedRequest
StateExchange::requestFor(const std::vector<SectionDigest> &theirs) const {
  PublishedRequest request = requestByRevision();
  for (size_t i = 0; i < std::min(theirs.size(), AllSections.size()); ++i) {
    PublishedSection section = AllSections[i];
    SectionRequest &wanted = request.Sections[i];
    if (theirs[i].CompleteUpTo <= wanted.After ||
        wanted.After >= theirs[i].HistoryFrom)
      continue;
    size_t objects =
        std::max<size_t>(Store.objectCount(section), theirs[i].ObjectCount);
    wanted.BucketHashes = Store.bucketHashes(section, bucketCountFor(objects));
  }
  return request;
}

bool StateExchange::mayCopyServersFrom(const EntryVm &peer) const {
  // Copies of a large section stay within the domain, unless none of its
  // daemons may be able to list it.
  return !isWaitingForCopy(PublishedSection::Servers) ||
         peer.Domain == Self.Domain || !hasDomainPeers() ||
         at(PublishedSection::Servers).Failures > 0;
}

void StateExchange::requestIfBehind(TimePoint now, const EntryVm &peer,
                                    std::vector<SectionDigest> theirs) {
  constexpr auto Servers = static_cast<size_t>(PublishedSection::Servers);
  bool withServers = mayCopyServersFrom(peer);
  if (!withServers && theirs.size() > Servers)
    theirs.resize(Servers);
  // Only one request is outstanding at a time. A daemon that lags is behind
  // every peer whose digest arrives before the first answer, and the answers to
  // all of them would fill its link.
  if (!isBehind(theirs) || now < NextRequest)
    return;
  NextRequest = now + Settings.RequestTimeout;
  AskedPeer = peer.Id;
  startCopying(now, theirs);
  PublishedRequest request = requestFor(theirs);
  if (!withServers)
    request.Sections.resize(Servers);
  send({peer}, std::move(request));
}

void StateExchange::startCopying(TimePoint now,
                                 const std::vector<SectionDigest> &theirs) {
  constexpr auto Servers = static_cast<size_t>(PublishedSection::Servers);
  SectionState &state = Sections[Servers];
  bool isWhole =
      theirs.size() > Servers && theirs[Servers].CompleteUpTo != Revision{};
  if (!isWhole || state.IsCopying ||
      !isWaitingForCopy(PublishedSection::Servers))
    return;
  state.IsCopying = true;
  state.NextRead = now + Settings.CopyTimeout;
}

void StateExchange::waitForListing(TimePoint now) {
  SectionState &state = at(PublishedSection::Servers);
  if (!isWaitingForCopy(PublishedSection::Servers) || state.IsCopying ||
      now < state.PeerListsUntil)
    return;
  state.PeerListsUntil = now + Settings.ListTimeout;
  state.NextRead += Settings.ListTimeout;
}

bool StateExchange::hasDomainPeers() const {
  return std::any_of(Peers.begin(), Peers.end(), [this](const EntryVm &it) {
    return it.Domain == Self.Domain;
  });
}

bool StateExchange::mergeDigests(TimePoint now,
                                 const std::vector<SectionDigest> &digests) {
  bool newer = false;
  for (size_t i = 0; i < std::min(digests.size(), AllSections.size()); ++i) {
    const SectionDigest &theirs = digests[i];
    PublishedSection section = AllSections[i];
    if (theirs.CompleteUpTo > Store.completeRevision(section))
      Store.extendCompleteness(section, theirs.LastChange, theirs.CompleteUpTo,
                               theirs.PresentHash);
    // The state that the peer verified as newest is already held here.
    bool held = theirs.CompleteUpTo != Revision{} &&
                theirs.CompleteUpTo <= Store.completeRevision(section);
    // A negative age would make the state appear verified in the future.
    bool isValidAge =
        theirs.Age >= Duration{0} && theirs.Age < MaxVerificationAge;
    if (!held || !isValidAge)
      continue;
    SectionState &state = at(section);
    TimePoint proved = now - theirs.Age;
    if (yieldsTo(theirs))
      state.TakenOver = false;
    newer = newer || proved > state.VerifiedAt + MinRelayInterval;
    setVerified(section, proved, theirs.VerifiedBy, theirs.VerifierRank);
  }
  return newer;
}

bool StateExchange::isBehind(const std::vector<SectionDigest> &theirs) const {
  for (size_t i = 0; i < std::min(theirs.size(), AllSections.size()); ++i)
    if (theirs[i].CompleteUpTo > Store.completeRevision(AllSections[i]))
      return true;
  return false;
}

std::vector<StateExchangeAction>
StateExchange::handleDigest(TimePoint now, const EntryVm &from,
                            const PublishedDigest &digest) {
  if (!digest.Loads.Reports.empty() || digest.Loads.Invalid)
    Actions.emplace_back(LoadReportsReceived{digest.Loads});
  if (mergeDigests(now, digest.Digests) && digest.Relay)
    broadcastDigestToDomain(now);
  if (digest.Listing)
    waitForListing(now);
  // A daemon that reads in place of the regular readers stops doing so only
  // once it holds what they have verified.
  if (!digest.Broadcast || hasTakenOver())
    requestIfBehind(now, from, digest.Digests);
  bool theyLack = false;
  size_t n = std::min(digest.Digests.size(), AllSections.size());
  for (size_t i = 0; i < n; ++i)
    theyLack = theyLack || digest.Digests[i].CompleteUpTo <
                               Store.completeRevision(AllSections[i]);
  if (theyLack && !digest.Answer)
    sendDigest(now, from, true);
  return takeActions();
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
  return takeActions();
}

void StateExchange::answerSection(const SectionRequest &request,
                                  PublishedSection section,
                                  PublishedUpdate &answer) {
  if (Store.completeRevision(section) <= request.After)
    return;
  if (request.After >= Store.historyFrom(section)) {
    answer.Changes.push_back(Store.changesAfter(section, request.After));
    return;
  }
  // Without valid bucket hashes, send only the digest with the answer; it tells
  // the peer to request by buckets.
  size_t count = request.BucketHashes.size();
  if (!PublishedStore::isValidBucketCount(count))
    return;
  // Start at a random bucket, so that daemons that start together receive
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
  if (changed && isWaitingForCopy(PublishedSection::Servers)) {
    SectionState &state = at(PublishedSection::Servers);
    state.NextRead = std::max(state.NextRead, now + Settings.CopyTimeout);
  }
  // Do not repeat a request whose answer changed nothing.
  if (from.Id == AskedPeer && (changed || !isBehind(update.Digests))) {
    NextRequest = now;
    AskedPeer = VmId();
    if (changed && !isBehind(update.Digests))
      sendDigestToDomain(now, Settings.AdvertiseFanout);
  }
  requestIfBehind(now, from, update.Digests);
  if (changed && !update.Relayed && from.Domain != Self.Domain) {
    PublishedUpdate relay = update;
    relay.Relayed = true;
    relay.Digests = digests(now);
    broadcastToDomain(relay);
  }
  return takeActions();
}

} // namespace balsamrack

#ifndef BALSAMRACK_PUBLISHED_STATEEXCHANGE_H
#define BALSAMRACK_PUBLISHED_STATEEXCHANGE_H

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Published/PublishedMessages.h"
#include "Balsamrack/Published/PublishedSource.h"
#include "Balsamrack/Published/PublishedStore.h"

namespace balsamrack {

/// Periods and limits of the state exchange.
struct StateExchangeSettings {
  /// How long a watch waits at the publishing service. Its answer shows that
  /// the reader can still reach the service.
  Duration WatchTimeout{2'000'000};
  /// Number of failure domains whose first-ranked daemon is a regular reader.
  /// Two, so that the failure or partition of one reader causes no delay.
  size_t RegularReaders = 2;
  /// Age of the last verification from which other daemons read as well. Long
  /// enough for a watch and the distribution of its result to all peers.
  Duration TakeoverAge{2'600'000};
  /// Additional wait of the second daemon of a domain; it grows exponentially
  /// with the rank, so that few daemons call an unavailable service.
  Duration TakeoverStep{200'000};
  /// A daemon that started less than this ago may not know its peers yet: after
  /// a first listing it reads only if no peer verifies its state in time.
  Duration StartSpan{2'000'000};
  /// Minimum wait for that verification; up to StartSpan is added at random.
  Duration StartWait{300'000};
  /// A daemon that starts lists shares of the servers' section until it has
  /// this many objects, and uses them until it has copied the others from
  /// peers. All daemons of a domain list the same shares, so that packets of a
  /// flow that moves to another daemon of the domain find their server there.
  size_t StartObjects = 128;
  /// A section with fewer objects in the first share is listed as a whole.
  size_t MinShareObjects = 8;
  /// Maximum wait for a peer of the own domain that has the whole section,
  /// before this daemon lists it. Other domains are not asked, so that copies
  /// do not cross domains.
  Duration MaxListWait{3'000'000};
  /// The number of daemons of a domain whose wait has ended doubles this often.
  /// The first one announces that it lists the section, and the others wait for
  /// it. So few list it, however many daemons there are.
  Duration ListDoubling{200'000};
  /// Additional wait for a daemon that announced that it lists the section.
  Duration ListTimeout{2'000'000};
  /// A daemon that copies the section lists it if no answer with objects
  /// arrives for this long.
  Duration CopyTimeout{1'000'000};
  Duration DigestPeriod{250'000}; ///< Period of digests to one random peer.
  /// Only one request is outstanding at a time; it counts as lost after this.
  Duration RequestTimeout{400'000};
  /// An answer by buckets ends once it holds at least this many objects. Such
  /// an answer occupies a link of 10 Mbit/s for about 20 ms, so that callers'
  /// packets are not held up.
  size_t ObjectsPerAnswer = 256;
  Duration MinBackoff{250'000}; ///< Wait before a read after the first failure.
  Duration MaxBackoff{2'000'000}; ///< Maximum wait after failures, for the
                                  ///< first-ranked daemon of a domain.
  /// As MaxBackoff, for the other daemons; a digest of the first-ranked one
  /// ends their wait.
  Duration MaxBackoffOfLaterRanks{8'000'000};
  /// Minimum time between reads of the operators' section.
  Duration OperatorsPeriod{20'000};
  /// Minimum time between reads of the servers' section. A rollout changes
  /// several servers per second, and without this limit each change would cost
  /// a call by every reader.
  Duration ServersPeriod{500'000};
  /// Maximum number of peers of the own domain that a change is sent to at
  /// once; others learn of it by digests.
  size_t DomainFanout = 64;
  /// Maximum number of changed servers that are broadcast. Larger changes are
  /// only advertised by a digest, and daemons copy them from each other;
  /// otherwise the reader's link would fill.
  size_t MaxBroadcastObjects = 32;
  size_t AdvertiseFanout =
      3; ///< Peers of the own domain that get an advertisement.
  /// Every change is sent to all daemons if the number of peers is at most
  /// this.
  size_t FullBroadcastFleetSize = 16;
};

/// Send the same message to some peers.
struct SendStateMessage {
  std::vector<EntryVm> To; ///< Receivers; at least one.
  std::variant<PublishedDigest, PublishedRequest, PublishedUpdate> Message;
};
/// Read the publishing service; pass the result to handleReadResult().
struct StartRead {
  PublishedRead Read; ///< The read to start.
};
/// Objects of a section changed.
struct StateChanged {
  PublishedSection Section = PublishedSection::Servers; ///< The section.
  std::vector<PublishedObject> Changed; ///< Changed objects in their new state.
  VmId From; ///< Peer that sent the change; empty if read by this daemon.
};
/// The service became readable or unreadable for this daemon.
struct SourceChanged {
  PublishedSection Section =
      PublishedSection::Servers; ///< Section of the read.
  bool Readable = false;         ///< True if the read succeeded.
  std::string Error;             ///< Failure of the read; empty on success.
};

/// A peer's digest carried load reports.
struct LoadReportsReceived {
  LoadReports Loads; ///< Not checked.
};

/// Actions that a StateExchange returns, to be carried out in order.
using StateExchangeAction =
    std::variant<SendStateMessage, StartRead, StateChanged, SourceChanged,
                 LoadReportsReceived>;

/// Decides which daemons read the publishing service, and distributes the
/// published state among daemons.
///
/// The first-ranked daemons of two failure domains are regular readers. They
/// send small changes to their own domain and to one or two daemons of each
/// other domain, which relay them; large changes are advertised by a digest.
/// For anti-entropy, every daemon compares digests with one random peer every
/// 250 ms, and a daemon that is behind copies what it misses
/// (StateExchangeSync.cpp). A daemon whose state has not been verified for some
/// seconds reads the service itself, so updates depend neither on its own path
/// to the service nor on any single daemon. The load on the service grows
/// neither with the fleet nor with the number of failure domains.
/// Deterministic. Not thread-safe.
class StateExchange {
public:
  /// Creates an exchange for \p self without any state. Precondition: \p random
  /// outlives it.
  StateExchange(const StateExchangeSettings &settings, const EntryVm &self,
                RandomSource &random);

  /// Returns the state held by this daemon.
  const PublishedStore &store() const { return Store; }
  /// Returns when a reader last confirmed that the held state of \p section is
  /// the newest; zero if never.
  TimePoint verifiedAt(PublishedSection section) const {
    return at(section).VerifiedAt;
  }
  /// Returns whether new flows may be placed by the held state: the operators'
  /// section is complete, and the servers' section is complete or is being
  /// completed from some shares.
  bool isUsable() const;
  /// Returns whether this daemon is a regular reader.
  bool isRegularReader() const {
    return RankInDomain == 0 && RankOfDomain < Settings.RegularReaders;
  }

  /// Sets the live daemons, this one excluded.
  void setPeers(const std::vector<EntryVm> &peers);
  /// Sets what provides the load reports that digests to random peers carry.
  /// Without it they carry none.
  void setLoadReporter(std::function<LoadReports(TimePoint)> reporter) {
    LoadReporter = std::move(reporter);
  }
  /// Starts due reads and digests. Call by nextWakeup() at the latest.
  std::vector<StateExchangeAction> tick(TimePoint now);
  /// Requests updates from some peers after a pause of this process, since its
  /// state may be outdated.
  std::vector<StateExchangeAction> requestAfterPause(TimePoint now);
  /// Handles the result of a read requested by StartRead.
  std::vector<StateExchangeAction>
  handleReadResult(TimePoint now, const PublishedRead &read,
                   absl::StatusOr<PublishedChanges> result);
  /// Handles a digest from a peer.
  std::vector<StateExchangeAction> handleDigest(TimePoint now,
                                                const EntryVm &from,
                                                const PublishedDigest &digest);
  /// Handles a request from a peer.
  std::vector<StateExchangeAction>
  handleRequest(TimePoint now, const EntryVm &from,
                const PublishedRequest &request);
  /// Handles an update from a peer.
  std::vector<StateExchangeAction> handleUpdate(TimePoint now,
                                                const EntryVm &from,
                                                const PublishedUpdate &update);
  /// Returns when tick() is due.
  TimePoint nextWakeup() const;

private:
  /// State of one section.
  struct SectionState {
    TimePoint VerifiedAt;      ///< See verifiedAt().
    uint64_t VerifiedBy = 0;   ///< See SectionDigest.
    uint32_t VerifierRank = 0; ///< See SectionDigest.
    bool Reading = false;      ///< A read is in progress.
    bool ListingRequired =
        false; ///< A watch cannot succeed; see isListingNeededAfter().
    bool TakenOver = false;     ///< Reads although it is not a regular reader,
                                ///< until a daemon of lower rank does.
    uint32_t SharesRead = 0;    ///< Shares that were listed at the start.
    size_t ObjectsOfShares = 0; ///< Number of objects in these.
    bool SharesDone = false;    ///< No more shares are listed.
    bool UsesShares = false;    ///< New flows are placed by these shares.
    bool FirstWatchPostponed = false; ///< See postponeFirstWatch().
    bool IsCopying = false;   ///< Copies the section from a peer that has it.
    TimePoint PeerListsUntil; ///< Until then a peer that announced a listing of
                              ///< the section is expected to complete it.
    TimePoint ReadStartedAt;  ///< Start of the last read.
    TimePoint NextRead;       ///< Earliest time of the next read.
    uint32_t Failures = 0;    ///< Consecutive failures.
  };

  SectionState &at(PublishedSection section) {
    return Sections[static_cast<size_t>(section)];
  }
  const SectionState &at(PublishedSection section) const {
    return Sections[static_cast<size_t>(section)];
  }
  bool isStarting(TimePoint now) const {
    return now < StartedAt + Settings.StartSpan;
  }
  uint32_t readerRank() const {
    return isRegularReader() ? 0 : 1 + static_cast<uint32_t>(RankInDomain);
  }
  void setVerified(PublishedSection section, TimePoint at, uint64_t prover,
                   uint32_t rank);
  bool yieldsTo(const SectionDigest &theirs) const;
  bool shouldRead(TimePoint now, PublishedSection section) const;
  Duration readPeriodOf(PublishedSection section) const;
  bool hasTakenOver() const {
    return std::any_of(Sections.begin(), Sections.end(),
                       [](const SectionState &it) { return it.TakenOver; });
  }
  bool isWaitingForCopy(PublishedSection section) const;
  uint32_t nextShare(const SectionState &state) const;
  void onShareRead(TimePoint now, SectionState &state, size_t objects);
  Duration drawDoublingWait(Duration most);
  bool postponeFirstWatch(TimePoint now, SectionState &state);
  void announceListing(TimePoint now);
  void waitForListing(TimePoint now);
  void startCopying(TimePoint now, const std::vector<SectionDigest> &theirs);
  bool hasDomainPeers() const;
  void startReadIfDue(TimePoint now, PublishedSection section);
  bool isFirstFailed(PublishedSection section) const;
  void retryFailedReads(TimePoint now);
  void onReadFailed(TimePoint now, const PublishedRead &read,
                    const absl::Status &status);
  std::vector<SectionDigest> digests(TimePoint now) const;
  PublishedRequest requestFor(const std::vector<SectionDigest> &theirs) const;
  PublishedRequest requestByRevision() const;
  bool mayCopyServersFrom(const EntryVm &peer) const;
  void requestIfBehind(TimePoint now, const EntryVm &peer,
                       std::vector<SectionDigest> theirs);
  void answerSection(const SectionRequest &request, PublishedSection section,
                     PublishedUpdate &answer);
  bool mergeDigests(TimePoint now, const std::vector<SectionDigest> &digests);
  TimePoint nextReadTime(TimePoint now, const PublishedRead &read);
  bool isBehind(const std::vector<SectionDigest> &theirs) const;
  std::vector<PublishedObject> merge(const PublishedChanges &changes,
                                     const VmId &from);
  PublishedChanges changesOfListing(PublishedSection section,
                                    std::vector<PublishedObject> changed) const;
  bool shouldBroadcast(const PublishedChanges &changes) const;
  void advertise(TimePoint now);
  void broadcastToDomain(const PublishedUpdate &update);
  void broadcastToFleet(TimePoint now, PublishedChanges changes);
  void sendDigest(TimePoint now, const EntryVm &peer, bool answer);
  void sendDigestToRandomPeer(TimePoint now);
  void sendDigestToDomain(TimePoint now, size_t most);
  void broadcastDigestToDomain(TimePoint now);
  void broadcastVerification(TimePoint now);
  std::vector<EntryVm> pickPeers(bool ownDomain, size_t most);
  std::vector<EntryVm> pickFromOtherDomains(size_t ofEach);
  void send(std::vector<EntryVm> to, decltype(SendStateMessage::Message) what);
  std::vector<StateExchangeAction> takeActions() {
    return std::exchange(Actions, {});
  }

  const StateExchangeSettings Settings;
  const EntryVm Self;
  RandomSource &Random;
  PublishedStore Store;                                 ///< The held state.
  std::array<SectionState, PublishedSections> Sections; ///< By section.
  std::vector<EntryVm> Peers; ///< Live daemons, except this one.
  size_t RankInDomain = 0;    ///< Rank among the daemons of the own domain.
  size_t RankOfDomain = 0;    ///< Rank of the own domain among all domains.
  TimePoint StartedAt;        ///< Time of the first tick.
  TimePoint
      NextRequest; ///< Earliest time of the next request; see RequestTimeout.
  VmId AskedPeer;  ///< Peer that the outstanding request was sent to.
  TimePoint NextDigest; ///< When the next digest to a random peer is due.
  std::function<LoadReports(TimePoint)>
      LoadReporter;          ///< See setLoadReporter(); may be empty.
  bool OwnDomainNext = true; ///< Toggles between the own and other domains.
  std::vector<StateExchangeAction> Actions; ///< Result of the current call.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_STATEEXCHANGE_H

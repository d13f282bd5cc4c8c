#ifndef BALSAMRACK_PUBLISHED_STATEEXCHANGE_H
#define BALSAMRACK_PUBLISHED_STATEEXCHANGE_H

#include <array>
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

/// Times and limits of the state exchange.
struct StateExchangeSettings {
  /// How long a watch of the publishing service waits. Its answer proves that
  /// the service still speaks to its reader.
  Duration WatchTimeout{2'000'000};
  /// Failure domains whose first daemon reads all the time. Two, so that one
  /// that fails or is cut off delays nothing.
  size_t RegularReaders = 2;
  /// Age of the last such proof from which other daemons read too. A watch and
  /// its way to all peers fit in.
  Duration TakeoverAge{2'600'000};
  /// Further wait of the second daemon of a domain; each one after it waits
  /// twice as long, so that few ask a service that is away.
  Duration TakeoverStep{200'000};
  /// A daemon younger than this may not know its peers yet: it reads only when
  /// none of them proves its state in time.
  Duration StartSpan{2'000'000};
  /// Least wait for that proof; up to StartSpan is added at random.
  Duration StartWait{300'000};
  Duration DigestPeriod{250'000}; ///< Between digests to one random peer each.
  /// One request is under way at a time; it counts as lost after this.
  Duration RequestTimeout{400'000};
  /// Least number of objects after which an answer by buckets ends. It fills a
  /// link of 10 Mbit/s for some 20 ms, so that callers' packets pass.
  size_t ObjectsPerAnswer = 256;
  Duration MinBackoff{250'000};   ///< Between reads, after a failure.
  Duration MaxBackoff{2'000'000}; ///< After many failures, for the first
                                  ///< daemon of a domain.
  /// As MaxBackoff, for the others: the first one's digest ends their wait.
  Duration MaxBackoffOfLaterRanks{8'000'000};
  /// Between reads of the operators' section, whatever the service answers.
  Duration OperatorsPeriod{20'000};
  /// As above, of the servers' section: a release changes several servers a
  /// second, and each change would cost a call of each reader.
  Duration ServersPeriod{500'000};
  /// Peers of the own domain that get a change at once; others learn of it by
  /// digests.
  size_t DomainFanout = 64;
  /// Most changes of servers that go to a whole domain at once. Of more, the
  /// reader only advertises, and daemons copy them from each other: else the
  /// reader's link fills.
  size_t MaxBroadcastObjects = 32;
  size_t AdvertiseFanout = 3; ///< Peers that are advertised to.
  /// A fleet up to this size gets every change at once.
  size_t FullBroadcastFleetSize = 16;
};

/// Send some peers the same message.
struct SendStateMessage {
  std::vector<EntryVm> To; ///< Whom; at least one.
  std::variant<PublishedDigest, PublishedRequest, PublishedUpdate> Message;
};
/// Read the publishing service; answer by handleReadResult().
struct StartRead {
  PublishedRead Read; ///< See there.
};
/// Something changed in a section.
struct StateChanged {
  PublishedSection Section = PublishedSection::Servers; ///< Where.
  std::vector<PublishedObject> Changed; ///< Objects in their new state.
  VmId From; ///< The peer that sent it; empty: read here.
};
/// The service became, or ceased to be, readable from here.
struct SourceChanged {
  PublishedSection Section = PublishedSection::Servers; ///< By which reads.
  bool Readable = false; ///< It answered; else it failed.
  std::string Error;     ///< Why, when it failed.
};

/// All that a StateExchange asks for, in order.
using StateExchangeAction =
    std::variant<SendStateMessage, StartRead, StateChanged, SourceChanged>;

/// Who reads the publishing service, and how its state spreads.
///
/// The first daemons of two failure domains read. A few changes go to their own
/// domain and to one or two daemons of each other one, which relay them; of
/// many changes they advertise a digest. By anti-entropy all daemons compare
/// digests with one random peer a quarter second, and whoever is behind copies
/// what it lacks (StateExchangeSync.cpp). A daemon without a proof of freshness
/// for some seconds reads by itself, so updates depend neither on its own path
/// to the service nor on any single daemon. The load of the service grows
/// neither with the fleet nor with its failure domains. Deterministic. Not
/// thread-safe.
class StateExchange {
public:
  /// An exchange for \p self that holds nothing. Precondition: \p random
  /// outlives it.
  StateExchange(const StateExchangeSettings &settings, const EntryVm &self,
                RandomSource &random);

  /// What is held.
  const PublishedStore &store() const { return Store; }
  /// Since when \p section was last proved to be the newest; zero: never.
  TimePoint verifiedAt(PublishedSection section) const {
    return at(section).VerifiedAt;
  }
  /// True when this daemon is a regular reader.
  bool isRegularReader() const {
    return RankInDomain == 0 && RankOfDomain < Settings.RegularReaders;
  }

  /// These daemons live, this one left out.
  void setPeers(const std::vector<EntryVm> &peers);
  /// Time has passed; to be called by nextWakeup().
  std::vector<StateExchangeAction> tick(TimePoint now);
  /// This process was paused: what it holds may be old.
  std::vector<StateExchangeAction> requestAfterPause(TimePoint now);
  /// A read that was asked for has ended.
  std::vector<StateExchangeAction>
  handleReadResult(TimePoint now, const PublishedRead &read,
                   absl::StatusOr<PublishedChanges> result);
  /// A peer's message came in.
  std::vector<StateExchangeAction> handleDigest(TimePoint now,
                                                const EntryVm &from,
                                                const PublishedDigest &digest);
  /// As above.
  std::vector<StateExchangeAction>
  handleRequest(TimePoint now, const EntryVm &from,
                const PublishedRequest &request);
  /// As above.
  std::vector<StateExchangeAction> handleUpdate(TimePoint now,
                                                const EntryVm &from,
                                                const PublishedUpdate &update);
  /// When tick() is due.
  TimePoint nextWakeup() const;

private:
  /// What is known and under way for one section.
  struct SectionState {
    TimePoint VerifiedAt;         ///< See verifiedAt().
    uint64_t VerifiedBy = 0;      ///< As in SectionDigest, of that proof.
    uint32_t VerifierRank = 0;    ///< As above.
    bool Reading = false;         ///< A read is under way.
    bool ListingRequired = false; ///< The history that a watch needs is gone.
    bool TakenOver = false; ///< Reads although it is no regular reader, until
                            ///< one of a lower rank does.
    bool ServiceUnavailable =
        false;             ///< The last read failed as the service was away.
    TimePoint NextRead;    ///< Not before.
    uint32_t Failures = 0; ///< In a row.
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
  bool isLeftToOtherSection(PublishedSection section) const;
  bool shouldRead(TimePoint now, PublishedSection section) const;
  Duration readPeriodOf(PublishedSection section) const;
  void startReadIfDue(TimePoint now, PublishedSection section);
  void onReadFailed(TimePoint now, const PublishedRead &read,
                    const absl::Status &status);
  std::vector<SectionDigest> digests(TimePoint now) const;
  PublishedRequest requestFor(const std::vector<SectionDigest> &theirs) const;
  PublishedRequest requestByRevision() const;
  void requestIfBehind(TimePoint now, const EntryVm &peer,
                       const std::vector<SectionDigest> &theirs);
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
  PublishedStore Store;                                 ///< What is held.
  std::array<SectionState, PublishedSections> Sections; ///< By section.
  std::vector<EntryVm> Peers;                           ///< Who lives.
  size_t RankInDomain = 0;   ///< In the order of the own domain's daemons.
  size_t RankOfDomain = 0;   ///< Of the own domain in the order of all domains.
  TimePoint StartedAt;       ///< Of the first tick.
  TimePoint NextRequest;     ///< Not before; see RequestTimeout.
  VmId AskedPeer;            ///< Who got the last request.
  TimePoint NextDigest;      ///< Of one random peer.
  bool OwnDomainNext = true; ///< Whose turn the next digest is.
  std::vector<StateExchangeAction> Actions; ///< Of the call under way.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_STATEEXCHANGE_H

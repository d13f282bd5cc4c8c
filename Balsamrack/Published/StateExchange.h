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
  Duration Watch{2'000'000}; ///< One watch of the publishing service waits so
                             ///< long: its answer is the proof that the service
                             ///< still speaks to its reader.
  size_t RegularReaders = 2; ///< Failure domains whose first daemon reads all
                             ///< the time. Two, so that one that fails or is
                             ///< cut off delays nothing.
  Duration TakeoverAge{2'600'000}; ///< Updates without such a proof for longer:
                                   ///< others read too. A watch and its way to
                                   ///< all peers fit in.
  Duration TakeoverStep{200'000};  ///< The second daemon of a domain waits
                                   ///< longer by this, each further one by
                                   ///< twice as much as the one before: while
                                   ///< the service is away few ask it.
  Duration StartSpan{2'000'000};   ///< A daemon younger than this may not know
                                   ///< yet who else is there: it reads only
                                   ///< when no peer proves its state in time.
  Duration StartWait{300'000};     ///< It waits so long for that, and up to
                                   ///< StartSpan more, at random.
  Duration DigestPeriod{250'000};  ///< One peer is told what is held here.
  Duration RequestTimeout{400'000}; ///< One request is under way at a time; it
                                    ///< is taken for lost after this.
  size_t ObjectsPerAnswer = 256;  ///< An answer by buckets ends after so many:
                                  ///< it fills a link of 10 Mbit/s for some
                                  ///< 20 ms, so that callers' packets pass.
  Duration MinBackoff{250'000};   ///< Between reads, after a failure.
  Duration MaxBackoff{2'000'000}; ///< After many failures, for the first
                                  ///< daemon of a domain.
  Duration MaxBackoffOfOthers{8'000'000}; ///< For the others: they are told
                                          ///< when the service answers again.
  Duration OperatorsPeriod{20'000};       ///< Between reads of what operators
                                    ///< publish, whatever the service answers.
  Duration ServersPeriod{500'000}; ///< As above, of servers: a release changes
                                   ///< several a second, and each change would
                                   ///< cost a call of each reader. Servers
                                   ///< drain for three seconds at least.
  size_t DomainFanout = 64;  ///< Peers of the own domain that are told of a
                             ///< change at once; more hear by offers.
  size_t MostBroadcast = 32; ///< Changes of servers that are sent to a domain
                             ///< at once; of more, daemons copy what they lack
                             ///< from each other, or a reader's link fills.
  size_t PullFanout = 3; ///< Peers that hear that there is something to copy.
  size_t WholeFleetFanout = 16; ///< A fleet up to this size is told as a whole.
};

/// Send some peers the same message.
struct SendStateMessage {
  std::vector<EntryVm> To; ///< Whom; at least one.
  std::variant<PublishedDigest, PublishedRequest, PublishedUpdate> What;
};
/// Read the publishing service; answer by readEnded().
struct StartRead {
  PublishedRead What; ///< See there.
};
/// Something changed in a section.
struct StateChanged {
  PublishedSection Section = PublishedSection::Servers; ///< Where.
  std::vector<PublishedObject> Changed; ///< Objects in their new state.
  VmId From; ///< The peer that told; empty: read here.
};
/// The service became, or ceased to be, readable from here.
struct SourceChanged {
  PublishedSection Section = PublishedSection::Servers; ///< By which reads.
  bool Good = false; ///< It answered; else it failed.
  std::string Error; ///< Why, when it failed.
};

/// All that a StateExchange asks for, in order.
using StateExchangeAction =
    std::variant<SendStateMessage, StartRead, StateChanged, SourceChanged>;

/// Who reads the publishing service, and how everybody hears: the first daemons
/// of two failure domains read and tell their own domain and one or two daemons
/// of each other one, which pass it on to theirs; all compare what they hold
/// with one random peer a quarter second. Whoever hears no proof of freshness
/// for some seconds reads by itself, so updates depend neither on one's own
/// path to the service nor on any single daemon. The load of the service grows
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
  TimePoint provedAt(PublishedSection section) const {
    return at(section).ProvedAt;
  }
  /// True when this daemon is a regular reader.
  bool reads() const {
    return Place == 0 && DomainPlace < Settings.RegularReaders;
  }

  /// These daemons live, this one left out.
  void setPeers(const std::vector<EntryVm> &peers);
  /// Time has passed; to be called by nextWakeup().
  std::vector<StateExchangeAction> tick(TimePoint now);
  /// This process was paused: what it holds may be old.
  std::vector<StateExchangeAction> requestAfterPause(TimePoint now);
  /// A read that was asked for has ended.
  std::vector<StateExchangeAction>
  readEnded(TimePoint now, const PublishedRead &read,
            absl::StatusOr<PublishedChanges> result);
  /// A peer's message came in.
  std::vector<StateExchangeAction> handleDigest(TimePoint now,
                                                const EntryVm &from,
                                                const PublishedDigest &offer);
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
    TimePoint ProvedAt;      ///< See provedAt().
    uint64_t Prover = 0;     ///< As in SectionDigest, of that proof.
    uint32_t ProverRank = 0; ///< As above.
    bool Reading = false;    ///< A read is under way.
    bool ListNext = false;   ///< The history that a watch needs is gone.
    bool TakenOver = false;  ///< Reads although it is no regular reader, until
                             ///< one of a lower rank does.
    bool Away = false;       ///< The last read failed as the service was away.
    TimePoint NextRead;      ///< Not before.
    uint32_t Failures = 0;   ///< In a row.
  };

  SectionState &at(PublishedSection section) {
    return Sections[static_cast<size_t>(section)];
  }
  const SectionState &at(PublishedSection section) const {
    return Sections[static_cast<size_t>(section)];
  }
  bool young(TimePoint now) const {
    return now < StartedAt + Settings.StartSpan;
  }
  uint32_t readerRank() const {
    return reads() ? 0 : 1 + static_cast<uint32_t>(Place);
  }
  void setProved(PublishedSection section, TimePoint at, uint64_t prover,
                 uint32_t rank);
  bool yieldsTo(const SectionDigest &theirs) const;
  bool waitsForOther(PublishedSection section) const;
  bool wantsRead(TimePoint now, PublishedSection section) const;
  Duration periodOf(PublishedSection section) const;
  void readIfWanted(TimePoint now, PublishedSection section);
  void failed(TimePoint now, const PublishedRead &read,
              const absl::Status &status);
  std::vector<SectionDigest> digests(TimePoint now) const;
  PublishedRequest requestFor(const std::vector<SectionDigest> &theirs) const;
  PublishedRequest requestByRevision() const;
  void requestIfBehind(TimePoint now, const EntryVm &peer,
                       const std::vector<SectionDigest> &theirs);
  void answerSection(const SectionRequest &request, PublishedSection section,
                     PublishedUpdate &answer);
  bool mergeDigests(TimePoint now, const std::vector<SectionDigest> &digests);
  TimePoint nextReadAfter(TimePoint now, const PublishedRead &read);
  bool isBehind(const std::vector<SectionDigest> &theirs) const;
  std::vector<PublishedObject> merge(const PublishedChanges &changes,
                                     const VmId &from);
  PublishedChanges changesOfListing(PublishedSection section,
                                    std::vector<PublishedObject> changed) const;
  bool isBroadcast(const PublishedChanges &changes) const;
  void advertise(TimePoint now);
  void broadcastToDomain(const PublishedUpdate &update);
  void broadcastToFleet(TimePoint now, PublishedChanges changes);
  void sendDigest(TimePoint now, const EntryVm &peer, bool answer);
  void sendDigestToOne(TimePoint now);
  void sendDigestToDomain(TimePoint now, size_t most);
  void broadcastProof(TimePoint now);
  std::vector<EntryVm> pick(bool ownDomain, size_t most);
  std::vector<EntryVm> pickOfOtherDomains(size_t ofEach);
  void send(std::vector<EntryVm> to, decltype(SendStateMessage::What) what);
  std::vector<StateExchangeAction> take() { return std::exchange(Actions, {}); }

  const StateExchangeSettings Settings;
  const EntryVm Self;
  RandomSource &Random;
  PublishedStore Store;                                 ///< What is held.
  std::array<SectionState, PublishedSections> Sections; ///< By section.
  std::vector<EntryVm> Peers;                           ///< Who lives.
  size_t Place = 0;       ///< In the order of the own domain's daemons.
  size_t DomainPlace = 0; ///< Of the own domain in the order of all domains.
  TimePoint StartedAt;    ///< Of the first tick.
  TimePoint NextRequest;  ///< Not before; see RequestTimeout.
  VmId AskedPeer;         ///< Who got the last request.
  TimePoint NextDigest;   ///< Of one random peer.
  bool DomainTurn = true; ///< Whose turn the next offer is.
  std::vector<StateExchangeAction> Actions; ///< Of the call under way.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_STATEEXCHANGE_H

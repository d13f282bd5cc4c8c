#include "Balsamrack/Published/NewsExchange.h"

#include <algorithm>
#include <map>
#include <utility>

namespace balsamrack {

namespace {

constexpr std::array<PublishedSection, PublishedSections> AllSections = {
    PublishedSection::Operators, PublishedSection::Servers};
/// A mark of this age or more proves nothing; keeps sums of ages in range.
constexpr Duration NeverProved{3'600'000'000};
/// Daemons of each other domain that hear of a change at once.
constexpr size_t ToldElsewhere = 2;
/// Peers asked for news after a pause.
constexpr size_t AskedOnWaking = 2;

} // namespace

NewsExchange::NewsExchange(const NewsSettings &settings, const EntryVm &self,
                           RandomSource &random)
    : Settings(settings), Self(self), Random(random) {}

size_t NewsExchange::rank() const {
  // By hash, so that no VM is special by its name; the same order everywhere.
  uint64_t own = Self.Id.hash();
  return static_cast<size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const EntryVm &vm) {
        return vm.Domain == Self.Domain && !vm.Leaving && vm.Id.hash() < own;
      }));
}

bool NewsExchange::wantsRead(TimePoint now, PublishedSection section) const {
  const SectionState &state = at(section);
  if (state.Reading || now < state.NextRead)
    return false;
  size_t place = rank();
  if (place == 0 || Store.completeAs(section) == Revision{})
    return true;
  Duration limit =
      Settings.TakeoverAge + Settings.TakeoverStep * static_cast<int>(place);
  return now - state.ProvedAt > limit;
}

Duration NewsExchange::periodOf(PublishedSection section) const {
  return section == PublishedSection::Servers ? Settings.ServersPeriod
                                              : Settings.OperatorsPeriod;
}

void NewsExchange::readIfWanted(TimePoint now, PublishedSection section) {
  if (!wantsRead(now, section))
    return;
  SectionState &state = at(section);
  state.Reading = true;
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
  Actions.emplace_back(ReadNews{read});
}

std::vector<NewsAction> NewsExchange::tick(TimePoint now) {
  for (PublishedSection section : AllSections)
    readIfWanted(now, section);
  if (now >= NextOffer) {
    NextOffer = now + Settings.OfferPeriod;
    offerOne(now);
  }
  return take();
}

std::vector<NewsAction> NewsExchange::woke(TimePoint now) {
  for (bool ownDomain : {true, false})
    for (const EntryVm &peer : pick(ownDomain, AskedOnWaking))
      Actions.emplace_back(SendNews{peer, request()});
  for (PublishedSection section : AllSections)
    readIfWanted(now, section);
  return take();
}

std::vector<NewsAction>
NewsExchange::readEnded(TimePoint now, const PublishedRead &read,
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
  state.ListNext = false;
  // A first listing may be old; what follows it is not put off.
  state.NextRead =
      now + (read.MayBeOld ? Settings.OperatorsPeriod : periodOf(read.Section));
  if (!read.MayBeOld)
    state.ProvedAt = now;
  Revision before = Store.completeAs(read.Section);
  bool changed = merge(*result, VmId());
  // What a daemon lists first is no news to those that run; whoever lacks it
  // asks. Told to all, it would cost each daemon of a fleet that starts two
  // dozen copies of everything.
  bool news = changed && before != Revision{};
  if (news)
    tellFleet(now, Store.changesAfter(read.Section, before));
  else if (changed || (reads() && !read.MayBeOld))
    offerDomain(now);
  readIfWanted(now, read.Section);
  return take();
}

void NewsExchange::failed(TimePoint now, const PublishedRead &read,
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
  Duration wait = Settings.MinBackoff;
  for (uint32_t i = 1; i < state.Failures && wait < Settings.MaxBackoff; ++i)
    wait *= 2;
  wait = std::min(wait, Settings.MaxBackoff);
  // Jitter keeps daemons that lost the service together from coming back so.
  auto half = static_cast<uint64_t>(wait.count() / 2);
  state.NextRead =
      now + wait / 2 + Duration(static_cast<int64_t>(Random.below(half + 1)));
}

std::vector<SectionMark> NewsExchange::marks(TimePoint now) const {
  std::vector<SectionMark> all;
  for (PublishedSection section : AllSections) {
    TimePoint proved = at(section).ProvedAt;
    Duration age = proved == TimePoint{} ? NeverProved
                                         : std::min(now - proved, NeverProved);
    all.push_back({Store.completeAs(section), Store.lastChange(section),
                   Store.presentHash(section), age});
  }
  return all;
}

PublishedRequest NewsExchange::request() const {
  PublishedRequest request;
  for (PublishedSection section : AllSections)
    request.After.push_back(Store.completeAs(section));
  return request;
}

void NewsExchange::takeMarks(TimePoint now,
                             const std::vector<SectionMark> &marks) {
  for (size_t i = 0; i < std::min(marks.size(), AllSections.size()); ++i) {
    const SectionMark &theirs = marks[i];
    PublishedSection section = AllSections[i];
    if (theirs.As > Store.completeAs(section))
      Store.completeUpTo(section, theirs.LastChange, theirs.As, theirs.Present);
    // What they had proved to be the newest is no newer than what is held.
    bool held =
        theirs.As != Revision{} && theirs.As <= Store.completeAs(section);
    if (held && theirs.Age < NeverProved)
      at(section).ProvedAt = std::max(at(section).ProvedAt, now - theirs.Age);
  }
}

bool NewsExchange::lacks(const std::vector<SectionMark> &theirs) const {
  for (size_t i = 0; i < std::min(theirs.size(), AllSections.size()); ++i)
    if (theirs[i].As > Store.completeAs(AllSections[i]))
      return true;
  return false;
}

std::vector<NewsAction> NewsExchange::offered(TimePoint now,
                                              const EntryVm &from,
                                              const PublishedOffer &offer) {
  takeMarks(now, offer.Marks);
  // Guards against a fleet that starts, where each daemon would be sent
  // everything by everybody whose offer comes before the first answer.
  if (lacks(offer.Marks) && now >= NextRequest) {
    NextRequest = now + Settings.RequestPeriod;
    Actions.emplace_back(SendNews{from, request()});
  }
  bool theyLack = false;
  for (size_t i = 0; i < std::min(offer.Marks.size(), AllSections.size()); ++i)
    theyLack = theyLack || offer.Marks[i].As < Store.completeAs(AllSections[i]);
  if (theyLack && !offer.Answer)
    offerTo(now, from, true);
  return take();
}

std::vector<NewsAction> NewsExchange::asked(TimePoint now, const EntryVm &from,
                                            const PublishedRequest &request) {
  PublishedUpdate update;
  for (size_t i = 0; i < std::min(request.After.size(), AllSections.size());
       ++i) {
    PublishedSection section = AllSections[i];
    if (Store.completeAs(section) > request.After[i])
      update.Changes.push_back(Store.changesAfter(section, request.After[i]));
  }
  update.Marks = marks(now);
  Actions.emplace_back(SendNews{from, std::move(update)});
  return take();
}

std::vector<NewsAction> NewsExchange::told(TimePoint now, const EntryVm &from,
                                           const PublishedUpdate &update) {
  bool changed = false;
  bool gap = false;
  for (const PublishedChanges &changes : update.Changes) {
    gap = gap || changes.After > Store.completeAs(changes.Section);
    changed = merge(changes, from.Id) || changed;
  }
  takeMarks(now, update.Marks);
  if (gap)
    Actions.emplace_back(SendNews{from, request()});
  if (changed && !update.Relayed && from.Domain != Self.Domain) {
    PublishedUpdate relay = update;
    relay.Relayed = true;
    relay.Marks = marks(now);
    tellDomain(relay);
  }
  return take();
}

bool NewsExchange::merge(const PublishedChanges &changes, const VmId &from) {
  std::vector<PublishedObject> changed = Store.merge(changes);
  if (changed.empty())
    return false;
  Actions.emplace_back(NewsChanged{changes.Section, std::move(changed), from});
  return true;
}

std::vector<EntryVm> NewsExchange::pick(bool ownDomain, size_t most) {
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

void NewsExchange::tellDomain(const PublishedUpdate &update) {
  for (const EntryVm &peer : pick(true, Settings.MostTold))
    Actions.emplace_back(SendNews{peer, update});
}

void NewsExchange::tellFleet(TimePoint now, PublishedChanges changes) {
  PublishedUpdate update;
  update.Changes.push_back(std::move(changes));
  update.Marks = marks(now);
  tellDomain(update);
  bool all = Peers.size() <= Settings.AllTold;
  std::map<DomainId, size_t> toldIn;
  std::vector<EntryVm> others = pick(false, Peers.size());
  for (size_t i = others.size(); i > 1; --i)
    std::swap(others[i - 1], others[Random.below(i)]);
  for (const EntryVm &peer : others)
    if (all || toldIn[peer.Domain]++ < ToldElsewhere)
      Actions.emplace_back(SendNews{peer, update});
}

void NewsExchange::offerTo(TimePoint now, const EntryVm &peer, bool answer) {
  Actions.emplace_back(SendNews{peer, PublishedOffer{marks(now), answer}});
}

void NewsExchange::offerOne(TimePoint now) {
  DomainTurn = !DomainTurn;
  std::vector<EntryVm> chosen = pick(DomainTurn, 1);
  if (chosen.empty())
    chosen = pick(!DomainTurn, 1);
  if (!chosen.empty())
    offerTo(now, chosen.front(), false);
}

void NewsExchange::offerDomain(TimePoint now) {
  for (const EntryVm &peer : pick(true, Settings.MostTold))
    offerTo(now, peer, true);
}

TimePoint NewsExchange::nextWakeup() const {
  TimePoint next = NextOffer;
  for (PublishedSection section : AllSections) {
    const SectionState &state = at(section);
    bool unknown = Store.completeAs(section) == Revision{};
    if (!state.Reading && (unknown || reads()))
      next = std::min(next, state.NextRead);
  }
  return next;
}

} // namespace balsamrack

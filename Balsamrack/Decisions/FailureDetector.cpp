#include "Balsamrack/Decisions/FailureDetector.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// The first hold of a server at which nothing waits is this part of the
/// longest one.
constexpr int FirstHoldPart = 4;

} // namespace

FailureDetector::Record *FailureDetector::find(size_t server) {
  return server < Servers.size() && Servers[server].Used ? &Servers[server]
                                                         : nullptr;
}

const FailureDetector::Record *FailureDetector::find(size_t server) const {
  return server < Servers.size() && Servers[server].Used ? &Servers[server]
                                                         : nullptr;
}

void FailureDetector::add(size_t server, const DomainId &domain) {
  if (find(server))
    return;
  auto [it, isNew] = DomainById.try_emplace(domain, Domains.size());
  if (isNew)
    Domains.emplace_back();
  if (server >= Servers.size())
    Servers.resize(server + 1);
  Servers[server] = Record();
  Servers[server].Used = true;
  Servers[server].Domain = it->second;
}

void FailureDetector::remove(size_t server) {
  Record *record = find(server);
  if (!record)
    return;
  setProved(*record, false);
  setAttemptFailed(*record, false);
  *record = Record();
  updateAsked(server);
}

void FailureDetector::updateAsked(size_t server) {
  if (Servers[server].Used && askedByItself(Servers[server]))
    Asked.insert(server);
  else
    Asked.erase(server);
}

void FailureDetector::setDaemons(size_t daemons) {
  FleetHold = std::min(Settings.HoldPerDaemon * static_cast<int64_t>(daemons),
                       Settings.LongestFleetHold);
}

Duration FailureDetector::longestHold(const Record &record) const {
  // What is found of one server of a silent domain counts for all of it, and
  // few of them are asked.
  return Domains[record.Domain].Silent
             ? Settings.LongestHold
             : std::max(Settings.LongestHold, FleetHold);
}

void FailureDetector::setDomainSilent(DomainRecord &whole, bool silent) {
  if (whole.Silent == silent)
    return;
  whole.Silent = silent;
  SilentDomains += silent ? 1 : -1;
}

void FailureDetector::suspectOwnLink(TimePoint now) {
  UnsureUntil = now + Settings.BlindSpan;
  for (Record &record : Servers)
    if (record.Witnessed < Settings.LostAttempts)
      record.Witnessed = 0;
}

void FailureDetector::setProved(Record &record, bool proved) {
  if (record.Proved == proved)
    return;
  record.Proved = proved;
  DomainRecord &whole = Domains[record.Domain];
  whole.Proved += proved ? 1 : -1;
}

void FailureDetector::setAttemptFailed(Record &record, bool failed) {
  if (record.AttemptFailed == failed)
    return;
  record.AttemptFailed = failed;
  Domains[record.Domain].Failed += failed ? 1 : -1;
}

bool FailureDetector::unanswered(TimePoint now, size_t server, TimePoint sentAt,
                                 uint32_t caller) {
  Record *found = find(server);
  if (!found || found->LastAnswer >= sentAt)
    return false;
  Record &record = *found;
  if (record.LastCaller == caller)
    return false;
  record.LastCaller = caller;
  ++record.Unanswered;
  suspect(now, server, sentAt);
  if (record.Silent || record.Unanswered < Settings.UnansweredLimit)
    return false;
  bool relapse = record.LastAnswer != TimePoint{} &&
                 now - record.LastAnswer < Settings.RelapseSpan;
  // A server that takes connections but no openings would else be tried with
  // callers' flows again and again.
  record.Hold = relapse && record.Hold > Duration{0}
                    ? std::min(record.Hold * 2, longestHold(record))
                    : Settings.FirstHold;
  record.Silent = true;
  record.SilentSince = sentAt;
  record.SuspectedSince = {};
  record.NextAttempt = now + (relapse ? record.Hold : Duration{0});
  updateAsked(server);
  judgeDomain(now, record.Domain);
  return true;
}

void FailureDetector::judgeDomain(TimePoint now, size_t domain) {
  DomainRecord &whole = Domains[domain];
  uint32_t silent = 0;
  for (size_t server : Asked) {
    const Record &record = Servers[server];
    if (record.Domain == domain && record.Silent &&
        record.SilentSince > whole.LastAnswer)
      ++silent;
  }
  if (whole.Silent || silent < Settings.DomainLimit)
    return;
  setDomainSilent(whole, true);
  // Guards against two dead servers that take living ones with them: they get
  // no openings now, so some are asked at once and speak for their domain.
  whole.NextAttempts = now;
  whole.Hold = Settings.FirstHold;
}

bool FailureDetector::asked(const Record &record) const {
  return askedByItself(record) || Domains[record.Domain].Silent;
}

void FailureDetector::suspect(TimePoint now, size_t server, TimePoint sentAt) {
  Record *record = find(server);
  if (!record || record->LastReached >= sentAt)
    return;
  // A request waits for it, so it matters soon whether it is lost.
  if (record->Silent && record->Witnessed < Settings.LostAttempts)
    record->NextAttempt =
        std::min(record->NextAttempt,
                 std::max(now, record->AskedAt + Settings.FirstHold));
  if (asked(*record))
    return;
  record->SuspectedSince = sentAt;
  record->WithDomain = false;
  record->Failed = 0;
  record->NextAttempt = now;
  updateAsked(server);
}

void FailureDetector::suspectDomain(TimePoint now, size_t domain,
                                    TimePoint since) {
  uint32_t left = Settings.SuspectsProbedTogether;
  for (size_t other = 0; other < Servers.size(); ++other) {
    Record &record = Servers[other];
    if (!record.Used || record.Domain != domain || asked(record))
      continue;
    suspect(now, other, since);
    if (!asked(record))
      continue;
    record.WithDomain = true;
    if (--left == 0)
      return;
  }
}

void FailureDetector::arrived(size_t server, TimePoint sentAt) {
  LastProof = std::max(LastProof, sentAt);
  Record *found = find(server);
  if (!found)
    return;
  Record &record = *found;
  if (record.Silent && sentAt < record.SilentSince)
    return;
  record.LastReached = std::max(record.LastReached, sentAt);
  if (record.SuspectedSince == TimePoint{} || sentAt < record.SuspectedSince)
    return;
  record.SuspectedSince = {};
  updateAsked(server);
}

bool FailureDetector::answered(TimePoint now, size_t server) {
  Record *found = find(server);
  if (!found)
    return false;
  Record &record = *found;
  record.LastAnswer = now;
  record.LastReached = now;
  record.SuspectedSince = {};
  record.Unanswered = 0;
  record.LastCaller = 0;
  DomainRecord &whole = Domains[record.Domain];
  whole.LastAnswer = now;
  // The others of a domain that speaks again are trusted too: the next two
  // openings or attempts tell.
  if (whole.Silent) {
    setDomainSilent(whole, false);
    for (size_t other : Asked)
      if (Servers[other].Domain == record.Domain && Servers[other].Silent)
        Servers[other].NextAttempt = now;
  }
  bool was = record.Silent;
  record.Silent = false;
  setAttemptFailed(record, false);
  record.Witnessed = 0;
  setProved(record, false);
  updateAsked(server);
  return was;
}

bool FailureDetector::connected(TimePoint now, size_t server) {
  Record *found = find(server);
  if (!found)
    return false;
  Record &record = *found;
  LastProof = std::max(LastProof, record.AskedAt);
  if (record.Failed > 0 || record.AttemptFailed)
    suspectOwnLink(now);
  if (record.Silent || Domains[record.Domain].Silent)
    return answered(now, server);
  record.LastReached = now;
  record.SuspectedSince = {};
  updateAsked(server);
  record.Failed = 0;
  record.Witnessed = 0;
  Domains[record.Domain].LastAnswer = now;
  return false;
}

bool FailureDetector::attemptFailed(TimePoint now, size_t server, bool sure,
                                    bool awaited) {
  Record *found = find(server);
  if (!found)
    return false;
  if (!asked(*found)) {
    // It was to accompany others.
    if (sure)
      suspectOwnLink(now);
    return false;
  }
  Record &record = *found;
  bool was = record.Silent;
  TimePoint since = was ? record.SilentSince : record.SuspectedSince;
  // Else it may be this daemon's own link that is full or cut.
  bool witnessed = sure && LastProof >= record.AskedAt && now >= UnsureUntil;
  bool proved = witnessed || (sure && now - since >= Settings.BlindSpan);
  record.Witnessed += witnessed ? 1 : 0;
  if (!was && record.SuspectedSince != TimePoint{} &&
      !settleSuspicion(now, record, proved))
    return false;
  if (!was) {
    record.Silent = true;
    record.SilentSince =
        record.SuspectedSince == TimePoint{} ? now : record.SuspectedSince;
    record.Hold = Settings.FirstHold;
  }
  record.SuspectedSince = {};
  setAttemptFailed(record, record.AttemptFailed || sure);
  setProved(record, record.Proved || proved);
  // Until it is known whether its open flows are lost, it is asked quickly.
  bool unsettled =
      awaited && witnessed && record.Witnessed < Settings.LostAttempts;
  if (!unsettled) {
    Duration longest = longestHold(record);
    // A large fleet begins with a longer one.
    Duration least = awaited ? Duration(0) : longest / FirstHoldPart;
    record.Hold = std::min(std::max(record.Hold * 2, least), longest);
  }
  record.NextAttempt = now + (unsettled ? Settings.FirstHold : record.Hold);
  updateAsked(server);
  if (!was)
    judgeDomain(now, record.Domain);
  return !was;
}

bool FailureDetector::settleSuspicion(TimePoint now, Record &record,
                                      bool sure) {
  record.Failed += sure ? 1 : 0;
  // Domains fail and are cut off as a whole: its others are asked meanwhile.
  if (record.Failed == 1 && !record.WithDomain)
    suspectDomain(now, record.Domain, record.SuspectedSince);
  // One that could not be made waits for those that are under way.
  record.NextAttempt = sure ? now : now + Settings.FirstHold;
  return record.Failed >= Settings.FailedAttempts;
}

bool FailureDetector::silent(size_t server) const {
  const Record *record = find(server);
  return record && (record->Silent || Domains[record->Domain].Silent);
}

bool FailureDetector::unreachable(size_t server) const {
  const Record *record = find(server);
  if (!record)
    return false;
  if (record->Silent && record->AttemptFailed)
    return true;
  const DomainRecord &whole = Domains[record->Domain];
  return whole.Silent && whole.Failed >= Settings.DomainLimit;
}

bool FailureDetector::lost(size_t server) const {
  const Record *record = find(server);
  return record && record->Silent && record->Witnessed >= Settings.LostAttempts;
}

bool FailureDetector::outOfReach(size_t server) const {
  const Record *record = find(server);
  if (!record)
    return false;
  if (record->Silent && record->Proved)
    return true;
  const DomainRecord &whole = Domains[record->Domain];
  return whole.Silent && whole.Proved >= Settings.DomainLimit;
}

bool FailureDetector::domainSilent(const DomainId &domain) const {
  auto it = DomainById.find(domain);
  return it != DomainById.end() && Domains[it->second].Silent;
}

bool FailureDetector::leftToDomain(const Record &record) const {
  // Else a request there waits to be told whether it is lost.
  return Domains[record.Domain].Silent && record.AttemptFailed &&
         record.Hold > Settings.FirstHold;
}

void FailureDetector::takeDue(TimePoint now, size_t server,
                              std::vector<size_t> &due) {
  Record &record = Servers[server];
  record.AskedAt = now;
  // Until the attempt ends, whichever way.
  record.NextAttempt = now + Settings.LongestHold;
  due.push_back(server);
}

void FailureDetector::takeDueOfDomain(TimePoint now, size_t domain,
                                      std::vector<size_t> &due) {
  DomainRecord &whole = Domains[domain];
  whole.NextAttempts = now + whole.Hold;
  whole.Hold = std::min(whole.Hold * 2, Settings.LongestHold);
  uint32_t left = Settings.SuspectsProbedTogether;
  // Each round goes on where the last one ended, so that the living are found.
  size_t first = whole.LastAsked + 1;
  for (size_t i = 0; i < Servers.size() && left > 0; ++i) {
    size_t server = (first + i) % Servers.size();
    const Record &record = Servers[server];
    bool asked = record.AskedAt == now;
    if (!record.Used || record.Domain != domain || asked)
      continue;
    whole.LastAsked = server;
    takeDue(now, server, due);
    --left;
  }
}

std::vector<size_t> FailureDetector::due(TimePoint now) {
  std::vector<size_t> found;
  for (size_t server : Asked) {
    const Record &record = Servers[server];
    if (!leftToDomain(record) && record.NextAttempt <= now)
      takeDue(now, server, found);
  }
  if (SilentDomains == 0)
    return found;
  for (size_t domain = 0; domain < Domains.size(); ++domain)
    if (Domains[domain].Silent && Domains[domain].NextAttempts <= now)
      takeDueOfDomain(now, domain, found);
  return found;
}

std::optional<size_t> FailureDetector::control(TimePoint now, size_t asked) {
  const Record &first = Servers.at(asked);
  if (first.Witnessed >= Settings.LostAttempts)
    return std::nullopt;
  // Another domain's, since domains fail as a whole; then the last reached.
  auto better = [&](const Record &a, const Record &b) {
    bool aElsewhere = a.Domain != first.Domain;
    bool bElsewhere = b.Domain != first.Domain;
    return aElsewhere != bElsewhere ? aElsewhere
                                    : a.LastReached > b.LastReached;
  };
  std::optional<size_t> best;
  for (size_t server = 0; server < Servers.size(); ++server) {
    const Record &record = Servers[server];
    if (record.Used && !this->asked(record) &&
        (!best || better(record, Servers[*best])))
      best = server;
  }
  if (best)
    Servers[*best].AskedAt = now;
  return best;
}

TimePoint FailureDetector::nextDue() const {
  TimePoint next(Duration::max());
  for (size_t server : Asked)
    if (!leftToDomain(Servers[server]))
      next = std::min(next, Servers[server].NextAttempt);
  if (SilentDomains == 0)
    return next;
  for (const DomainRecord &whole : Domains)
    if (whole.Silent)
      next = std::min(next, whole.NextAttempts);
  return next;
}

size_t FailureDetector::silentServers() const {
  return static_cast<size_t>(
      std::count_if(Asked.begin(), Asked.end(),
                    [this](size_t it) { return Servers[it].Silent; }));
}

} // namespace balsamrack

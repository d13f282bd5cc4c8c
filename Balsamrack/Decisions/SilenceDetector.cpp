#include "Balsamrack/Decisions/SilenceDetector.h"

#include <algorithm>

namespace balsamrack {

SilenceDetector::Record *SilenceDetector::find(size_t server) {
  return server < Servers.size() && Servers[server].Used ? &Servers[server]
                                                         : nullptr;
}

const SilenceDetector::Record *SilenceDetector::find(size_t server) const {
  return server < Servers.size() && Servers[server].Used ? &Servers[server]
                                                         : nullptr;
}

void SilenceDetector::add(size_t server, const DomainId &domain) {
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

void SilenceDetector::remove(size_t server) {
  Record *record = find(server);
  if (!record)
    return;
  setProved(*record, false);
  *record = Record();
  updateAsked(server);
}

void SilenceDetector::updateAsked(size_t server) {
  if (Servers[server].Used && askedByItself(Servers[server]))
    Asked.insert(server);
  else
    Asked.erase(server);
}

template <class Visit> void SilenceDetector::visitAsked(Visit visit) const {
  if (SilentDomains == 0) {
    for (size_t server : Asked)
      visit(server);
    return;
  }
  for (size_t server = 0; server < Servers.size(); ++server)
    if (Servers[server].Used && asked(Servers[server]))
      visit(server);
}

void SilenceDetector::setDomainSilent(DomainRecord &whole, bool silent) {
  if (whole.Silent == silent)
    return;
  whole.Silent = silent;
  SilentDomains += silent ? 1 : -1;
}

void SilenceDetector::doubtOwnLink(TimePoint now) {
  UnsureUntil = now + Settings.BlindSpan;
  for (Record &record : Servers)
    if (record.Witnessed < Settings.LostAttempts)
      record.Witnessed = 0;
}

void SilenceDetector::setProved(Record &record, bool proved) {
  if (record.Proved == proved)
    return;
  record.Proved = proved;
  DomainRecord &whole = Domains[record.Domain];
  whole.Proved += proved ? 1 : -1;
}

bool SilenceDetector::unanswered(TimePoint now, size_t server, TimePoint sentAt,
                                 uint32_t caller) {
  Record *found = find(server);
  if (!found || found->LastAnswer >= sentAt)
    return false;
  Record &record = *found;
  if (record.LastCaller == caller)
    return false;
  record.LastCaller = caller;
  ++record.Unanswered;
  doubted(now, server, sentAt);
  if (record.Silent || record.Unanswered < Settings.UnansweredLimit)
    return false;
  bool relapse = record.LastAnswer != TimePoint{} &&
                 now - record.LastAnswer < Settings.RelapseSpan;
  // A server that takes connections but no openings would else be tried with
  // callers' flows again and again.
  record.Hold = relapse && record.Hold > Duration{0}
                    ? std::min(record.Hold * 2, Settings.LongestHold)
                    : Settings.FirstHold;
  record.Silent = true;
  record.SilentSince = sentAt;
  record.DoubtedSince = {};
  record.NextAttempt = now + (relapse ? record.Hold : Duration{0});
  updateAsked(server);
  judgeDomain(now, record.Domain);
  return true;
}

void SilenceDetector::judgeDomain(TimePoint now, size_t domain) {
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
  // Guards against two dead servers that take a living third one with them: it
  // gets no openings now, so it is asked at once and speaks for its domain.
  for (Record &record : Servers)
    if (record.Used && record.Domain == domain && !record.Silent)
      record.NextAttempt = now;
}

bool SilenceDetector::asked(const Record &record) const {
  return askedByItself(record) || Domains[record.Domain].Silent;
}

void SilenceDetector::doubted(TimePoint now, size_t server, TimePoint sentAt) {
  Record *record = find(server);
  if (!record || record->LastReached >= sentAt || asked(*record))
    return;
  record->DoubtedSince = sentAt;
  record->WithDomain = false;
  record->Failed = 0;
  record->NextAttempt = now;
  updateAsked(server);
}

void SilenceDetector::doubtDomain(TimePoint now, size_t domain,
                                  TimePoint since) {
  uint32_t left = Settings.DoubtedTogether;
  for (size_t other = 0; other < Servers.size(); ++other) {
    Record &record = Servers[other];
    if (!record.Used || record.Domain != domain || asked(record))
      continue;
    doubted(now, other, since);
    if (!asked(record))
      continue;
    record.WithDomain = true;
    if (--left == 0)
      return;
  }
}

void SilenceDetector::arrived(size_t server, TimePoint sentAt) {
  LastProof = std::max(LastProof, sentAt);
  Record *found = find(server);
  if (!found)
    return;
  Record &record = *found;
  if (record.Silent && sentAt < record.SilentSince)
    return;
  record.LastReached = std::max(record.LastReached, sentAt);
  if (record.DoubtedSince == TimePoint{} || sentAt < record.DoubtedSince)
    return;
  record.DoubtedSince = {};
  updateAsked(server);
}

bool SilenceDetector::answered(TimePoint now, size_t server) {
  Record *found = find(server);
  if (!found)
    return false;
  Record &record = *found;
  record.LastAnswer = now;
  record.LastReached = now;
  record.DoubtedSince = {};
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
  record.AttemptFailed = false;
  record.Witnessed = 0;
  setProved(record, false);
  updateAsked(server);
  return was;
}

bool SilenceDetector::connected(TimePoint now, size_t server) {
  Record *found = find(server);
  if (!found)
    return false;
  Record &record = *found;
  LastProof = std::max(LastProof, record.AskedAt);
  if (record.Failed > 0 || record.AttemptFailed)
    doubtOwnLink(now);
  if (record.Silent || Domains[record.Domain].Silent)
    return answered(now, server);
  record.LastReached = now;
  record.DoubtedSince = {};
  updateAsked(server);
  record.Failed = 0;
  record.Witnessed = 0;
  Domains[record.Domain].LastAnswer = now;
  return false;
}

bool SilenceDetector::attemptFailed(TimePoint now, size_t server, bool sure) {
  Record *found = find(server);
  if (!found)
    return false;
  if (!asked(*found)) {
    // It was to accompany others.
    if (sure)
      doubtOwnLink(now);
    return false;
  }
  Record &record = *found;
  bool was = record.Silent;
  TimePoint since = was ? record.SilentSince : record.DoubtedSince;
  // Else it may be this daemon's own link that is full or cut.
  bool witnessed = sure && LastProof >= record.AskedAt && now >= UnsureUntil;
  bool proved = witnessed || (sure && now - since >= Settings.BlindSpan);
  record.Witnessed += witnessed ? 1 : 0;
  if (!was && record.DoubtedSince != TimePoint{} &&
      !settleDoubt(now, record, proved))
    return false;
  if (!was) {
    record.Silent = true;
    record.SilentSince =
        record.DoubtedSince == TimePoint{} ? now : record.DoubtedSince;
    record.Hold = Settings.FirstHold;
  }
  record.DoubtedSince = {};
  record.AttemptFailed = record.AttemptFailed || sure;
  setProved(record, record.Proved || proved);
  // Until it is known whether its open flows are lost, it is asked quickly.
  bool unsettled = witnessed && record.Witnessed < Settings.LostAttempts;
  if (!unsettled)
    record.Hold = std::min(record.Hold * 2, Settings.LongestHold);
  record.NextAttempt = now + (unsettled ? Settings.FirstHold : record.Hold);
  updateAsked(server);
  if (!was)
    judgeDomain(now, record.Domain);
  return !was;
}

bool SilenceDetector::settleDoubt(TimePoint now, Record &record, bool sure) {
  record.Failed += sure ? 1 : 0;
  // Domains fail and are cut off as a whole: its others are asked meanwhile.
  if (record.Failed == 1 && !record.WithDomain)
    doubtDomain(now, record.Domain, record.DoubtedSince);
  // One that could not be made waits for those that are under way.
  record.NextAttempt = sure ? now : now + Settings.FirstHold;
  return record.Failed >= Settings.FailedAttempts;
}

bool SilenceDetector::silent(size_t server) const {
  const Record *record = find(server);
  return record && (record->Silent || Domains[record->Domain].Silent);
}

bool SilenceDetector::unreachable(size_t server) const {
  const Record *record = find(server);
  return record && record->Silent && record->AttemptFailed;
}

bool SilenceDetector::lost(size_t server) const {
  const Record *record = find(server);
  return record && record->Silent && record->Witnessed >= Settings.LostAttempts;
}

bool SilenceDetector::outOfReach(size_t server) const {
  const Record *record = find(server);
  if (!record)
    return false;
  if (record->Silent && record->Proved)
    return true;
  const DomainRecord &whole = Domains[record->Domain];
  return whole.Silent && whole.Proved >= Settings.DomainLimit;
}

bool SilenceDetector::domainSilent(const DomainId &domain) const {
  auto it = DomainById.find(domain);
  return it != DomainById.end() && Domains[it->second].Silent;
}

std::vector<size_t> SilenceDetector::due(TimePoint now) {
  std::vector<size_t> found;
  visitAsked([&](size_t server) {
    if (Servers[server].NextAttempt <= now)
      found.push_back(server);
  });
  for (size_t server : found) {
    Servers[server].AskedAt = now;
    // Until the attempt ends, whichever way.
    Servers[server].NextAttempt = now + Settings.LongestHold;
  }
  return found;
}

std::optional<size_t> SilenceDetector::control(TimePoint now, size_t asked) {
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

TimePoint SilenceDetector::nextDue() const {
  TimePoint next(Duration::max());
  visitAsked([&](size_t server) {
    next = std::min(next, Servers[server].NextAttempt);
  });
  return next;
}

size_t SilenceDetector::silentServers() const {
  return static_cast<size_t>(
      std::count_if(Asked.begin(), Asked.end(),
                    [this](size_t it) { return Servers[it].Silent; }));
}

} // namespace balsamrack

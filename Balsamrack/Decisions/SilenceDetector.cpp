#include "Balsamrack/Decisions/SilenceDetector.h"

#include <algorithm>

namespace balsamrack {

void SilenceDetector::add(size_t server, const DomainId &domain) {
  Record record;
  record.Domain = domain;
  Servers.try_emplace(server, std::move(record));
  Domains.try_emplace(domain);
}

void SilenceDetector::remove(size_t server) {
  auto it = Servers.find(server);
  if (it == Servers.end())
    return;
  setProved(it->second, false);
  Servers.erase(it);
}

void SilenceDetector::doubtOwnLink(TimePoint now) {
  UnsureUntil = now + Settings.BlindSpan;
  for (auto &[server, record] : Servers)
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
  auto it = Servers.find(server);
  if (it == Servers.end() || it->second.LastAnswer >= sentAt)
    return false;
  Record &record = it->second;
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
  judgeDomain(now, record.Domain);
  return true;
}

void SilenceDetector::judgeDomain(TimePoint now, const DomainId &domain) {
  DomainRecord &whole = Domains[domain];
  uint32_t silent = 0;
  for (const auto &[server, record] : Servers)
    if (record.Domain == domain && record.Silent &&
        record.SilentSince > whole.LastAnswer)
      ++silent;
  if (whole.Silent || silent < Settings.DomainLimit)
    return;
  whole.Silent = true;
  // Guards against two dead servers that take a living third one with them: it
  // gets no openings now, so it is asked at once and speaks for its domain.
  for (auto &[server, record] : Servers)
    if (record.Domain == domain && !record.Silent)
      record.NextAttempt = now;
}

bool SilenceDetector::asked(const Record &record) const {
  return record.Silent || record.DoubtedSince != TimePoint{} ||
         domainSilent(record.Domain);
}

void SilenceDetector::doubted(TimePoint now, size_t server, TimePoint sentAt) {
  auto it = Servers.find(server);
  if (it == Servers.end() || it->second.LastReached >= sentAt ||
      asked(it->second))
    return;
  it->second.DoubtedSince = sentAt;
  it->second.WithDomain = false;
  it->second.Failed = 0;
  it->second.NextAttempt = now;
}

void SilenceDetector::doubtDomain(TimePoint now, const DomainId &domain,
                                  TimePoint since) {
  uint32_t left = Settings.DoubtedTogether;
  for (auto &[other, record] : Servers) {
    if (record.Domain != domain || asked(record))
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
  auto it = Servers.find(server);
  if (it == Servers.end())
    return;
  Record &record = it->second;
  if (record.Silent && sentAt < record.SilentSince)
    return;
  record.LastReached = std::max(record.LastReached, sentAt);
  if (record.DoubtedSince != TimePoint{} && sentAt >= record.DoubtedSince)
    record.DoubtedSince = {};
}

bool SilenceDetector::answered(TimePoint now, size_t server) {
  auto it = Servers.find(server);
  if (it == Servers.end())
    return false;
  Record &record = it->second;
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
    whole.Silent = false;
    for (auto &[other, its] : Servers)
      if (its.Domain == record.Domain && its.Silent)
        its.NextAttempt = now;
  }
  bool was = record.Silent;
  record.Silent = false;
  record.AttemptFailed = false;
  record.Witnessed = 0;
  setProved(record, false);
  return was;
}

bool SilenceDetector::connected(TimePoint now, size_t server) {
  auto it = Servers.find(server);
  if (it == Servers.end())
    return false;
  Record &record = it->second;
  LastProof = std::max(LastProof, record.AskedAt);
  if (record.Failed > 0 || record.AttemptFailed)
    doubtOwnLink(now);
  if (record.Silent || domainSilent(record.Domain))
    return answered(now, server);
  record.LastReached = now;
  record.DoubtedSince = {};
  record.Failed = 0;
  record.Witnessed = 0;
  Domains[record.Domain].LastAnswer = now;
  return false;
}

bool SilenceDetector::attemptFailed(TimePoint now, size_t server, bool sure) {
  auto it = Servers.find(server);
  if (it == Servers.end())
    return false;
  if (!asked(it->second)) {
    // It was to accompany others.
    if (sure)
      doubtOwnLink(now);
    return false;
  }
  Record &record = it->second;
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
  auto it = Servers.find(server);
  return it != Servers.end() &&
         (it->second.Silent || domainSilent(it->second.Domain));
}

bool SilenceDetector::unreachable(size_t server) const {
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.Silent && it->second.AttemptFailed;
}

bool SilenceDetector::lost(size_t server) const {
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.Silent &&
         it->second.Witnessed >= Settings.LostAttempts;
}

bool SilenceDetector::outOfReach(size_t server) const {
  auto it = Servers.find(server);
  if (it == Servers.end())
    return false;
  const Record &record = it->second;
  if (record.Silent && record.Proved)
    return true;
  const DomainRecord &whole = Domains.at(record.Domain);
  return whole.Silent && whole.Proved >= Settings.DomainLimit;
}

bool SilenceDetector::domainSilent(const DomainId &domain) const {
  auto it = Domains.find(domain);
  return it != Domains.end() && it->second.Silent;
}

std::vector<size_t> SilenceDetector::due(TimePoint now) {
  std::vector<size_t> found;
  for (auto &[server, record] : Servers) {
    if (!asked(record) || record.NextAttempt > now)
      continue;
    found.push_back(server);
    record.AskedAt = now;
    // Until the attempt ends, whichever way.
    record.NextAttempt = now + Settings.LongestHold;
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
  auto best = Servers.end();
  for (auto it = Servers.begin(); it != Servers.end(); ++it)
    if (!this->asked(it->second) &&
        (best == Servers.end() || better(it->second, best->second)))
      best = it;
  if (best == Servers.end())
    return std::nullopt;
  best->second.AskedAt = now;
  return best->first;
}

TimePoint SilenceDetector::nextDue() const {
  TimePoint next(Duration::max());
  for (const auto &[server, record] : Servers)
    if (asked(record))
      next = std::min(next, record.NextAttempt);
  return next;
}

size_t SilenceDetector::silentServers() const {
  return static_cast<size_t>(
      std::count_if(Servers.begin(), Servers.end(),
                    [](const auto &it) { return it.second.Silent; }));
}

} // namespace balsamrack

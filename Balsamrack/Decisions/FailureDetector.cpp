#include "Balsamrack/Decisions/FailureDetector.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// The first hold of a server at which nothing waits is this part of the
/// longest one.
constexpr int MinIntervalDivisor = 4;

} // namespace

FailureDetector::Record *FailureDetector::find(size_t server) {
  return server < Servers.size() && Servers[server].InUse ? &Servers[server]
                                                          : nullptr;
}

const FailureDetector::Record *FailureDetector::find(size_t server) const {
  return server < Servers.size() && Servers[server].InUse ? &Servers[server]
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
  Servers[server].InUse = true;
  Servers[server].DomainIndex = it->second;
}

void FailureDetector::remove(size_t server) {
  Record *record = find(server);
  if (!record)
    return;
  setFailureConfirmed(*record, false);
  setAttemptFailed(*record, false);
  *record = Record();
  updateProbed(server);
}

void FailureDetector::updateProbed(size_t server) {
  if (Servers[server].InUse && isProbedIndividually(Servers[server]))
    Probed.insert(server);
  else
    Probed.erase(server);
}

void FailureDetector::setDaemonCount(size_t daemons) {
  FleetProbeInterval =
      std::min(Settings.ProbeIntervalPerDaemon * static_cast<int64_t>(daemons),
               Settings.MaxFleetProbeInterval);
}

Duration FailureDetector::maxProbeInterval(const Record &record) const {
  // What is found of one server of a silent domain counts for all of it, and
  // few of them are asked.
  return Domains[record.DomainIndex].Silent
             ? Settings.MaxProbeInterval
             : std::max(Settings.MaxProbeInterval, FleetProbeInterval);
}

void FailureDetector::setDomainSilent(DomainRecord &domainRecord, bool silent) {
  if (domainRecord.Silent == silent)
    return;
  domainRecord.Silent = silent;
  SilentDomains += silent ? 1 : -1;
}

void FailureDetector::suspectOwnLink(TimePoint now) {
  LinkSuspectUntil = now + Settings.LinkSuspectPeriod;
  for (Record &record : Servers)
    if (record.ConfirmedFailures < Settings.LostAttemptLimit)
      record.ConfirmedFailures = 0;
}

void FailureDetector::setFailureConfirmed(Record &record, bool confirmed) {
  if (record.FailureConfirmed == confirmed)
    return;
  record.FailureConfirmed = confirmed;
  DomainRecord &domainRecord = Domains[record.DomainIndex];
  domainRecord.ConfirmedServers += confirmed ? 1 : -1;
}

void FailureDetector::setAttemptFailed(Record &record, bool failed) {
  if (record.AttemptFailed == failed)
    return;
  record.AttemptFailed = failed;
  Domains[record.DomainIndex].FailedServers += failed ? 1 : -1;
}

bool FailureDetector::reportUnanswered(TimePoint now, size_t server,
                                       TimePoint sentAt, uint32_t caller) {
  Record *found = find(server);
  if (!found || found->LastAnswer >= sentAt)
    return false;
  Record &record = *found;
  if (record.LastUnansweredCaller == caller)
    return false;
  record.LastUnansweredCaller = caller;
  ++record.UnansweredCallers;
  reportUndelivered(now, server, sentAt);
  if (record.Silent || record.UnansweredCallers < Settings.UnansweredLimit)
    return false;
  bool relapse = record.LastAnswer != TimePoint{} &&
                 now - record.LastAnswer < Settings.RelapseWindow;
  // A server that takes connections but no openings would else be tried with
  // callers' flows again and again.
  record.ProbeInterval =
      relapse && record.ProbeInterval > Duration{0}
          ? std::min(record.ProbeInterval * 2, maxProbeInterval(record))
          : Settings.MinProbeInterval;
  record.Silent = true;
  record.SilentSince = sentAt;
  record.SuspectedSince = {};
  record.NextProbe = now + (relapse ? record.ProbeInterval : Duration{0});
  updateProbed(server);
  evaluateDomain(now, record.DomainIndex);
  return true;
}

void FailureDetector::evaluateDomain(TimePoint now, size_t domain) {
  DomainRecord &domainRecord = Domains[domain];
  uint32_t silent = 0;
  for (size_t server : Probed) {
    const Record &record = Servers[server];
    if (record.DomainIndex == domain && record.Silent &&
        record.SilentSince > domainRecord.LastAnswer)
      ++silent;
  }
  if (domainRecord.Silent || silent < Settings.DomainThreshold)
    return;
  setDomainSilent(domainRecord, true);
  // Guards against two dead servers that take living ones with them: they get
  // no openings now, so some are asked at once and speak for their domain.
  domainRecord.NextProbe = now;
  domainRecord.ProbeInterval = Settings.MinProbeInterval;
}

bool FailureDetector::isProbed(const Record &record) const {
  return isProbedIndividually(record) || Domains[record.DomainIndex].Silent;
}

void FailureDetector::reportUndelivered(TimePoint now, size_t server,
                                        TimePoint sentAt) {
  Record *record = find(server);
  if (!record || record->LastReached >= sentAt)
    return;
  // A request waits for it, so it matters soon whether it is lost.
  if (record->Silent && record->ConfirmedFailures < Settings.LostAttemptLimit)
    record->NextProbe =
        std::min(record->NextProbe,
                 std::max(now, record->ProbedAt + Settings.MinProbeInterval));
  if (isProbed(*record))
    return;
  record->SuspectedSince = sentAt;
  record->SuspectedWithDomain = false;
  record->FailedAttempts = 0;
  record->NextProbe = now;
  updateProbed(server);
}

void FailureDetector::suspectDomain(TimePoint now, size_t domain,
                                    TimePoint since) {
  uint32_t left = Settings.MaxProbesPerDomain;
  for (size_t other = 0; other < Servers.size(); ++other) {
    Record &record = Servers[other];
    if (!record.InUse || record.DomainIndex != domain || isProbed(record))
      continue;
    reportUndelivered(now, other, since);
    if (!isProbed(record))
      continue;
    record.SuspectedWithDomain = true;
    if (--left == 0)
      return;
  }
}

void FailureDetector::reportDelivered(size_t server, TimePoint sentAt) {
  LastDeliverySentAt = std::max(LastDeliverySentAt, sentAt);
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
  updateProbed(server);
}

bool FailureDetector::reportAnswered(TimePoint now, size_t server) {
  Record *found = find(server);
  if (!found)
    return false;
  Record &record = *found;
  record.LastAnswer = now;
  record.LastReached = now;
  record.SuspectedSince = {};
  record.UnansweredCallers = 0;
  record.LastUnansweredCaller = 0;
  DomainRecord &domainRecord = Domains[record.DomainIndex];
  domainRecord.LastAnswer = now;
  // The others of a domain that speaks again are trusted too: the next two
  // openings or attempts tell.
  if (domainRecord.Silent) {
    setDomainSilent(domainRecord, false);
    for (size_t other : Probed)
      if (Servers[other].DomainIndex == record.DomainIndex &&
          Servers[other].Silent)
        Servers[other].NextProbe = now;
  }
  bool was = record.Silent;
  record.Silent = false;
  setAttemptFailed(record, false);
  record.ConfirmedFailures = 0;
  setFailureConfirmed(record, false);
  updateProbed(server);
  return was;
}

bool FailureDetector::reportConnected(TimePoint now, size_t server) {
  Record *found = find(server);
  if (!found)
    return false;
  Record &record = *found;
  LastDeliverySentAt = std::max(LastDeliverySentAt, record.ProbedAt);
  if (record.FailedAttempts > 0 || record.AttemptFailed)
    suspectOwnLink(now);
  if (record.Silent || Domains[record.DomainIndex].Silent)
    return reportAnswered(now, server);
  record.LastReached = now;
  record.SuspectedSince = {};
  updateProbed(server);
  record.FailedAttempts = 0;
  record.ConfirmedFailures = 0;
  Domains[record.DomainIndex].LastAnswer = now;
  return false;
}

bool FailureDetector::reportAttemptFailed(TimePoint now, size_t server,
                                          bool conclusive,
                                          bool requestsPending) {
  Record *found = find(server);
  if (!found)
    return false;
  if (!isProbed(*found)) {
    // It was to accompany others.
    if (conclusive)
      suspectOwnLink(now);
    return false;
  }
  Record &record = *found;
  bool was = record.Silent;
  TimePoint since = was ? record.SilentSince : record.SuspectedSince;
  // Else it may be this daemon's own link that is full or cut.
  bool linkWorked = conclusive && LastDeliverySentAt >= record.ProbedAt &&
                    now >= LinkSuspectUntil;
  bool confirmed =
      linkWorked || (conclusive && now - since >= Settings.LinkSuspectPeriod);
  record.ConfirmedFailures += linkWorked ? 1 : 0;
  if (!was && record.SuspectedSince != TimePoint{} &&
      !confirmSuspicion(now, record, confirmed))
    return false;
  if (!was) {
    record.Silent = true;
    record.SilentSince =
        record.SuspectedSince == TimePoint{} ? now : record.SuspectedSince;
    record.ProbeInterval = Settings.MinProbeInterval;
  }
  record.SuspectedSince = {};
  setAttemptFailed(record, record.AttemptFailed || conclusive);
  setFailureConfirmed(record, record.FailureConfirmed || confirmed);
  // Until it is known whether its open flows are lost, it is asked quickly.
  bool lossUnknown = requestsPending && linkWorked &&
                     record.ConfirmedFailures < Settings.LostAttemptLimit;
  if (!lossUnknown) {
    Duration longest = maxProbeInterval(record);
    // A large fleet begins with a longer one.
    Duration least =
        requestsPending ? Duration(0) : longest / MinIntervalDivisor;
    record.ProbeInterval =
        std::min(std::max(record.ProbeInterval * 2, least), longest);
  }
  record.NextProbe =
      now + (lossUnknown ? Settings.MinProbeInterval : record.ProbeInterval);
  updateProbed(server);
  if (!was)
    evaluateDomain(now, record.DomainIndex);
  return !was;
}

bool FailureDetector::confirmSuspicion(TimePoint now, Record &record,
                                       bool conclusive) {
  record.FailedAttempts += conclusive ? 1 : 0;
  // Domains fail and are cut off as a whole: its others are asked meanwhile.
  if (record.FailedAttempts == 1 && !record.SuspectedWithDomain)
    suspectDomain(now, record.DomainIndex, record.SuspectedSince);
  // One that could not be made waits for those that are under way.
  record.NextProbe = conclusive ? now : now + Settings.MinProbeInterval;
  return record.FailedAttempts >= Settings.FailedAttemptLimit;
}

bool FailureDetector::isSilent(size_t server) const {
  const Record *record = find(server);
  return record && (record->Silent || Domains[record->DomainIndex].Silent);
}

bool FailureDetector::isUnreachable(size_t server) const {
  const Record *record = find(server);
  if (!record)
    return false;
  if (record->Silent && record->AttemptFailed)
    return true;
  const DomainRecord &domainRecord = Domains[record->DomainIndex];
  return domainRecord.Silent &&
         domainRecord.FailedServers >= Settings.DomainThreshold;
}

bool FailureDetector::isLost(size_t server) const {
  const Record *record = find(server);
  return record && record->Silent &&
         record->ConfirmedFailures >= Settings.LostAttemptLimit;
}

bool FailureDetector::isOutOfReach(size_t server) const {
  const Record *record = find(server);
  if (!record)
    return false;
  if (record->Silent && record->FailureConfirmed)
    return true;
  const DomainRecord &domainRecord = Domains[record->DomainIndex];
  return domainRecord.Silent &&
         domainRecord.ConfirmedServers >= Settings.DomainThreshold;
}

bool FailureDetector::isDomainSilent(const DomainId &domain) const {
  auto it = DomainById.find(domain);
  return it != DomainById.end() && Domains[it->second].Silent;
}

bool FailureDetector::isProbedViaDomain(const Record &record) const {
  // Else a request there waits to be told whether it is lost.
  return Domains[record.DomainIndex].Silent && record.AttemptFailed &&
         record.ProbeInterval > Settings.MinProbeInterval;
}

void FailureDetector::startProbe(TimePoint now, size_t server,
                                 std::vector<size_t> &due) {
  Record &record = Servers[server];
  record.ProbedAt = now;
  // Until the attempt ends, whichever way.
  record.NextProbe = now + Settings.MaxProbeInterval;
  due.push_back(server);
}

void FailureDetector::startDomainProbes(TimePoint now, size_t domain,
                                        std::vector<size_t> &due) {
  DomainRecord &domainRecord = Domains[domain];
  domainRecord.NextProbe = now + domainRecord.ProbeInterval;
  domainRecord.ProbeInterval =
      std::min(domainRecord.ProbeInterval * 2, Settings.MaxProbeInterval);
  uint32_t left = Settings.MaxProbesPerDomain;
  // Each round goes on where the last one ended, so that the living are found.
  size_t first = domainRecord.LastProbed + 1;
  for (size_t i = 0; i < Servers.size() && left > 0; ++i) {
    size_t server = (first + i) % Servers.size();
    const Record &record = Servers[server];
    bool probed = record.ProbedAt == now;
    if (!record.InUse || record.DomainIndex != domain || probed)
      continue;
    domainRecord.LastProbed = server;
    startProbe(now, server, due);
    --left;
  }
}

std::vector<size_t> FailureDetector::takeDueProbes(TimePoint now) {
  std::vector<size_t> found;
  for (size_t server : Probed) {
    const Record &record = Servers[server];
    if (!isProbedViaDomain(record) && record.NextProbe <= now)
      startProbe(now, server, found);
  }
  if (SilentDomains == 0)
    return found;
  for (size_t domain = 0; domain < Domains.size(); ++domain)
    if (Domains[domain].Silent && Domains[domain].NextProbe <= now)
      startDomainProbes(now, domain, found);
  return found;
}

std::optional<size_t> FailureDetector::chooseControlProbe(TimePoint now,
                                                          size_t probed) {
  const Record &first = Servers.at(probed);
  if (first.ConfirmedFailures >= Settings.LostAttemptLimit)
    return std::nullopt;
  // Another domain's, since domains fail as a whole; then the last reached.
  auto better = [&](const Record &a, const Record &b) {
    bool aElsewhere = a.DomainIndex != first.DomainIndex;
    bool bElsewhere = b.DomainIndex != first.DomainIndex;
    return aElsewhere != bElsewhere ? aElsewhere
                                    : a.LastReached > b.LastReached;
  };
  std::optional<size_t> best;
  for (size_t server = 0; server < Servers.size(); ++server) {
    const Record &record = Servers[server];
    if (record.InUse && !this->isProbed(record) &&
        (!best || better(record, Servers[*best])))
      best = server;
  }
  if (best)
    Servers[*best].ProbedAt = now;
  return best;
}

TimePoint FailureDetector::nextProbeAt() const {
  TimePoint next(Duration::max());
  for (size_t server : Probed)
    if (!isProbedViaDomain(Servers[server]))
      next = std::min(next, Servers[server].NextProbe);
  if (SilentDomains == 0)
    return next;
  for (const DomainRecord &domainRecord : Domains)
    if (domainRecord.Silent)
      next = std::min(next, domainRecord.NextProbe);
  return next;
}

size_t FailureDetector::silentServerCount() const {
  return static_cast<size_t>(
      std::count_if(Probed.begin(), Probed.end(),
                    [this](size_t it) { return Servers[it].Silent; }));
}

} // namespace balsamrack

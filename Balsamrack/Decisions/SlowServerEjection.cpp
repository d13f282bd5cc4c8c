#include "Balsamrack/Decisions/SlowServerEjection.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace balsamrack {

namespace {

/// Score of a suspected server, and of one that returns: its recent ejection is
/// evidence already.
constexpr int SuspectScore = 5;
constexpr int RelapseScore = 2;
/// Requests under this ratio speak against a slow server: 79% of a healthy
/// server's requests, 8% where all take three times as long.
constexpr double FastRatio = 1.5;
/// Peers over this ratio since a server is suspected are slow as well.
constexpr double SlowPeerRatio = 1.5;
/// Slow requests further apart do not add up. A daemon that sends a server a
/// flow now and then can't distinguish a slow server from one that other
/// daemons' flows fill.
constexpr Duration ScoreRetention{4'000'000};
/// Good answers after which a server returns, and gets all of its slots.
constexpr uint32_t GoodToReturn = 3;
constexpr uint32_t GoodToFull = 8;
/// Mean ratio of these answers. Three answers of a server that is three times
/// slower would all be under that bound with .12.
constexpr double ReturnRatio = 2;
/// At most one of this many servers is ejected.
constexpr size_t ServersPerEjected = 3;

double medianOf(std::vector<SlowServerPeer> peers) {
  auto middle = peers.begin() + static_cast<ptrdiff_t>((peers.size() - 1) / 2);
  std::nth_element(peers.begin(), middle, peers.end(),
                   [](const SlowServerPeer &a, const SlowServerPeer &b) {
                     return a.LogRatio < b.LogRatio;
                   });
  return middle->LogRatio;
}

/// True when the slowness is not that of a whole failure domain.
bool isDomainFast(const std::vector<SlowServerPeer> &peers,
                  bool aloneInDomain) {
  size_t slow = 0, all = 0;
  for (const SlowServerPeer &it : peers) {
    all += it.SameDomain ? 1 : 0;
    slow += it.SameDomain && it.LogRatio > std::log(SlowPeerRatio) ? 1 : 0;
  }
  return all == 0 ? aloneInDomain : slow * 2 < all;
}

} // namespace

SlowServerEjection::Change
SlowServerEjection::recordAnswer(TimePoint now,
                                 const SlowServerSample &sample) {
  if (sample.LogRatio > std::log(SlowRatio))
    return addSlow(now, sample);
  auto it = Servers.find(sample.Server);
  if (it == Servers.end())
    return Change::None;
  Record &record = it->second;
  if (record.State == SlowServerState::Ejected)
    return addProbe(now, record, sample);
  if (sample.LogRatio < std::log(FastRatio))
    record.Score = std::max(0, record.Score - 1);
  if (record.State == SlowServerState::Normal) {
    if (record.Score == 0)
      Servers.erase(it);
    return Change::None;
  }
  if (++record.Good < GoodToFull)
    return Change::None;
  Servers.erase(it);
  return Change::ReturnedFull;
}

SlowServerEjection::Change
SlowServerEjection::recordOverdue(TimePoint now,
                                  const SlowServerSample &sample) {
  return addSlow(now, sample);
}

SlowServerEjection::Change
SlowServerEjection::addSlow(TimePoint now, const SlowServerSample &sample) {
  Record &record = Servers[sample.Server];
  if (record.State == SlowServerState::Ejected) {
    // Earlier requests were sent before the server could recover.
    if (sample.StartedAt < record.HoldUntil)
      return Change::None;
    extendHold(now, record);
    return Change::HoldExtended;
  }
  if (record.Score == 0 || now - record.LastSlow > ScoreRetention) {
    record.Score = 0;
    record.SlowSince = sample.StartedAt;
    record.SlowSum = 0;
    record.SlowCount = 0;
  }
  ++record.Score;
  record.SlowSince = std::min(record.SlowSince, sample.StartedAt);
  record.LastSlow = now;
  record.SlowSum += sample.LogRatio;
  ++record.SlowCount;
  return Change::None;
}

SlowServerEjection::Change
SlowServerEjection::addProbe(TimePoint now, Record &record,
                             const SlowServerSample &sample) {
  if (sample.StartedAt < record.HoldUntil)
    return Change::None;
  record.GoodSum += sample.LogRatio;
  if (++record.Good < GoodToReturn)
    return Change::None;
  if (record.GoodSum / record.Good > std::log(ReturnRatio)) {
    extendHold(now, record);
    return Change::HoldExtended;
  }
  record.State = SlowServerState::Returning;
  record.Good = 0;
  record.Score = 0;
  return Change::ReturnedHalf;
}

void SlowServerEjection::extendHold(TimePoint now, Record &record) {
  record.Hold = std::min(record.Hold * 2, MaxHold);
  record.HoldUntil = now + record.Hold;
  record.Good = 0;
  record.GoodSum = 0;
}

void SlowServerEjection::retractOverdue(size_t server) {
  auto it = Servers.find(server);
  if (it == Servers.end() || it->second.State == SlowServerState::Ejected)
    return;
  Record &record = it->second;
  record.Score = std::max(0, record.Score - 1);
  if (record.Score == 0 && record.State == SlowServerState::Normal)
    Servers.erase(it);
}

std::vector<size_t> SlowServerEjection::suspects() const {
  std::vector<size_t> found;
  for (const auto &[server, it] : Servers) {
    bool returning = it.State == SlowServerState::Returning;
    if (it.State != SlowServerState::Ejected &&
        it.Score >= (returning ? RelapseScore : SuspectScore))
      found.push_back(server);
  }
  // The slowest come first, since the number of ejected servers is limited.
  std::stable_sort(found.begin(), found.end(), [this](size_t a, size_t b) {
    return slowRatio(a) > slowRatio(b);
  });
  return found;
}

TimePoint SlowServerEjection::suspectedSince(size_t server) const {
  assert(Servers.count(server) > 0);
  return Servers.at(server).SlowSince;
}

SlowServerEjection::Change
SlowServerEjection::decide(TimePoint now, size_t server,
                           const std::vector<SlowServerPeer> &peers,
                           bool aloneInDomain, size_t accepting) {
  Record &record = Servers.at(server);
  if (now - record.LastSlow > ScoreRetention) {
    record.Score = 0;
    return Change::None;
  }
  size_t samples = 0;
  for (const SlowServerPeer &it : peers)
    samples += it.Samples;
  if (samples < MinPeerSamples ||
      (ejectedCount() + 1) * ServersPerEjected > accepting)
    return Change::None;
  if (medianOf(peers) > std::log(SlowPeerRatio) ||
      !isDomainFast(peers, aloneInDomain))
    return Change::None;
  bool relapsed = record.State == SlowServerState::Returning;
  record.State = SlowServerState::Ejected;
  if (!relapsed)
    record.Hold = FirstHold / 2;
  extendHold(now, record);
  return Change::Ejected;
}

SlowServerState SlowServerEjection::state(size_t server) const {
  auto it = Servers.find(server);
  return it == Servers.end() ? SlowServerState::Normal : it->second.State;
}

bool SlowServerEjection::mayProbe(TimePoint now, size_t server) const {
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.State == SlowServerState::Ejected &&
         now >= it->second.HoldUntil;
}

std::vector<size_t> SlowServerEjection::ejectedServers() const {
  std::vector<size_t> found;
  for (const auto &[server, it] : Servers)
    if (it.State == SlowServerState::Ejected)
      found.push_back(server);
  return found;
}

size_t SlowServerEjection::ejectedCount() const {
  return static_cast<size_t>(
      std::count_if(Servers.begin(), Servers.end(), [](const auto &it) {
        return it.second.State == SlowServerState::Ejected;
      }));
}

double SlowServerEjection::slowRatio(size_t server) const {
  auto it = Servers.find(server);
  if (it == Servers.end() || it->second.SlowCount == 0)
    return 0;
  return std::exp(it->second.SlowSum / it->second.SlowCount);
}

} // namespace balsamrack

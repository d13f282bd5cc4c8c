#include "Balsamrack/Decisions/OutlierEjection.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Quantile of the answer times by which servers are compared.
constexpr double ComparedShare = 0.25;

} // namespace

OutlierEjection::OutlierEjection(const EjectionSettings &settings)
    : Settings(settings) {}

void OutlierEjection::setServers(const std::set<ServerId> &servers) {
  for (auto it = Servers.begin(); it != Servers.end();)
    it = servers.count(it->first) == 0 ? Servers.erase(it) : std::next(it);
  for (const ServerId &server : servers)
    Servers.try_emplace(server);
}

const char *OutlierEjection::recordResult(TimePoint now, const ServerId &server,
                                          bool good,
                                          std::optional<Duration> took) {
  auto it = Servers.find(server);
  if (it == Servers.end() || !Settings.Enabled)
    return nullptr;
  Record &record = it->second;
  if (record.Ejected)
    return evaluateProbe(now, server, good, took.value_or(Duration(0)));
  if (!good) {
    ++record.FailuresInRow;
    // A timeout is a lower bound on the server's answer time; a quick failure
    // is not.
    if (took && *took > record.Times.quantile(0.5))
      record.Times.add(*took);
    bool many = record.FailuresInRow >= Settings.FailuresInRow;
    if (many)
      return eject(now, record) ? "failures-in-row" : nullptr;
  } else {
    record.FailuresInRow = 0;
    if (took)
      record.Times.add(*took);
  }
  bool slow = isSlowerThanPeers(server, record);
  return slow && eject(now, record) ? "slower-than-peers" : nullptr;
}

bool OutlierEjection::tryAdmit(TimePoint now, const ServerId &server,
                               RequestId request) {
  auto it = Servers.find(server);
  if (it == Servers.end() || !it->second.Ejected)
    return true;
  Record &record = it->second;
  if (now < record.HoldUntil || record.Probe)
    return false;
  record.Probe = request;
  return true;
}

void OutlierEjection::finishProbe(const ServerId &server, RequestId request) {
  auto it = Servers.find(server);
  // A probe that never reached the server must not block the next one.
  if (it != Servers.end() && it->second.Probe == request)
    it->second.Probe.reset();
}

bool OutlierEjection::isEjected(const ServerId &server) const {
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.Ejected;
}

std::optional<TimePoint>
OutlierEjection::holdEnd(const ServerId &server) const {
  if (!isEjected(server))
    return std::nullopt;
  return Servers.at(server).HoldUntil;
}

const char *OutlierEjection::evaluateProbe(TimePoint now,
                                           const ServerId &server, bool good,
                                           Duration took) {
  Record &record = Servers.at(server);
  // Requests of established flows that end during the hold were sent before
  // the server could recover.
  if (now < record.HoldUntil)
    return nullptr;
  record.GoodProbes += good ? 1 : 0;
  record.ProbeTime += took;
  if (good && record.GoodProbes < Settings.ProbesToReturn)
    return nullptr;
  if (!good || areProbesSlow(server, record)) {
    record.GoodProbes = 0;
    record.ProbeTime = Duration(0);
    record.Hold = std::min(record.Hold * 2, Settings.MaxHold);
    record.HoldUntil = now + record.Hold;
    return "probe-failed";
  }
  // Answer times from before the ejection would eject the server again at once.
  record = Record();
  return "probes-good";
}

bool OutlierEjection::eject(TimePoint now, Record &record) {
  size_t ejected =
      std::count_if(Servers.begin(), Servers.end(),
                    [](const auto &server) { return server.second.Ejected; });
  auto share =
      Settings.MaxEjectedFraction * static_cast<double>(Servers.size());
  size_t most = Settings.MaxEjectedFraction > 0
                    ? std::max<size_t>(1, static_cast<size_t>(share))
                    : 0;
  if (ejected >= most)
    return false;
  record.Ejected = true;
  record.GoodProbes = 0;
  record.Hold = Settings.FirstHold;
  record.HoldUntil = now + record.Hold;
  return true;
}

std::vector<const AnswerTimes *>
OutlierEjection::peersOf(const ServerId &server) const {
  std::vector<const AnswerTimes *> peers;
  for (const auto &[id, other] : Servers)
    if (id != server && !other.Ejected &&
        other.Times.count() >= Settings.MinSamples)
      peers.push_back(&other.Times);
  return peers;
}

bool OutlierEjection::isSlowerThanPeers(const ServerId &server,
                                        const Record &record) const {
  if (record.Times.count() < Settings.MinSamples)
    return false;
  std::vector<Duration> times;
  for (const AnswerTimes *peer : peersOf(server))
    times.push_back(peer->quantile(ComparedShare));
  if (times.empty())
    return false;
  auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  double bound = static_cast<double>(middle->count()) * Settings.SlowFactor;
  Duration own = record.Times.quantile(ComparedShare);
  return static_cast<double>(own.count()) > bound;
}

bool OutlierEjection::areProbesSlow(const ServerId &server,
                                    const Record &record) const {
  std::vector<const AnswerTimes *> peers = peersOf(server);
  if (peers.empty())
    return false;
  Duration sum(0);
  for (const AnswerTimes *peer : peers)
    sum += peer->mean();
  auto count = static_cast<int64_t>(peers.size());
  auto mean = static_cast<double>((sum / count).count());
  double own =
      static_cast<double>(record.ProbeTime.count()) / Settings.ProbesToReturn;
  return own > mean * Settings.SlowFactor;
}

} // namespace balsamrack

#include "Balsamrack/Decisions/ServerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace balsamrack {

namespace {

/// Samples that the typical time of a route needs.
constexpr size_t TypicalSamples = 32;
/// Time constant of the typical time. It must be long against an overload of
/// some seconds, which reference() shows then.
constexpr double TypicalMicros = 30e6;
/// Largest deviation of one sample, as a logarithm. A server that is 8 times
/// slower would otherwise shift the typical time of its route.
constexpr double MaxTypicalStep = 1;
/// Largest deviation of a server's sample: four times as long as typical.
constexpr double MaxLogTime = 1.4;
/// Time constant of a sample's weight. A server that is too expensive to get
/// flows gives no samples, so its estimate must return to 1 by itself.
constexpr double WeightMicros = 30e6;
/// Samples for half of the weight of an estimate.
constexpr double HalfWeight = 8;
/// Standard deviation of the relative times: .5 of log-normal requests, more
/// with 3% of long ones.
constexpr double Spread = 0.6;
/// Estimates within this many standard errors count as 1. With two, chance and
/// waits shifted the prices of even servers enough for 17% more late answers at
/// 80% load.
constexpr double StandardErrors = 3;
/// Weight below which a server is forgotten.
constexpr double MinWeight = 0.1;
/// Speeds nearer to 1 count as 1: waits behind other daemons' flows, which this
/// daemon does not see, shift the times of its own and of other servers apart.
constexpr double MinLogSpeed = 0.2;
/// Number of recent samples that are compared, in all and of one server, and
/// their greatest age. A daemon with few flows has samples of three servers
/// within some seconds, most of them of its own two.
constexpr size_t MaxRecent = 96;
constexpr size_t MaxRecentOfServer = 8;
constexpr Duration MaxRecentAge{10'000'000};
/// Servers that a median needs.
constexpr size_t MinServers = 3;

double logMicros(const SpeedSample &sample) {
  Duration took = std::max(sample.Took, ServerSpeeds::MinTime);
  return std::log(static_cast<double>(took.count())) - sample.LogQueue;
}

} // namespace

std::optional<double>
ServerSpeeds::relativeTime(const SpeedSample &sample) const {
  auto route = Routes.find(sample.Route);
  if (route == Routes.end() || route->second.Samples < TypicalSamples)
    return std::nullopt;
  return logMicros(sample) - route->second.LogMicros;
}

void ServerSpeeds::updateRoute(TimePoint now, const SpeedSample &sample) {
  RouteTime &route = Routes[sample.Route];
  double time = logMicros(sample);
  if (route.Samples == 0)
    route.LogMicros = time;
  double step =
      std::clamp(time - route.LogMicros, -MaxTypicalStep, MaxTypicalStep);
  auto since = static_cast<double>((now - route.UpdatedAt).count());
  double weight =
      std::min(1 - std::exp(-since / TypicalMicros), 1.0 / TypicalSamples);
  if (route.Samples < TypicalSamples)
    weight = 1 / static_cast<double>(++route.Samples);
  route.UpdatedAt = now;
  route.LogMicros += step * weight;
}

std::optional<double> ServerSpeeds::addAnswer(TimePoint now,
                                              const SpeedSample &sample,
                                              bool comparable) {
  std::optional<double> time = relativeTime(sample);
  updateRoute(now, sample);
  if (!time)
    return std::nullopt;
  if (comparable)
    compare(now, sample, *time);
  if (!Reference)
    return time;
  Record &record = Servers[sample.Server];
  record.Weight = weightAt(now, record) + 1;
  record.UpdatedAt = now;
  double bounded = std::clamp(*time - *Reference, -MaxLogTime, MaxLogTime);
  record.LogTime += (bounded - record.LogTime) / record.Weight;
  return time;
}

std::optional<double> ServerSpeeds::addOverdue(TimePoint now,
                                               const SpeedSample &sample) {
  std::optional<double> time = relativeTime(sample);
  if (time)
    compare(now, sample, *time);
  return time;
}

void ServerSpeeds::compare(TimePoint now, const SpeedSample &sample,
                           double logTime) {
  auto isSame = [&](const Compared &it) { return it.Server == sample.Server; };
  auto same = std::count_if(Recent.begin(), Recent.end(), isSame);
  if (static_cast<size_t>(same) >= MaxRecentOfServer)
    Recent.erase(std::find_if(Recent.begin(), Recent.end(), isSame));
  Recent.push_back({sample.Server, sample.StartedAt, now, logTime});
  while (Recent.size() > MaxRecent || now - Recent.front().At > MaxRecentAge)
    Recent.pop_front();
  updateReference();
}

void ServerSpeeds::updateReference() {
  std::vector<ServerTime> all = peersSince(SIZE_MAX, TimePoint{});
  Reference.reset();
  if (all.size() < MinServers)
    return;
  auto middle = all.begin() + static_cast<ptrdiff_t>((all.size() - 1) / 2);
  std::nth_element(all.begin(), middle, all.end(),
                   [](const ServerTime &a, const ServerTime &b) {
                     return a.LogTime < b.LogTime;
                   });
  Reference = middle->LogTime;
}

std::vector<ServerTime> ServerSpeeds::peersSince(size_t server,
                                                 TimePoint since) const {
  std::vector<ServerTime> all;
  for (const Compared &it : Recent)
    if (it.Server != server && it.StartedAt >= since)
      all.push_back({it.Server, it.LogTime, 1});
  std::sort(all.begin(), all.end(),
            [](const ServerTime &a, const ServerTime &b) {
              return a.Server < b.Server;
            });
  // Replaces the samples of each server by their mean.
  size_t used = 0;
  for (size_t i = 0; i < all.size();) {
    size_t first = i;
    double sum = 0;
    for (; i < all.size() && all[i].Server == all[first].Server; ++i)
      sum += all[i].LogTime;
    all[used++] = {all[first].Server, sum / static_cast<double>(i - first),
                   i - first};
  }
  all.resize(used);
  return all;
}

void ServerSpeeds::forget(size_t server) {
  Servers.erase(server);
  Recent.erase(std::remove_if(Recent.begin(), Recent.end(),
                              [server](const Compared &it) {
                                return it.Server == server;
                              }),
               Recent.end());
  updateReference();
}

std::optional<Duration> ServerSpeeds::typicalTime(size_t route) const {
  auto it = Routes.find(route);
  if (it == Routes.end() || it->second.Samples < TypicalSamples)
    return std::nullopt;
  return Duration(static_cast<int64_t>(std::exp(it->second.LogMicros)));
}

double ServerSpeeds::weightAt(TimePoint now, const Record &record) {
  auto age = static_cast<double>((now - record.UpdatedAt).count());
  return record.Weight * std::exp(-age / WeightMicros);
}

double ServerSpeeds::samples(TimePoint now, size_t server) const {
  auto it = Servers.find(server);
  return it == Servers.end() ? 0 : weightAt(now, it->second);
}

double ServerSpeeds::speed(TimePoint now, size_t server) const {
  auto it = Servers.find(server);
  double weight = samples(now, server);
  if (weight < MinWeight)
    return 1;
  double faster = -it->second.LogTime;
  double chance = StandardErrors * Spread / std::sqrt(weight);
  if (std::abs(faster) < std::max(chance, MinLogSpeed))
    return 1;
  double pulled = faster * weight / (weight + HalfWeight);
  return std::clamp(std::exp(pulled), MinSpeed, MaxSpeed);
}

void ServerSpeeds::expire(TimePoint now) {
  absl::erase_if(Servers, [now](const auto &it) {
    return weightAt(now, it.second) < MinWeight;
  });
}

} // namespace balsamrack

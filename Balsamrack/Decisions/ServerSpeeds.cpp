#include "Balsamrack/Decisions/ServerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace balsamrack {

namespace {

/// Samples that the typical time of a route needs, and divisor for the weight
/// of one later sample. The time must follow a load that slows all servers
/// within two seconds at 18 requests a second.
constexpr size_t TypicalSamples = 16;
/// Largest deviation of one sample, as a logarithm. A server that is 8 times
/// slower would otherwise shift the typical time of its route.
constexpr double MaxTypicalStep = 1;
/// Largest deviation of a server's sample: four times as long as typical.
constexpr double MaxLogTime = 1.4;
/// Time constant of a sample's weight. A server that is too expensive to get
/// flows gives no samples, so its estimate must return to 1 by itself.
constexpr double WeightMicros = 15e6;
/// Samples for half of the weight of an estimate.
constexpr double HalfWeight = 8;
/// Standard deviation of the relative times: .5 of log-normal requests, more
/// with 3% of long ones.
constexpr double Spread = 0.6;
/// Estimates within this many standard errors count as 1.
constexpr double StandardErrors = 2;
/// Weight below which a server is forgotten.
constexpr double MinWeight = 0.1;
/// Number of recent samples that are compared, and their greatest age. A daemon
/// with few flows has three servers with samples within some seconds.
constexpr size_t MaxRecent = 64;
constexpr Duration MaxRecentAge{10'000'000};
/// Servers that a median needs.
constexpr size_t MinServers = 3;

double logMicros(Duration took) {
  return std::log(
      static_cast<double>(std::max(took, ServerSpeeds::MinTime).count()));
}

} // namespace

std::optional<double>
ServerSpeeds::relativeTime(const SpeedSample &sample) const {
  auto route = Routes.find(sample.Route);
  if (route == Routes.end() || route->second.Samples < TypicalSamples)
    return std::nullopt;
  return logMicros(sample.Took) - route->second.LogMicros;
}

void ServerSpeeds::updateRoute(const SpeedSample &sample) {
  RouteTime &route = Routes[sample.Route];
  double time = logMicros(sample.Took);
  if (route.Samples == 0)
    route.LogMicros = time;
  if (route.Samples < TypicalSamples)
    ++route.Samples;
  double step =
      std::clamp(time - route.LogMicros, -MaxTypicalStep, MaxTypicalStep);
  route.LogMicros += step / static_cast<double>(route.Samples);
}

std::optional<double> ServerSpeeds::addAnswer(TimePoint now,
                                              const SpeedSample &sample,
                                              bool comparable) {
  std::optional<double> time = relativeTime(sample);
  updateRoute(sample);
  if (!time)
    return std::nullopt;
  if (comparable)
    compare(now, sample, *time);
  Record &record = Servers[sample.Server];
  record.Weight = weightAt(now, record) + 1;
  record.UpdatedAt = now;
  double bounded = std::clamp(*time, -MaxLogTime, MaxLogTime);
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
      all.push_back({it.Server, it.LogTime});
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
    all[used++] = {all[first].Server, sum / static_cast<double>(i - first)};
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
  if (!Reference || weight < MinWeight)
    return 1;
  double faster = *Reference - it->second.LogTime;
  double chance = StandardErrors * Spread / std::sqrt(weight);
  double certain = std::max(0.0, std::abs(faster) - chance);
  double pulled =
      std::copysign(certain, faster) * weight / (weight + HalfWeight);
  return std::clamp(std::exp(pulled), MinSpeed, MaxSpeed);
}

void ServerSpeeds::expire(TimePoint now) {
  absl::erase_if(Servers, [now](const auto &it) {
    return weightAt(now, it.second) < MinWeight;
  });
}

} // namespace balsamrack

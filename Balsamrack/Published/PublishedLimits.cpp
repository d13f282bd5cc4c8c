#include "Balsamrack/Published/PublishedLimits.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace balsamrack {

namespace {

bool isValidName(const std::string &name) {
  return !name.empty() && name.size() <= MaxPublishedNameBytes;
}

bool isValidDuration(Duration d) {
  return d >= Duration{0} && d <= MaxPublishedDuration;
}

void clampDuration(Duration &d) {
  d = std::clamp(d, Duration{0}, MaxPublishedDuration);
}

} // namespace

bool isWithinLimits(const PublishedServer &server) {
  const BackendServer &what = server.Server;
  return isValidName(what.Service.str()) && isValidName(what.Domain.str()) &&
         what.At.Port != 0 && what.Slots > 0 &&
         what.Slots <= MaxPublishedSlots && isValidDuration(server.ColdLeft);
}

bool isWithinLimits(const OperatorConfiguration &configuration) {
  auto isValidRoute = [](const PublishedRoute &route) {
    return std::all_of(
        route.Targets.begin(), route.Targets.end(),
        [](const RouteTarget &it) { return isValidName(it.Service.str()); });
  };
  return std::all_of(configuration.Routes.begin(), configuration.Routes.end(),
                     isValidRoute) &&
         std::all_of(configuration.Services.begin(),
                     configuration.Services.end(),
                     [](const PublishedService &it) {
                       return isValidName(it.Id.str());
                     });
}

void clampToLimits(OperatorConfiguration &configuration) {
  for (PublishedRoute &route : configuration.Routes) {
    clampDuration(route.Objective);
    clampDuration(route.Timeout);
    route.Priority = std::min(route.Priority, LowestPriority);
  }
  for (PublishedService &service : configuration.Services) {
    // Also false for NaN.
    if (!(service.ColdPerSecond >= 0))
      service.ColdPerSecond = 0;
    service.ColdPerSecond = std::min(service.ColdPerSecond, MaxColdPerSecond);
  }
  clampDuration(configuration.IdleTimeout);
}

Duration publishedDuration(double count, int64_t unitMicros) {
  assert(!std::isnan(count));
  double micros = std::clamp(count * static_cast<double>(unitMicros), 0.0,
                             static_cast<double>(MaxPublishedDuration.count()));
  return Duration(static_cast<int64_t>(micros));
}

} // namespace balsamrack

#include "Balsamrack/Peers/RouteGroups.h"

#include <arpa/inet.h>

#include <cstring>
#include <map>
#include <tuple>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

constexpr size_t IpBytes = 4;
constexpr size_t PortBytes = 2;
constexpr size_t AddressBytes = IpBytes + PortBytes;

/// All fields of a route except its address, as an ordered key.
using CommonKey = std::tuple<std::vector<std::pair<std::string, uint32_t>>,
                             Duration, Duration, bool, uint32_t>;

CommonKey commonKeyOf(const PublishedRoute &route) {
  std::vector<std::pair<std::string, uint32_t>> targets;
  targets.reserve(route.Targets.size());
  for (const RouteTarget &it : route.Targets)
    targets.emplace_back(it.Service.str(), it.Weight);
  return {std::move(targets), route.Objective, route.Timeout, route.Idempotent,
          route.Priority};
}

void appendAddress(std::string &out, const Address &address) {
  in_addr ip{};
  inet_pton(AF_INET, address.Ip.c_str(), &ip);
  uint16_t port = htons(address.Port);
  out.append(reinterpret_cast<const char *>(&ip), IpBytes);
  out.append(reinterpret_cast<const char *>(&port), PortBytes);
}

Address readAddress(const char *in) {
  in_addr ip{};
  uint16_t port = 0;
  std::memcpy(&ip, in, IpBytes);
  std::memcpy(&port, in + IpBytes, PortBytes);
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &ip, text, sizeof text);
  return {text, ntohs(port)};
}

} // namespace

std::vector<RouteGroup> groupRoutes(const std::vector<PublishedRoute> &routes) {
  std::vector<RouteGroup> groups;
  std::map<CommonKey, size_t> indexOf;
  for (const PublishedRoute &route : routes) {
    auto [it, isNew] = indexOf.emplace(commonKeyOf(route), groups.size());
    if (isNew) {
      groups.push_back({route, {}});
      groups.back().Common.At = Address();
    }
    appendAddress(groups[it->second].Addresses, route.At);
  }
  return groups;
}

absl::StatusOr<std::vector<PublishedRoute>>
ungroupRoutes(const std::vector<RouteGroup> &groups) {
  std::vector<PublishedRoute> routes;
  for (const RouteGroup &group : groups) {
    if (group.Addresses.size() % AddressBytes != 0)
      return makeError(absl::StatusCode::kInvalidArgument,
                       Step::DecodePeerMessage, "",
                       "a list of route addresses is cut off");
    for (size_t at = 0; at < group.Addresses.size(); at += AddressBytes) {
      PublishedRoute route = group.Common;
      route.At = readAddress(group.Addresses.data() + at);
      routes.push_back(std::move(route));
    }
  }
  return routes;
}

} // namespace balsamrack

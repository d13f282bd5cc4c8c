#include "Balsamrack/Flows/RoutingView.h"

#include <algorithm>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

bool lessById(const RoutedServer &a, const RoutedServer &b) {
  return a.Server.Id < b.Server.Id;
}

absl::Status prepare(const ServiceId &id, ServiceRoute &route) {
  std::sort(route.Servers.begin(), route.Servers.end(), lessById);
  std::vector<RankedServer> ranked;
  for (const RoutedServer &it : route.Servers) {
    if (it.Server.Service != id)
      return makeError(absl::StatusCode::kInvalidArgument, Step::Place,
                       it.Server.Id.str(),
                       absl::StrCat("not a server of ", id.str()));
    if (!ranked.empty() && ranked.back().Server == it.Server.Id)
      return makeError(absl::StatusCode::kInvalidArgument, Step::Place,
                       it.Server.Id.str(), "server listed twice");
    ranked.push_back({it.Server.Id, it.Server.Weight});
  }
  route.Rank = FlowRank(ranked);
  route.EarlierRanks.clear();
  for (const std::vector<RankedServer> &it : route.EarlierServers)
    route.EarlierRanks.emplace_back(it);
  return absl::OkStatus();
}

} // namespace

const RoutedServer *ServiceRoute::find(const ServerId &server) const {
  auto it = std::lower_bound(
      Servers.begin(), Servers.end(), server,
      [](const RoutedServer &a, const ServerId &b) { return a.Server.Id < b; });
  return it != Servers.end() && it->Server.Id == server ? &*it : nullptr;
}

const RoutedServer *ServiceRoute::findByHash(uint64_t serverHash) const {
  for (const RoutedServer &it : Servers)
    if (it.Server.Id.hash() == serverHash)
      return &it;
  return nullptr;
}

absl::StatusOr<std::shared_ptr<const RoutingView>>
RoutingView::create(RoutingView view) {
  for (auto &[id, route] : view.Services)
    if (absl::Status status = prepare(id, route); !status.ok())
      return status;
  return std::make_shared<const RoutingView>(std::move(view));
}

const ServiceRoute *RoutingView::findService(const ServiceId &service) const {
  auto it = Services.find(service);
  return it == Services.end() ? nullptr : &it->second;
}

const RoutedServer *RoutingView::findServer(const ServerId &server) const {
  for (const auto &[id, route] : Services)
    if (const RoutedServer *found = route.find(server))
      return found;
  return nullptr;
}

bool RoutingView::isUnreachable(const VmId &vm) const {
  return std::find(KeyReplicas.Unreachable.begin(),
                   KeyReplicas.Unreachable.end(),
                   vm) != KeyReplicas.Unreachable.end();
}

} // namespace balsamrack

#include "Balsamrack/Configuration/ConfigurationView.h"

namespace balsamrack {

namespace {

template <class Map, class Key>
const typename Map::mapped_type *find(const Map &map, const Key &key) {
  auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}

const std::vector<const BackendServer *> NoServers;

} // namespace

std::shared_ptr<const ConfigurationView>
ConfigurationView::create(const std::map<ObjectKey, ObjectState> &objects,
                          TicketNumber highest) {
  std::shared_ptr<ConfigurationView> view(new ConfigurationView());
  view->Highest = highest;
  for (const auto &[key, object] : objects)
    view->add(object);
  view->buildIndexes();
  return view;
}

void ConfigurationView::add(const ObjectState &object) {
  Tickets[object.Key] = object.Ticket;
  if (const auto *domain = std::get_if<FailureDomain>(&object.State))
    Domains[domain->Id] = *domain;
  else if (const auto *service = std::get_if<Service>(&object.State))
    Services[service->Id] = *service;
  else if (const auto *server = std::get_if<BackendServer>(&object.State))
    Servers[server->Id] = *server;
}

void ConfigurationView::buildIndexes() {
  for (const auto &[id, server] : Servers) {
    ByService[server.Service].push_back(&server);
    ByDomain[server.Domain].push_back(&server);
  }
  for (const auto &[id, service] : Services)
    for (uint16_t port : service.Ports) {
      auto [it, inserted] = ByPort.emplace(port, &service);
      if (!inserted)
        it->second = nullptr;
    }
}

const std::vector<const BackendServer *> &
ConfigurationView::serversOf(const ServiceId &service) const {
  const auto *list = find(ByService, service);
  return list ? *list : NoServers;
}

const std::vector<const BackendServer *> &
ConfigurationView::serversIn(const DomainId &domain) const {
  const auto *list = find(ByDomain, domain);
  return list ? *list : NoServers;
}

const Service *ConfigurationView::serviceAtPort(uint16_t port) const {
  const auto *service = find(ByPort, port);
  return service ? *service : nullptr;
}

const BackendServer *ConfigurationView::server(const ServerId &id) const {
  return find(Servers, id);
}

const Service *ConfigurationView::service(const ServiceId &id) const {
  return find(Services, id);
}

bool ConfigurationView::isDomainInService(const DomainId &domain) const {
  const auto *found = find(Domains, domain);
  return found && found->InService;
}

TicketNumber ConfigurationView::ticketOf(const ObjectKey &key) const {
  const auto *number = find(Tickets, key);
  return number ? *number : TicketNumber{};
}

} // namespace balsamrack

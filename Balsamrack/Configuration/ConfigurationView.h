#ifndef BALSAMRACK_CONFIGURATION_CONFIGURATIONVIEW_H
#define BALSAMRACK_CONFIGURATION_CONFIGURATIONVIEW_H

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "Balsamrack/Configuration/ObjectState.h"

namespace balsamrack {

/// An immutable snapshot of the configuration in force. Thread-safe, since it
/// never changes; pointers into it live as long as it does.
class ConfigurationView {
public:
  /// Builds a snapshot of \p objects without the deleted ones. Thread-safe.
  static std::shared_ptr<const ConfigurationView>
  create(const std::map<ObjectKey, ObjectState> &objects, TicketNumber highest);

  /// Highest ticket number included.
  TicketNumber highest() const { return Highest; }
  /// Failure domains by id.
  const std::map<DomainId, FailureDomain> &domains() const { return Domains; }
  /// Services by id.
  const std::map<ServiceId, Service> &services() const { return Services; }
  /// Backend servers by id, those with dangling references included.
  const std::map<ServerId, BackendServer> &servers() const { return Servers; }

  /// The servers of \p service, ordered by id; empty for an unknown service.
  const std::vector<const BackendServer *> &
  serversOf(const ServiceId &service) const;
  /// The servers in \p domain, ordered by id.
  const std::vector<const BackendServer *> &
  serversIn(const DomainId &domain) const;
  /// The service at \p port, or null. A port claimed by two services belongs to
  /// neither: if a ticket names the port of another service by mistake, packets
  /// must not reach the wrong service; they are refused as not run instead,
  /// independent of the order of the tickets.
  const Service *serviceAtPort(uint16_t port) const;
  /// The server with this id, or null.
  const BackendServer *server(const ServerId &id) const;
  /// The service with this id, or null.
  const Service *service(const ServiceId &id) const;
  /// True if operators have \p domain in service. A domain without a ticket is
  /// out of service: references of its servers are dangling.
  bool isDomainInService(const DomainId &domain) const;
  /// The ticket of the object's state; zero if there is none.
  TicketNumber ticketOf(const ObjectKey &key) const;

private:
  ConfigurationView() = default;
  void add(const ObjectState &object);
  void buildIndexes();

  TicketNumber Highest;                      ///< Highest ticket number held.
  std::map<DomainId, FailureDomain> Domains; ///< By id.
  std::map<ServiceId, Service> Services;     ///< By id.
  std::map<ServerId, BackendServer> Servers; ///< By id.
  std::map<ObjectKey, TicketNumber> Tickets; ///< Ticket of each object.
  std::map<ServiceId, std::vector<const BackendServer *>>
      ByService; ///< Servers of each service.
  std::map<DomainId, std::vector<const BackendServer *>>
      ByDomain; ///< Servers in each domain.
  std::map<uint16_t, const Service *>
      ByPort; ///< Null: claimed by several services.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_CONFIGURATIONVIEW_H

#ifndef BALSAMRACK_DECISIONS_SERVICEOWNERIMPL_H
#define BALSAMRACK_DECISIONS_SERVICEOWNERIMPL_H

#include <map>

#include "Balsamrack/Decisions/OwnerContext.h"
#include "Balsamrack/Decisions/ServerAdmission.h"
#include "Balsamrack/Decisions/ServiceOwner.h"

namespace balsamrack {

/// Implementation of ServiceOwner: passes each event to the ServerAdmission of
/// the server concerned. Not thread-safe.
class ServiceOwnerImpl final : public ServiceOwner {
public:
  /// Precondition: \p settings were checked, \p service is not empty.
  ServiceOwnerImpl(const OwnerSettings &settings, ServiceId service,
                   uint64_t seed);

  std::vector<OwnerAction> step(TimePoint now,
                                const OwnerEvent &event) override;
  std::vector<ServerReport> report(TimePoint now) const override;
  std::optional<TimePoint> nextWakeup() const override;
  bool idle() const override;

private:
  void on(const ServersChanged &event);
  void on(const RequestArrived &event);
  void on(const RequestCancelled &event);
  void on(const DispatchEnded &event);
  void on(const HealthReported &event);
  void on(const AuthorityChanged &event);
  void on(const Ticked &event);
  void on(const ShutdownBegan &event);
  void eraseRelinquished();

  OwnerContext Context; ///< State shared by all servers.
  /// Owned servers, and former ones with requests still running.
  std::map<ServerId, ServerAdmission> Servers;
  TimePoint Now; ///< Time of the previous step.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SERVICEOWNERIMPL_H

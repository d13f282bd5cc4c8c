#ifndef BALSAMRACK_DECISIONS_SERVERSOFSERVICE_H
#define BALSAMRACK_DECISIONS_SERVERSOFSERVICE_H

#include <map>

#include "Balsamrack/Decisions/OwnerContext.h"
#include "Balsamrack/Decisions/ServerAdmission.h"
#include "Balsamrack/Decisions/ServiceOwner.h"

namespace balsamrack {

/// The ServiceOwner: hands each event to the admission of the server that it
/// concerns. Not thread-safe.
class ServersOfService final : public ServiceOwner {
public:
  /// Precondition: \p settings were checked, \p service is not empty.
  ServersOfService(const OwnerSettings &settings, ServiceId service,
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

  OwnerContext Context;                        ///< Shared by all servers.
  std::map<ServerId, ServerAdmission> Servers; ///< Owned, or still running
                                               ///< something.
  TimePoint Now;                               ///< Time of the last step.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SERVERSOFSERVICE_H

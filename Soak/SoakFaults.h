#ifndef BALSAMRACK_SOAK_SOAKFAULTS_H
#define BALSAMRACK_SOAK_SOAKFAULTS_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Soak/SoakFleet.h"

namespace balsamrack::soak {

/// Random faults drawn from a seed. They overlap, and each ends by itself. Not
/// thread-safe.
class SoakFaults {
public:
  /// Schedules faults from \p from on for \p length. Precondition: \p fleet
  /// outlives this object.
  SoakFaults(SoakFleet &fleet, uint64_t seed, TimePoint from, Duration length);

  /// Runs actions that are due. Returns true while any are left.
  bool step(TimePoint now);
  /// Number of faults by kind.
  const std::map<std::string, int> &counts() const { return Counts; }
  /// Violated guarantees that were noticed here: unexpected exits of daemons.
  const std::vector<std::string> &violations() const { return Violations; }
  /// Time at which operators dropped the temporary route; zero while it exists.
  TimePoint temporaryRouteDroppedAt() const { return DroppedAt; }
  /// Number of the current configuration.
  uint64_t configurations() const { return Configurations; }

private:
  using Action = std::function<void(TimePoint)>;
  void schedule(TimePoint when, Action action) {
    Scheduled.emplace(when, std::move(action));
  }
  void beginFault(TimePoint now);
  Duration randomDuration(int64_t minMillis, int64_t maxMillis);
  void killDaemons(TimePoint now, size_t maxDaemons);
  void scheduleStart(TimePoint now, size_t daemon);
  void stopDaemon(TimePoint now, size_t daemon);
  void checkStoppedLater(TimePoint now, size_t daemon, TimePoint sent);
  void freezeDaemon(TimePoint now, size_t daemon);
  void breakSettings(TimePoint now, size_t daemon);
  void failStore(TimePoint now);
  void failStoreRelay(TimePoint now, size_t daemon);
  void degradeLinks(TimePoint now);
  void partitionDomain(TimePoint now, size_t domain);
  void silenceServer(TimePoint now, size_t server);
  void replaceServer(TimePoint now, size_t server, bool drains);
  void changeRoutes(TimePoint now);
  void takeDomainOut(TimePoint now, size_t domain);
  bool isLastOfService(size_t server) const;
  void checkDaemons(TimePoint now);

  SoakFleet &Fleet;
  SeededRandom Random;
  std::multimap<TimePoint, Action> Scheduled;
  std::map<std::string, int> Counts;
  std::vector<std::string> Violations;
  std::vector<bool> Down; ///< By daemon: stopped or frozen on purpose.
  std::vector<TimePoint> StartedAt; ///< By daemon: time of its last start.
  std::vector<bool> Replacing; ///< By server: whether it is being replaced.
  bool IsDomainOut = false;
  bool HasTemporaryRoute = false;
  TimePoint DroppedAt;
  uint64_t Configurations = 1;
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_SOAKFAULTS_H

#ifndef BALSAMRACK_SOAK_SOAKFAULTS_H
#define BALSAMRACK_SOAK_SOAKFAULTS_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Soak/SoakFleet.h"

namespace balsamrack::soak {

/// Series of faults, drawn from a seed: they overlap, and each ends by itself.
/// Not thread-safe.
class SoakFaults {
public:
  /// Draws faults for \p length from now on. Precondition: \p fleet outlives
  /// it.
  SoakFaults(SoakFleet &fleet, uint64_t seed, TimePoint from, Duration length);

  /// Does what is due; true while something is left to do.
  bool step(TimePoint now);
  /// How many of each kind began.
  const std::map<std::string, int> &counts() const { return Counts; }
  /// Broken promises that it saw itself: exits of daemons.
  const std::vector<std::string> &broken() const { return Broken; }
  /// Operators dropped the passing route at this time; zero: it is there.
  TimePoint passingDroppedAt() const { return DroppedAt; }
  /// Number of the present configuration.
  uint64_t configurations() const { return Configurations; }

private:
  using Work = std::function<void(TimePoint)>;
  void at(TimePoint when, Work work) { Due.emplace(when, std::move(work)); }
  void begin(TimePoint now);
  Duration some(int64_t leastMillis, int64_t mostMillis);
  void killSome(TimePoint now, size_t most);
  void startLater(TimePoint now, size_t daemon);
  void stopOne(TimePoint now, size_t daemon);
  void awaitStopped(TimePoint now, size_t daemon, TimePoint sent);
  void freezeOne(TimePoint now, size_t daemon);
  void harmSettings(TimePoint now, size_t daemon);
  void harmStore(TimePoint now);
  void harmStoreRelay(TimePoint now, size_t daemon);
  void harmLinks(TimePoint now);
  void cutDomains(TimePoint now, size_t from);
  void darkServer(TimePoint now, size_t place);
  void replaceServer(TimePoint now, size_t place, bool drains);
  void changeRoutes(TimePoint now);
  void takeDomainOut(TimePoint now, size_t domain);
  bool lastOfItsService(size_t place) const;
  void lookAtDaemons(TimePoint now);

  SoakFleet &Fleet;
  SeededRandom Random;
  std::multimap<TimePoint, Work> Due;
  std::map<std::string, int> Counts;
  std::vector<std::string> Broken;
  std::vector<bool> Down;           ///< By daemon: ended by us, or ending.
  std::vector<TimePoint> StartedAt; ///< By daemon: of its last start.
  std::vector<bool> Replacing;      ///< By server place.
  bool DomainIsOut = false;
  bool HasPassing = false;
  TimePoint DroppedAt;
  uint64_t Configurations = 1;
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_SOAKFAULTS_H

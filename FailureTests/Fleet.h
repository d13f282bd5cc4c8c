#ifndef BALSAMRACK_FAILURETESTS_FLEET_H
#define BALSAMRACK_FAILURETESTS_FLEET_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "FailureTests/Process.h"
#include "FailureTests/Relay.h"
#include "StandIns/LoadGenerator.h"
#include "absl/status/status.h"
#include <nlohmann/json.hpp>

namespace balsamrack {

/// A backend server of a test.
struct ServerPlan {
  std::string Id;            ///< In tickets.
  std::string Service;       ///< That it serves.
  std::string Domain;        ///< Where it stands.
  uint32_t WorkMs = 10;      ///< Time of a run.
  uint32_t LongWorkMs = 200; ///< Time of a long run.
};

/// What a test starts.
struct FleetPlan {
  std::vector<std::string> Daemons; ///< The failure domain of vm-1, vm-2, ...
  std::vector<ServerPlan> Servers;  ///< Backend servers.
  uint64_t Seed = 1;                ///< Of the fabric and the callers.
  bool UsePlatformRelays = false;   ///< Each daemon reads through a relay.
};

/// Three daemons, two in domain "a" and one in "b"; two services with two
/// servers in each domain.
FleetPlan makeSmallPlan();

/// Daemons and stand-ins of one test as separate processes. Ends them all with
/// itself. Not thread-safe.
class Fleet {
public:
  using Json = nlohmann::json;

  /// Starts everything and waits until the first ticket is in force at every
  /// daemon. Error when that doesn't come about.
  static absl::StatusOr<std::unique_ptr<Fleet>> start(FleetPlan plan);

  /// The process of daemon \p i, from 0.
  Process &daemon(size_t i) { return *Daemons[i]; }
  /// Starts daemon \p i (again: then it may not assume that no key ran before).
  /// Its earlier process must have ended.
  absl::Status startDaemon(size_t i);
  /// Kills stand-in server \p id and starts it anew, cold for \p coldMs. Its
  /// counts begin anew too.
  absl::Status restartServer(const std::string &id, uint32_t coldMs);
  /// Waits until daemon \p i answers its operators.
  absl::Status awaitReady(size_t i);
  /// What daemon \p i answers its operators below /v1/; null when it doesn't.
  Json queryDaemon(size_t i, const std::string &path);
  /// Where daemon \p i listens for callers of \p service.
  Address callerAddress(size_t i, const std::string &service) const;
  /// Where daemon \p i listens for peers and for operators.
  Address peerAddress(size_t i) const;
  Address operatorAddress(size_t i) const;
  /// The relay between daemon \p i and the platform. Precondition: planned.
  Relay &platformRelay(size_t i) { return *Relays[i]; }

  /// Publishes a ticket with the whole state of some objects.
  uint64_t publishTicket(const Json &objects);
  /// Publishes a ticket that drains server \p id.
  uint64_t drainServer(const std::string &id);
  /// Publishes a ticket that takes \p domain out of service or back.
  uint64_t setDomainInService(const std::string &domain, bool inService);
  /// Waits until ticket \p number is in force at daemon \p i.
  bool awaitTicketInForce(size_t i, uint64_t number, Duration timeout);
  /// Tells the platform how to fail.
  void setPlatformMode(const Json &mode);
  /// Tells the fabric which daemons to choose from.
  void setFabricDaemons(const std::set<size_t> &daemons);

  /// Where stand-in server \p id listens.
  Address serverAddress(const std::string &id) const;
  /// The counts of stand-in server \p id.
  Json queryServerCounts(const std::string &id);
  /// Tells stand-in server \p id how to behave.
  void controlServer(const std::string &id, const Json &command);
  /// Settings for callers of both services.
  standins::CallSettings makeCallSettings() const;
  /// Ends \p load and compares what callers saw with the servers' counts.
  standins::LoadReport
  stopAndVerify(standins::LoadGenerator &load,
                const std::set<std::string> &outOfServiceDomains = {});
  /// Waits until the daemons \p among these see each other alive, and each
  /// server is owned by one of them.
  bool awaitOwners(const std::set<size_t> &daemons, Duration timeout);
  /// True when daemon \p i says that it owns server \p id.
  bool ownsServer(size_t i, const std::string &id);
  /// The daemon that owns server \p id, or the number of daemons when there is
  /// none.
  size_t ownerOf(const std::string &id);

private:
  explicit Fleet(FleetPlan plan);
  absl::Status startAll();
  absl::Status startStandIns();
  absl::Status startServer(size_t i, uint32_t coldMs);
  absl::Status startProcess(const std::string &name, const std::string &label,
                            const std::vector<std::string> &args,
                            std::unique_ptr<Process> &started);
  bool seesAliveMembers(size_t i, size_t count);
  Json daemonSettings(size_t i, bool firstStart) const;
  Json serverState(const ServerPlan &server, const char *mode) const;
  Json initialObjects() const;
  std::string daemonIp(size_t i) const;

  const FleetPlan Plan;                     ///< What to start.
  std::string Folder;                       ///< For settings and logs.
  std::map<std::string, uint16_t> Ports;    ///< Each port by what it is for.
  uint64_t LastTicket = 0;                  ///< Published so far.
  std::unique_ptr<Process> PlatformProcess; ///< Stand-in.
  std::unique_ptr<Process> FabricProcess;   ///< Stand-in.
  std::vector<std::unique_ptr<Process>> Servers; ///< In the plan's order.
  std::vector<std::unique_ptr<Process>> Daemons; ///< In the plan's order.
  std::vector<std::unique_ptr<Relay>> Relays;    ///< Towards the platform.
};

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_FLEET_H

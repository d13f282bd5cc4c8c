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

/// Configuration of a backend server stand-in.
struct ServerPlan {
  std::string Id;            ///< Id in tickets.
  std::string Service;       ///< Service that it serves.
  std::string Domain;        ///< Failure domain.
  uint32_t WorkMs = 10;      ///< Duration of a run.
  uint32_t LongWorkMs = 200; ///< Duration of a long run.
};

/// Configuration of a Fleet.
struct FleetPlan {
  std::vector<std::string> Daemons; ///< The failure domain of vm-1, vm-2, ...
  std::vector<ServerPlan> Servers;  ///< Backend server stand-ins.
  uint64_t Seed = 1;                ///< Seed of the fabric and the callers.
  bool UsePlatformRelays = false;   ///< Relays between daemons and
                                    ///< platform.
};

/// Returns a plan of three daemons, two in domain "a" and one in "b", and two
/// services with two servers in each domain.
FleetPlan makeSmallPlan();

/// Daemons and stand-ins of one test as separate processes. The destructor
/// kills them all. Not thread-safe.
class Fleet {
public:
  using Json = nlohmann::json;

  /// Starts all processes and waits until the first ticket is in force at every
  /// daemon and each server has an owner. Error kUnavailable on timeout.
  static absl::StatusOr<std::unique_ptr<Fleet>> start(FleetPlan plan);

  /// Returns the process of daemon \p i, counted from 0.
  Process &daemon(size_t i) { return *Daemons[i]; }
  /// Starts daemon \p i. On a restart its settings don't let it assume that no
  /// request with an idempotency key ran before. Precondition: its earlier
  /// process has ended.
  absl::Status startDaemon(size_t i);
  /// Kills and restarts stand-in server \p id, cold for \p coldMs. Its counts
  /// restart at zero.
  absl::Status restartServer(const std::string &id, uint32_t coldMs);
  /// Waits until daemon \p i replies to operator requests.
  absl::Status awaitReady(size_t i);
  /// Returns the reply of daemon \p i to an operator request for /v1/ \p path;
  /// null if there is none.
  Json queryDaemon(size_t i, const std::string &path);
  /// Returns the address of daemon \p i for callers of \p service.
  Address callerAddress(size_t i, const std::string &service) const;
  /// Returns the address of daemon \p i for peers.
  Address peerAddress(size_t i) const;
  /// Returns the address of daemon \p i for operators.
  Address operatorAddress(size_t i) const;
  /// Returns the relay between daemon \p i and the platform. Precondition:
  /// FleetPlan::UsePlatformRelays.
  Relay &platformRelay(size_t i) { return *Relays[i]; }

  /// Publishes a ticket with the full state of \p objects; returns its number.
  uint64_t publishTicket(const Json &objects);
  /// Publishes a ticket that drains server \p id.
  uint64_t drainServer(const std::string &id);
  /// Publishes a ticket that takes \p domain out of service or returns it.
  uint64_t setDomainInService(const std::string &domain, bool inService);
  /// Waits until ticket \p number is in force at daemon \p i.
  bool awaitTicketInForce(size_t i, uint64_t number, Duration timeout);
  /// Sets the failure mode of the platform stand-in.
  void setPlatformMode(const Json &mode);
  /// Sets the daemons that the fabric sends packets to.
  void setFabricDaemons(const std::set<size_t> &daemons);

  /// Returns the address of stand-in server \p id.
  Address serverAddress(const std::string &id) const;
  /// Returns the counts of stand-in server \p id.
  Json queryServerCounts(const std::string &id);
  /// Sends a control command to stand-in server \p id.
  void controlServer(const std::string &id, const Json &command);
  /// Returns settings for callers of both services.
  standins::CallSettings makeCallSettings() const;
  /// Stops \p load and compares the callers' results with the servers' counts.
  standins::LoadReport
  stopAndVerify(standins::LoadGenerator &load,
                const std::set<std::string> &outOfServiceDomains = {});
  /// Waits until all \p daemons see each other alive and each server is owned
  /// by one of them.
  bool awaitOwners(const std::set<size_t> &daemons, Duration timeout);
  /// Returns true if daemon \p i reports that it owns server \p id.
  bool ownsServer(size_t i, const std::string &id);
  /// Returns the daemon that owns server \p id, or the number of daemons if
  /// there is none.
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

  const FleetPlan Plan;                     ///< Configuration.
  std::string Folder;                       ///< Folder for settings and logs.
  std::map<std::string, uint16_t> Ports;    ///< Ports by purpose.
  uint64_t LastTicket = 0;                  ///< Last published ticket.
  std::unique_ptr<Process> PlatformProcess; ///< Platform stand-in.
  std::unique_ptr<Process> FabricProcess;   ///< Fabric stand-in.
  std::vector<std::unique_ptr<Process>> Servers; ///< In the order of the plan.
  std::vector<std::unique_ptr<Process>> Daemons; ///< In the order of the plan.
  std::vector<std::unique_ptr<Relay>> Relays; ///< From daemons to the platform.
};

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_FLEET_H

#ifndef BALSAMRACK_SOAK_SOAKFLEET_H
#define BALSAMRACK_SOAK_SOAKFLEET_H

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Balsamrack/Http/HttpClient.h"
#include "FailureTests/Process.h"
#include "FailureTests/Relay.h"
#include "Soak/FaultyLink.h"
#include "platform/standins/StandInFlows.h"
#include "platform/standins/StandInStore.h"

namespace balsamrack::soak {

/// Addresses of the two services; their routes always exist.
extern const Endpoint Booking;
extern const Endpoint Plans;
/// Address of a route to booking that operators add and drop.
extern const Endpoint TemporaryRoute;

/// Real daemons as processes on loopback addresses, behind faulty links: two
/// failure domains with two daemons each, four servers of booking and two of
/// plans, a store behind a relay for each daemon, and a fabric that polls
/// readiness. Not thread-safe except for daemonsInRotation().
class SoakFleet {
public:
  /// Number of daemons.
  static constexpr size_t DaemonCount = 4;
  /// Number of backend servers.
  static constexpr size_t ServerCount = 6;

  /// Starts the fleet; logs are written to \p folder. Error if any part can't
  /// be started.
  static absl::StatusOr<std::unique_ptr<SoakFleet>>
  start(const std::string &folder, uint64_t seed);
  ~SoakFleet();

  /// Addresses of the daemons that routers send to now. Thread-safe.
  std::vector<Address> daemonsInRotation() const;
  /// Address of daemon \p i behind its link.
  Address daemonAddress(size_t i) const;
  /// Port at which callers receive packets.
  uint16_t callerPort() const { return Ports.Packets; }
  /// Waits up to \p limit for all daemons to be ready; false if one is not.
  bool awaitAllReady(Duration limit);

  /// Process of daemon \p i; null while it is down.
  Process *daemon(size_t i) { return Processes[i].get(); }
  /// Starts daemon \p i, which must be down.
  absl::Status startDaemon(size_t i);
  /// Kills daemon \p i with SIGKILL.
  void killDaemon(size_t i);
  /// Marks daemon \p i as down after it has exited by itself.
  void forgetDaemon(size_t i) { Processes[i].reset(); }
  /// Number of starts of daemon \p i.
  uint64_t startCount(size_t i) const { return StartCounts[i]; }
  /// Writes the settings of daemon \p i; malformed ones if \p invalid.
  void writeSettings(size_t i, bool invalid);
  /// Path of the log file of daemon \p i.
  std::string logPath(size_t i) const;

  /// Store with the published state.
  platform::StandInStore &store() { return *Store; }
  /// Relay through which daemon \p i reads the store.
  Relay &storeRelay(size_t i) { return *StoreRelays[i]; }
  /// Publishes the routes as operators do, \p withTemporary or without.
  void publishRoutes(bool withTemporary);
  /// Takes \p domain out of service as operators do, or puts it back.
  void setDomainOut(size_t domain, bool out);

  /// Server \p p, which must be running.
  platform::StandInServer &server(size_t p) { return *Servers[p]; }
  /// Link to server \p p.
  FaultyLink &serverLink(size_t p) { return *ServerLinks[p]; }
  /// Link to daemon \p i.
  FaultyLink &daemonLink(size_t i) { return *DaemonLinks[i]; }
  /// Separates daemons of \p domain from the servers of the other domain, or
  /// ends that.
  void setDomainPartitioned(size_t domain, bool partitioned);
  /// Failure domain of server \p p or of daemon \p p.
  static size_t domainOf(size_t p) { return p % 2; }
  /// Stops server \p p; it stays published.
  void stopServer(size_t p);
  /// Starts server \p p with a new id, for its own service, or for the other
  /// one to reuse the address.
  absl::Status startServer(size_t p, bool otherService);
  /// Publishes \p state of server \p p.
  void publishServer(size_t p, const std::string &state);
  /// Removes the published entry of server \p p.
  void removeServerEntry(size_t p);
  /// True if server \p p is running.
  bool isServerRunning(size_t p) const { return Servers[p] != nullptr; }

  /// Number of packets that reached servers of another service.
  uint64_t misroutedPackets() const;

private:
  struct PortSet {
    uint16_t Store, Relays, Packets, Ready, Peers, Servers, Metrics;
  };

  SoakFleet(std::string folder, uint64_t seed);
  absl::Status startAll();
  void pollReadiness();
  bool isReady(size_t i);
  std::string serverKey(size_t p) const;

  const std::string Folder;
  const uint64_t Seed;
  PortSet Ports{};
  std::unique_ptr<platform::StandInStore> Store;
  std::vector<std::unique_ptr<Relay>> StoreRelays;
  std::vector<std::unique_ptr<FaultyLink>> DaemonLinks;
  std::vector<std::unique_ptr<FaultyLink>> ServerLinks;
  std::vector<std::unique_ptr<platform::StandInServer>> Servers;
  std::vector<uint64_t> ServerTags;  ///< By server: its tag.
  std::vector<bool> ServesPlans;     ///< By server.
  std::vector<uint64_t> StartCounts; ///< Number of starts, by daemon.
  std::vector<std::unique_ptr<Process>> Processes;
  uint64_t NextTag = 0x100;
  uint64_t ConfigurationVersion = 0;
  uint64_t MisroutedAtStoppedServers =
      0; ///< Counted by servers that were stopped.
  std::unique_ptr<HttpClient> Client;
  mutable std::mutex Lock;       ///< Guards Rotation.
  std::vector<Address> Rotation; ///< Daemons that routers send to.
  std::atomic<bool> Stopping{false};
  std::thread ReadinessThread;
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_SOAKFLEET_H

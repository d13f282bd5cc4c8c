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

/// Addresses of the two services; their routes stay.
extern const Endpoint Booking;
extern const Endpoint Plans;
/// A route to booking that operators add and drop.
extern const Endpoint TemporaryRoute;

/// Real daemons as processes on loopback addresses, behind links that can be
/// harmed: two failure domains with two daemons each, four booking servers and
/// two of plans, a store behind a relay for each daemon, and a fabric that asks
/// who is ready. Its methods are called by one thread, but for fabric().
class SoakFleet {
public:
  static constexpr size_t DaemonCount = 4;
  static constexpr size_t ServerCount = 6;

  /// Starts all of it; logs go to \p folder. Error when something can't start.
  static absl::StatusOr<std::unique_ptr<SoakFleet>>
  start(const std::string &folder, uint64_t seed);
  ~SoakFleet();

  /// Where routers send now. Thread-safe.
  std::vector<Address> daemonsInRotation() const;
  /// Daemon \p i behind its link.
  Address daemonAddress(size_t i) const;
  /// The port that callers take packets at.
  uint16_t callerPort() const { return Ports.Packets; }
  /// All daemons answer that they are ready, within \p limit.
  bool awaitAllReady(Duration limit);

  /// Process of daemon \p i; null while it is down.
  Process *daemon(size_t i) { return Processes[i].get(); }
  /// Starts daemon \p i, which must be down.
  absl::Status startDaemon(size_t i);
  /// Ends daemon \p i by SIGKILL.
  void killDaemon(size_t i);
  /// Forgets daemon \p i, which has ended by itself after SIGTERM.
  void forgetDaemon(size_t i) { Processes[i].reset(); }
  /// How often daemon \p i was started.
  uint64_t startCount(size_t i) const { return StartCounts[i]; }
  /// Writes the settings of daemon \p i; \p broken: as no settings.
  void writeSettings(size_t i, bool invalid);
  /// Log file of daemon \p i.
  std::string logPath(size_t i) const;

  /// The store, and the relay through which daemon \p i reads it.
  platform::StandInStore &store() { return *Store; }
  Relay &storeRelay(size_t i) { return *StoreRelays[i]; }
  /// Operators' words.
  void publishRoutes(bool withTemporary);
  void setDomainOut(size_t domain, bool out);

  /// The server at place \p p, and the link to it.
  platform::StandInServer &server(size_t p) { return *Servers[p]; }
  FaultyLink &serverLink(size_t p) { return *ServerLinks[p]; }
  FaultyLink &daemonLink(size_t i) { return *DaemonLinks[i]; }
  /// Cuts daemons of \p from off from servers of the other domain.
  void setDomainPartitioned(size_t domain, bool partitioned);
  /// Domain of the server at place \p p or of daemon \p p.
  static size_t domainOf(size_t p) { return p % 2; }
  /// Ends the server at place \p p; its entry stays.
  void stopServer(size_t p);
  /// Starts a new server with a new id there, for the place's own service, or
  /// for the other one: addresses are used again.
  absl::Status startServer(size_t p, bool otherService);
  /// Publishes the state of the server at place \p p, or removes its entry.
  void publishServer(size_t p, const std::string &state);
  void removeServerEntry(size_t p);
  /// True when a server lives at place \p p.
  bool isServerRunning(size_t p) const { return Servers[p] != nullptr; }

  /// Packets that reached servers of another service, ever.
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
  std::vector<uint64_t> ServerTags;  ///< Of the server at a place.
  std::vector<bool> ServesPlans;     ///< As above.
  std::vector<uint64_t> StartCounts; ///< By daemon.
  std::vector<std::unique_ptr<Process>> Processes;
  uint64_t NextTag = 0x100;
  uint64_t ConfigurationVersion = 0;
  uint64_t MisroutedAtStoppedServers = 0; ///< At servers that have ended.
  std::unique_ptr<HttpClient> Client;
  mutable std::mutex Lock;       ///< Guards what follows.
  std::vector<Address> Rotation; ///< Where routers send.
  std::atomic<bool> Stopping{false};
  std::thread ReadinessThread;
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_SOAKFLEET_H

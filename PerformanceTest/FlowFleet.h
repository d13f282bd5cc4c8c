#ifndef BALSAMRACK_PERFORMANCETEST_FLOWFLEET_H
#define BALSAMRACK_PERFORMANCETEST_FLOWFLEET_H

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Flows/EntryRouter.h"
#include "Balsamrack/Flows/OwnerFlows.h"

namespace balsamrack {

/// Settings of a FlowFleet.
struct FlowFleetSettings {
  size_t Daemons = 8;             ///< Number of daemons, spread evenly over the
                                  ///< domains.
  size_t Domains = 4;             ///< Number of failure domains.
  size_t Servers = 14;            ///< Number of servers, spread evenly over the
                                  ///< domains.
  uint32_t FlowsPerServer = 2000; ///< Maximum number of flows of a server.
  size_t ExceptionBytesPerSecond = 4096; ///< Budget of each daemon.
  EntrySettings Entry;                   ///< Settings of the entry routers.
  OwnerFlowsSettings Owner;              ///< Settings of the owners.
  uint64_t Seed = 1; ///< Seed of the choice of the entry daemons.
};

/// Outcome and cost of a packet.
struct FlowPacketResult {
  Outcome Result;       ///< Outcome of the packet.
  std::string Token;    ///< Token of the answer.
  size_t Forwards = 0;  ///< Forwards to owners.
  size_t Questions = 0; ///< Flow questions to owners.
  size_t Rounds = 0;    ///< Rounds of flow questions.
};

/// Simulates the entry routers and owners' flow tables of a few daemons,
/// connected by direct calls, in order to count broken flows, hops and bytes.
/// Servers answer every packet. Not thread-safe.
class FlowFleet {
public:
  explicit FlowFleet(const FlowFleetSettings &settings);

  /// Sends a packet to a random live daemon.
  FlowPacketResult sendPacket(FlowId flow, bool first,
                              const std::string &token);
  /// Advances the time by one second and delivers exceptions within the byte
  /// budget.
  void advanceOneSecond();

  /// Adds a server. Like all changes of servers and domains, it comes into
  /// force with applyTicket().
  void addServer();
  /// Drains a server.
  void drainServer(size_t server);
  /// Ends the drain of a server.
  void reactivateServer(size_t server);
  /// Deletes a server.
  void deleteServer(size_t server);
  /// Takes a failure domain out of service or returns it.
  void setDomainInService(size_t domain, bool inService);
  /// Stops a daemon without a hand-over.
  void killDaemon(size_t daemon);
  /// Stops a daemon after it has handed over its servers.
  void stopDaemon(size_t daemon);
  /// Adds a daemon.
  void joinDaemon();
  /// Brings all changes into force at the first \p daemonCount live daemons.
  void applyTicket(size_t daemonCount = SIZE_MAX);

  /// Returns the bytes of questions, replies and exceptions sent so far.
  size_t controlBytes() const { return ControlBytes; }
  /// Returns the number of flows on each server that is not deleted.
  std::vector<uint32_t> flowsPerServer() const;
  /// Returns the live daemon that owns the most servers; the first one of
  /// several. Its failure affects the most flows, as it may own both a flow's
  /// first candidate and its server. Daemons of \p excludedDomain are left out.
  size_t busiestDaemon(size_t excludedDomain = SIZE_MAX) const;
  /// Returns the failure domain of a daemon.
  size_t domainOfDaemon(size_t daemon) const { return Daemons[daemon]->Domain; }

private:
  struct Daemon {
    EntryVm Vm;
    size_t Domain = 0;
    bool Alive = true;
    std::unique_ptr<EntryRouter> Router;
    std::unique_ptr<OwnerFlows> Owner;
    std::shared_ptr<const RoutingView> View;
  };
  struct ServerState {
    BackendServer Server;
    size_t Domain = 0;
    bool Deleted = false;
  };

  void addDaemon();
  const Daemon *ownerOf(const ServerState &server) const;
  RoutingView makeView(const Daemon &daemon) const;
  void applyTicketAt(Daemon &daemon);
  void handOverServers(Daemon &daemon, const RoutingView &next);
  Daemon *findLiveDaemon(const VmId &vm);
  Daemon &pickLiveDaemon();
  Outcome handleForward(Daemon &owner, const Envelope &head,
                        const SendForward &f);
  void performAction(const Envelope &head, const EntryAction &action,
                     std::deque<EntryEvent> &events, FlowPacketResult &result);
  FlowReply answerQuestion(Daemon &owner, const FlowQuestion &question);

  const FlowFleetSettings Settings;
  SeededRandom Random;
  TimePoint Now{std::chrono::hours(1)};
  uint64_t Ticket = 1;
  uint64_t NextRequest = 1;
  size_t ControlBytes = 0;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<ServerState> Servers;
  std::vector<bool> DomainInService;
};

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_FLOWFLEET_H

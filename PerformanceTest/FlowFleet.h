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

/// What a FlowFleet is made of.
struct FlowFleetSettings {
  size_t Daemons = 8;             ///< Spread evenly over the domains.
  size_t Domains = 4;             ///< Failure domains.
  size_t Servers = 14;            ///< Spread evenly over the domains.
  uint32_t FlowsPerServer = 2000; ///< A server with so many takes no new ones.
  size_t ExceptionBytesPerSecond = 4096; ///< A second and daemon.
  EntrySettings Entry;                   ///< Of each daemon.
  OwnerFlowsSettings Owner;              ///< Of each daemon.
  uint64_t Seed = 1; ///< Chooses which daemon gets a packet.
};

/// How a packet ended, and what it cost.
struct FlowPacketResult {
  Outcome Result;       ///< Its ending.
  std::string Token;    ///< Of the answer.
  size_t Forwards = 0;  ///< Hand-overs to owners.
  size_t Questions = 0; ///< Questions to owners.
  size_t Rounds = 0;    ///< Times that it waited for answers to questions.
};

/// Entry routers and owner memories of a few daemons, joined by direct calls:
/// enough to count broken flows, hops and bytes. Servers answer everything.
/// Not thread-safe.
class FlowFleet {
public:
  explicit FlowFleet(const FlowFleetSettings &settings);

  /// Sends a packet in at a daemon chosen at random among the live ones.
  FlowPacketResult sendPacket(FlowId flow, bool first,
                              const std::string &token);
  /// Lets a second pass: exceptions are carried within the byte budget.
  void advanceOneSecond();

  /// Changes of the world; none is in force until apply().
  void addServer();
  void drainServer(size_t server);
  void reactivateServer(size_t server);
  void deleteServer(size_t server);
  void setDomainInService(size_t domain, bool inService);
  void killDaemon(size_t daemon);
  void stopDaemon(size_t daemon);
  void joinDaemon();
  /// Puts the world into force at the first \p daemons of the live ones.
  void applyTicket(size_t daemonCount = SIZE_MAX);

  /// Bytes of questions, replies and exceptions sent so far.
  size_t controlBytes() const { return ControlBytes; }
  /// Flows on each server that exists.
  std::vector<uint32_t> flowsPerServer() const;
  /// The live daemon that owns the most servers; of equal ones the first. Its
  /// death is the worst, as it may own a flow's first candidate and its home.
  /// \p skipDomain, if any, is left out.
  size_t busiestDaemon(size_t excludedDomain = SIZE_MAX) const;
  /// The domain of a daemon.
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

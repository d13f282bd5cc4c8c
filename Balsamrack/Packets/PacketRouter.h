#ifndef BALSAMRACK_PACKETS_PACKETROUTER_H
#define BALSAMRACK_PACKETS_PACKETROUTER_H

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/FailureDetector.h"
#include "Balsamrack/Decisions/OpeningChoice.h"
#include "Balsamrack/Decisions/ReachMonitor.h"
#include "Balsamrack/Packets/FlowExplanation.h"
#include "Balsamrack/Packets/OpeningQueue.h"
#include "Balsamrack/Packets/OpeningTimeout.h"
#include "Balsamrack/Packets/PacketFlowTable.h"
#include "Balsamrack/Packets/PacketRoutes.h"
#include "Balsamrack/Packets/PacketSink.h"
#include "Balsamrack/Packets/ServerTable.h"

namespace balsamrack {

/// Limits of the packet router.
struct PacketRouterSettings {
  DomainId Domain;               ///< This daemon's failure domain.
  Duration RefreshWait{300'000}; ///< An opening waits so long at most for the
                                 ///< first updates after a start or a pause:
                                 ///< callers send a copy after 200 ms.
  size_t MaxFlows = 100'000;     ///< Flows remembered, some 100 bytes each.
  Duration OpeningRetention{
      2'000'000}; ///< An opening without an answer is
                  ///< forgotten; callers give up after 1.4 s.
  Duration LastCopyTimeout{450'000}; ///< From an opening's last copy to a reset
                                     ///< for want of an answer: callers send a
                                     ///< lost packet again after 200 ms, and
                                     ///< give up 800 ms after that copy.
  Duration ClosingRetention{
      3'000'000};                     ///< Packets may follow the end of a flow:
                                      ///< retransmissions wait 1.6 s at most.
  Duration OpenRetention{20'000'000}; ///< A silent open flow is forgotten; its
                                      ///< token still names its server.
  Duration FabricFailoverTime{1'500'000}; ///< By then the fabric sends callers
                                          ///< to others: it asks twice a
                                          ///< second, and two misses count.
  FailureDetectorSettings Detector;       ///< Of the failure detector.
};

/// A server that should be asked by a connection attempt.
struct ConnectionAttempt {
  ServerIndex Server = NoServerIndex; ///< For handleAttemptResult().
  Endpoint At;                        ///< Where to connect to.
  Duration Timeout{0};                ///< Failed when it takes longer.
};

/// How a connection attempt ended.
enum class ConnectionResult {
  Connected,    ///< The server took the connection.
  Failed,       ///< It refused it, or did not answer in time.
  NotAttempted, ///< This daemon had no socket for it; nothing is known.
};

/// Where a packet goes. Takes heads of packets, gives actions to a PacketSink;
/// clock and random numbers are handed in, so that the same input gives the
/// same actions. Not thread-safe.
///
/// A flow's home is remembered in three places: in this daemon's memory, in the
/// token that comes back on each packet, and, for new flows, nowhere: any
/// server will do. An opening whose server stays silent is sent to another one
/// after a few tens of milliseconds, on behalf of the caller and byte for byte;
/// the flow opens at the server that the caller answers, so nothing can run
/// twice.
class PacketRouter {
public:
  /// Precondition: \p random outlives the router.
  PacketRouter(const PacketRouterSettings &settings, RandomSource &random);

  /// From now on \p routes are in force. Never null.
  void setRoutes(std::shared_ptr<const PacketRoutes> routes);
  /// There are \p daemons in the fleet, and this one is number \p self in the
  /// order of failure domain and id. Precondition: self < daemons.
  void setFleet(size_t daemons, size_t self);
  /// What is held may be old: openings wait for setFresh().
  void setStale() { Stale = true; }
  /// What is held is new again.
  void setFresh() { Stale = false; }

  /// Takes one packet of \p n bytes.
  void handlePacket(TimePoint now, const PacketHeader &head,
                    const uint8_t *bytes, size_t n, PacketSink &out);
  /// Does what time alone asks for. Due by nextWakeup(), harmless otherwise.
  void tick(TimePoint now, PacketSink &out);
  /// When tick() is due; the far future for never. Remembered flows are looked
  /// through by any call; one in a second will do.
  TimePoint nextWakeup() const;

  /// Servers to be asked now. Each needs an handleAttemptResult().
  std::vector<ConnectionAttempt> dueAttempts(TimePoint now);
  /// An attempt to connect to \p server has ended.
  void handleAttemptResult(TimePoint now, ServerIndex server,
                           ConnectionResult how, PacketSink &out);

  /// What is known of the flow \p key, and where a first opening of it would go
  /// now. Changes nothing, and draws no random number.
  FlowExplanation explain(TimePoint now, const FlowKey &key);
  /// Daemons of the fleet, as setFleet() said.
  size_t daemons() const { return Daemons; }
  /// True when the server at \p index, or its whole domain, is silent.
  bool isSilent(ServerIndex index) const { return Detector.isSilent(index); }
  /// True when servers take new flows, and none of them, of whatever service,
  /// can be reached from here: others may serve what this daemon can't.
  bool allServersUnreachable() const;
  /// True when no server takes new flows, or one that does was reached; see
  /// ReachMonitor.
  bool hasProvenReachability() const {
    return !anyServerAcceptsNewFlows() || Reach.state() == ReachState::Reached;
  }
  /// What is known of the way to servers.
  ReachState reachState() const { return Reach.state(); }
  /// Number of remembered flows.
  size_t flows() const { return Flows.size(); }
  /// The servers with their counts.
  const ServerTable &servers() const { return Servers; }
  /// Servers that are silent by themselves.
  size_t silentServers() const { return Detector.silentServerCount(); }
  /// The snapshot in force; null before the first setRoutes().
  const std::shared_ptr<const PacketRoutes> &routes() const { return Routes; }
  /// The current wait for the answer to an opening.
  Duration openingTimeout() const { return Timeout.value(); }

private:
  /// An opening that waits for its answer.
  struct UnansweredOpening {
    TimePoint Due;           ///< When to try another server.
    TimePoint SentAt;        ///< When the last copy was sent on.
    BufferedOpening Opening; ///< What was sent; empty when it was too long.
  };

  /// A request whose data came again without a sign of having arrived.
  struct RetransmittedRequest {
    TimePoint At;      ///< When it came again.
    PacketHeader Head; ///< Of that packet.
  };

  void handleOpening(TimePoint now, const PacketHeader &head,
                     const uint8_t *bytes, size_t n, PacketSink &out);
  bool bufferOpening(TimePoint now, const PacketHeader &head,
                     const uint8_t *bytes, size_t n, Duration most);
  bool queueLateOpening(TimePoint now, const PacketHeader &head,
                        const uint8_t *bytes, size_t n);
  bool areSlotsTakenFor(TimePoint now, const PacketHeader &head);
  bool isTrackedOpening(const PacketHeader &head);
  void placeLateOpenings(TimePoint now, PacketSink &out);
  void place(TimePoint now, const PacketHeader &head, const uint8_t *bytes,
             size_t n, PacketSink &out);
  void placeBufferedOpenings(TimePoint now, PacketSink &out);
  void handleOpeningCopy(TimePoint now, TrackedFlow &flow,
                         const PacketHeader &head, const uint8_t *bytes,
                         size_t n, PacketSink &out);
  void handleFlowPacket(TimePoint now, const PacketHeader &head,
                        const uint8_t *bytes, size_t n, PacketSink &out);

  bool isRequestLost(const TrackedFlow &flow, const PacketHeader &head) const;
  void resetFlow(TrackedFlow &flow, const PacketHeader &head, PacketSink &out);
  void resetLostRequests(PacketSink &out);
  TrackedFlow *adopt(TimePoint now, const PacketHeader &head,
                     TrackedFlow &spare, PacketSink &out);
  void confirm(TimePoint now, TrackedFlow &flow, const PacketHeader &head,
               PacketSink &out);
  void processDueOpenings(TimePoint now, std::deque<UnansweredOpening> &waiting,
                          PacketSink &out);
  bool isUnanswered(const UnansweredOpening &waiting);
  void handleUnanswered(TimePoint now, const UnansweredOpening &waiting,
                        PacketSink &out);
  bool sendToAnotherServer(TimePoint now, TrackedFlow &flow,
                           const PacketHeader &head, const uint8_t *bytes,
                           size_t n, PacketSink &out);
  void sendOpening(TimePoint now, TrackedFlow &flow, ServerIndex to,
                   const PacketHeader &head, const uint8_t *bytes, size_t n,
                   PacketSink &out);
  std::optional<OpeningChoice> chooseServer(TimePoint now,
                                            const ServiceId &service,
                                            const TrackedFlow &flow);
  ServiceEntry *listCandidates(TimePoint now, const ServiceId &service,
                               const TrackedFlow &flow);
  double coldFlowsPerSecond(const ServiceId &service) const;
  bool hasTriedDomain(const TrackedFlow &flow, const DomainId &domain) const;
  const ServiceId *serviceFor(const FlowKey &key) const;
  PacketReason resolveToken(const PacketHeader &head, ServerIndex &found) const;
  bool isServiceUnreachable(const ServiceId &service);
  bool anyServerAcceptsNewFlows() const;
  bool ownDomainAcceptsNewFlows() const;
  bool isLeavingRotation(TimePoint now) const;
  void updateReachability(TimePoint now);
  void recordReached(ServerIndex server);
  std::vector<ServerIndex> serversToProbe(TimePoint now);
  void forward(ServerIndex to, const uint8_t *bytes, size_t n,
               PacketSink &out) const;
  void refuse(const PacketHeader &head, PacketReason why, PacketSink &out);
  void trackRequests(TimePoint now, TrackedFlow &flow,
                     const PacketHeader &head);
  void countRequest(TimePoint now, TrackedFlow &flow, ServerIndex at);
  void uncountRequest(TrackedFlow &flow);
  void reportRecovery(ServerIndex server, bool was, bool domainWas,
                      PacketSink &out);
  void reportSilentServer(ServerIndex server, const FlowKey &flow,
                          PacketSink &out);
  void updateShares();
  PacketEvent makeEvent(PacketEventKind kind, PacketReason why,
                        const FlowKey &key, ServerIndex server) const;

  const PacketRouterSettings Settings;
  RandomSource &Random;
  std::shared_ptr<const PacketRoutes> Routes; ///< In force; null at first.
  ServerTable Servers;                        ///< Servers, counts and shares.
  PacketFlowTable Flows;                      ///< Flows of this daemon.
  ReachMonitor Reach;                         ///< Of any server.
  FailureDetector Detector;                   ///< Who does not answer.
  OpeningTimeout Timeout;                     ///< For openings.
  OpeningQueue Buffered;                      ///< Wait for updates.
  OpeningQueue Late;                          ///< Wait for a free slot.
  std::deque<UnansweredOpening> Unanswered;   ///< Nearly in order of Due.
  /// Last copies until a reset, in order of Due; apart, since they wait longer
  /// and would hold up the others.
  std::deque<UnansweredOpening> LastCopies;
  std::deque<RetransmittedRequest> Retransmitted; ///< In order of their time.
  std::vector<OpeningCandidate> Candidates;       ///< Reused between choices.
  size_t Daemons = 1;                             ///< Of the fleet.
  size_t OwnIndex = 0;                            ///< Place of this one.
  bool Stale = false;                             ///< See setStale().
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETROUTER_H

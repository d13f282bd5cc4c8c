#ifndef BALSAMRACK_PACKETS_PACKETROUTER_H
#define BALSAMRACK_PACKETS_PACKETROUTER_H

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/DomainDemand.h"
#include "Balsamrack/Decisions/FailureDetector.h"
#include "Balsamrack/Decisions/OpeningAdmission.h"
#include "Balsamrack/Decisions/OpeningChoice.h"
#include "Balsamrack/Decisions/ReachMonitor.h"
#include "Balsamrack/Packets/FleetPosition.h"
#include "Balsamrack/Packets/FlowExplanation.h"
#include "Balsamrack/Packets/HeldOpenings.h"
#include "Balsamrack/Packets/LoadSettings.h"
#include "Balsamrack/Packets/OpeningQueue.h"
#include "Balsamrack/Packets/OpeningTimeout.h"
#include "Balsamrack/Packets/OvertakingPackets.h"
#include "Balsamrack/Packets/PacketFlowTable.h"
#include "Balsamrack/Packets/PacketRoutes.h"
#include "Balsamrack/Packets/PacketSink.h"
#include "Balsamrack/Packets/PacketSpeeds.h"
#include "Balsamrack/Packets/ServerTable.h"
#include "Balsamrack/Published/LoadReports.h"

namespace balsamrack {

/// Limits of the packet router.
struct PacketRouterSettings {
  DomainId Domain; ///< This daemon's failure domain.
  Duration RefreshWait{
      300'000}; ///< Longest wait of an opening for the first routes or servers
                ///< after a start or a pause. Callers retransmit after 200 ms.
  size_t MaxFlows =
      100'000; ///< Capacity of the flow table, about 100 bytes per flow.
  Duration OpeningRetention{2'000'000}; ///< Retention of an unanswered opening;
                                        ///< callers give up after 1.4 s.
  Duration LastCopyTimeout{
      450'000}; ///< Time from the last copy of an unanswered opening to the
                ///< reset. Callers retransmit a lost packet after 200 ms and
                ///< give up 800 ms after the last copy.
  Duration ClosingRetention{
      3'000'000}; ///< Retention of a closed flow for late packets;
                  ///< retransmissions are delayed by at most 1.6 s.
  Duration OpenRetention{
      20'000'000}; ///< Retention of an open flow without packets. Its token
                   ///< still identifies its server afterwards.
  Duration FabricFailoverTime{
      1'500'000}; ///< Time until the fabric routes callers to other daemons: it
                  ///< checks readiness twice a second and requires two failed
                  ///< checks.
  DaemonTag Self; ///< Identifies this daemon in its tokens.
  uint32_t TokenSalt = 0; ///< Differs between the runs of this daemon.
  LoadSettings Load;      ///< Optional decisions under load.
  OpeningAdmissionSettings Admission; ///< Used if Load.Admission is set.
  FailureDetectorSettings Detector;   ///< Settings of the failure detector.
};

/// A connection attempt to be made in order to probe a server.
struct ConnectionAttempt {
  ServerIndex Server = NoServerIndex; ///< Passed back to handleAttemptResult().
  Endpoint At;                        ///< Address to connect to.
  Duration Timeout{0}; ///< The attempt fails when it takes longer.
};

/// Result of a connection attempt.
enum class ConnectionResult {
  Connected,    ///< The server accepted the connection.
  Failed,       ///< The connection was refused or timed out.
  NotAttempted, ///< No socket was available; the server's state is unknown.
};

/// Numbers of load reports from peers.
struct LoadReportCounts {
  uint64_t Used = 0;
  uint64_t Ignored = 0; ///< Invalid, old, or of an unknown service or domain.
};

/// Demand of one service in the failure domains.
struct ServiceDemandStatus {
  ServiceId Service;                 ///< The service.
  std::vector<DemandStatus> Domains; ///< Those with known demand.
};

/// Decides where each packet is sent. Takes packet headers and passes actions
/// to a PacketSink. Time and random numbers are parameters, so the same input
/// gives the same actions. Not thread-safe.
///
/// The server of an open flow is known from this daemon's flow table or from
/// the token that each packet of the flow carries; a new flow may go to any
/// server. An opening that its server leaves unanswered is resent, byte for
/// byte, to another server after a few tens of milliseconds. The flow is open
/// at the server that the caller answers, so no request can run twice. The
/// token on an opening differs from that of its server; see OpeningTokens.h.
///
/// A packet of an open flow is forwarded only to a server that is known to have
/// the flow. A plain token proves it, and replaces what this daemon tracks. So
/// does a handshake of which this daemon got all copies and that it offered to
/// one server only, and the token of one of its openings on a first packet that
/// is no retransmission. A packet with the token of another daemon's opening is
/// relayed to that daemon. In all other cases the packet is dropped, since
/// another server would reset the flow.
class PacketRouter {
public:
  /// Precondition: \p random outlives the router.
  PacketRouter(const PacketRouterSettings &settings, RandomSource &random);

  /// Applies a change of the routes or servers. Precondition: the first update
  /// contains routes.
  void apply(const PacketUpdate &update);
  /// Sets the place of this daemon in the fleet.
  void setFleet(const FleetPosition &position);
  /// Sets the tags of all other daemons that may be alive, including those that
  /// are about to leave. \p isComplete: false shortly after a start, when some
  /// are not known yet. Precondition: in ascending order.
  void setPeers(std::vector<DaemonTag> peers, bool isComplete);
  /// Marks the routes as possibly outdated: openings wait for setFresh().
  void setStale() { Stale = true; }
  /// Marks the routes as current again.
  void setFresh() { Stale = false; }
  /// Tells whether the packets that are handled next have waited in the socket
  /// while this process was suspended.
  void setDelayed(bool isDelayed) { Delayed = isDelayed; }
  /// See setDelayed().
  bool isDelayed() const { return Delayed; }

  /// Handles one packet of \p n bytes from a caller.
  void handlePacket(TimePoint now, const PacketHeader &head,
                    const uint8_t *bytes, size_t n, PacketSink &out);
  /// Handles one packet of \p n bytes that a peer has relayed; see
  /// PacketSink::relay().
  void handleRelayed(TimePoint now, const PacketHeader &head, bool isOriginal,
                     const uint8_t *bytes, size_t n, PacketSink &out);
  /// Handles expired timers. Due by nextWakeup(), harmless at other times.
  void tick(TimePoint now, PacketSink &out);
  /// When tick() is due; the far future for never. Does not include expiry of
  /// tracked flows, which any call to tick() handles; once a second is enough.
  TimePoint nextWakeup() const;

  /// Connection attempts to be started now. Each must be followed by a call to
  /// handleAttemptResult().
  std::vector<ConnectionAttempt> dueAttempts(TimePoint now);
  /// Handles the result of an attempt to connect to \p server.
  void handleAttemptResult(TimePoint now, ServerIndex server,
                           ConnectionResult how, PacketSink &out);

  /// Load reports to be sent to a peer now; none unless the settings turn on
  /// DomainDemand.
  LoadReports loadReports(TimePoint now);
  /// Handles load reports from a peer.
  void handleLoadReports(TimePoint now, const LoadReports &reports);
  /// Demand of the services in the failure domains, as far as it is known.
  std::vector<ServiceDemandStatus> domainDemand(TimePoint now) const;
  /// Numbers of handled load reports.
  const LoadReportCounts &loadReportCounts() const { return ReportCounts; }

  /// Describes the state of the flow \p key and where its first opening would
  /// be sent now. Changes nothing and draws no random number.
  FlowExplanation explain(TimePoint now, const FlowKey &key);
  /// Places all waiting openings at the next tick() and holds no further ones,
  /// for a daemon that is about to stop.
  void releaseOpenings() { Releasing = true; }
  /// Number of openings that wait for room.
  size_t heldOpenings() const { return Held.size(); }
  /// Admission state of the services, empty if LoadSettings::Admission is off.
  std::vector<AdmissionStatus> admissionStatus() const;
  /// Number of daemons in the fleet, as set by setFleet().
  size_t daemons() const { return Fleet.Daemons; }
  /// True when the server at \p index, or its whole failure domain, leaves
  /// openings unanswered.
  bool isSilent(ServerIndex index) const { return Detector.isSilent(index); }
  /// True when at least one server accepts new flows, and this daemon can reach
  /// none of those, in any service. Other daemons may still reach them.
  bool allServersUnreachable() const;
  /// True when no server accepts new flows, or one that does was reached; see
  /// ReachMonitor.
  bool hasProvenReachability() const {
    return !anyServerAcceptsNewFlows() || Reach.state() == ReachState::Reached;
  }
  /// Whether servers that accept new flows were reached.
  ReachState reachState() const { return Reach.state(); }
  /// Number of tracked flows.
  size_t flows() const { return Flows.size(); }
  /// False after a start while some published servers are not known.
  bool hasAllServers() const { return HasAllServers; }
  /// The servers with their request counts.
  const ServerTable &servers() const { return Servers; }
  /// Number of servers that are silent individually, not counting the other
  /// servers of silent failure domains.
  size_t silentServers() const { return Detector.silentServerCount(); }
  /// Number of servers that are ejected as slow.
  size_t ejectedServers() const;
  /// Measured speed of the server at \p index and whether it is ejected.
  ServerSpeed speedOf(ServerIndex index) const;
  /// The snapshot in force; null before the first apply().
  const std::shared_ptr<const PacketRoutes> &routes() const { return Routes; }
  /// Current timeout for the answer to an opening.
  Duration openingTimeout() const { return Timeout.value(); }

private:
  /// An opening that was sent and has no answer yet.
  struct UnansweredOpening {
    TimePoint Due;           ///< When to try another server.
    TimePoint SentAt;        ///< When the last copy was forwarded.
    BufferedOpening Opening; ///< The packet; empty when it was too long.
  };

  /// The server that a token identifies.
  struct TokenMatch {
    ServerIndex Server = NoServerIndex; ///< The server; none if not found.
    PacketReason Reason = PacketReason::None;       ///< Why it was not found.
    ServerEvidence Evidence = ServerEvidence::None; ///< How it was found.
  };

  /// How a packet of a flow has come here.
  struct PacketPath {
    bool IsRelayed = false;  ///< Through a peer; it is not relayed again.
    bool IsOriginal = false; ///< It is known to be no retransmission.
  };

  /// A request that its caller retransmitted because the server has not
  /// acknowledged it.
  struct RetransmittedRequest {
    TimePoint At;      ///< Time of the retransmission.
    PacketHeader Head; ///< Header of the retransmitted packet.
  };

  void handleOpening(TimePoint now, const PacketHeader &head,
                     const uint8_t *bytes, size_t n, PacketSink &out);
  OpeningQueue::Item takeWaitingOpening(TimePoint now,
                                        const PacketHeader &head);
  bool bufferOpening(TimePoint now, const PacketHeader &head,
                     const uint8_t *bytes, size_t n,
                     const OpeningCopies &copies);
  bool admit(TimePoint now, const PacketHeader &head, const uint8_t *bytes,
             size_t n, const OpeningCopies &copies, PacketSink &out);
  OpeningRequest admissionRequest(const PacketHeader &head,
                                  TimePoint arrivedAt) const;
  OpeningAdmission *admissionFor(TimePoint now, const ServiceId &service);
  AdmissionInputs admissionInputs(const ServiceEntry &of) const;
  std::optional<uint32_t> admissionPriority(const FlowKey &flow) const;
  void explainAdmission(TimePoint now, const FlowKey &flow,
                        FlowExplanation &explanation);
  void recordCall(TimePoint now);
  void recordFlowRequest(TimePoint now, ServerIndex server);
  void serveHeldOpenings(TimePoint now, PacketSink &out);
  void serveHeldOf(TimePoint now, const ServiceId &service,
                   OpeningAdmission &admission, PacketSink &out);
  void decideHeldAgain(TimePoint now, PacketSink &out);
  void endHeld(TimePoint now, const HeldOpening &held, OpeningVerdict verdict,
               PacketSink &out);
  void placeHeld(TimePoint now, const HeldOpening &held, PacketSink &out);
  void refuseForRoom(TimePoint now, const PacketHeader &head,
                     const OpeningRequest &request, const ServiceId &service,
                     PacketSink &out);
  TimePoint nextHeldWakeup() const;
  bool queueLateOpening(TimePoint now, const PacketHeader &head,
                        const uint8_t *bytes, size_t n,
                        OpeningQueue::Item item);
  bool areSlotsTakenFor(TimePoint now, const PacketHeader &head);
  bool mayHaveWaited() const;
  bool isLateCopy(TimePoint now, const TrackedFlow &flow,
                  const PacketHeader &head) const;
  static bool isOutdated(TimePoint now, const OpeningCopies &copies);
  void removeWaitingOpening(const FlowKey &flow);
  bool isAwaitingServers(const PacketHeader &head);
  void placeLateOpenings(TimePoint now, PacketSink &out);
  void place(TimePoint now, const PacketHeader &head, const uint8_t *bytes,
             size_t n, const OpeningCopies &copies, PacketSink &out);
  void placeBufferedOpenings(TimePoint now, PacketSink &out);
  void handleOpeningCopy(TimePoint now, TrackedFlow &flow,
                         const PacketHeader &head, const uint8_t *bytes,
                         size_t n, PacketSink &out);
  void handleFlowPacket(TimePoint now, const PacketHeader &head,
                        const PacketPath &path, const uint8_t *bytes, size_t n,
                        PacketSink &out);
  void handleAnswer(TimePoint now, TrackedFlow &flow, const PacketHeader &head,
                    const PacketPath &path, const uint8_t *bytes, size_t n,
                    PacketSink &out);
  void forwardOnFlow(TimePoint now, TrackedFlow &flow, bool isTracked,
                     const PacketHeader &head, const uint8_t *bytes, size_t n,
                     PacketSink &out);
  void reportUndecided(const PacketHeader &head, PacketSink &out) const;
  bool isRequestLost(const TrackedFlow &flow, const PacketHeader &head) const;
  void resetFlow(TrackedFlow &flow, const PacketHeader &head, PacketSink &out);
  void resetLostRequests(PacketSink &out);
  bool relay(const PacketHeader &head, const PacketPath &path,
             const uint8_t *bytes, size_t n, PacketSink &out);
  void relayOrDrop(TimePoint now, const PacketHeader &head,
                   const PacketPath &path, PacketReason why,
                   const uint8_t *bytes, size_t n, PacketSink &out);
  TrackedFlow *adopt(TimePoint now, const PacketHeader &head,
                     const TokenMatch &match, TrackedFlow &spare,
                     PacketSink &out);
  bool confirm(TimePoint now, TrackedFlow &flow, const PacketHeader &head,
               const PacketPath &path, PacketSink &out);
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
  void addSample(TimePoint now, const ServiceEntry &of, double coldFlows,
                 const TrackedFlow &flow, bool ownIncluded);
  void addCandidate(TimePoint now, ServerIndex index, double coldFlows,
                    const TrackedFlow &flow);
  double coldFlowsPerSecond(const ServiceId &service) const;
  bool hasTriedDomain(const TrackedFlow &flow, const DomainId &domain) const;
  const ServiceId *serviceFor(const FlowKey &key) const;
  TokenMatch resolveToken(const PacketHeader &head) const;
  ServerIndex serverOfOpening(const TrackedFlow &flow,
                              const PacketHeader &head) const;
  PacketReason findAllowed(uint32_t token, const RouteEntry &route,
                           ServerIndex &found) const;
  TokenMatch answeredServer(TimePoint now, const TrackedFlow &flow,
                            const PacketHeader &head,
                            const PacketPath &path) const;
  static bool isOriginal(TimePoint now, const TrackedFlow &flow,
                         const PacketPath &path);
  uint32_t openingTokenFor(const FlowKey &flow, ServerIndex server) const;
  bool isServiceUnreachable(const ServiceId &service);
  bool anyServerAcceptsNewFlows() const;
  bool ownDomainAcceptsNewFlows() const;
  bool isLeavingRotation(TimePoint now) const;
  void updateReachability(TimePoint now);
  void recordReached(ServerIndex server);
  std::vector<ServerIndex> serversToProbe(TimePoint now);
  void forward(ServerIndex to, uint32_t token, const uint8_t *bytes, size_t n,
               PacketSink &out) const;
  void refuse(const PacketHeader &head, PacketReason why, PacketSink &out);
  void trackRequests(TimePoint now, TrackedFlow &flow,
                     const PacketHeader &head);
  void followToken(TimePoint now, TrackedFlow &flow, const PacketHeader &head,
                   PacketSink &out);
  void countRequest(TimePoint now, TrackedFlow &flow, ServerIndex at);
  void uncountRequest(TrackedFlow &flow);
  void reportRecovery(ServerIndex server, bool wasSilent, bool domainWasSilent,
                      PacketSink &out);
  void reportSilentServer(ServerIndex server, const FlowKey &flow,
                          PacketSink &out);
  void updateShares();
  void updateShares(const ServiceId &id, ServiceEntry &service);
  void updateDemand(TimePoint now);
  void setDemandFleet(DomainDemand &demand) const;
  void recordDemand(const ServiceId *service);
  bool handleLoadReport(TimePoint now, const LoadReport &report);
  std::vector<WeightedDaemons> demandWeights(const ServiceId &service) const;
  void beginSpeedSample(TimePoint now, TrackedFlow &flow,
                        const PacketHeader &head);
  void endSpeedSample(TimePoint now, TrackedFlow &flow,
                      const PacketHeader &head);
  void discardSpeedSample(TrackedFlow &flow);
  void processSpeeds(TimePoint now, PacketSink &out);
  void processOverdueRequests(TimePoint now);
  void recordOverdue(TimePoint now, TrackedFlow &flow, const FlowKey &key);
  bool isVerdictPossible(ServerIndex server);
  void decideEjections(TimePoint now, ServiceSpeeds &of);
  void applySpeedChange(TimePoint now, ServerIndex server,
                        SlowServerEjection::Change change);
  void updateSpeed(TimePoint now, ServerIndex server);
  void updateSpeedShare(ServiceEntry &service);
  void refreshSpeeds(TimePoint now);
  ServiceSpeeds &speedsOf(ServerIndex server);
  void forgetSpeed(ServerIndex server);
  void forgetOldInstances(const PacketUpdate &update);
  void applySpeed(ServerIndex index, OpeningCandidate &candidate) const;
  bool isProbing(const ServiceSpeeds &of, ServerIndex server);
  std::optional<OpeningChoice> chooseProbe(TimePoint now,
                                           const ServiceId &service,
                                           const PacketHeader &head);
  PacketEvent makeEvent(PacketEventKind kind, PacketReason why,
                        const FlowKey &key, ServerIndex server) const;

  const PacketRouterSettings Settings;
  RandomSource &Random;
  std::shared_ptr<const PacketRoutes> Routes; ///< In force; null at first.
  ServerTable Servers;                        ///< Servers, counts and shares.
  PacketFlowTable Flows;                      ///< Flows tracked by this daemon.
  ReachMonitor Reach;       ///< Whether any server is reachable.
  FailureDetector Detector; ///< Finds servers that do not answer.
  OpeningTimeout Timeout;   ///< Timeout for answers to openings.
  OpeningQueue Buffered;    ///< Openings waiting for routes or servers.
  OpeningQueue Late;        ///< Late openings waiting for a free slot.
  absl::flat_hash_map<ServiceId, OpeningAdmission> Admissions;
  HeldOpenings Held;            ///< Openings that wait in Admissions.
  OvertakingPackets Overtaking; ///< Packets that wait for a flow's first one.
  uint64_t LastHeldId = 0;      ///< Last OpeningRequest::Id.
  bool AreHeldOutdated = false; ///< The routes have changed since.
  bool Releasing = false;       ///< See releaseOpenings().
  bool MayReset = true;   ///< False while an opening is placed of which another
                          ///< daemon may have forwarded a copy.
  TimePoint CalledAt;     ///< Time of the current or last call.
  TimePoint CalledBefore; ///< Time of the last call at an earlier time.
  std::deque<UnansweredOpening> Unanswered; ///< Approximately ordered by Due.
  /// Last copies that wait for a reset, ordered by Due. Kept in a separate
  /// queue because they wait longer and would delay the other openings.
  std::deque<UnansweredOpening> LastCopies;
  std::deque<RetransmittedRequest> Retransmitted; ///< Ordered by time.
  std::vector<OpeningCandidate> Candidates;  ///< Reused to avoid allocations.
  PacketSpeeds Speeds;                       ///< See LoadSettings::Speeds.
  FleetPosition Fleet;                       ///< See setFleet().
  std::vector<DaemonTag> Peers;              ///< See setPeers().
  bool HasAllPeers = true;                   ///< See setPeers().
  std::map<ServiceId, DomainDemand> Demands; ///< Empty if not turned on.
  TimePoint NextDemandUpdate;                ///< When updateDemand() is due.
  size_t NextLoadReport = 0;     ///< Offset of the next message's reports.
  LoadReportCounts ReportCounts; ///< See loadReportCounts().
  bool HasAllServers = true;     ///< See PacketUpdate.
  bool Stale = false;            ///< See setStale().
  bool Delayed = false; ///< See setDelayed(); also set for queued openings.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETROUTER_H

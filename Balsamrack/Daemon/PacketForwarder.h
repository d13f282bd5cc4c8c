#ifndef BALSAMRACK_DAEMON_PACKETFORWARDER_H
#define BALSAMRACK_DAEMON_PACKETFORWARDER_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Balsamrack/Daemon/PacketTelemetry.h"
#include "Balsamrack/Daemon/ProgressMonitor.h"
#include "Balsamrack/Packets/ConnectionProber.h"
#include "Balsamrack/Packets/PacketCodec.h"
#include "Balsamrack/Packets/PacketRouter.h"
#include "Balsamrack/Packets/PacketSocket.h"
#include "Balsamrack/Packets/RelayedPacket.h"

namespace balsamrack {

/// Current state of a PacketForwarder.
struct ForwarderStatus {
  uint64_t Configuration = 0; ///< Version in force; zero if none.
  size_t Flows = 0;           ///< Flows in the flow table.
  size_t Daemons = 0;         ///< Daemons in the fleet.
  size_t SilentServers = 0;   ///< Silent individually, not as a domain.
  size_t Servers = 0;         ///< Servers that are known.
  bool HasAllServers = true;  ///< See PacketUpdate.
  size_t WaitingOpenings = 0; ///< Openings that wait for room.
  std::vector<AdmissionStatus> Admission; ///< See PacketRouter.
};

/// State of one backend server in a PacketForwarder.
struct ForwarderServerStatus {
  ServerId Id;             ///< Server id.
  ServiceId Service;       ///< Service of the server.
  DomainId Domain;         ///< Failure domain of the server.
  Address At;              ///< Address of the server.
  const char *Mode = "";   ///< active, draining, lapsed, gone, replaced
                           ///< or domain-out.
  uint32_t InProgress = 0; ///< Flows of this daemon in progress on it.
  double Share = 0;        ///< This daemon's share of the server's slots.
  bool Silent = false;     ///< The server or its domain doesn't answer.
  bool Cold = false;       ///< Recently started and still warming up.
  ServerSpeed Speed;       ///< Measured speed; whether it is ejected as slow.
};

/// Receives callers' packets and forwards them to backend servers, on a thread
/// of its own with one socket and one router under one lock. Public methods are
/// thread-safe.
class PacketForwarder final : private PacketSink {
public:
  /// Upper bound of one wait in poll().
  static constexpr Duration MaxPollWait{250'000};
  /// If the clock is read later than this after the previous time, the process
  /// was suspended.
  static constexpr Duration PauseThreshold{1'000'000};
  /// If the clock is read later than this after the previous time, callers may
  /// have retransmitted the packets that wait in the socket.
  static constexpr Duration MaxIterationTime{300'000};
  /// After a pause, opening packets wait no longer than this for updates:
  /// callers retransmit after 200 ms, and stale state is better than none.
  static constexpr Duration MaxStaleTime{150'000};

  /// An idle thread handles the release within microseconds; one without
  /// processor time must not use up the grace time.
  static constexpr Duration MaxReleaseTime{200'000};

  /// Maximum number of packets from peers that wait to be handled.
  static constexpr size_t MaxRelayedPackets = 1024;

  /// Called on the forwarder's thread to send a packet to the peers with the
  /// tag \p to; must not block or call the forwarder.
  using OnRelay = std::function<void(DaemonTag to, RelayedPacket packet)>;
  /// Called on the forwarder's thread when it detects that it was paused.
  using OnPause = std::function<void()>;

  /// Starts the thread. Preconditions: all references outlive the forwarder; \p
  /// socket is not null.
  PacketForwarder(const PacketRouterSettings &settings,
                  const PacketCodec &codec,
                  std::unique_ptr<PacketSocket> socket, const Clock &clock,
                  uint64_t seed, PacketTelemetry &telemetry, OnPause onPause);
  PacketForwarder(const PacketForwarder &) = delete;
  PacketForwarder &operator=(const PacketForwarder &) = delete;
  ~PacketForwarder() override;

  /// See PacketRouter.
  void apply(const PacketUpdate &update);
  /// See PacketRouter.
  void setFleet(const FleetPosition &position);
  /// See PacketRouter.
  void setPeers(std::vector<DaemonTag> peers, bool isComplete);
  /// Marks the routes as fresh, since updates have arrived after the last
  /// pause.
  void setFresh();
  /// Sets the handler of packets for peers; until then they are dropped.
  void setRelayHandler(OnRelay handler);
  /// Queues a packet that a peer has relayed. Drops it if MaxRelayedPackets
  /// wait.
  void handleRelayed(RelayedPacket packet);
  /// See PacketRouter.
  FlowExplanation explain(const FlowKey &key);
  /// See PacketRouter.
  void handleLoadReports(const LoadReports &reports);
  /// See PacketRouter.
  LoadReports loadReports();
  /// See PacketRouter.
  std::vector<ServiceDemandStatus> domainDemand();
  /// Places all waiting openings and holds no further ones. Returns when none
  /// waits, at the latest after MaxReleaseTime.
  void releaseOpenings();
  /// Returns the current state.
  ForwarderStatus status();
  /// Returns all servers in the router's table.
  std::vector<ForwarderServerStatus> servers();
  /// See PacketRouter. Updated at each iteration and when routes are set.
  bool hasProvenReachability() const { return ProvenReachability.load(); }
  /// Checks whether the thread has stopped forwarding; see ProgressMonitor.
  bool checkStalled() { return Progress.checkStalled(Time.now()); }
  /// Number of packets received so far.
  uint64_t received() const { return Received.load(); }
  /// Stops the thread. Idempotent.
  void stop();

private:
  void forward(const PacketTarget &to, const uint8_t *packet,
               size_t n) override;
  void relay(DaemonTag to, bool isOriginal, const uint8_t *packet,
             size_t n) override;
  void reset(const PacketHeader &head) override;
  void report(const PacketEvent &event) override {
    TelemetrySink.recordEvent(event);
  }

  void run();
  void wait();
  /// Returns the time of the last batch, or \p now if there was none.
  TimePoint receivePackets(TimePoint now);
  void handleRelayedPackets(TimePoint now);
  void reportMalformed();
  void detectPause(TimePoint now);
  void updateReachability();
  void wakeUp();
  void publishMetrics(TimePoint now);

  const PacketCodec &Codec;
  const std::unique_ptr<PacketSocket> Socket; ///< Used by the thread only.
  const Clock &Time;
  PacketTelemetry &TelemetrySink;
  const OnPause OnPaused;
  const int WakeEvent;     ///< An eventfd that interrupts poll(); see wakeUp().
  ConnectionProber Prober; ///< Used by the thread only.
  TimePoint LastClockReadAt;     ///< Used by the thread only.
  TimePoint NextMetricsAt;       ///< Used by the thread only.
  bool IsPauseReportDue = false; ///< Used by the thread only.

  std::mutex Lock; ///< Guards the members up to StaleUntil.
  OnRelay RelayHandler;
  std::vector<RelayedPacket> Relayed; ///< In order of arrival.
  SeededRandom Random;
  PacketRouter Router;
  TimePoint StaleUntil; ///< Zero if the routes are fresh.

  ProgressMonitor Progress;
  std::atomic<uint64_t> Received{0};
  std::atomic<bool> ProvenReachability{true};
  std::atomic<bool> Stopping{false};
  std::thread Thread; ///< Last, so that all other members are initialised when
                      ///< it starts.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETFORWARDER_H

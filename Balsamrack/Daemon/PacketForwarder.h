#ifndef BALSAMRACK_DAEMON_PACKETFORWARDER_H
#define BALSAMRACK_DAEMON_PACKETFORWARDER_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "Balsamrack/Daemon/PacketTelemetry.h"
#include "Balsamrack/Packets/ConnectionProber.h"
#include "Balsamrack/Packets/PacketCodec.h"
#include "Balsamrack/Packets/PacketRouter.h"
#include "Balsamrack/Packets/PacketSocket.h"

namespace balsamrack {

/// A lane's figures.
struct ForwarderStatus {
  uint64_t Configuration = 0; ///< In force; zero: none.
  size_t Flows = 0;           ///< Remembered.
  size_t Daemons = 0;         ///< Of the fleet.
  size_t SilentServers = 0;   ///< By themselves.
};

/// One backend server as a lane sees it.
struct ForwarderServerStatus {
  ServerId Id;             ///< Which.
  ServiceId Service;       ///< For which service.
  DomainId Domain;         ///< Where it stands.
  Address At;              ///< Where it listens.
  const char *Mode = "";   ///< active, draining, expired, gone, replaced or
                           ///< domain-out.
  uint32_t InProgress = 0; ///< Own flows that it works on.
  double Share = 0;        ///< Of its slots, this daemon's.
  bool Silent = false;     ///< It, or its domain, leaves openings unanswered.
  bool Cold = false;       ///< Has just started and is slow.
};

/// The thread that takes callers' packets in and passes them on: one socket,
/// one router under one lock. Public methods are thread-safe.
class PacketForwarder final : private PacketSink {
public:
  /// The loop looks around at least so often.
  static constexpr Duration MaxPollWait{250'000};
  /// A loop that is later than this was paused: the process was frozen.
  static constexpr Duration PauseThreshold{1'000'000};
  /// After a pause openings wait for updates no longer than this: callers send
  /// a copy after 200 ms, and old updates serve better than none.
  static constexpr Duration MaxStaleTime{150'000};

  /// Called on the lane's thread when it finds that it was paused.
  using OnPause = std::function<void()>;

  /// Starts the thread. Preconditions: all references outlive the lane; \p
  /// socket is not null.
  PacketForwarder(const PacketRouterSettings &settings,
                  const PacketCodec &codec,
                  std::unique_ptr<PacketSocket> socket, const Clock &clock,
                  uint64_t seed, PacketTelemetry &telemetry, OnPause onPause);
  PacketForwarder(const PacketForwarder &) = delete;
  PacketForwarder &operator=(const PacketForwarder &) = delete;
  ~PacketForwarder() override;

  /// See PacketRouter.
  void setRoutes(std::shared_ptr<const PacketRoutes> routes);
  /// See PacketRouter.
  void setFleet(size_t daemons, size_t self);
  /// Updates have come since the last pause.
  void setFresh();
  /// See PacketRouter.
  FlowExplanation explain(const FlowKey &key);
  /// Present figures.
  ForwarderStatus status();
  /// All servers that are remembered.
  std::vector<ForwarderServerStatus> servers();
  /// See PacketRouter; as of the last look around.
  bool isReachabilityConfirmed() const { return ReachabilityConfirmed.load(); }
  /// Packets taken in so far.
  uint64_t received() const { return Received.load(); }
  /// Ends the thread. Idempotent.
  void stop();

private:
  void forward(const PacketTarget &to, const uint8_t *packet,
               size_t n) override;
  void reset(const PacketHeader &head) override;
  void report(const PacketEvent &event) override {
    TelemetrySink.recordEvent(event);
  }

  void run();
  void wait();
  void receivePackets(TimePoint now);
  void detectPause(TimePoint now);
  void updateReachability();
  void wakeUp();
  void publishMetrics(TimePoint now);

  const PacketCodec &Codec;
  const std::unique_ptr<PacketSocket> Socket; ///< The thread's own.
  const Clock &Time;
  PacketTelemetry &TelemetrySink;
  const OnPause OnPaused;
  const int WakeEvent;       ///< Ends the thread's wait; see wakeUp().
  ConnectionProber Prober;   ///< The thread's own.
  TimePoint LastIterationAt; ///< The thread's own.
  TimePoint NextMetricsAt;   ///< The thread's own.

  std::mutex Lock; ///< Guards what follows.
  SeededRandom Random;
  PacketRouter Router;
  TimePoint StaleUntil; ///< Zero: not stale.

  std::atomic<uint64_t> Received{0};
  std::atomic<bool> ReachabilityConfirmed{true};
  std::atomic<bool> Stopping{false};
  std::thread Thread; ///< Last, so that all above is there when it starts.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETFORWARDER_H

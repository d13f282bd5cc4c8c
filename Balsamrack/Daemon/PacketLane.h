#ifndef BALSAMRACK_DAEMON_PACKETLANE_H
#define BALSAMRACK_DAEMON_PACKETLANE_H

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
struct LaneStatus {
  uint64_t Configuration = 0; ///< In force; zero: none.
  size_t Flows = 0;           ///< Remembered.
  size_t Daemons = 0;         ///< Of the fleet.
  size_t SilentServers = 0;   ///< By themselves.
};

/// One backend server as a lane sees it.
struct LaneServer {
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
class PacketLane final : private PacketSink {
public:
  /// The loop looks around at least so often.
  static constexpr Duration MostWait{250'000};
  /// A loop that is later than this was paused: the process was frozen.
  static constexpr Duration PauseLimit{1'000'000};
  /// After a pause openings wait for updates no longer than this: callers send
  /// a copy after 200 ms, and old updates serve better than none.
  static constexpr Duration StaleLimit{150'000};

  /// Called on the lane's thread when it finds that it was paused.
  using OnPause = std::function<void()>;

  /// Starts the thread. Preconditions: all references outlive the lane; \p
  /// socket is not null.
  PacketLane(const PacketRouterSettings &settings, const PacketCodec &codec,
             std::unique_ptr<PacketSocket> socket, const Clock &clock,
             uint64_t seed, PacketTelemetry &telemetry, OnPause onPause);
  PacketLane(const PacketLane &) = delete;
  PacketLane &operator=(const PacketLane &) = delete;
  ~PacketLane() override;

  /// See PacketRouter.
  void setRoutes(std::shared_ptr<const PacketRoutes> routes);
  /// See PacketRouter.
  void setFleet(size_t daemons, size_t self);
  /// Updates have come since the last pause.
  void setFresh();
  /// See PacketRouter.
  FlowExplanation explain(const FlowKey &key);
  /// Present figures.
  LaneStatus status();
  /// All servers that are remembered.
  std::vector<LaneServer> servers();
  /// See PacketRouter; as of the last look around.
  bool provedReach() const { return ProvedReach.load(); }
  /// Packets taken in so far.
  uint64_t received() const { return Received.load(); }
  /// Ends the thread. Idempotent.
  void stop();

private:
  void forward(const PacketTarget &to, const uint8_t *packet,
               size_t n) override;
  void reset(const PacketHeader &head) override;
  void report(const PacketEvent &event) override { Watch.report(event); }

  void run();
  void wait();
  void takePackets(TimePoint now);
  void noteTime(TimePoint now);
  void noteReach();
  void wakeUp();
  void publishFigures(TimePoint now);

  const PacketCodec &Codec;
  const std::unique_ptr<PacketSocket> Socket; ///< The thread's own.
  const Clock &Time;
  PacketTelemetry &Watch;
  const OnPause Paused;
  const int Wake;          ///< Ends the thread's wait; see wakeUp().
  ConnectionProber Prober; ///< The thread's own.
  TimePoint LastLoop;      ///< The thread's own.
  TimePoint NextFigures;   ///< The thread's own.

  std::mutex Lock; ///< Guards what follows.
  SeededRandom Random;
  PacketRouter Router;
  TimePoint StaleUntil; ///< Zero: not stale.

  std::atomic<uint64_t> Received{0};
  std::atomic<bool> ProvedReach{true};
  std::atomic<bool> Stopping{false};
  std::thread Loop; ///< Last, so that all above is there when it starts.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETLANE_H

#ifndef BALSAMRACK_DAEMON_PACKETDAEMON_H
#define BALSAMRACK_DAEMON_PACKETDAEMON_H

#include <atomic>
#include <memory>

#include "Balsamrack/Daemon/PacketControlPlane.h"
#include "Balsamrack/Daemon/PacketForwarder.h"
#include "Balsamrack/Daemon/PacketOperatorHandler.h"
#include "Balsamrack/Http/HttpListener.h"
#include "Balsamrack/Settings/PacketSettings.h"

namespace balsamrack {

/// Daemon of an entry VM on the packet carrier: receives callers' packets and
/// forwards them directly to backend servers. Public methods are thread-safe.
class PacketDaemon final : private PacketControlListener {
public:
  /// Objects that the program provides.
  struct Dependencies {
    const PacketCodec &Codec; ///< Decodes and encodes packets.
    PublishedSource &Source;  ///< Publishing service of operators and servers.
    const Clock &Time;        ///< Time source.
    EventLog &Log;            ///< Destination of log lines.
  };

  /// Opens all sockets and starts all threads. Error (step listen) if an
  /// address is in use. Precondition: all objects that \p dependencies refers
  /// to outlive the daemon.
  static absl::StatusOr<std::unique_ptr<PacketDaemon>>
  create(const PacketSettings &settings, const Dependencies &dependencies);
  PacketDaemon(const PacketDaemon &) = delete;
  PacketDaemon &operator=(const PacketDaemon &) = delete;
  ~PacketDaemon() override;

  /// Applies the settings that may change at run time: the seeds. Other fields
  /// are fixed until a restart; a change of the packet, ready, peer or source
  /// address or of the failure domain is logged.
  void reload(const PacketSettings &settings);
  /// True when the fabric may send packets here.
  bool ready() const;
  /// Shuts down: reports not ready at once, forwards packets until the fabric
  /// has removed this daemon, and returns within the grace time.
  void shutDown();

private:
  PacketDaemon(const PacketSettings &settings,
               const Dependencies &dependencies);
  absl::Status start();
  void onPublishedChanged(const PacketUpdate &update) override;
  void onFleetChanged(const FleetPosition &position) override;
  void onPeersChanged(std::vector<DaemonTag> peers, bool isComplete) override;
  void onRefreshed() override;
  void onLoadReports(const LoadReports &reports) override;
  void onPacketRelayed(RelayedPacket packet) override;
  LoadReports loadReports() override;
  Answer answerReady(const Message &message);
  bool checkForwarder();

  const PacketSettings Settings;
  const Dependencies Deps;
  PacketTelemetry TelemetrySink;
  std::atomic<bool> Leaving{false};
  std::atomic<bool> HasRoutes{false};
  std::atomic<bool> IsStalled{false}; ///< As the last readiness check found.
  std::unique_ptr<PacketForwarder> Forwarder;
  std::unique_ptr<PacketControlPlane> Control;
  std::unique_ptr<HttpListener> ReadyPort;
  std::unique_ptr<PacketOperatorHandler> Operators;
  std::unique_ptr<OperatorPort> MetricsPort;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETDAEMON_H

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

/// The daemon of an entry VM on a packet carrier: takes callers' packets and
/// passes them straight to backend servers. Public methods are thread-safe.
class PacketDaemon final : private PacketControlListener {
public:
  /// What the daemon is given by its program.
  struct Dependencies {
    const PacketCodec &Codec; ///< How packets look.
    PublishedSource &Source;  ///< Where operators and servers publish.
    const Clock &Time;        ///< The clock.
    EventLog &Log;            ///< Where its lines go.
  };

  /// Opens all sockets and starts all threads. Error (step listen) when an
  /// address is taken. Preconditions: all that \p parts refers to outlives the
  /// daemon.
  static absl::StatusOr<std::unique_ptr<PacketDaemon>>
  create(const PacketSettings &settings, const Dependencies &dependencies);
  PacketDaemon(const PacketDaemon &) = delete;
  PacketDaemon &operator=(const PacketDaemon &) = delete;
  ~PacketDaemon() override;

  /// Takes over what may change while it runs: the seeds. Other fields hold for
  /// one run; a difference there is logged.
  void reload(const PacketSettings &settings);
  /// True when the fabric may send packets here.
  bool ready() const;
  /// Shuts down: says at once that it is not ready, goes on passing packets on
  /// until the fabric has taken it out, and ends within the grace time.
  void shutDown();

private:
  PacketDaemon(const PacketSettings &settings,
               const Dependencies &dependencies);
  absl::Status start();
  void onRoutesChanged(std::shared_ptr<const PacketRoutes> routes) override;
  void onFleetChanged(size_t daemons, size_t self) override;
  void onRefreshed() override;
  Answer answerReady(const Message &message) const;

  const PacketSettings Settings;
  const Dependencies Deps;
  PacketTelemetry TelemetrySink;
  std::atomic<bool> Leaving{false};
  std::atomic<bool> HasRoutes{false};
  std::unique_ptr<PacketForwarder> Forwarder;
  std::unique_ptr<PacketControlPlane> Control;
  std::unique_ptr<HttpListener> ReadyPort;
  std::unique_ptr<PacketOperatorHandler> Operators;
  std::unique_ptr<OperatorPort> MetricsPort;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETDAEMON_H

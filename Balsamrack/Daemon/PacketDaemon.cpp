#include "Balsamrack/Daemon/PacketDaemon.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace balsamrack {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpUnavailable = 503;

/// The fabric polls readiness twice a second and removes a daemon after two
/// failures; half a second more covers a response in flight.
constexpr Duration MinLinger{1'600'000};
/// Part of the grace time reserved for the shutdown itself.
constexpr Duration ShutdownMargin{1'000'000};
/// After this long without a packet, the fabric has stopped sending here.
constexpr Duration QuietPeriod{400'000};
constexpr Duration LingerPollPeriod{50'000};

/// Any client that can reach the metrics address may read it; the port is
/// read-only.
constexpr const char *AnyAddress = "0.0.0.0/0";

HttpListenerSettings portAt(const Address &at) {
  HttpListenerSettings settings;
  settings.At = at;
  settings.MaxConnections = 16;
  settings.MaxBodyBytes = 1024;
  settings.IdleTimeoutSeconds = 10;
  return settings;
}

/// Orders the runs of a VM that stores no state. Peers detect a wall clock that
/// was set back; see PacketControlPlane.
Incarnation newIncarnation() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return {static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

} // namespace

absl::StatusOr<std::unique_ptr<PacketDaemon>>
PacketDaemon::create(const PacketSettings &settings,
                     const Dependencies &dependencies) {
  std::unique_ptr<PacketDaemon> daemon(
      new PacketDaemon(settings, dependencies));
  absl::Status status = daemon->start();
  if (!status.ok())
    return status;
  return daemon;
}

PacketDaemon::PacketDaemon(const PacketSettings &settings,
                           const Dependencies &dependencies)
    : Settings(settings), Deps(dependencies),
      TelemetrySink(dependencies.Time, dependencies.Log) {}

PacketDaemon::~PacketDaemon() {
  if (ReadyPort)
    ReadyPort->stop();
  if (MetricsPort)
    MetricsPort->stop();
  if (Control)
    Control->stop();
  Deps.Source.cancelAll();
  if (Forwarder)
    Forwarder->stop();
}

absl::Status PacketDaemon::start() {
  auto socket = PacketSocket::open(Settings.PacketAddress);
  if (!socket.ok())
    return socket.status();
  auto peers = DatagramTransport::open(Settings.PeerAddress);
  if (!peers.ok())
    return peers.status();
  Incarnation run = newIncarnation();
  uint64_t seed = combineHash(Settings.self().Id.hash(), run.Value);
  PacketRouterSettings router;
  router.Domain = Settings.Domain;
  router.Self = DaemonTag::of(Settings.self().Id);
  router.MaxFlows = Settings.MaxFlows;
  router.Load = Settings.Load;
  Forwarder =
      std::make_unique<PacketForwarder>(router, Deps.Codec, *std::move(socket),
                                        Deps.Time, seed, TelemetrySink, [this] {
                                          if (Control)
                                            Control->requestAfterPause();
                                        });
  auto state = PacketControlPlane::create(
      Settings.self(), Settings.seedPeers(), run, seed + 1, *std::move(peers),
      Deps.Source, Deps.Time, TelemetrySink, *this);
  if (!state.ok())
    return state.status();
  Control = *std::move(state);
  Forwarder->setRelayHandler([this](DaemonTag to, RelayedPacket packet) {
    Control->relay(to, std::move(packet));
  });
  auto ready =
      HttpListener::create(portAt(Settings.ReadyAddress),
                           [this](const std::string &, const Message &message) {
                             return answerReady(message);
                           });
  if (!ready.ok())
    return ready.status();
  ReadyPort = *std::move(ready);
  if (Settings.MetricsAddress.Port == 0)
    return absl::OkStatus();
  Operators = std::make_unique<PacketOperatorHandler>(Settings, *Forwarder,
                                                      TelemetrySink);
  auto metrics =
      OperatorPort::create(Settings.MetricsAddress, {AnyAddress}, *Operators);
  if (!metrics.ok())
    return metrics.status();
  MetricsPort = *std::move(metrics);
  return absl::OkStatus();
}

bool PacketDaemon::ready() const {
  // If a failure domain is taken out of service and is then partitioned from
  // the others, its daemons can't reach any server and would reject their
  // callers until the partition heals. By reporting not ready they leave the
  // callers to daemons of other domains, which the fabric can still reach.
  return HasRoutes && !Leaving && Forwarder->hasProvenReachability();
}

bool PacketDaemon::checkForwarder() {
  bool isStalled = Forwarder->checkStalled();
  if (IsStalled.exchange(isStalled) != isStalled)
    TelemetrySink.log(
        LogLine(Component::Entry,
                isStalled ? Severity::Warning : Severity::Info,
                isStalled ? "forwarder-stalled" : "forwarder-resumed")
            .number("packets", Forwarder->received()));
  return !isStalled;
}

Answer PacketDaemon::answerReady(const Message &message) {
  if (message.Target.substr(0, message.Target.find('?')) != Settings.ReadyPath)
    return {HttpNotFound, {}, ""};
  bool isForwarding = checkForwarder();
  return {isForwarding && ready() ? HttpOk : HttpUnavailable, {}, ""};
}

void PacketDaemon::onPublishedChanged(const PacketUpdate &update) {
  Forwarder->apply(update);
  if (!HasRoutes.exchange(true))
    TelemetrySink.log(LogLine(Component::Daemon, Severity::Info, "ready"));
}

void PacketDaemon::onFleetChanged(const FleetPosition &position) {
  Forwarder->setFleet(position);
}

void PacketDaemon::onPeersChanged(std::vector<DaemonTag> peers,
                                  bool isComplete) {
  Forwarder->setPeers(std::move(peers), isComplete);
}

void PacketDaemon::onRefreshed() { Forwarder->setFresh(); }

void PacketDaemon::onLoadReports(const LoadReports &reports) {
  Forwarder->handleLoadReports(reports);
}

void PacketDaemon::onPacketRelayed(RelayedPacket packet) {
  Forwarder->handleRelayed(std::move(packet));
}

LoadReports PacketDaemon::loadReports() { return Forwarder->loadReports(); }

void PacketDaemon::reload(const PacketSettings &settings) {
  bool fixed = settings.PacketAddress == Settings.PacketAddress &&
               settings.ReadyAddress == Settings.ReadyAddress &&
               settings.PeerAddress == Settings.PeerAddress &&
               settings.PublishedAddress == Settings.PublishedAddress &&
               settings.Domain == Settings.Domain;
  TelemetrySink.log(LogLine(Component::Daemon,
                            fixed ? Severity::Info : Severity::Warning,
                            "reloaded")
                        .number("seeds", settings.Seeds.size())
                        .flag("needs_restart", !fixed));
  Control->addSeeds(settings.seedPeers());
}

void PacketDaemon::shutDown() {
  Leaving = true;
  TelemetrySink.log(LogLine(Component::Daemon, Severity::Info, "leaving"));
  Control->announceLeaving();
  TimePoint began = Deps.Time.now();
  TimePoint last =
      began + std::max(Settings.ShutdownGrace - ShutdownMargin, Duration{0});
  TimePoint quietSince = began;
  uint64_t seen = Forwarder->received();
  for (TimePoint now = began; now < last; now = Deps.Time.now()) {
    if (Forwarder->received() != seen)
      quietSince = now;
    seen = Forwarder->received();
    if (now - began >= MinLinger && now - quietSince >= QuietPeriod)
      break;
    std::this_thread::sleep_for(LingerPollPeriod);
  }
  Forwarder->releaseOpenings();
  TelemetrySink.log(LogLine(Component::Daemon, Severity::Info, "stopped")
                        .millis("lingered_ms", Deps.Time.now() - began)
                        .number("packets", seen));
}

} // namespace balsamrack

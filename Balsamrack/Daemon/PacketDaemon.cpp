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

/// The fabric asks twice a second and takes a daemon out after two misses; half
/// a second more for an answer under way.
constexpr Duration LeastLinger{1'600'000};
/// Left of the grace time for the end itself.
constexpr Duration EndMargin{1'000'000};
/// No packet for so long: nobody sends here any more.
constexpr Duration QuietSpan{400'000};
constexpr Duration LingerStep{50'000};

/// Whoever reaches the metrics' address may read there; nothing can be changed.
constexpr const char *Everybody = "0.0.0.0/0";

HttpListenerSettings portAt(const Address &at) {
  HttpListenerSettings settings;
  settings.At = at;
  settings.MaxConnections = 16;
  settings.MaxBodyBytes = 1024;
  settings.IdleTimeoutSeconds = 10;
  return settings;
}

/// Orders the lives of a VM that keeps nothing. A time of day that goes back is
/// noticed by the peers (StatePart).
Incarnation newRun() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return {static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

} // namespace

absl::StatusOr<std::unique_ptr<PacketDaemon>>
PacketDaemon::create(const PacketSettings &settings, const Parts &parts) {
  std::unique_ptr<PacketDaemon> daemon(new PacketDaemon(settings, parts));
  absl::Status status = daemon->start();
  if (!status.ok())
    return status;
  return daemon;
}

PacketDaemon::PacketDaemon(const PacketSettings &settings, const Parts &parts)
    : Settings(settings), Given(parts), Watch(parts.Time, parts.Log) {}

PacketDaemon::~PacketDaemon() {
  if (ReadyPort)
    ReadyPort->stop();
  if (MetricsPort)
    MetricsPort->stop();
  if (State)
    State->stop();
  Given.Source.cancelAll();
  if (Lane)
    Lane->stop();
}

absl::Status PacketDaemon::start() {
  auto socket = PacketSocket::open(Settings.Packets);
  if (!socket.ok())
    return socket.status();
  auto peers = DatagramPeers::open(Settings.Peers);
  if (!peers.ok())
    return peers.status();
  Incarnation run = newRun();
  uint64_t seed = combineHash(Settings.self().Id.hash(), run.Value);
  PacketRouterSettings router;
  router.Domain = Settings.Domain;
  router.MaxFlows = Settings.MaxFlows;
  Lane = std::make_unique<PacketLane>(router, Given.Codec, *std::move(socket),
                                      Given.Time, seed, Watch, [this] {
                                        if (State)
                                          State->requestAfterPause();
                                      });
  auto state = StatePart::create(Settings.self(), Settings.seedPeers(), run,
                                 seed + 1, *std::move(peers), Given.Source,
                                 Given.Time, Watch, *this);
  if (!state.ok())
    return state.status();
  State = *std::move(state);
  auto ready =
      HttpListener::create(portAt(Settings.Ready),
                           [this](const std::string &, const Message &message) {
                             return answerReady(message);
                           });
  if (!ready.ok())
    return ready.status();
  ReadyPort = *std::move(ready);
  if (Settings.Metrics.Port == 0)
    return absl::OkStatus();
  Operators = std::make_unique<PacketOperatorPart>(Settings, *Lane, Watch);
  auto metrics =
      OperatorPort::create(Settings.Metrics, {Everybody}, *Operators);
  if (!metrics.ok())
    return metrics.status();
  MetricsPort = *std::move(metrics);
  return absl::OkStatus();
}

bool PacketDaemon::ready() const {
  // Guards against a failure domain that operators have taken out and that is
  // then cut off: its daemons can reach no server, and would refuse their
  // callers for as long as the cut lasts. Not ready, they leave them to daemons
  // of other domains, which the fabric can still reach.
  return HasRoutes && !Leaving && Lane->provedReach();
}

Answer PacketDaemon::answerReady(const Message &message) const {
  if (message.Target.substr(0, message.Target.find('?')) != Settings.ReadyPath)
    return {HttpNotFound, {}, ""};
  return {ready() ? HttpOk : HttpUnavailable, {}, ""};
}

void PacketDaemon::routesChanged(std::shared_ptr<const PacketRoutes> routes) {
  Lane->setRoutes(std::move(routes));
  if (!HasRoutes.exchange(true))
    Watch.log(LogLine(Part::Daemon, Severity::Info, "ready"));
}

void PacketDaemon::fleetChanged(size_t daemons, size_t self) {
  Lane->setFleet(daemons, self);
}

void PacketDaemon::refreshed() { Lane->setFresh(); }

void PacketDaemon::reload(const PacketSettings &settings) {
  bool fixed =
      settings.Packets == Settings.Packets &&
      settings.Ready == Settings.Ready && settings.Peers == Settings.Peers &&
      settings.Source == Settings.Source && settings.Domain == Settings.Domain;
  Watch.log(LogLine(Part::Daemon, fixed ? Severity::Info : Severity::Warning,
                    "reloaded")
                .number("seeds", settings.Seeds.size())
                .flag("needs_restart", !fixed));
  State->addSeeds(settings.seedPeers());
}

void PacketDaemon::shutDown() {
  Leaving = true;
  Watch.log(LogLine(Part::Daemon, Severity::Info, "leaving"));
  State->leave();
  TimePoint began = Given.Time.now();
  TimePoint last = began + std::max(Settings.Grace - EndMargin, Duration{0});
  TimePoint quietSince = began;
  uint64_t seen = Lane->received();
  for (TimePoint now = began; now < last; now = Given.Time.now()) {
    if (Lane->received() != seen)
      quietSince = now;
    seen = Lane->received();
    if (now - began >= LeastLinger && now - quietSince >= QuietSpan)
      break;
    std::this_thread::sleep_for(LingerStep);
  }
  Watch.log(LogLine(Part::Daemon, Severity::Info, "stopped")
                .millis("lingered_ms", Given.Time.now() - began)
                .number("packets", seen));
}

} // namespace balsamrack

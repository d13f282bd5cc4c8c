#include "Balsamrack/Daemon/PacketForwarder.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

namespace balsamrack {

namespace {

constexpr Duration MetricsPeriod{1'000'000};
constexpr Duration ReleasePollPeriod{1'000};
constexpr int64_t MicrosPerMilli = 1000;
/// Batches received before timers are processed.
constexpr int MaxBatchesPerIteration = 8;

PacketRouterSettings withSalt(PacketRouterSettings settings, uint64_t seed) {
  constexpr uint64_t Use = 1;
  settings.TokenSalt = static_cast<uint32_t>(combineHash(seed, Use));
  return settings;
}

const char *modeName(const RoutedBackend &server) {
  if (server.Presence == ServerPresence::Gone)
    return "gone";
  if (server.Presence == ServerPresence::Replaced)
    return "replaced";
  if (server.DomainOut)
    return "domain-out";
  if (server.Presence == ServerPresence::Expired)
    return "lapsed";
  return server.Published->Server.Mode == ServerMode::Active ? "active"
                                                             : "draining";
}

} // namespace

PacketForwarder::PacketForwarder(const PacketRouterSettings &settings,
                                 const PacketCodec &codec,
                                 std::unique_ptr<PacketSocket> socket,
                                 const Clock &clock, uint64_t seed,
                                 PacketTelemetry &telemetry, OnPause onPause)
    : Codec(codec), Socket(std::move(socket)), Time(clock),
      TelemetrySink(telemetry), OnPaused(std::move(onPause)),
      WakeEvent(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), Random(seed),
      Router(withSalt(settings, seed), Random), Thread([this] { run(); }) {}

PacketForwarder::~PacketForwarder() {
  stop();
  close(WakeEvent);
}

void PacketForwarder::stop() {
  if (Stopping.exchange(true))
    return;
  wakeUp();
  Thread.join();
}

void PacketForwarder::wakeUp() {
  uint64_t one = 1;
  // The write fails only if the counter is full, which also wakes the thread.
  (void)!write(WakeEvent, &one, sizeof one);
}

void PacketForwarder::apply(const PacketUpdate &update) {
  std::lock_guard<std::mutex> hold(Lock);
  Router.apply(update);
  updateReachability();
  // Start connection attempts at once, not at the thread's next timeout.
  if (!Router.hasProvenReachability())
    wakeUp();
}

void PacketForwarder::setFleet(const FleetPosition &position) {
  std::lock_guard<std::mutex> hold(Lock);
  Router.setFleet(position);
}

void PacketForwarder::setPeers(std::vector<DaemonTag> peers, bool isComplete) {
  std::lock_guard<std::mutex> hold(Lock);
  Router.setPeers(std::move(peers), isComplete);
}

void PacketForwarder::setFresh() {
  std::lock_guard<std::mutex> hold(Lock);
  StaleUntil = {};
  Router.setFresh();
}

void PacketForwarder::setRelayHandler(OnRelay handler) {
  std::lock_guard<std::mutex> hold(Lock);
  RelayHandler = std::move(handler);
}

void PacketForwarder::handleRelayed(RelayedPacket packet) {
  {
    std::lock_guard<std::mutex> hold(Lock);
    if (Relayed.size() >= MaxRelayedPackets)
      return;
    Relayed.push_back(std::move(packet));
  }
  wakeUp();
}

FlowExplanation PacketForwarder::explain(const FlowKey &key) {
  std::lock_guard<std::mutex> hold(Lock);
  return Router.explain(Time.now(), key);
}

void PacketForwarder::handleLoadReports(const LoadReports &reports) {
  std::lock_guard<std::mutex> hold(Lock);
  Router.handleLoadReports(Time.now(), reports);
}

LoadReports PacketForwarder::loadReports() {
  std::lock_guard<std::mutex> hold(Lock);
  return Router.loadReports(Time.now());
}

std::vector<ServiceDemandStatus> PacketForwarder::domainDemand() {
  std::lock_guard<std::mutex> hold(Lock);
  return Router.domainDemand(Time.now());
}

void PacketForwarder::releaseOpenings() {
  {
    std::lock_guard<std::mutex> hold(Lock);
    Router.releaseOpenings();
  }
  wakeUp();
  for (TimePoint last = Time.now() + MaxReleaseTime; Time.now() < last;) {
    {
      std::lock_guard<std::mutex> hold(Lock);
      if (Router.heldOpenings() == 0)
        return;
    }
    std::this_thread::sleep_for(ReleasePollPeriod);
  }
}

ForwarderStatus PacketForwarder::status() {
  std::lock_guard<std::mutex> hold(Lock);
  return {Router.routes() ? Router.routes()->Version : 0,
          Router.flows(),
          Router.daemons(),
          Router.silentServers(),
          Router.servers().size(),
          Router.hasAllServers(),
          Router.heldOpenings(),
          Router.admissionStatus()};
}

std::vector<ForwarderServerStatus> PacketForwarder::servers() {
  std::vector<ForwarderServerStatus> all;
  std::lock_guard<std::mutex> hold(Lock);
  TimePoint now = Time.now();
  const std::vector<ServerEntry> &table = Router.servers().all();
  for (ServerIndex i = 0; i < table.size(); ++i) {
    const ServerEntry &it = table[i];
    if (!it.InUse)
      continue;
    const BackendServer &what = it.Backend.Published->Server;
    all.push_back({what.Id, what.Service, what.Domain, what.At,
                   modeName(it.Backend), it.InProgress, it.Share,
                   Router.isSilent(i), now < it.Backend.ColdUntil,
                   Router.speedOf(i)});
  }
  return all;
}

void PacketForwarder::forward(const PacketTarget &to, const uint8_t *packet,
                              size_t n) {
  size_t prefix = Codec.prefixBytes();
  if (prefix + n > PacketSocket::MaxPacketBytes)
    return;
  uint8_t *out = Socket->prepare(to.At, prefix + n);
  Codec.writePrefix(out, to.Tag);
  std::memcpy(out + prefix, packet, n);
  Codec.writeToken(out + prefix, to.Token);
}

void PacketForwarder::relay(DaemonTag to, bool isOriginal,
                            const uint8_t *packet, size_t n) {
  const char *bytes = reinterpret_cast<const char *>(packet);
  if (RelayHandler)
    RelayHandler(to, {isOriginal, std::string(bytes, n)});
}

void PacketForwarder::reset(const PacketHeader &head) {
  std::array<uint8_t, PacketCodec::MaxHeaderBytes> packet{};
  size_t n = Codec.writeReset(head, packet.data());
  // Callers receive packets at their own address and this socket's port.
  Endpoint caller = head.Flow.Caller;
  caller.Port = Socket->at().Port;
  std::memcpy(Socket->prepare(caller, n), packet.data(), n);
}

void PacketForwarder::wait() {
  std::vector<pollfd> polled{{Socket->fd(), POLLIN, 0}, {WakeEvent, POLLIN, 0}};
  Prober.addPollFds(polled);
  TimePoint now = Time.now();
  TimePoint until = std::min(now + MaxPollWait, Prober.nextTimeout());
  {
    std::lock_guard<std::mutex> hold(Lock);
    until = std::min(until, Router.nextWakeup());
  }
  int64_t micros = std::max<int64_t>(0, (until - now).count());
  auto millis =
      static_cast<int>((micros + MicrosPerMilli - 1) / MicrosPerMilli);
  poll(polled.data(), polled.size(), millis);
  uint64_t count = 0;
  // The read fails if another descriptor or the timeout ended the wait.
  (void)!read(WakeEvent, &count, sizeof count);
}

void PacketForwarder::detectPause(TimePoint now) {
  Duration since = now - LastClockReadAt;
  bool paused = LastClockReadAt != TimePoint{} && since > PauseThreshold;
  if (LastClockReadAt != TimePoint{} && since > MaxIterationTime)
    Router.setDelayed(true);
  LastClockReadAt = now;
  if (paused) {
    // A process that resumes after seconds must not place new flows by routes
    // and servers that have changed in the meantime.
    TelemetrySink.log(
        LogLine(Component::Entry, Severity::Warning, "resumed-after-pause")
            .millis("paused_ms", since));
    StaleUntil = now + MaxStaleTime;
    Router.setStale();
    IsPauseReportDue = true;
  } else if (StaleUntil != TimePoint{} && now >= StaleUntil) {
    StaleUntil = {};
    Router.setFresh();
  }
}

TimePoint PacketForwarder::receivePackets(TimePoint now) {
  for (int batch = 0; batch < MaxBatchesPerIteration; ++batch) {
    bool isFirst = true;
    size_t n = Socket->receive([&](uint8_t *packet, size_t bytes) {
      // The process may have been suspended since the last clock read, and the
      // packets may have arrived at any time since.
      if (std::exchange(isFirst, false)) {
        now = Time.now();
        detectPause(now);
      }
      auto head = Codec.decode(packet, bytes);
      if (head) {
        if (head->Opens)
          head->Waited = Socket->waited();
        Router.handlePacket(now, *head, packet, bytes, *this);
        return;
      }
      reportMalformed();
    });
    Received += n;
    if (n < PacketSocket::BatchSize) {
      // Later packets have not waited.
      Router.setDelayed(false);
      break;
    }
  }
  return now;
}

void PacketForwarder::handleRelayedPackets(TimePoint now) {
  for (const RelayedPacket &it : std::exchange(Relayed, {})) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(it.Bytes.data());
    ++Received;
    if (auto head = Codec.decode(bytes, it.Bytes.size()))
      Router.handleRelayed(now, *head, it.IsOriginal, bytes, it.Bytes.size(),
                           *this);
    else
      reportMalformed();
  }
}

void PacketForwarder::reportMalformed() {
  PacketEvent event;
  event.Kind = PacketEventKind::Dropped;
  event.Reason = PacketReason::Malformed;
  TelemetrySink.recordEvent(event);
}

void PacketForwarder::updateReachability() {
  bool proved = Router.hasProvenReachability();
  if (ProvenReachability.exchange(proved) == proved)
    return;
  TelemetrySink.log(
      LogLine(Component::Entry, proved ? Severity::Info : Severity::Warning,
              proved ? "servers-in-reach" : "servers-out-of-reach")
          .text("reach", reachStateName(Router.reachState()))
          .number("silent", Router.silentServers()));
}

void PacketForwarder::publishMetrics(TimePoint now) {
  if (now < NextMetricsAt)
    return;
  NextMetricsAt = now + MetricsPeriod;
  TelemetrySink.setPacketMetrics(Socket->counters(), Router);
  TelemetrySink.setDomainDemand(Router.domainDemand(now),
                                Router.loadReportCounts());
}

void PacketForwarder::run() {
  {
    // A suspension right after the start counts from here.
    std::lock_guard<std::mutex> hold(Lock);
    TimePoint now = Time.now();
    detectPause(now);
    Router.tick(now, *this);
  }
  while (!Stopping) {
    wait();
    TimePoint now = Time.now();
    std::vector<ConnectionAttemptResult> ended = Prober.takeFinished(now);
    std::vector<ConnectionAttempt> due;
    {
      std::lock_guard<std::mutex> hold(Lock);
      detectPause(now);
      for (const ConnectionAttemptResult &it : ended)
        Router.handleAttemptResult(now, it.Server, it.Result, *this);
      now = receivePackets(now);
      handleRelayedPackets(now);
      Router.tick(now, *this);
      due = Router.dueAttempts(now);
      updateReachability();
      publishMetrics(now);
    }
    if (std::exchange(IsPauseReportDue, false))
      OnPaused();
    Socket->flush();
    for (const ConnectionAttempt &it : due)
      Prober.start(now, it);
    Progress.recordProgress();
  }
}

} // namespace balsamrack

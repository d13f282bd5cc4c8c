#include "Balsamrack/Daemon/Daemon.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

#include <unistd.h>

#include "Balsamrack/Configuration/TicketCheck.h"
#include "Balsamrack/Configuration/TicketCodec.h"
#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Peers/WebsocketTransport.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

/// Short enough for queue deadlines, long enough for a negligible CPU cost.
constexpr Duration TickPeriod{10'000};
/// Interval between removals of idle flows and expired idempotency keys.
constexpr Duration HousekeepingPeriod{5'000'000};
/// Flow exceptions are sent in batches, to stay within the traffic budget of
/// docs/CAPACITY.md.
constexpr Duration ExceptionPeriod{500'000};
constexpr size_t ExceptionBytes = 512;
constexpr size_t KeysPerMessage = 500;
/// The fraction (1/N) of the shutdown limit for peers to handle the keys that
/// they are handed. A peer that does not run must not use up all of it.
constexpr int KeyDeliveryDivisor = 4;
/// The fraction (1/N) of the shutdown limit for each step of closing the peers'
/// connections.
constexpr int DrainDivisor = 10;
/// Time for peers to stop sending if the shutdown limit is exhausted.
constexpr Duration MinReceiveTime{500'000};

/// Returns the incarnation of this run. It increases with each start on the
/// same VM as long as the wall clock isn't set back.
Incarnation newIncarnation() {
  return Incarnation{static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count())};
}

EntryHandlerSettings entrySettingsOf(const Settings &values, uint64_t seed) {
  EntryHandlerSettings settings;
  settings.Router.TokenKey = values.Peers.FleetKey;
  settings.Router.KeyReplicaCount = values.Keys.KeyReplicas;
  settings.Router.KeyMemory = values.Keys.Memory;
  settings.Router.AssumeNoEarlierKeys = values.Keys.AssumeNoEarlierKeysAtStart;
  settings.Router.OnUnreachableReplica = values.Keys.OnUnreachableReplica;
  settings.PortOffset = values.Callers.PortOffset;
  settings.MaxInProgress = values.Callers.MaxInProgress;
  settings.Seed = seed;
  return settings;
}

} // namespace

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings,
                                                       const Clock &clock) {
  std::unique_ptr<Daemon> daemon(new Daemon(settings, clock));
  absl::Status status = daemon->openObservability();
  if (status.ok())
    status = daemon->createStores();
  if (status.ok())
    status = daemon->createComponents();
  if (status.ok())
    status = daemon->openPorts();
  if (status.ok())
    status = daemon->startThreads();
  if (!status.ok())
    return status;
  return daemon;
}

Daemon::Daemon(const Settings &settings, const Clock &clock)
    : Config(settings), Time(clock), Self(settings.self()),
      Run(newIncarnation()), Seed(combineHash(Config.Vm.hash(), Run.Value)) {}

Daemon::~Daemon() {
  // Without a reader, create() failed before anything ran that peers rely on.
  if (!Stopped && Reader)
    shutDown();
}

absl::Status Daemon::openObservability() {
  auto watch =
      DaemonTelemetry::create(Config.Observability, Config.Vm, Time, Seed);
  if (!watch.ok())
    return watch.status();
  TelemetrySink = std::move(*watch);
  const ObservabilitySettings &observe = Config.Observability;
  if (!observe.RecordFile.empty()) {
    auto record = Recorder::create(observe.RecordFile, observe.RecordMaxBytes,
                                   Config.Peers.FleetKey);
    if (!record.ok())
      return record.status();
    Record = std::move(*record);
  }
  return absl::OkStatus();
}

absl::Status Daemon::createStores() {
  Store = ConfigurationStore::create();
  auto fence = OwnershipFence::create(Config.Timing, Time.now());
  if (!fence.ok())
    return fence.status();
  Fence = std::move(*fence);
  OwnerFlowsSettings flows;
  flows.Flows.MaxFlows = Config.MaxFlows;
  flows.Exceptions.MaxFlows = Config.MaxFlows;
  auto ownerFlows = OwnerFlows::create(flows);
  if (!ownerFlows.ok())
    return ownerFlows.status();
  Flows = std::move(*ownerFlows);
  KeyStoreSettings keys;
  keys.KeyReplicaCount = Config.Keys.KeyReplicas;
  keys.KeyMemory = Config.Keys.Memory;
  keys.AssumeNoEarlierKeys = Config.Keys.AssumeNoEarlierKeysAtStart;
  keys.MaxKeys = Config.Keys.MaxKeys;
  auto guard = KeyStore::create(keys, Time.now());
  if (!guard.ok())
    return guard.status();
  Keys = std::move(*guard);
  return absl::OkStatus();
}

absl::Status Daemon::createComponents() {
  ServerLinkSettings link;
  link.MaxDispatches = Config.ServerThreads;
  link.ConnectTimeout = Config.ServerConnectTimeout;
  link.MaySend = [this] { return Fence->mayDispatch(Time.now()); };
  auto servers = createHttpServerLink(link);
  if (!servers.ok())
    return servers.status();
  Servers = std::move(*servers);
  OwnerDispatcherSettings owner;
  owner.HealthPeriod = Config.HealthPeriod;
  owner.Seed = Seed;
  owner.Record = Record.get();
  Owner = std::make_unique<OwnerDispatcher>(
      owner, Time, *Fence, *Flows, *Servers, *this, *TelemetrySink,
      [this](const ServerCondition &it) { Control->onCondition(it); });
  EntryHandlerSettings packets = entrySettingsOf(Config, Seed);
  packets.Record = Record.get();
  auto entry =
      EntryHandler::create(packets, Time, *Store, *this, *TelemetrySink);
  if (!entry.ok())
    return entry.status();
  Entry = std::move(*entry);
  ControlSettings control;
  control.Membership = Config.Timing;
  control.Self = Self;
  control.Run = Run;
  control.Seeds = Config.Peers.Seeds;
  control.KeyMemory = Config.Keys.Memory;
  control.Seed = Seed;
  auto made = ControlPlane::create(control, Time, *Store, *Fence, *this,
                                   *TelemetrySink, *this);
  if (!made.ok())
    return made.status();
  Control = std::move(*made);
  return absl::OkStatus();
}

absl::Status Daemon::openPorts() {
  // Create the caller port before the peer transport, since configuration
  // updates from peers open ports for callers.
  CallerPortSettings callers;
  callers.Ip = Config.Callers.Ip;
  callers.MaxBodyBytes = Config.Callers.MaxBodyBytes;
  callers.MaxHeaderBytes = Config.Callers.MaxHeaderBytes;
  auto callerSide = CallerPort::create(callers, {}, *Entry);
  if (!callerSide.ok())
    return callerSide.status();
  CallerListener = std::move(*callerSide);
  PeerTransportSettings peers;
  peers.Listen = Config.Peers.Listen;
  peers.Self = Self;
  peers.Run = Run;
  peers.FleetKey = Config.Peers.FleetKey;
  peers.Allowed = Config.Peers.Allowed;
  peers.DrainTimeout = Config.ShutdownLimit / DrainDivisor;
  peers.OnFault = [this](const absl::Status &fault) {
    TelemetrySink->recordError(Component::Peers, fault);
  };
  peers.OnConnectionEvent = [this](const VmId &peer, const char *event) {
    TelemetrySink->logEvent(
        LogLine(Component::Peers, Severity::Info, "peer-connection")
            .text("peer", peer.str())
            .text("what", event)
            .number("packets_in_progress", Entry->inProgress()));
  };
  auto transport = WebsocketTransport::create(peers, *this);
  if (!transport.ok())
    return transport.status();
  Transport = std::move(*transport);
  ActiveTransport = Transport.get();
  return absl::OkStatus();
}

absl::Status Daemon::startThreads() {
  Ticker = std::thread([this] { tickUntilStopped(); });
  Platform = createHttpPlatformLink(Config.Platform.At);
  Reader = std::make_unique<PlatformReader>(
      Config.Platform, *Platform, *TelemetrySink, Run.Value,
      [this](const std::string &text) { onTicket(text); },
      [this](const std::vector<EntryVm> &vms) { Control->onVmList(vms); });
  Operators = std::make_unique<DaemonOperatorHandler>(
      OperatorSources{Time, Self, Run, *Store, *Control, *Entry, *Owner, *Flows,
                      *Reader, *TelemetrySink});
  auto operators = OperatorPort::create(Config.Operators.Listen,
                                        Config.Operators.Allowed, *Operators);
  if (!operators.ok())
    return operators.status();
  OperatorListener = std::move(*operators);
  TelemetrySink->log(Component::Daemon, Severity::Info,
                     absl::StrCat("VM ", Self.Id.str(), " in ",
                                  Self.Domain.str(), " is serving. Run ",
                                  Run.Value, "."));
  return absl::OkStatus();
}

bool Daemon::shutDown() {
  const TimePoint start = Time.now();
  const TimePoint end = start + Config.ShutdownLimit;
  TelemetrySink->log(Component::Daemon, Severity::Info, "Shutdown begins.");

  // Hand owned servers over while still serving packets. This may use half of
  // the shutdown limit, so that requests in progress keep the other half to
  // complete.
  Control->beginLeave();
  const bool released = waitFor(start + Config.ShutdownLimit / 2,
                                [&] { return Control->isReleased(); });
  logShutdownStep(released ? "ownership-released" : "ownership-kept");

  // Reject new packets and complete those in progress.
  CallerListener->stop();
  Owner->beginShutdown();
  const bool ended =
      waitFor(end, [&] { return Owner->idle() && Entry->inProgress() == 0; });
  logShutdownStep(ended ? "requests-ended" : "requests-cut");
  sendExceptions(Time.now());
  handOverKeys();
  // Announce the leave only when the next replicas have the keys: from then on
  // entries ask them.
  const bool delivered = Transport->flush(
      std::min(end - Time.now(), Config.ShutdownLimit / KeyDeliveryDivisor));
  logShutdownStep(delivered ? "keys-handed-over" : "keys-not-delivered");
  Control->finishLeave();
  logShutdownStep("left");

  // Peers that have not learned of the leave yet still forward requests.
  // Receive and reject them all, so that no caller gets an unknown outcome.
  const bool received =
      Transport->stopReceiving(std::max(end - Time.now(), MinReceiveTime));
  logShutdownStep(received ? "peers-drained" : "peers-not-drained");

  // Stop the threads, each before those that it calls.
  Reader->stop();
  {
    std::lock_guard<std::mutex> guard(StopLock);
    Stopping = true;
  }
  StopChanged.notify_all();
  Ticker.join();
  if (OperatorListener)
    OperatorListener->stop();
  Servers->stop();
  Transport->stop();
  logShutdownStep("peers-closed");
  Stopped = true;
  TelemetrySink->log(Component::Daemon, Severity::Info,
                     absl::StrCat("Shutdown is complete: ownership ",
                                  released ? "released" : "not released",
                                  ", requests ", ended ? "ended." : "cut."));
  return ended;
}

void Daemon::logShutdownStep(const char *step) {
  TelemetrySink->logEvent(
      LogLine(Component::Daemon, Severity::Info, "shutdown")
          .text("step", step)
          .number("packets_in_progress", Entry->inProgress())
          .flag("owner_idle", Owner->idle())
          .number("keys", Keys->size()));
}

bool Daemon::waitFor(TimePoint end, const std::function<bool()> &done) {
  while (!done()) {
    if (Time.now() >= end)
      return false;
    std::this_thread::sleep_for(TickPeriod);
  }
  return true;
}

void Daemon::tickUntilStopped() {
  std::unique_lock<std::mutex> guard(StopLock);
  while (!StopChanged.wait_for(guard, TickPeriod, [&] { return Stopping; })) {
    guard.unlock();
    const TimePoint now = Time.now();
    Control->tick(now);
    Owner->tick(now, Fence->mayDispatch(now));
    Entry->tick(now);
    runHousekeeping(now);
    guard.lock();
  }
}

void Daemon::runHousekeeping(TimePoint now) {
  if (now - LastExceptionsAt >= ExceptionPeriod) {
    LastExceptionsAt = now;
    sendExceptions(now);
  }
  if (now - LastHousekeepingAt < HousekeepingPeriod)
    return;
  LastHousekeepingAt = now;
  Flows->expire(now);
  Keys->expire(now);
  TelemetrySink->setGauge("balsamrack_flows",
                          static_cast<double>(Flows->size()));
  TelemetrySink->setGauge("balsamrack_flow_bytes",
                          static_cast<double>(Flows->bytes()));
  TelemetrySink->setGauge("balsamrack_keys", static_cast<double>(Keys->size()));
  publishPeerMetrics();
}

void Daemon::publishPeerMetrics() {
  const TransportCounters now = Transport->counters();
  const std::pair<const char *, uint64_t> all[] = {
      {"balsamrack_peer_control_bytes_sent", now.ControlBytesSent},
      {"balsamrack_peer_control_bytes_received", now.ControlBytesReceived},
      {"balsamrack_peer_data_bytes_sent", now.DataBytesSent},
      {"balsamrack_peer_data_bytes_received", now.DataBytesReceived},
      {"balsamrack_peer_bad_frames", now.BadFrames},
      {"balsamrack_peers_refused", now.PeersRefused},
      {"balsamrack_peer_connects_failed", now.ConnectsFailed},
      {"balsamrack_peer_connections_lost", now.ConnectionsLost}};
  for (const auto &[name, value] : all)
    TelemetrySink->setGauge(name, static_cast<double>(value));
}

void Daemon::sendExceptions(TimePoint now) {
  for (ExceptionBatch &it : Flows->dequeueBatches(now, ExceptionBytes))
    send(it.To, std::move(it.Batch)).IgnoreError();
}

void Daemon::handOverKeys() {
  const auto view = Control->view();
  if (!view)
    return;
  NextKeyReplicas = view->KeyReplicas;
  std::vector<EntryVm> &others = NextKeyReplicas.Members;
  others.erase(
      std::remove_if(others.begin(), others.end(),
                     [&](const EntryVm &it) { return it.Id == Self.Id; }),
      others.end());
  for (auto &it : Keys->exportKeys(Time.now(), NextKeyReplicas, Self.Id, Run,
                                   KeysPerMessage))
    send(it.To, std::move(it.Batch)).IgnoreError();
}

void Daemon::onTicket(const std::string &text) {
  auto ticket = parseTicket(text);
  absl::Status status = ticket.status();
  if (status.ok())
    status = checkTicket(*ticket);
  if (status.ok()) {
    Control->onObjects(ticket->Objects, "platform");
    return;
  }
  TelemetrySink->recordError(Component::Reader, status);
  Decision decision;
  decision.At = Time.now();
  decision.Kind = DecisionKind::TicketRejected;
  decision.Rule = "ticket-check";
  decision.Result =
      absl::StrCat("rejected whole: ", std::string(status.message()));
  if (ticket.ok())
    decision.Ticket = ticket->Number;
  decision.AtStep = stepName(Step::CheckTicket);
  decision.AtPeer = "platform";
  TelemetrySink->recordDecision(std::move(decision));
}

void Daemon::openCallerPorts(const ConfigurationView &view) {
  for (const auto &[id, service] : view.services())
    for (uint16_t port : service.Ports) {
      const uint32_t at = port + uint32_t{Config.Callers.PortOffset};
      const absl::Status status =
          at > 65535 ? makeError(absl::StatusCode::kOutOfRange, Step::Listen,
                                 absl::StrCat(at), "port is above 65535")
                     : CallerListener->open(static_cast<uint16_t>(at));
      std::lock_guard<std::mutex> guard(PortsLock);
      if (status.ok())
        FailedPorts.erase(port);
      else if (FailedPorts.insert(port).second)
        TelemetrySink->recordError(Component::Http, status);
    }
}

absl::Status Daemon::send(const EntryVm &to, PeerMessage message) {
  if (to.Id == Self.Id) {
    onPeerMessage(Self, std::move(message));
    return absl::OkStatus();
  }
  PeerTransport *transport = ActiveTransport.load();
  return transport
             ? transport->send(to, message)
             : makeError(absl::StatusCode::kUnavailable, Step::SendToPeer,
                         to.Id.str(), "peer transport is not started yet");
}

absl::Status Daemon::sendForward(const EntryVm &to, Forward message,
                                 const std::atomic<bool> &cancelled) {
  PeerTransport *transport = ActiveTransport.load();
  if (to.Id == Self.Id || !transport)
    return send(to, std::move(message));
  return transport->sendForward(to, message, cancelled);
}

void Daemon::onPeerMessage(const EntryVm &from, PeerMessage message) {
  if (auto *it = std::get_if<Forward>(&message)) {
    Owner->onForward(from, std::move(*it));
  } else if (auto *it = std::get_if<OutcomeReport>(&message)) {
    Entry->onOutcome(from.Id, std::move(it->Result));
  } else if (const auto *it = std::get_if<CancelRequest>(&message)) {
    Owner->onCancel(it->Request);
  } else if (const auto *it = std::get_if<FlowQuestion>(&message)) {
    send(from, Flows->answerQuestion(Time.now(), *it)).IgnoreError();
  } else if (const auto *it = std::get_if<FlowReply>(&message)) {
    Entry->onFlowReply(from.Id, *it);
  } else if (const auto *it = std::get_if<FlowExceptions>(&message)) {
    Flows->addFlows(Time.now(), *it);
  } else if (const auto *it = std::get_if<KeyClaim>(&message)) {
    claimKey(from, *it);
  } else if (const auto *it = std::get_if<KeyReply>(&message)) {
    Entry->onKeyReply(from.Id, *it);
  } else if (const auto *it = std::get_if<KeySettled>(&message)) {
    settleKey(from, *it);
  } else if (const auto *it = std::get_if<KeysHandedOver>(&message)) {
    importKeys(from, *it);
  } else {
    Control->onMessage(from, message);
  }
}

void Daemon::claimKey(const EntryVm &from, const KeyClaim &claim) {
  const auto view = Control->view();
  static const KeyReplicaView noReplicas;
  const KeyReplicaView &replicas = view ? view->KeyReplicas : noReplicas;
  const KeyReply reply = Keys->claim(Time.now(), claim, replicas, Self.Id);
  if (reply.Verdict != KeyVerdict::Granted)
    TelemetrySink->logEvent(
        LogLine(Component::Owner, Severity::Info, "key-not-granted")
            .text("key", formatKey(claim.Key))
            .text("request", absl::StrFormat("%016x", claim.Request.Value))
            .text("entry", from.Id.str())
            .text("verdict", keyVerdictName(reply.Verdict))
            .number("members", replicas.Members.size())
            .number("departed", replicas.RecentlyDeparted.size())
            .flag("handed_over", Keys->hasHandedOver()));
  send(from, reply).IgnoreError();
}

void Daemon::settleKey(const EntryVm &from, const KeySettled &settled) {
  Keys->settle(Time.now(), settled);
  if (!Keys->hasHandedOver())
    return;
  // The ending may have missed the hand-over: pass it on to the next replicas,
  // which would otherwise refuse the key until it expires.
  TelemetrySink->logEvent(
      LogLine(Component::Owner, Severity::Info, "key-settled-late")
          .text("key", formatKey(settled.Key))
          .text("request", absl::StrFormat("%016x", settled.Request.Value))
          .text("entry", from.Id.str())
          .text("ending", outcomeKindName(settled.How)));
  for (const EntryVm &it : keyReplicas(settled.Key, NextKeyReplicas.Members,
                                       Config.Keys.KeyReplicas))
    send(it, settled).IgnoreError();
}

void Daemon::importKeys(const EntryVm &from, const KeysHandedOver &keys) {
  const KeyStore::ImportResult result = Keys->importKeys(Time.now(), keys);
  TelemetrySink->logEvent(
      LogLine(Component::Owner, Severity::Info, "keys-received")
          .text("peer", from.Id.str())
          .number("keys", keys.Keys.size())
          .number("stored", result.Stored)
          .number("outdated", result.Outdated)
          .flag("last", keys.Complete)
          .flag("covers", result.Covers));
}

void Daemon::onPeerLost(const VmId &peer) { Entry->onPeerLost(peer); }

void Daemon::onSendFailed(const VmId &peer, PeerMessage message) {
  TelemetrySink->logEvent(
      LogLine(Component::Peers, Severity::Info, "message-not-sent")
          .text("peer", peer.str())
          .number("type", message.index()));
  if (const auto *it = std::get_if<Forward>(&message))
    Entry->onSendFailed(peer, it->Head.Request);
  else if (const auto *it = std::get_if<FlowQuestion>(&message))
    Entry->onSendFailed(peer, it->Request);
  else if (const auto *it = std::get_if<KeyClaim>(&message))
    Entry->onSendFailed(peer, it->Request);
  else if (const auto *it = std::get_if<KeySettled>(&message))
    Entry->onSettleFailed(*it);
}

void Daemon::onOwned(const OwnedServers &owned) { Owner->setOwned(owned); }

uint32_t Daemon::onLost(const ServerId &server, const EntryVm &newOwner) {
  const FlowExceptions flows = Flows->exportFlows(Time.now(), server);
  if (!newOwner.Id.empty() && !flows.Flows.empty())
    send(newOwner, flows).IgnoreError();
  Flows->removeServer(server);
  return Owner->inProgressAt(server);
}

void Daemon::onGained(const ServerId &server) {
  // Also needed after a hand-over, since flows may have been bound after the
  // hand-over message was written. Without it, the owner of a flow's server
  // rejected the flow's packet as "elsewhere", and another owner accepted it.
  Flows->markTakenOver(Time.now(), server);
}

void Daemon::onSuperseded() {
  // main() waits for this signal, so this takes the same path as a shutdown by
  // an operator.
  ::kill(::getpid(), SIGTERM);
}

void Daemon::onView(std::shared_ptr<const RoutingView> view) {
  Flows->setView(view);
  Entry->setView(view);
  if (CallerListener)
    openCallerPorts(*Store->view());
}

} // namespace balsamrack

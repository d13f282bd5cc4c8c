#include "Balsamrack/Daemon/PacketControlPlane.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr Duration MetricsPeriod{1'000'000};
/// Upper bound of one wait in poll().
constexpr Duration MaxPollWait{250'000};
constexpr int64_t MicrosPerMilli = 1000;
/// Batches changes, since each update iterates over all daemons or servers: at
/// a start of the fleet or a release hundreds of changes arrive one by one.
constexpr Duration UpdatePeriod{100'000};

/// Maximum number of changes logged singly, for one listing or for the members
/// in one UpdatePeriod; one line with counts replaces the others. Formatting
/// thousands of lines would delay the start of a daemon that has a tenth of a
/// core.
constexpr size_t MaxLoggedChanges = 16;
constexpr std::array<const char *, 4> MemberStateNames = {"alive", "suspect",
                                                          "dead", "left"};

/// Settings for daemons without ownership: membership only determines who
/// receives updates and how many daemons share the load, so hints are retried
/// sooner and there is no lease to renew.
MembershipSettings packetMembership() {
  MembershipSettings settings;
  settings.MaxHintRetryPeriod = Duration(4'000'000);
  // After a power loss all daemons start within a few hundred milliseconds, and
  // until they discover each other each one claims all slots of the servers.
  settings.StartPeriod = Duration(100'000);
  settings.StartSpan = Duration(2'000'000);
  // The whole member table of a small fleet fits into one message.
  settings.GossipBytes = 1'200;
  return settings;
}

} // namespace

absl::StatusOr<std::unique_ptr<PacketControlPlane>> PacketControlPlane::create(
    const EntryVm &self, const std::vector<EntryVm> &seeds, Incarnation run,
    uint64_t seed, std::unique_ptr<DatagramTransport> peers,
    PublishedSource &source, const Clock &clock, PacketTelemetry &telemetry,
    PacketControlListener &listener) {
  std::unique_ptr<PacketControlPlane> part(new PacketControlPlane(
      self, run, seed, std::move(peers), source, clock, telemetry, listener));
  part->Seeds = seeds;
  absl::Status status = part->startMembership();
  if (!status.ok())
    return status;
  part->Thread = std::thread([raw = part.get()] { raw->run(); });
  return part;
}

PacketControlPlane::PacketControlPlane(const EntryVm &self, Incarnation run,
                                       uint64_t seed,
                                       std::unique_ptr<DatagramTransport> peers,
                                       PublishedSource &source,
                                       const Clock &clock,
                                       PacketTelemetry &telemetry,
                                       PacketControlListener &listener)
    : Self(self), Run(run), Random(seed), Peers(std::move(peers)),
      Source(source), Time(clock), TelemetrySink(telemetry), Listener(listener),
      Tasks(std::make_shared<TaskQueue>()),
      Exchange(StateExchangeSettings(), self, Random) {
  Exchange.setLoadReporter(
      [this](TimePoint) { return Listener.loadReports(); });
}

PacketControlPlane::~PacketControlPlane() { stop(); }

absl::Status PacketControlPlane::startMembership() {
  auto members =
      Membership::create(packetMembership(), Self, Run, Random.next());
  if (!members.ok())
    return members.status();
  Members = *std::move(members);
  return absl::OkStatus();
}

void PacketControlPlane::stop() {
  if (Stopping.exchange(true))
    return;
  Tasks->post([](TimePoint) {});
  if (Thread.joinable())
    Thread.join();
  Tasks->close();
}

void PacketControlPlane::addSeeds(const std::vector<EntryVm> &seeds) {
  Tasks->post([this, seeds](TimePoint now) {
    Seeds = seeds;
    PeersDue = true;
    stepMembership(now, balsamrack::Seeds{seeds});
  });
}

void PacketControlPlane::requestAfterPause() {
  Tasks->post([this](TimePoint now) {
    AwaitingRefresh = true;
    runExchange(now, Exchange.requestAfterPause(now));
  });
}

void PacketControlPlane::relay(DaemonTag to, RelayedPacket packet) {
  if (PendingRelays.fetch_add(1) >= MaxPendingRelays) {
    --PendingRelays;
    return;
  }
  Tasks->post([this, to, packet = std::move(packet)](TimePoint) {
    --PendingRelays;
    if (!sendToTag(to, packet) && !IsSettled &&
        UnsentRelays.size() < MaxPendingRelays)
      UnsentRelays.emplace_back(to, packet);
  });
}

bool PacketControlPlane::sendToTag(DaemonTag tag, const RelayedPacket &packet) {
  auto [first, last] = PeersByTag.equal_range(tag);
  for (auto it = first; it != last; ++it)
    send(it->second, packet);
  return first != last;
}

void PacketControlPlane::announceLeaving() {
  Tasks->post(
      [this](TimePoint now) { stepMembership(now, MembershipLeaving{}); });
}

void PacketControlPlane::wait() {
  pollfd polled[] = {{Peers->fd(), POLLIN, 0}, {Tasks->fd(), POLLIN, 0}};
  TimePoint now = Time.now();
  TimePoint until = std::min(now + MaxPollWait, Exchange.nextWakeup());
  if (Exchange.isUsable()) {
    until = std::min(until, Book.nextChange());
    if (RoutesDue)
      until = std::min(until, NextRoutesAt);
  }
  if (MembersDue)
    until = std::min(until, NextMembersAt);
  if (auto next = Members->nextWakeup())
    until = std::min(until, *next);
  int64_t micros = std::max<int64_t>(0, (until - now).count());
  poll(polled, 2,
       static_cast<int>((micros + MicrosPerMilli - 1) / MicrosPerMilli));
}

void PacketControlPlane::run() {
  StartedAt = Time.now();
  stepMembership(Time.now(), balsamrack::Seeds{Seeds});
  while (!Stopping) {
    TimePoint now = Time.now();
    for (const TaskQueue::Task &task : Tasks->dequeueAll())
      task(now);
    Peers->receive([&](const Address &from, PeerMessage message) {
      handleMessage(now, from, std::move(message));
    });
    stepMembership(now, MembershipTicked{});
    publishPeers(now);
    publishMembers(now);
    runExchange(now, Exchange.tick(now));
    publishRoutes(now);
    publishMetrics(now);
    wait();
  }
  stepMembership(Time.now(), MembershipLeft{});
}

EntryVm PacketControlPlane::senderOf(const Address &from) const {
  VmId id(from.Ip);
  auto it = Members->members().find(id);
  if (it != Members->members().end())
    return it->second.Record.Vm;
  return EntryVm{id, DomainId(), from, false};
}

void PacketControlPlane::handleMessage(TimePoint now, const Address &from,
                                       PeerMessage message) {
  EntryVm sender = senderOf(from);
  if (auto *ping = std::get_if<Ping>(&message)) {
    stepMembership(now, MessageReceived{ping->Sender.Vm, std::move(*ping)});
  } else if (auto *request = std::get_if<PingRequest>(&message)) {
    stepMembership(now, MessageReceived{sender, std::move(*request)});
  } else if (auto *ack = std::get_if<Ack>(&message)) {
    if (sender.Id == ack->Sender.Vm.Id)
      sender = ack->Sender.Vm;
    stepMembership(now, MessageReceived{sender, std::move(*ack)});
  } else if (const auto *offer = std::get_if<PublishedDigest>(&message)) {
    notifyIfRefreshed();
    runExchange(now, Exchange.handleDigest(now, sender, *offer));
  } else if (const auto *asked = std::get_if<PublishedRequest>(&message)) {
    runExchange(now, Exchange.handleRequest(now, sender, *asked));
  } else if (const auto *update = std::get_if<PublishedUpdate>(&message)) {
    notifyIfRefreshed();
    runExchange(now, Exchange.handleUpdate(now, sender, *update));
  } else if (auto *relayed = std::get_if<RelayedPacket>(&message)) {
    Listener.onPacketRelayed(std::move(*relayed));
  }
}

void PacketControlPlane::notifyIfRefreshed() {
  if (std::exchange(AwaitingRefresh, false))
    Listener.onRefreshed();
}

void PacketControlPlane::stepMembership(TimePoint now,
                                        const MembershipEvent &event) {
  for (const MembershipAction &it : Members->step(now, event))
    onMembershipAction(it);
}

void PacketControlPlane::onMembershipAction(const MembershipAction &action) {
  if (const auto *to = std::get_if<SendTo>(&action)) {
    std::visit([&](const auto &content) { send(to->To, content); },
               to->Content);
  } else if (const auto *changed = std::get_if<MemberChanged>(&action)) {
    logMember(*changed);
    MembersDue = PeersDue = true;
  } else if (const auto *later = std::get_if<Superseded>(&action)) {
    // Peers know a run of this VM with a higher number: the wall clock, from
    // which the number derives, was set back. Only one process can use an
    // address, so this one continues with the next higher number.
    Incarnation next{later->Record.Run.Value + 1};
    Tasks->post([this, next](TimePoint at) { restartMembership(at, next); });
  }
}

void PacketControlPlane::logMember(const MemberChanged &changed) {
  const MemberRecord &record = changed.Record;
  auto state = static_cast<size_t>(record.State);
  if (LoggedMemberChanges >= MaxLoggedChanges) {
    ++SuppressedMemberChanges[state];
    return;
  }
  ++LoggedMemberChanges;
  TelemetrySink.log(
      LogLine(Component::Membership, Severity::Info, "member-changed")
          .text("vm", record.Vm.Id.str())
          .text("domain", record.Vm.Domain.str())
          .text("state", MemberStateNames[state])
          .flag("unreachable", changed.Unreachable)
          .flag("leaving", record.Vm.Leaving)
          .number("run", record.Run.Value));
}

void PacketControlPlane::logSuppressedMembers() {
  LoggedMemberChanges = 0;
  if (std::all_of(SuppressedMemberChanges.begin(),
                  SuppressedMemberChanges.end(),
                  [](uint64_t n) { return n == 0; }))
    return;
  LogLine line(Component::Membership, Severity::Info, "more-members-changed");
  for (size_t i = 0; i < MemberStateNames.size(); ++i)
    line.number(MemberStateNames[i], SuppressedMemberChanges[i]);
  TelemetrySink.log(line);
  SuppressedMemberChanges.fill(0);
}

void PacketControlPlane::restartMembership(TimePoint now, Incarnation run) {
  if (run <= Run)
    return;
  Run = run;
  absl::Status status = startMembership();
  if (!status.ok()) {
    TelemetrySink.logError(Component::Membership, "membership-not-restarted",
                           status);
    return;
  }
  stepMembership(now, balsamrack::Seeds{Seeds});
  MembersDue = PeersDue = true;
}

void PacketControlPlane::publishPeers(TimePoint now) {
  if (!IsSettled && now >= StartedAt + SettlingTime)
    IsSettled = PeersDue = true;
  if (!std::exchange(PeersDue, false))
    return;
  std::map<VmId, EntryVm> peers;
  // Shortly after a start, some of these are not known as members yet.
  for (const EntryVm &vm : Seeds)
    peers.emplace(vm.Id, vm);
  for (const auto &[id, member] : Members->members())
    if (member.live())
      peers[id] = member.Record.Vm;
  peers.erase(Self.Id);
  PeersByTag.clear();
  for (const auto &[id, vm] : peers)
    PeersByTag.emplace(DaemonTag::of(id), vm);
  std::vector<DaemonTag> tags;
  tags.reserve(PeersByTag.size());
  for (const auto &[tag, vm] : PeersByTag)
    tags.push_back(tag);
  Listener.onPeersChanged(std::move(tags), IsSettled);
  std::vector<std::pair<DaemonTag, RelayedPacket>> unsent;
  for (auto &it : std::exchange(UnsentRelays, {}))
    if (!sendToTag(it.first, it.second) && !IsSettled)
      unsent.push_back(std::move(it));
  UnsentRelays = std::move(unsent);
}

void PacketControlPlane::publishMembers(TimePoint now) {
  if (!MembersDue || now < NextMembersAt)
    return;
  MembersDue = false;
  NextMembersAt = now + UpdatePeriod;
  logSuppressedMembers();
  std::vector<EntryVm> peers;
  std::vector<std::pair<DomainId, VmId>> order;
  for (const auto &[id, member] : Members->members()) {
    const EntryVm &vm = member.Record.Vm;
    if (!member.live())
      continue;
    if (id != Self.Id)
      peers.push_back(vm);
    if (!vm.Leaving || id == Self.Id)
      order.emplace_back(vm.Domain, id);
  }
  std::sort(order.begin(), order.end());
  auto self = std::find(order.begin(), order.end(),
                        std::make_pair(Self.Domain, Self.Id));
  LivePeers = peers.size();
  Exchange.setPeers(peers);
  if (self == order.end())
    return;
  FleetPosition position;
  position.Daemons = order.size();
  position.Index = static_cast<size_t>(self - order.begin());
  for (auto it = order.begin(); it != order.end(); ++it) {
    if (it == order.begin() || position.Domains.back().Id != it->first)
      position.Domains.push_back({it->first, 0});
    if (it == self)
      position.DomainIndex = position.Domains.back().Daemons;
    ++position.Domains.back().Daemons;
  }
  for (const FleetDomain &domain : position.Domains)
    if (domain.Id == Self.Domain)
      position.DomainDaemons = domain.Daemons;
  Listener.onFleetChanged(position);
}

void PacketControlPlane::send(const EntryVm &to, const PeerMessage &message) {
  absl::Status status = Peers->send(to.PeerAt, message);
  if (!status.ok())
    TelemetrySink.logError(Component::Peers, "send-failed", status);
}

void PacketControlPlane::sendAll(const std::vector<EntryVm> &to,
                                 const PeerMessage &message) {
  std::vector<Address> addresses;
  addresses.reserve(to.size());
  for (const EntryVm &it : to)
    addresses.push_back(it.PeerAt);
  absl::Status status = Peers->sendAll(addresses, message);
  if (!status.ok())
    TelemetrySink.logError(Component::Peers, "send-failed", status);
}

void PacketControlPlane::runExchange(
    TimePoint now, const std::vector<StateExchangeAction> &actions) {
  for (const StateExchangeAction &action : actions) {
    if (const auto *to = std::get_if<SendStateMessage>(&action)) {
      std::visit([&](const auto &what) { sendAll(to->To, what); }, to->Message);
    } else if (const auto *read = std::get_if<StartRead>(&action)) {
      startRead(read->Read);
    } else if (const auto *changed = std::get_if<StateChanged>(&action)) {
      handleStateChange(now, *changed);
    } else if (const auto *source = std::get_if<SourceChanged>(&action)) {
      TelemetrySink.log(
          LogLine(Component::Platform,
                  source->Readable ? Severity::Info : Severity::Warning,
                  source->Readable ? "source-regained" : "source-lost")
              .text("section", sectionName(source->Section))
              .text("error", source->Error));
    } else if (const auto *load = std::get_if<LoadReportsReceived>(&action)) {
      Listener.onLoadReports(load->Loads);
    }
  }
  bool complete = Exchange.store().isComplete();
  if (Complete.exchange(complete) == complete)
    return;
  RoutesDue = true;
  logHeldServers(now, complete ? "all-servers-known" : "servers-missing");
}

void PacketControlPlane::startRead(const PublishedRead &read) {
  // The response may arrive after this object was destroyed. The queue is
  // closed by then, so that the task with its pointer to this object never
  // runs.
  auto done = [this, read,
               tasks = Tasks](absl::StatusOr<PublishedChanges> result) {
    tasks->post([this, read, result = std::move(result)](TimePoint now) {
      onReadEnded(now, read, result);
    });
  };
  Source.read(read, std::move(done));
}

void PacketControlPlane::onReadEnded(
    TimePoint now, const PublishedRead &read,
    const absl::StatusOr<PublishedChanges> &result) {
  TelemetrySink.recordRead(read.Section, read.After == Revision{},
                           result.status());
  if (result.ok())
    notifyIfRefreshed();
  runExchange(now, Exchange.handleReadResult(now, read, result));
}

void PacketControlPlane::logChange(const PublishedObject &object,
                                   const VmId &from) {
  LogLine line(Component::Reader, Severity::Info, "published-changed");
  line.text("section", sectionName(object.Section))
      .text("object", object.Name)
      .number("revision", object.At.Value)
      .text("from", from.empty() ? "source" : from.str());
  using Configuration = std::shared_ptr<const OperatorConfiguration>;
  using Server = std::shared_ptr<const PublishedServer>;
  if (const auto *configuration = std::get_if<Configuration>(&object.Content))
    line.number("configuration", (*configuration)->Version)
        .number("routes", (*configuration)->Routes.size());
  else if (const auto *server = std::get_if<Server>(&object.Content))
    line.text("service", (*server)->Server.Service.str())
        .text("domain", (*server)->Server.Domain.str())
        .text("at", (*server)->Server.At.str())
        .text("state", (*server)->Server.Mode == ServerMode::Active
                           ? "active"
                           : "draining")
        .millis("cold_ms", (*server)->ColdLeft);
  else
    line.text("state", object.isDeleted() ? "gone" : "domain-out");
  TelemetrySink.log(line);
}

void PacketControlPlane::logChanges(const StateChanged &changed) {
  auto gone = std::count_if(changed.Changed.begin(), changed.Changed.end(),
                            [](const auto &it) { return it.isDeleted(); });
  TelemetrySink.log(
      LogLine(Component::Reader, Severity::Info, "many-published-changed")
          .text("section", sectionName(changed.Section))
          .number("objects", changed.Changed.size())
          .number("gone", static_cast<uint64_t>(gone))
          .number("revision",
                  Exchange.store().completeRevision(changed.Section).Value)
          .text("from", changed.From.empty() ? "source" : changed.From.str()));
}

void PacketControlPlane::handleStateChange(TimePoint now,
                                           const StateChanged &changed) {
  if (changed.Changed.size() <= MaxLoggedChanges)
    for (const PublishedObject &object : changed.Changed)
      logChange(object, changed.From);
  else
    logChanges(changed);
  if (changed.Section == PublishedSection::Servers)
    Book.applyServerChanges(now, changed.Changed);
  else
    Book.applyOperatorObjects(now, Exchange.store().objects(changed.Section));
  RoutesDue = true;
}

void PacketControlPlane::logHeldServers(TimePoint now, const char *event) {
  TelemetrySink.log(LogLine(Component::Reader, Severity::Info, event)
                        .number("servers", Exchange.store().objectCount(
                                               PublishedSection::Servers))
                        .number("peers", LivePeers)
                        .millis("after_start_ms", now - StartedAt));
}

void PacketControlPlane::publishRoutes(TimePoint now) {
  bool due = (RoutesDue && now >= NextRoutesAt) || now >= Book.nextChange();
  if (!due || !Exchange.isUsable())
    return;
  bool isFirst = NextRoutesAt == TimePoint{};
  RoutesDue = false;
  NextRoutesAt = now + UpdatePeriod;
  if (isFirst && !Exchange.store().isComplete())
    logHeldServers(now, "some-servers-known");
  Listener.onPublishedChanged(
      Book.takeUpdate(now, Exchange.store().isComplete()));
}

void PacketControlPlane::publishMetrics(TimePoint now) {
  if (now < NextMetricsAt)
    return;
  NextMetricsAt = now + MetricsPeriod;
  TelemetrySink.setPeerMetrics(Peers->counters(), LivePeers);
  for (auto section : {PublishedSection::Operators, PublishedSection::Servers})
    TelemetrySink.setPublishedState(section, Exchange.store(),
                                    now - Exchange.verifiedAt(section));
}

} // namespace balsamrack

#ifndef BALSAMRACK_UNITTESTS_PACKETS_PACKETROUTERHARNESS_H
#define BALSAMRACK_UNITTESTS_PACKETS_PACKETROUTERHARNESS_H

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Packets/PacketRouter.h"

namespace balsamrack {

/// Records the actions and events of a router.
class RecordingSink final : public PacketSink {
public:
  struct Forwarded {
    Endpoint At;
    uint64_t Tag = 0;
    uint32_t Token = 0;
  };
  void forward(const PacketTarget &to, const uint8_t *, size_t) override {
    Sent.push_back({to.At, to.Tag, to.Token});
  }
  void relay(DaemonTag to, bool isOriginal, const uint8_t *, size_t) override {
    Relayed.push_back({to, isOriginal});
  }
  void reset(const PacketHeader &head) override { Resets.push_back(head); }
  void report(const PacketEvent &event) override {
    Kinds.push_back(event.Kind);
    Reasons.push_back(event.Reason);
  }
  bool reported(PacketEventKind kind, PacketReason why) const {
    for (size_t i = 0; i < Kinds.size(); ++i)
      if (Kinds[i] == kind && Reasons[i] == why)
        return true;
    return false;
  }

  struct Relay {
    DaemonTag To;
    bool IsOriginal = false;
  };

  std::vector<Forwarded> Sent;
  std::vector<Relay> Relayed; ///< Until the harness has delivered them.
  std::vector<PacketHeader> Resets;
  std::vector<PacketEventKind> Kinds;
  std::vector<PacketReason> Reasons;
};

/// Test harness: a router with published routes and servers and a simulated
/// clock. The servers of service "booking" are b1 to bN with tags 1 to N; the
/// route is 198.18.0.1:443.
class PacketRouterHarness {
public:
  struct ServerSpec {
    std::string Id;
    std::string Domain;
    std::string Service = "booking";
    ServerMode Mode = ServerMode::Active;
    Duration ColdLeft{0};
    uint64_t Born =
        0; ///< Orders servers with the same address; higher is newer.
    std::string At{}; ///< Empty for an address of its own.
  };

  explicit PacketRouterHarness(uint64_t seed = 1,
                               const PacketRouterSettings &routing = settings())
      : Random(seed), Self(withSalt(routing, seed).Self),
        Router(withSalt(routing, seed), Random) {}

  /// Makes the daemons \p all peers, which relay packets to each other.
  static void connect(const std::vector<PacketRouterHarness *> &all) {
    for (PacketRouterHarness *it : all) {
      it->Peers = all;
      std::vector<DaemonTag> peers;
      for (const PacketRouterHarness *peer : all)
        if (peer != it)
          peers.push_back(peer->Self);
      std::sort(peers.begin(), peers.end());
      it->Router.setPeers(std::move(peers), true);
    }
  }

  static PacketRouterSettings withSalt(PacketRouterSettings s, uint64_t salt) {
    s.TokenSalt = static_cast<uint32_t>(salt);
    if (s.Self.Value == 0)
      s.Self = DaemonTag::of(VmId(std::to_string(salt)));
    return s;
  }
  static PacketRouterSettings settings() {
    PacketRouterSettings s;
    s.Domain = DomainId("bern-a");
    return s;
  }
  /// Publishes a configuration with the given ports and their services.
  void configure(uint64_t version,
                 const std::vector<std::pair<uint16_t, std::string>> &routes,
                 double coldPerSecond = 0, Duration objective = Duration(0)) {
    auto made = std::make_shared<OperatorConfiguration>();
    made->Version = version;
    if (coldPerSecond > 0)
      made->Services = {{ServiceId("booking"), coldPerSecond}};
    for (const auto &[port, service] : routes) {
      PublishedRoute route;
      route.At = {"198.18.0.1", port};
      route.Targets = {{ServiceId(service), 1}};
      route.Objective = objective;
      route.Timeout = Timeout;
      route.Idempotent = Idempotent;
      auto priority = Priorities.find(port);
      if (priority != Priorities.end())
        route.Priority = priority->second;
      made->Routes.push_back(route);
    }
    Operators = {{PublishedSection::Operators,
                  "config",
                  {++Revisions},
                  std::shared_ptr<const OperatorConfiguration>(made)}};
    publishOperators();
  }
  /// Takes a failure domain out of service.
  void takeDomainOut(const std::string &domain) {
    Operators.push_back({PublishedSection::Operators,
                         "evacuate/" + domain,
                         {++Revisions},
                         DomainOutOfService{DomainId(domain)}});
    publishOperators();
  }
  /// Publishes new or changed servers.
  void publishServers(const std::vector<ServerSpec> &lines) {
    std::vector<PublishedObject> changed;
    for (const ServerSpec &line : lines) {
      auto s = std::make_shared<PublishedServer>();
      s->Server.Id = ServerId(line.Id);
      s->Server.Service = ServiceId(line.Service);
      s->Server.Domain = DomainId(line.Domain);
      s->Tag = std::stoull(line.Id.substr(1));
      s->Server.At = {line.At.empty() ? "10.0.0." + line.Id.substr(1) : line.At,
                      8080};
      s->Born = line.Born;
      s->Server.Mode = line.Mode;
      s->ColdLeft = line.ColdLeft;
      changed.push_back({PublishedSection::Servers,
                         line.Id,
                         {++Revisions},
                         std::shared_ptr<const PublishedServer>(s)});
    }
    Builder.applyServerChanges(Now, changed);
    Router.apply(Builder.takeUpdate(Now, HasAllServers));
  }
  /// Removes the published entries of servers.
  void removeServers(const std::vector<std::string> &ids) {
    std::vector<PublishedObject> changed;
    changed.reserve(ids.size());
    for (const std::string &id : ids)
      changed.push_back(
          {PublishedSection::Servers, id, {++Revisions}, std::monostate()});
    Builder.applyServerChanges(Now, changed);
    Router.apply(Builder.takeUpdate(Now, HasAllServers));
  }
  /// Publishes port 443 and four servers in two failure domains.
  void publishDefaults() {
    configure(1, {{443, "booking"}});
    publishServers({{"b1", "bern-a"},
                    {"b2", "bern-a"},
                    {"b3", "bern-b"},
                    {"b4", "bern-b"}});
  }

  /// Time from the first copy of an opening to the given copy, or to the end of
  /// the attempt for 3.
  static Duration copyAge(uint8_t copy) {
    constexpr std::array<Duration, 4> Ages{
        Duration(0), Duration(200'000), Duration(600'000), Duration(1'400'000)};
    return Ages.at(copy);
  }
  /// The flow of the caller that uses \p callerPort.
  static FlowKey key(uint16_t callerPort, uint16_t port = 443) {
    return {{0x64400000U + callerPort, callerPort}, {0xc6120001, port}};
  }
  /// Sequence number of the opening of the caller that uses \p callerPort.
  static uint32_t firstSequence(uint16_t callerPort) { return callerPort; }
  /// Sends copy \p copy of an opening.
  void sendOpening(uint16_t callerPort, uint8_t copy = 0, uint16_t port = 443) {
    PacketHeader head;
    head.Flow = key(callerPort, port);
    head.Opens = true;
    head.Sequence = firstSequence(callerPort) + SequenceOffset;
    head.CopyNumber = copy;
    head.Age = copyAge(copy);
    head.NextCopyAfter = copyAge(copy + 1) - head.Age;
    handle(head);
  }
  /// Sends a packet on an open flow.
  void sendOnFlow(uint16_t callerPort, uint32_t token, uint16_t data = 100,
                  bool ends = false, uint16_t port = 443) {
    PacketHeader head;
    head.Flow = key(callerPort, port);
    head.Acknowledges = true;
    head.Token = token;
    head.Sequence = firstSequence(callerPort) + SequenceOffset + 1;
    head.DataBytes = data;
    head.Ends = ends;
    handle(head);
  }
  /// Sends or retransmits request \p n (from zero) on an open flow.
  void sendRequest(uint16_t callerPort, uint32_t token, uint32_t n) {
    sendFlowPacket(callerPort, token, n * RequestBytes, RequestBytes,
                   n * AnswerBytes);
  }
  /// Acknowledges the answer to request \p n.
  void acknowledgeAnswer(uint16_t callerPort, uint32_t token, uint32_t n) {
    sendFlowPacket(callerPort, token, (n + 1) * RequestBytes, 0,
                   (n + 1) * AnswerBytes);
  }
  /// Finishes all due connection attempts; \p connects tells which servers
  /// accept the connection.
  template <class Connects> void finishAttempts(const Connects &connects) {
    std::vector<ConnectionAttempt> failed;
    for (const ConnectionAttempt &it : Router.dueAttempts(Now))
      if (connects(it.Server))
        Router.handleAttemptResult(Now, it.Server, ConnectionResult::Connected,
                                   Out);
      else
        failed.push_back(it);
    // They time out long after the others have connected.
    for (const ConnectionAttempt &it : failed)
      Router.handleAttemptResult(Now, it.Server, ConnectionResult::Failed, Out);
  }
  /// The tag of the server at \p index.
  uint64_t tagAt(ServerIndex index) const {
    return Router.servers().at(index).Backend.Published->Tag;
  }
  /// Advances the clock by \p span, with a tick every 5 ms.
  void advance(Duration span) {
    for (TimePoint until = Now + span; Now < until;) {
      Now += Duration(5'000);
      if (Now >= Builder.nextChange())
        Router.apply(Builder.takeUpdate(Now, HasAllServers));
      Router.tick(Now, Out);
    }
  }
  /// Tag of the server that the last packet was sent to; zero for none.
  uint64_t lastTag() const {
    return Out.Sent.empty() ? 0 : Out.Sent.back().Tag;
  }
  uint32_t lastToken() const {
    return Out.Sent.empty() ? 0 : Out.Sent.back().Token;
  }

  /// Whether the snapshots claim to hold all published servers.
  bool HasAllServers = true;
  /// Whether requests of routes that are configured next may be repeated.
  bool Idempotent = true;
  /// Timeout and priorities by port that are configured next.
  Duration Timeout{0};
  std::map<uint16_t, uint32_t> Priorities;
  /// Added to the sequence numbers of all packets, as for another flow.
  uint32_t SequenceOffset = 0;
  TimePoint Now{Duration(1'000'000)};
  SeededRandom Random;
  DaemonTag Self;
  PacketRouter Router;
  PacketRoutesBuilder Builder;
  RecordingSink Out;

private:
  static constexpr uint16_t RequestBytes = 100;
  static constexpr uint32_t AnswerBytes = 1000;

  void handle(const PacketHeader &head) {
    Router.handlePacket(Now, head, Bytes, sizeof Bytes, Out);
    for (const RecordingSink::Relay &it : std::exchange(Out.Relayed, {}))
      for (PacketRouterHarness *peer : Peers)
        if (peer != this && peer->Self == it.To)
          peer->Router.handleRelayed(peer->Now, head, it.IsOriginal, Bytes,
                                     sizeof Bytes, peer->Out);
    Router.tick(Now, Out);
  }
  void sendFlowPacket(uint16_t callerPort, uint32_t token, uint32_t sequence,
                      uint16_t data, uint32_t acknowledged) {
    PacketHeader head;
    head.Flow = key(callerPort);
    head.Acknowledges = true;
    head.Token = token;
    head.Sequence = firstSequence(callerPort) + SequenceOffset + 1 + sequence;
    head.DataBytes = data;
    head.Acknowledged = acknowledged;
    handle(head);
  }
  void publishOperators() {
    Builder.applyOperatorObjects(Now, Operators);
    Router.apply(Builder.takeUpdate(Now, HasAllServers));
  }

  static constexpr uint8_t Bytes[31] = {};
  std::vector<PacketRouterHarness *> Peers; ///< See connect().
  std::vector<PublishedObject> Operators;
  uint64_t Revisions = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PACKETS_PACKETROUTERHARNESS_H

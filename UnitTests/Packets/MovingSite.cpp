#include "UnitTests/Packets/MovingSite.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <set>
#include <tuple>
#include <utility>

namespace balsamrack {

namespace {

constexpr Duration Millisecond{1'000};
constexpr Duration Tick{5'000};
constexpr size_t CallerCount = 40;
constexpr uint32_t PartBytes = 1000;
constexpr uint32_t AnswerBytes = 2000;
/// Suspended processes notice it after this time, and then prove their routes.
constexpr Duration PauseThreshold{1'000'000};
constexpr Duration RefreshTime{25'000};
constexpr Duration RequestTimeout{4'000'000};
constexpr Duration MaxRetransmission{1'600'000};
constexpr size_t MaxFaults = 5;

} // namespace

struct MovingSite::Packet {
  PacketHeader Head;
  size_t CallerIndex = 0;
  uint32_t Attempt = 0;  ///< Number of the flow of this caller.
  uint32_t Request = 0;  ///< Number of the request on the flow.
  uint32_t Parts = 0;    ///< Packets of the request.
  TimePoint ArrivedAt{}; ///< At the socket of a daemon.
};

struct MovingSite::Relayed {
  uint32_t Id = 0; ///< Index in Packets.
  bool IsOriginal = false;
};

struct MovingSite::Caller {
  uint16_t Port = 0;
  uint32_t Attempt = 0; ///< Number of the current flow.
  bool IsOpening = false;
  bool IsOpen = false;     ///< A server was answered.
  size_t Home = 0;         ///< The server that was answered.
  bool HasArrived = false; ///< The home server has the flow.
  uint32_t First = 0;      ///< Sequence number of the opening.
  uint32_t Sent = 0;       ///< Bytes of earlier requests.
  uint32_t ServerSequence = 0;
  uint32_t Token = 0;
  uint32_t Request = 0;
  uint32_t Parts = 0;
  std::set<uint32_t> Missing; ///< Parts that are not acknowledged.
  bool IsWaiting = false;     ///< For the answer to the request.
};

struct MovingSite::Server {
  struct Flow {
    uint32_t Sequence = 0;
    uint32_t First = 0;
    uint32_t Token = 0;
    bool IsOpen = false;
    std::map<uint32_t, std::set<uint32_t>> Parts; ///< Received, by request.
    std::set<uint32_t> Answered;
  };
  std::map<std::pair<size_t, uint16_t>, Flow> Flows; ///< By caller and port.
  TimePoint SlowUntil{};
  TimePoint DarkUntil{};
};

class MovingSite::Sink final : public PacketSink {
public:
  Sink(MovingSite &site, size_t daemon) : Site(site), Index(daemon) {}
  void forward(const PacketTarget &to, const uint8_t *bytes, size_t) override {
    uint32_t id = 0;
    std::memcpy(&id, bytes, sizeof id);
    if (Site.happens(Site.Settings.Loss))
      return;
    size_t server = to.Tag - 1;
    Site.trace(Site.Packets[id].CallerIndex, "daemon " + std::to_string(Index) +
                                                 " forwards to server " +
                                                 std::to_string(server));
    // The daemon may be restarted meanwhile.
    Site.at(Site.Now + Site.transit(),
            [&site = Site, server, id, token = to.Token] {
              Packet packet = site.Packets[id];
              site.arriveAtServer(server, packet, token);
            });
  }
  void relay(DaemonTag to, bool isOriginal, const uint8_t *bytes,
             size_t) override {
    uint32_t id = 0;
    std::memcpy(&id, bytes, sizeof id);
    if (Site.happens(Site.Settings.Loss))
      return;
    size_t daemon = to.Value - 1;
    Site.trace(Site.Packets[id].CallerIndex, "daemon " + std::to_string(Index) +
                                                 " relays to daemon " +
                                                 std::to_string(daemon));
    Site.at(Site.Now + Site.transit(), [&site = Site, daemon, id, isOriginal] {
      site.receiveRelayed(daemon, {id, isOriginal});
    });
  }
  void reset(const PacketHeader &head) override {
    for (Caller &it : Site.Callers) {
      size_t index = static_cast<size_t>(&it - Site.Callers.data());
      if (!(PacketRouterHarness::key(it.Port) == head.Flow))
        continue;
      const Server &home = Site.AllServers[it.Home];
      bool isOfOpenFlow = it.HasArrived && !head.Opens;
      if (isOfOpenFlow && Site.Now - home.DarkUntil > RequestTimeout) {
        Packet packet;
        packet.Head = head;
        packet.CallerIndex = index;
        Site.fault(Site.Result.ResetByDaemon,
                   "reset by daemon " + std::to_string(Index), packet);
      }
      if (!head.Opens || it.IsOpening)
        Site.endFlow(index);
    }
  }
  void report(const PacketEvent &) override {}

private:
  MovingSite &Site;
  const size_t Index;
};

struct MovingSite::Daemon {
  Daemon(MovingSite &site, size_t index, uint64_t seed)
      : Router(seed, settings(index)), Out(site, index) {}
  static DaemonTag tag(size_t index) {
    return {static_cast<uint32_t>(index) + 1};
  }
  static PacketRouterSettings settings(size_t index) {
    PacketRouterSettings s = PacketRouterHarness::settings();
    s.Self = tag(index);
    return s;
  }
  PacketRouterHarness Router;
  Sink Out;
  bool IsFrozen = false;
  std::vector<Packet> Waiting;
  std::vector<Relayed> WaitingRelayed;
};

MovingSite::MovingSite(const MovingSiteSettings &settings)
    : Settings(settings), Random(settings.Seed), AllServers(Servers),
      Callers(CallerCount) {
  AllDaemons.resize(Daemons);
  for (size_t i = 0; i < Daemons; ++i) {
    startDaemon(i);
    Rotation.push_back(i);
  }
}

MovingSite::~MovingSite() = default;

void MovingSite::at(TimePoint when, std::function<void()> what) {
  Events.push({when, NextOrder++, std::move(what)});
}

bool MovingSite::happens(double chance) {
  constexpr uint64_t Steps = 1'000'000;
  return static_cast<double>(Random.below(Steps)) < chance * Steps;
}

Duration MovingSite::between(Duration from, Duration to) {
  return from + Duration(static_cast<int64_t>(Random.below(
                    static_cast<uint64_t>((to - from).count()) + 1)));
}

Duration MovingSite::transit() {
  return between(Millisecond * 2, Millisecond * 4);
}

void MovingSite::startDaemon(size_t index) {
  constexpr uint64_t Seeds = 1'000'000'000;
  auto daemon = std::make_unique<Daemon>(*this, index, Random.below(Seeds));
  PacketRouterHarness &router = daemon->Router;
  router.Now = Now;
  router.configure(1, {{443, "booking"}});
  std::vector<PacketRouterHarness::ServerSpec> specs;
  for (size_t i = 1; i <= Servers; ++i)
    specs.push_back(
        {"b" + std::to_string(i), i % 2 == 0 ? "bern-a" : "bern-b"});
  router.publishServers(specs);
  std::vector<DaemonTag> peers;
  for (size_t i = 0; i < Daemons; ++i)
    if (i != index)
      peers.push_back(Daemon::tag(i));
  router.Router.setFleet({Daemons, index, Daemons, index, {}});
  router.Router.setPeers(std::move(peers), true);
  router.Router.tick(Now, daemon->Out);
  AllDaemons[index] = std::move(daemon);
}

void MovingSite::trace(size_t caller, const std::string &what) const {
  if (caller == Settings.TracedCaller)
    std::printf("%10.3f ms, flow %u: %s\n",
                static_cast<double>(Now.time_since_epoch().count()) / 1000,
                Callers[caller].Attempt, what.c_str());
}

void MovingSite::fault(size_t &count, const std::string &what,
                       const Packet &packet) {
  ++count;
  if (Result.Faults.size() < MaxFaults)
    Result.Faults.push_back(
        std::to_string(Now.time_since_epoch() / Millisecond) + " ms: " + what +
        ", caller " + std::to_string(packet.CallerIndex) + ", flow " +
        std::to_string(packet.Attempt) + ", request " +
        std::to_string(packet.Request));
}

void MovingSite::receive(size_t index, const Packet &packet, bool wasWaiting) {
  Daemon &daemon = *AllDaemons[index];
  PacketHeader head = packet.Head;
  if (wasWaiting && Settings.HasTimeStamps)
    head.Waited = Now - packet.ArrivedAt;
  trace(packet.CallerIndex,
        "daemon " + std::to_string(index) + " gets " +
            (head.Opens ? "copy " + std::to_string(head.CopyNumber)
                        : "byte " + std::to_string(
                                        head.Sequence -
                                        Callers[packet.CallerIndex].First)) +
            " of flow " + std::to_string(packet.Attempt) +
            (wasWaiting ? ", which waited" : ""));
  auto id = static_cast<uint32_t>(Packets.size());
  Packets.push_back(packet);
  std::array<uint8_t, 31> bytes{};
  std::memcpy(bytes.data(), &id, sizeof id);
  daemon.Router.Now = Now;
  daemon.Router.Router.handlePacket(Now, head, bytes.data(), bytes.size(),
                                    daemon.Out);
  daemon.Router.Router.tick(Now, daemon.Out);
}

void MovingSite::receiveRelayed(size_t index, const Relayed &relayed) {
  Daemon &daemon = *AllDaemons[index];
  if (daemon.IsFrozen) {
    daemon.WaitingRelayed.push_back(relayed);
    return;
  }
  std::array<uint8_t, 31> bytes{};
  std::memcpy(bytes.data(), &relayed.Id, sizeof relayed.Id);
  daemon.Router.Now = Now;
  daemon.Router.Router.handleRelayed(Now, Packets[relayed.Id].Head,
                                     relayed.IsOriginal, bytes.data(),
                                     bytes.size(), daemon.Out);
  daemon.Router.Router.tick(Now, daemon.Out);
}

void MovingSite::resume(size_t index, Duration suspended) {
  Daemon &daemon = *AllDaemons[index];
  daemon.IsFrozen = false;
  bool isNoticed = suspended > PauseThreshold;
  if (isNoticed) {
    daemon.Router.Router.setStale();
    at(Now + RefreshTime,
       [this, index] { AllDaemons[index]->Router.Router.setFresh(); });
  }
  daemon.Router.Router.setDelayed(isNoticed);
  for (const Packet &it : std::exchange(daemon.Waiting, {}))
    receive(index, it, true);
  for (const Relayed &it : std::exchange(daemon.WaitingRelayed, {}))
    receiveRelayed(index, it);
  daemon.Router.Router.setDelayed(false);
}

void MovingSite::changeRotation() {
  std::vector<size_t> in;
  for (size_t i = 0; i < Daemons; ++i)
    if (happens(0.7))
      in.push_back(i);
  if (!in.empty())
    Rotation = in;
  size_t victim = Random.below(Daemons);
  if (!AllDaemons[victim]->IsFrozen && happens(Settings.FreezeChance)) {
    AllDaemons[victim]->IsFrozen = true;
    Duration suspended = between(Millisecond * 300, Millisecond * 2'500);
    at(Now + suspended, [this, victim, suspended] {
      if (AllDaemons[victim]->IsFrozen)
        resume(victim, suspended);
    });
  } else if (happens(Settings.RestartChance)) {
    startDaemon(victim);
  }
  at(Now + between(Millisecond * 5, 2 * Settings.MeanMoveInterval),
     [this] { changeRotation(); });
}

void MovingSite::troubleServer(size_t index, bool isDark) {
  TimePoint until = Now + between(Millisecond * 100, Millisecond * 2'000);
  (isDark ? AllServers[index].DarkUntil : AllServers[index].SlowUntil) = until;
  at(until + between(Millisecond * 500, Millisecond * 5'000),
     [this, index, isDark] { troubleServer(index, isDark); });
}

void MovingSite::sendToFabric(const Packet &packet) {
  if (happens(Settings.Loss))
    return;
  at(Now + transit(), [this, packet] {
    uint64_t hash =
        combineHash(packet.Head.Flow.Caller.Ip, packet.Head.Flow.Caller.Port);
    size_t index = Rotation[hash % Rotation.size()];
    Packet arrived = packet;
    arrived.ArrivedAt = Now;
    if (AllDaemons[index]->IsFrozen)
      AllDaemons[index]->Waiting.push_back(arrived);
    else
      receive(index, arrived, false);
  });
}

void MovingSite::arriveAtServer(size_t index, const Packet &packet,
                                uint32_t token) {
  Server &server = AllServers[index];
  if (Now < server.DarkUntil)
    return;
  Caller &caller = Callers[packet.CallerIndex];
  std::pair<size_t, uint16_t> key{packet.CallerIndex,
                                  packet.Head.Flow.Caller.Port};
  Duration slow = Now < server.SlowUntil
                      ? between(Millisecond * 10, Millisecond * 500)
                      : Duration(300);
  auto answer = [&](const Server::Flow &flow, bool opens, bool resets,
                    Duration wait, uint32_t request) {
    if (happens(Settings.Loss))
      return;
    at(Now + wait + transit(),
       [this, caller = packet.CallerIndex, index, token = flow.Token,
        sequence = flow.Sequence, opens, resets, first = flow.First, request] {
         arriveAtCaller(caller, index, token, sequence, opens, resets, first,
                        request);
       });
  };
  if (packet.Head.Opens) {
    Server::Flow &flow = server.Flows[key];
    if (flow.First != packet.Head.Sequence)
      flow = {static_cast<uint32_t>(Random.below(UINT32_MAX)),
              packet.Head.Sequence,
              token,
              false,
              {},
              {}};
    flow.Token = token;
    answer(flow, true, false, slow, 0);
    return;
  }
  bool isCurrent = caller.Attempt == packet.Attempt && caller.IsOpen;
  auto it = server.Flows.find(key);
  // An old packet of the flow that used the port before belongs to none.
  constexpr uint32_t Window = 1U << 24;
  bool isHome = it != server.Flows.end() &&
                packet.Head.Sequence - it->second.First < Window &&
                packet.Head.Acknowledged - it->second.Sequence < Window;
  if (!isHome) {
    if (isCurrent && caller.HasArrived && caller.Home != index)
      fault(Result.Misforwarded,
            "at server " + std::to_string(index) + " instead of " +
                std::to_string(caller.Home),
            packet);
    Server::Flow none;
    none.First = packet.Head.Sequence;
    answer(none, false, true, Duration(300), 0);
    return;
  }
  Server::Flow &flow = it->second;
  flow.Token = token;
  flow.IsOpen = true;
  if (isCurrent)
    caller.HasArrived = true;
  if (packet.Head.DataBytes == 0)
    return;
  std::set<uint32_t> &parts = flow.Parts[packet.Request];
  uint32_t part = (packet.Head.Sequence - flow.First - 1) / PartBytes;
  parts.insert(part);
  if (parts.size() < packet.Parts ||
      !flow.Answered.insert(packet.Request).second)
    return;
  Duration work = happens(0.05) ? between(Millisecond * 200, Millisecond * 600)
                                : between(Millisecond * 5, Millisecond * 80);
  at(Now + work, [this, index, key, request = packet.Request,
                  first = flow.First] {
    Server &server = AllServers[index];
    auto it = server.Flows.find(key);
    if (it == server.Flows.end() || it->second.First != first)
      return;
    uint32_t sequence = it->second.Sequence;
    uint32_t token = it->second.Token;
    // Retransmitted until the caller certainly has it.
    for (Duration again : {Duration(0), Duration(200'000), Duration(600'000)})
      at(Now + again + transit(),
         [this, key, index, token, sequence, first, request] {
           if (!happens(Settings.Loss))
             arriveAtCaller(key.first, index, token, sequence, false, false,
                            first, request + 1);
         });
  });
}

void MovingSite::arriveAtCaller(size_t index, size_t server, uint32_t token,
                                uint32_t sequence, bool opens, bool resets,
                                uint32_t first, uint32_t answered) {
  Caller &caller = Callers[index];
  if (resets) {
    // A reset names the packet that caused it.
    uint32_t ahead = first - caller.First;
    if (caller.IsOpen && ahead < (1U << 24))
      endFlow(index);
    return;
  }
  if (first != caller.First || (!caller.IsOpening && !caller.IsOpen))
    return;
  caller.Token = token;
  trace(index, std::string(opens ? "handshake" : "") + " answer of server " +
                   std::to_string(server));
  if (opens) {
    if (!caller.IsOpening)
      return;
    caller.IsOpening = false;
    caller.IsOpen = true;
    caller.Home = server;
    caller.ServerSequence = sequence;
    sendRequest(index);
    return;
  }
  if (server != caller.Home || answered != caller.Request + 1 ||
      !caller.IsWaiting)
    return;
  ++Result.Answered;
  caller.IsWaiting = false;
  caller.Missing.clear();
  caller.Sent += caller.Parts * PartBytes;
  ++caller.Request;
  // The acknowledgement.
  Packet packet;
  packet.CallerIndex = index;
  packet.Attempt = caller.Attempt;
  packet.Head.Flow = PacketRouterHarness::key(caller.Port);
  packet.Head.Acknowledges = true;
  packet.Head.Token = caller.Token;
  packet.Head.Sequence = caller.First + 1 + caller.Sent;
  packet.Head.Acknowledged =
      caller.ServerSequence + 1 + caller.Request * AnswerBytes;
  packet.Request = caller.Request;
  sendToFabric(packet);
  Duration pause = happens(0.5)
                       ? between(Millisecond * 20, Millisecond * 400)
                       : between(Millisecond * 400, Millisecond * 3'000);
  at(Now + pause, [this, index, attempt = caller.Attempt] {
    Caller &caller = Callers[index];
    if (caller.Attempt != attempt || !caller.IsOpen)
      return;
    if (happens(0.25))
      endFlow(index);
    else
      sendRequest(index);
  });
}

void MovingSite::openFlow(size_t index) {
  Caller &caller = Callers[index];
  uint32_t attempt = caller.Attempt + 1;
  caller = Caller();
  constexpr uint16_t FirstPort = 1024;
  constexpr uint16_t PortsOfCaller = 1000;
  uint32_t turn = Settings.ReusePorts ? attempt % 2 : attempt % PortsOfCaller;
  caller.Port = static_cast<uint16_t>(FirstPort + index * PortsOfCaller + turn);
  caller.Attempt = attempt;
  caller.IsOpening = true;
  caller.First = static_cast<uint32_t>(Random.below(UINT32_MAX));
  sendCopy(index, attempt, 0);
}

void MovingSite::sendCopy(size_t index, uint32_t attempt, uint8_t copy) {
  Caller &caller = Callers[index];
  if (caller.Attempt != attempt || !caller.IsOpening)
    return;
  if (copy > OpeningCopies::LastCopy) {
    ++Result.NotOpened;
    endFlow(index);
    return;
  }
  Packet packet;
  packet.CallerIndex = index;
  packet.Attempt = attempt;
  PacketHeader &head = packet.Head;
  head.Flow = PacketRouterHarness::key(caller.Port);
  head.Opens = true;
  head.Sequence = caller.First;
  head.CopyNumber = copy;
  head.Age = PacketRouterHarness::copyAge(copy);
  head.NextCopyAfter = PacketRouterHarness::copyAge(copy + 1) - head.Age;
  sendToFabric(packet);
  at(Now + head.NextCopyAfter,
     [this, index, attempt, copy] { sendCopy(index, attempt, copy + 1); });
}

void MovingSite::sendRequest(size_t index) {
  Caller &caller = Callers[index];
  caller.Parts = happens(0.3) ? 1 + static_cast<uint32_t>(Random.below(8)) : 1;
  caller.IsWaiting = true;
  for (uint32_t part = 0; part < caller.Parts; ++part)
    caller.Missing.insert(part);
  for (uint32_t part = 0; part < caller.Parts; ++part)
    sendData(index, caller.Attempt, caller.Request, part, Millisecond * 200);
  at(Now + RequestTimeout,
     [this, index, attempt = caller.Attempt, request = caller.Request] {
       Caller &caller = Callers[index];
       if (caller.Attempt != attempt || caller.Request != request ||
           !caller.IsWaiting)
         return;
       if (caller.HasArrived &&
           Now - AllServers[caller.Home].DarkUntil > RequestTimeout)
         ++Result.Unanswered;
       endFlow(index);
     });
}

void MovingSite::sendData(size_t index, uint32_t attempt, uint32_t request,
                          uint32_t part, Duration wait) {
  Caller &caller = Callers[index];
  if (caller.Attempt != attempt || caller.Request != request ||
      !caller.IsWaiting || caller.Missing.count(part) == 0)
    return;
  Packet packet;
  packet.CallerIndex = index;
  packet.Attempt = attempt;
  packet.Request = request;
  packet.Parts = caller.Parts;
  PacketHeader &head = packet.Head;
  head.Flow = PacketRouterHarness::key(caller.Port);
  head.Acknowledges = true;
  head.Token = caller.Token;
  head.Sequence = caller.First + 1 + caller.Sent + part * PartBytes;
  head.Acknowledged = caller.ServerSequence + 1 + request * AnswerBytes;
  head.DataBytes = PartBytes;
  sendToFabric(packet);
  at(Now + wait, [this, index, attempt, request, part, wait] {
    sendData(index, attempt, request, part,
             std::min(2 * wait, MaxRetransmission));
  });
}

void MovingSite::endFlow(size_t index) {
  Caller &caller = Callers[index];
  ++caller.Attempt;
  caller.IsOpening = false;
  caller.IsOpen = false;
  caller.HasArrived = false;
  caller.IsWaiting = false;
  at(Now + between(Millisecond * 10, Millisecond * 500),
     [this, index] { openFlow(index); });
}

MovingSiteResult MovingSite::play() {
  TimePoint until = Now + Settings.Length;
  for (size_t i = 0; i < CallerCount; ++i)
    at(Now + between(Duration(0), Millisecond * 500),
       [this, i] { openFlow(i); });
  for (size_t i = 0; i < Servers; ++i) {
    if (happens(Settings.SlowServerShare))
      troubleServer(i, false);
    if (happens(Settings.DarkServerShare))
      troubleServer(i, true);
  }
  changeRotation();
  std::function<void()> tickAll = [&] {
    for (auto &it : AllDaemons) {
      if (it->IsFrozen)
        continue;
      it->Router.Now = Now;
      it->Router.Router.tick(Now, it->Out);
      for (const ConnectionAttempt &attempt :
           it->Router.Router.dueAttempts(Now)) {
        size_t server = it->Router.tagAt(attempt.Server) - 1;
        bool isDark = Now < AllServers[server].DarkUntil;
        it->Router.Router.handleAttemptResult(
            Now, attempt.Server,
            isDark ? ConnectionResult::Failed : ConnectionResult::Connected,
            it->Out);
      }
    }
    at(Now + Tick, tickAll);
  };
  tickAll();
  while (!Events.empty() && Events.top().When < until) {
    Event next = Events.top();
    Events.pop();
    Now = next.When;
    next.What();
  }
  return Result;
}

} // namespace balsamrack

#include "Soak/SoakFleet.h"

#include <csignal>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"

namespace balsamrack::soak {

const Endpoint Booking{0xc6120001, 443}; // 198.18.0.1
const Endpoint Plans{0xc6120001, 444};
const Endpoint TemporaryRoute{0xc6120001, 8443};

namespace {

constexpr Duration ReadyPollPeriod{250'000};
constexpr Duration ReadyTimeout{200'000};
constexpr unsigned MaxMissedPolls = 2;
constexpr unsigned HttpOk = 200;
constexpr size_t FirstPlansServer = 4;

std::string loopbackIp(int group, size_t i) {
  return absl::StrCat("127.1.", group, ".", i + 1);
}
Address internalDaemonAddress(size_t i, uint16_t port) {
  return {loopbackIp(1, i), port};
}

} // namespace

absl::StatusOr<std::unique_ptr<SoakFleet>>
SoakFleet::start(const std::string &folder, uint64_t seed) {
  std::unique_ptr<SoakFleet> fleet(new SoakFleet(folder, seed));
  absl::Status status = fleet->startAll();
  if (!status.ok())
    return status;
  return fleet;
}

SoakFleet::SoakFleet(std::string folder, uint64_t seed)
    : Folder(std::move(folder)), Seed(seed), Servers(ServerCount),
      ServerTags(ServerCount), ServesPlans(ServerCount),
      StartCounts(DaemonCount), Processes(DaemonCount) {}

SoakFleet::~SoakFleet() {
  Stopping = true;
  if (ReadinessThread.joinable())
    ReadinessThread.join();
  if (Client)
    Client->stop();
}

absl::Status SoakFleet::startAll() {
  Ports = {findFreePort(), findFreePort(), findFreePort(), findFreePort(),
           findFreePort(), findFreePort(), findFreePort()};
  auto store = platform::StandInStore::create({"127.0.0.1", Ports.Store});
  if (!store.ok())
    return store.status();
  Store = *std::move(store);
  for (size_t p = 0; p < ServerCount; ++p) {
    auto link =
        FaultyLink::create({loopbackIp(4, p), Ports.Servers},
                           {loopbackIp(3, p), Ports.Servers}, true, Seed + p);
    if (!link.ok())
      return link.status();
    ServerLinks.push_back(*std::move(link));
    absl::Status status = startServer(p, false);
    if (!status.ok())
      return status;
    publishServer(p, "ready");
  }
  publishRoutes(false);
  for (size_t i = 0; i < DaemonCount; ++i) {
    auto link = FaultyLink::create(daemonAddress(i),
                                   internalDaemonAddress(i, Ports.Packets),
                                   false, Seed + 100 + i);
    if (!link.ok())
      return link.status();
    DaemonLinks.push_back(*std::move(link));
    StoreRelays.push_back(std::make_unique<Relay>(
        Address{loopbackIp(7, i), Ports.Relays}, Store->at()));
    Rotation.push_back(daemonAddress(i));
    absl::Status status = startDaemon(i);
    if (!status.ok())
      return status;
  }
  auto client = HttpClient::create();
  if (!client.ok())
    return client.status();
  Client = *std::move(client);
  ReadinessThread = std::thread([this] { pollReadiness(); });
  return absl::OkStatus();
}

Address SoakFleet::daemonAddress(size_t i) const {
  return {loopbackIp(2, i), Ports.Packets};
}

std::string SoakFleet::logPath(size_t i) const {
  return absl::StrCat(Folder, "/daemon-", i, ".log");
}

void SoakFleet::writeSettings(size_t i, bool invalid) {
  std::string path = absl::StrCat(Folder, "/daemon-", i, ".json");
  if (invalid) {
    std::ofstream(path) << R"({"vm": 7)";
    return;
  }
  std::string seeds;
  for (size_t s = 0; s < 2; ++s)
    absl::StrAppend(&seeds, s == 0 ? "\"" : ",\"",
                    internalDaemonAddress(s, 1).str(), "\"");
  std::ofstream(path) << absl::StrCat(
      R"({"vm":"vm-)", i, R"(","failure_domain":"d)", domainOf(i),
      R"(","packets":{"listen":")",
      internalDaemonAddress(i, Ports.Packets).str(),
      R"("},"ready":{"listen":")", internalDaemonAddress(i, Ports.Ready).str(),
      R"(","path":"/-/ready"},"peers":{"listen":")",
      internalDaemonAddress(i, Ports.Peers).str(), R"(","seeds":[)", seeds,
      R"(]},"published":{"address":")",
      Address{loopbackIp(7, i), Ports.Relays}.str(),
      R"("},"metrics":{"listen":")",
      internalDaemonAddress(i, Ports.Metrics).str(),
      R"("},"load":{"admission":true,"speeds":true,"domain_demand":true},)",
      R"("shutdown":{"grace_s":6}})");
}

absl::Status SoakFleet::startDaemon(size_t i) {
  writeSettings(i, false);
  auto process = Process::start(
      "balsamrack-packetd",
      {"--settings", absl::StrCat(Folder, "/daemon-", i, ".json")}, logPath(i));
  if (!process.ok())
    return process.status();
  Processes[i] = *std::move(process);
  ++StartCounts[i];
  return absl::OkStatus();
}

void SoakFleet::killDaemon(size_t i) {
  if (!Processes[i])
    return;
  Processes[i]->signal(SIGKILL);
  // The result is ignored: the kernel ends the process after SIGKILL.
  (void)Processes[i]->awaitExit(Duration(5'000'000));
  Processes[i].reset();
}

std::vector<Address> SoakFleet::daemonsInRotation() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Rotation;
}

bool SoakFleet::isReady(size_t i) {
  HttpCall probe;
  probe.To = internalDaemonAddress(i, Ports.Ready);
  probe.Content.Method = "GET";
  probe.Content.Target = "/-/ready";
  probe.Timeout = ReadyTimeout;
  auto answer = std::make_shared<std::atomic<int>>(-1);
  Client->start(probe, [answer](const HttpCallResult &result) {
    bool ready = result.How == HttpCallOutcome::Answered &&
                 result.Content.Status == HttpOk;
    *answer = ready ? 1 : 0;
  });
  awaitUntil(ReadyTimeout * 2, [&] { return *answer >= 0; });
  return *answer == 1;
}

void SoakFleet::pollReadiness() {
  std::vector<unsigned> misses(DaemonCount);
  while (!Stopping) {
    std::vector<Address> ready;
    for (size_t i = 0; i < DaemonCount; ++i) {
      misses[i] = isReady(i) ? 0 : misses[i] + 1;
      if (misses[i] < MaxMissedPolls)
        ready.push_back(daemonAddress(i));
    }
    if (ready.empty())
      for (size_t i = 0; i < DaemonCount; ++i)
        ready.push_back(daemonAddress(i));
    {
      std::lock_guard<std::mutex> hold(Lock);
      Rotation = ready;
    }
    std::this_thread::sleep_for(ReadyPollPeriod);
  }
}

bool SoakFleet::awaitAllReady(Duration limit) {
  return awaitUntil(
             limit,
             [this] { return daemonsInRotation().size() == DaemonCount; }) &&
         awaitUntil(limit, [this] {
           for (size_t i = 0; i < DaemonCount; ++i)
             if (!isReady(i))
               return false;
           return true;
         });
}

void SoakFleet::publishRoutes(bool withTemporary) {
  std::string routes;
  auto add = [&](const Endpoint &at, const char *service) {
    absl::StrAppend(&routes, routes.empty() ? "" : ",",
                    R"({"name":"r","host":"198.18.0.1","prefix":"/)", at.Port,
                    R"(/","service":")", service,
                    R"(","timeoutMs":1500,"sloMs":150})");
  };
  add(Booking, "booking");
  add(Plans, "plans");
  if (withTemporary)
    add(TemporaryRoute, "booking");
  Store->put("op/config",
             absl::StrCat(R"({"version":)", ++ConfigurationVersion,
                          R"(,"routes":[)", routes,
                          R"(],"services":[{"name":"booking","coldPerS":0.0},)",
                          R"({"name":"plans","coldPerS":0.0}],)",
                          R"("limits":{"idleTimeoutMs":15000}})"));
}

void SoakFleet::setDomainOut(size_t domain, bool out) {
  std::string key = absl::StrCat("op/evacuate/d", domain);
  if (out)
    Store->put(key, "{}");
  else
    Store->remove(key);
}

void SoakFleet::setDomainPartitioned(size_t domain, bool partitioned) {
  for (size_t i = 0; i < DaemonCount; ++i)
    for (size_t p = 0; p < ServerCount; ++p)
      if (domainOf(i) == domain && domainOf(p) != domain)
        ServerLinks[p]->setSourceBlocked(loopbackIp(1, i), partitioned);
}

std::string SoakFleet::serverKey(size_t p) const {
  return absl::StrCat("servers/i-", absl::Hex(ServerTags[p]));
}

void SoakFleet::stopServer(size_t p) {
  if (!Servers[p])
    return;
  MisroutedAtStoppedServers += Servers[p]->wrongServicePackets();
  Servers[p].reset();
}

absl::Status SoakFleet::startServer(size_t p, bool otherService) {
  ServerTags[p] = ++NextTag;
  ServesPlans[p] = (p >= FirstPlansServer) != otherService;
  std::vector<Endpoint> services = {Booking, TemporaryRoute};
  if (ServesPlans[p])
    services = {Plans};
  auto server =
      platform::StandInServer::create({loopbackIp(3, p), Ports.Servers},
                                      ServerTags[p], Ports.Packets, services);
  if (!server.ok())
    return server.status();
  Servers[p] = *std::move(server);
  return absl::OkStatus();
}

void SoakFleet::publishServer(size_t p, const std::string &state) {
  Store->put(serverKey(p),
             absl::StrCat(R"({"service":")",
                          ServesPlans[p] ? "plans" : "booking",
                          R"(","address":")",
                          Address{loopbackIp(4, p), Ports.Servers}.str(),
                          R"(","zone":"d)", domainOf(p),
                          R"(","version":"v1","slots":2,"state":")", state,
                          R"(","coldLeftMs":0,"seq":1})"));
}

void SoakFleet::removeServerEntry(size_t p) { Store->remove(serverKey(p)); }

uint64_t SoakFleet::misroutedPackets() const {
  uint64_t n = MisroutedAtStoppedServers;
  for (const auto &server : Servers)
    n += server ? server->wrongServicePackets() : 0;
  return n;
}

} // namespace balsamrack::soak

#include "Soak/SoakFleet.h"

#include <csignal>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"

namespace balsamrack::soak {

const Endpoint Booking{0xc6120001, 443}; // 198.18.0.1
const Endpoint Plans{0xc6120001, 444};
const Endpoint Passing{0xc6120001, 8443};

namespace {

constexpr Duration ReadyPeriod{250'000};
constexpr Duration ReadyTimeout{200'000};
constexpr unsigned MissesToLeave = 2;
constexpr unsigned HttpOk = 200;
constexpr size_t FirstPlansPlace = 4;

std::string ipOf(int group, size_t i) {
  return absl::StrCat("127.1.", group, ".", i + 1);
}
Address daemonIp(size_t i, uint16_t port) { return {ipOf(1, i), port}; }

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
    : Folder(std::move(folder)), Seed(seed), Servers(ServerPlaces),
      ServerTags(ServerPlaces), ServesPlans(ServerPlaces), Lives(Daemons),
      Processes(Daemons) {}

SoakFleet::~SoakFleet() {
  Stopping = true;
  if (Asking.joinable())
    Asking.join();
  if (Client)
    Client->stop();
}

absl::Status SoakFleet::startAll() {
  Ports = {freePort(), freePort(), freePort(), freePort(),
           freePort(), freePort(), freePort()};
  auto store = platform::StandInStore::create({"127.0.0.1", Ports.Store});
  if (!store.ok())
    return store.status();
  Store = *std::move(store);
  for (size_t p = 0; p < ServerPlaces; ++p) {
    auto link = FaultyLink::create({ipOf(4, p), Ports.Servers},
                                   {ipOf(3, p), Ports.Servers}, true, Seed + p);
    if (!link.ok())
      return link.status();
    ServerLinks.push_back(*std::move(link));
    absl::Status status = newServer(p, false);
    if (!status.ok())
      return status;
    publishServer(p, "ready");
  }
  publishRoutes(false);
  for (size_t i = 0; i < Daemons; ++i) {
    auto link = FaultyLink::create(daemonAt(i), daemonIp(i, Ports.Packets),
                                   false, Seed + 100 + i);
    if (!link.ok())
      return link.status();
    DaemonLinks.push_back(*std::move(link));
    StoreRelays.push_back(std::make_unique<Relay>(
        Address{ipOf(7, i), Ports.Relays}, Store->at()));
    Rotation.push_back(daemonAt(i));
    absl::Status status = startDaemon(i);
    if (!status.ok())
      return status;
  }
  auto client = HttpClient::create();
  if (!client.ok())
    return client.status();
  Client = *std::move(client);
  Asking = std::thread([this] { askWhoIsReady(); });
  return absl::OkStatus();
}

Address SoakFleet::daemonAt(size_t i) const {
  return {ipOf(2, i), Ports.Packets};
}

std::string SoakFleet::logPath(size_t i) const {
  return absl::StrCat(Folder, "/daemon-", i, ".log");
}

void SoakFleet::writeSettings(size_t i, bool broken) {
  std::string path = absl::StrCat(Folder, "/daemon-", i, ".json");
  if (broken) {
    std::ofstream(path) << R"({"vm": 7)";
    return;
  }
  std::string seeds;
  for (size_t s = 0; s < 2; ++s)
    absl::StrAppend(&seeds, s == 0 ? "\"" : ",\"", daemonIp(s, 1).str(), "\"");
  std::ofstream(path) << absl::StrCat(
      R"({"vm":"vm-)", i, R"(","failure_domain":"d)", domainOf(i),
      R"(","packets":{"listen":")", daemonIp(i, Ports.Packets).str(),
      R"("},"ready":{"listen":")", daemonIp(i, Ports.Ready).str(),
      R"(","path":"/-/ready"},"peers":{"listen":")",
      daemonIp(i, Ports.Peers).str(), R"(","seeds":[)", seeds,
      R"(]},"published":{"address":")", Address{ipOf(7, i), Ports.Relays}.str(),
      R"("},"metrics":{"listen":")", daemonIp(i, Ports.Metrics).str(),
      R"("},"shutdown":{"grace_s":6}})");
}

absl::Status SoakFleet::startDaemon(size_t i) {
  writeSettings(i, false);
  auto process = Process::start(
      "balsamrack-packetd",
      {"--settings", absl::StrCat(Folder, "/daemon-", i, ".json")}, logPath(i));
  if (!process.ok())
    return process.status();
  Processes[i] = *std::move(process);
  ++Lives[i];
  return absl::OkStatus();
}

void SoakFleet::killDaemon(size_t i) {
  if (!Processes[i])
    return;
  Processes[i]->signal(SIGKILL);
  // It was sent SIGKILL: that it ends is the system's promise, not ours.
  (void)Processes[i]->awaitEnd(Duration(5'000'000));
  Processes[i].reset();
}

std::vector<Address> SoakFleet::fabric() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Rotation;
}

bool SoakFleet::isReady(size_t i) {
  HttpCall ask;
  ask.To = daemonIp(i, Ports.Ready);
  ask.Content.Method = "GET";
  ask.Content.Target = "/-/ready";
  ask.Timeout = ReadyTimeout;
  auto answer = std::make_shared<std::atomic<int>>(-1);
  Client->start(ask, [answer](const HttpCallResult &result) {
    bool good = result.How == HttpCallOutcome::Answered &&
                result.Content.Status == HttpOk;
    *answer = good ? 1 : 0;
  });
  awaitUntil(ReadyTimeout * 2, [&] { return *answer >= 0; });
  return *answer == 1;
}

void SoakFleet::askWhoIsReady() {
  std::vector<unsigned> misses(Daemons);
  while (!Stopping) {
    std::vector<Address> in;
    for (size_t i = 0; i < Daemons; ++i) {
      misses[i] = isReady(i) ? 0 : misses[i] + 1;
      if (misses[i] < MissesToLeave)
        in.push_back(daemonAt(i));
    }
    if (in.empty())
      for (size_t i = 0; i < Daemons; ++i)
        in.push_back(daemonAt(i));
    {
      std::lock_guard<std::mutex> hold(Lock);
      Rotation = in;
    }
    std::this_thread::sleep_for(ReadyPeriod);
  }
}

bool SoakFleet::awaitAllReady(Duration limit) {
  return awaitUntil(limit, [this] { return fabric().size() == Daemons; }) &&
         awaitUntil(limit, [this] {
           for (size_t i = 0; i < Daemons; ++i)
             if (!isReady(i))
               return false;
           return true;
         });
}

void SoakFleet::publishRoutes(bool withPassing) {
  std::string routes;
  auto add = [&](const Endpoint &at, const char *service) {
    absl::StrAppend(&routes, routes.empty() ? "" : ",",
                    R"({"name":"r","host":"198.18.0.1","prefix":"/)", at.Port,
                    R"(/","service":")", service,
                    R"(","timeoutMs":1500,"sloMs":150})");
  };
  add(Booking, "booking");
  add(Plans, "plans");
  if (withPassing)
    add(Passing, "booking");
  Store->put("op/config",
             absl::StrCat(R"({"version":)", ++Version, R"(,"routes":[)", routes,
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

void SoakFleet::setDomainCut(size_t from, bool cut) {
  for (size_t i = 0; i < Daemons; ++i)
    for (size_t p = 0; p < ServerPlaces; ++p)
      if (domainOf(i) == from && domainOf(p) != from)
        ServerLinks[p]->setCutFrom(ipOf(1, i), cut);
}

std::string SoakFleet::entryOf(size_t p) const {
  return absl::StrCat("servers/i-", absl::Hex(ServerTags[p]));
}

void SoakFleet::endServer(size_t p) {
  if (!Servers[p])
    return;
  StrangersBefore += Servers[p]->wrongServicePackets();
  Servers[p].reset();
}

absl::Status SoakFleet::newServer(size_t p, bool otherService) {
  ServerTags[p] = ++NextTag;
  ServesPlans[p] = (p >= FirstPlansPlace) != otherService;
  std::vector<Endpoint> services = {Booking, Passing};
  if (ServesPlans[p])
    services = {Plans};
  auto server = platform::StandInServer::create(
      {ipOf(3, p), Ports.Servers}, ServerTags[p], Ports.Packets, services);
  if (!server.ok())
    return server.status();
  Servers[p] = *std::move(server);
  return absl::OkStatus();
}

void SoakFleet::publishServer(size_t p, const std::string &state) {
  Store->put(entryOf(p), absl::StrCat(R"({"service":")",
                                      ServesPlans[p] ? "plans" : "booking",
                                      R"(","address":")",
                                      Address{ipOf(4, p), Ports.Servers}.str(),
                                      R"(","zone":"d)", domainOf(p),
                                      R"(","version":"v1","slots":2,"state":")",
                                      state, R"(","coldLeftMs":0,"seq":1})"));
}

void SoakFleet::removeEntry(size_t p) { Store->remove(entryOf(p)); }

uint64_t SoakFleet::strangers() const {
  uint64_t n = StrangersBefore;
  for (const auto &server : Servers)
    n += server ? server->wrongServicePackets() : 0;
  return n;
}

} // namespace balsamrack::soak

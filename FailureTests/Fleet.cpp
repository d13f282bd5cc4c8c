#include "FailureTests/Fleet.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include "StandIns/HttpClient.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

using standins::getHttp;
using standins::postHttp;

namespace {

constexpr auto HttpTimeout = std::chrono::seconds(5);
constexpr auto StartTimeout = std::chrono::seconds(20);
/// Daemon i listens at loopback address 127.0.1.(10 + i), since each VM has an
/// address of its own.
constexpr int FirstVmHostNumber = 10;
/// Services of the fleet, each with a port of its own at every daemon.
constexpr const char *ServiceNames[] = {"booking", "archive"};

Address loopbackAddress(uint16_t port) { return {"127.0.0.1", port}; }

Address makeAddress(const std::string &ip, uint16_t port) { return {ip, port}; }

bool answersHttp(const Address &address, const std::string &path) {
  return getHttp(address, path, HttpTimeout).ok();
}

} // namespace

FleetPlan makeSmallPlan() {
  FleetPlan plan;
  plan.Daemons = {"a", "a", "b"};
  for (const char *service : ServiceNames)
    for (const char *domain : {"a", "b"})
      for (const char *n : {"1", "2"})
        plan.Servers.push_back(
            {absl::StrCat(service, "-", domain, n), service, domain});
  plan.Seed = testSeed();
  return plan;
}

Fleet::Fleet(FleetPlan plan) : Plan(std::move(plan)) {
  Folder = absl::StrCat(BALSAMRACK_BINARY_DIR, "/FailureTests/run-", getpid());
  std::filesystem::create_directories(Folder);
  std::printf("logs: %s\n", Folder.c_str());
  for (const char *name :
       {"platform", "platform-control", "fabric-control", "peers", "operators"})
    Ports[name] = findFreePort();
  for (const char *service : ServiceNames) {
    Ports[service] = findFreePort();
    Ports[absl::StrCat("fabric-", service)] = findFreePort();
  }
  for (const ServerPlan &server : Plan.Servers)
    Ports[server.Id] = findFreePort();
  for (size_t i = 0; i < Plan.Daemons.size(); ++i)
    Ports[absl::StrCat("relay-", i)] = findFreePort();
}

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::start(FleetPlan plan) {
  std::unique_ptr<Fleet> fleet(new Fleet(std::move(plan)));
  absl::Status status = fleet->startAll();
  if (!status.ok())
    return status;
  return fleet;
}

absl::Status Fleet::startProcess(const std::string &name,
                                 const std::string &label,
                                 const std::vector<std::string> &args,
                                 std::unique_ptr<Process> &started) {
  auto process =
      Process::start(name, args, absl::StrCat(Folder, "/", label, ".log"));
  if (process.ok())
    started = std::move(*process);
  return process.status();
}

absl::Status Fleet::startStandIns() {
  auto port = [this](const std::string &name) {
    return absl::StrCat(Ports.at(name));
  };
  absl::Status status = startProcess(
      "standin-platform", "platform",
      {"--port", port("platform"), "--control-port", port("platform-control")},
      PlatformProcess);
  std::vector<std::string> fabric{"--control-port", port("fabric-control"),
                                  "--seed", absl::StrCat(Plan.Seed)};
  for (const char *service : ServiceNames) {
    fabric.emplace_back("--map");
    fabric.push_back(absl::StrCat(port(absl::StrCat("fabric-", service)), "=",
                                  port(service)));
  }
  status.Update(
      startProcess("standin-fabric", "fabric", fabric, FabricProcess));
  Servers.resize(Plan.Servers.size());
  for (size_t i = 0; i < Servers.size(); ++i)
    status.Update(startServer(i, 0));
  return status;
}

absl::Status Fleet::startServer(size_t i, uint32_t coldMs) {
  const ServerPlan &s = Plan.Servers[i];
  return startProcess("standin-server", s.Id,
                      {"--id", s.Id, "--service", s.Service, "--domain",
                       s.Domain, "--port", absl::StrCat(Ports.at(s.Id)),
                       "--work-ms", absl::StrCat(s.WorkMs), "--long-work-ms",
                       absl::StrCat(s.LongWorkMs), "--cold-ms",
                       absl::StrCat(coldMs)},
                      Servers[i]);
}

absl::Status Fleet::restartServer(const std::string &id, uint32_t coldMs) {
  size_t i = 0;
  while (i < Servers.size() && Plan.Servers[i].Id != id)
    ++i;
  if (i == Servers.size())
    return absl::NotFoundError(id);
  Servers[i] = nullptr;
  return startServer(i, coldMs);
}

absl::Status Fleet::startAll() {
  absl::Status status = startStandIns();
  if (!status.ok())
    return status;
  bool ready = awaitUntil(StartTimeout, [this] {
    bool all =
        answersHttp(loopbackAddress(Ports["platform-control"]), "/counts");
    for (const ServerPlan &s : Plan.Servers)
      all = all &&
            answersHttp(loopbackAddress(Ports[s.Id]), "/balsamrack/health");
    // The fabric does not support GET, so an empty list of daemons is posted.
    return all && postHttp(loopbackAddress(Ports["fabric-control"]), "/daemons",
                           "[]", HttpTimeout)
                      .ok();
  });
  if (!ready)
    return absl::UnavailableError("stand-ins did not start");
  Json vms = Json::array();
  for (size_t i = 0; i < Plan.Daemons.size(); ++i)
    vms.push_back({{"id", absl::StrCat("vm-", i + 1)},
                   {"domain", Plan.Daemons[i]},
                   {"peer_address", peerAddress(i).str()},
                   {"state", "live"}});
  (void)postHttp(loopbackAddress(Ports["platform-control"]), "/vms", vms.dump(),
                 HttpTimeout);
  uint64_t firstTicket = publishTicket(initialObjects());
  std::set<size_t> all;
  for (size_t i = 0; i < Plan.Daemons.size(); ++i) {
    all.insert(i);
    Daemons.emplace_back();
    Relays.push_back(
        Plan.UsePlatformRelays
            ? std::make_unique<Relay>(
                  loopbackAddress(Ports[absl::StrCat("relay-", i)]),
                  loopbackAddress(Ports["platform"]))
            : nullptr);
    status.Update(startDaemon(i));
  }
  setFabricDaemons(all);
  for (size_t i : all)
    if (status.ok() && !awaitTicketInForce(i, firstTicket, StartTimeout))
      status = absl::UnavailableError(
          absl::StrCat("first ticket not in force at vm-", i + 1));
  if (status.ok() && !awaitOwners(all, StartTimeout))
    status = absl::UnavailableError("not every server has an owner");
  return status;
}

bool Fleet::seesAliveMembers(size_t i, size_t count) {
  Json status = queryDaemon(i, "status");
  size_t alive = 0;
  if (status.is_object())
    for (const auto &member : status["members"])
      alive += member.value("state", "") == "alive" ? 1 : 0;
  return alive >= count;
}

bool Fleet::awaitOwners(const std::set<size_t> &daemons, Duration timeout) {
  return awaitUntil(timeout, [&] {
    for (size_t i : daemons)
      if (!seesAliveMembers(i, daemons.size()))
        return false;
    for (const ServerPlan &server : Plan.Servers) {
      auto it = std::find_if(daemons.begin(), daemons.end(), [&](size_t i) {
        return ownsServer(i, server.Id);
      });
      if (it == daemons.end())
        return false;
    }
    return true;
  });
}

std::string Fleet::daemonIp(size_t i) const {
  return absl::StrCat("127.0.1.", FirstVmHostNumber + i);
}

Address Fleet::callerAddress(size_t i, const std::string &service) const {
  return makeAddress(daemonIp(i), Ports.at(service));
}

Address Fleet::peerAddress(size_t i) const {
  return makeAddress(daemonIp(i), Ports.at("peers"));
}

Address Fleet::operatorAddress(size_t i) const {
  return makeAddress(daemonIp(i), Ports.at("operators"));
}

Fleet::Json Fleet::daemonSettings(size_t i, bool firstStart) const {
  Json seeds = Json::array();
  for (size_t j = 0; j < Plan.Daemons.size(); ++j)
    if (j != i)
      seeds.push_back({{"vm", absl::StrCat("vm-", j + 1)},
                       {"failure_domain", Plan.Daemons[j]},
                       {"address", peerAddress(j).str()}});
  std::string platform =
      Plan.UsePlatformRelays ? absl::StrCat("relay-", i) : "platform";
  return {
      {"vm", absl::StrCat("vm-", i + 1)},
      {"failure_domain", Plan.Daemons[i]},
      {"callers", {{"ip", daemonIp(i)}}},
      {"peers",
       {{"listen", peerAddress(i).str()},
        {"fleet_key", "failure-tests"},
        {"allowed", {"127.0.0.0/8"}},
        {"seeds", seeds}}},
      {"operators",
       {{"listen", operatorAddress(i).str()}, {"allowed", {"127.0.0.0/8"}}}},
      {"platform", {{"address", loopbackAddress(Ports.at(platform)).str()}}},
      {"keys",
       {{"memory_s", 600}, {"assume_no_earlier_keys_at_start", firstStart}}},
      {"log", {{"level", "info"}}}};
}

absl::Status Fleet::startDaemon(size_t i) {
  std::string name = absl::StrCat("vm-", i + 1);
  std::string file = absl::StrCat(Folder, "/", name, ".json");
  std::ofstream(file) << daemonSettings(i, Daemons[i] == nullptr).dump(1)
                      << "\n";
  return startProcess("balsamrackd", name, {"--settings", file}, Daemons[i]);
}

absl::Status Fleet::awaitReady(size_t i) {
  bool ready = awaitUntil(StartTimeout,
                          [&] { return !queryDaemon(i, "status").is_null(); });
  return ready ? absl::OkStatus()
               : absl::UnavailableError(
                     "daemon does not reply to operator requests");
}

Fleet::Json Fleet::queryDaemon(size_t i, const std::string &path) {
  auto text =
      getHttp(operatorAddress(i), absl::StrCat("/v1/", path), HttpTimeout);
  Json answer = text.ok() ? Json::parse(*text, nullptr, false) : Json();
  return answer.is_discarded() ? Json() : answer;
}

Fleet::Json Fleet::serverState(const ServerPlan &server,
                               const char *mode) const {
  return {{"kind", "server"},
          {"id", server.Id},
          {"state",
           {{"service", server.Service},
            {"domain", server.Domain},
            {"address", loopbackAddress(Ports.at(server.Id)).str()},
            {"slots", 2},
            {"mode", mode}}}};
}

Fleet::Json Fleet::initialObjects() const {
  Json objects = Json::array();
  std::set<std::string> domains(Plan.Daemons.begin(), Plan.Daemons.end());
  for (const auto &domain : domains)
    objects.push_back({{"kind", "domain"},
                       {"id", domain},
                       {"state", {{"region", "test"}, {"in_service", true}}}});
  for (const char *service : ServiceNames)
    objects.push_back({{"kind", "service"},
                       {"id", service},
                       {"state", {{"ports", {Ports.at(service)}}}}});
  for (const ServerPlan &server : Plan.Servers)
    objects.push_back(serverState(server, "active"));
  return objects;
}

uint64_t Fleet::publishTicket(const Json &objects) {
  Json ticket{{"ticket", ++LastTicket}, {"objects", objects}};
  (void)postHttp(loopbackAddress(Ports["platform-control"]), "/tickets",
                 ticket.dump(), HttpTimeout);
  return LastTicket;
}

uint64_t Fleet::drainServer(const std::string &id) {
  for (const ServerPlan &server : Plan.Servers)
    if (server.Id == id)
      return publishTicket(Json::array({serverState(server, "draining")}));
  return 0;
}

uint64_t Fleet::setDomainInService(const std::string &domain, bool inService) {
  return publishTicket(Json::array(
      {{{"kind", "domain"},
        {"id", domain},
        {"state", {{"region", "test"}, {"in_service", inService}}}}}));
}

bool Fleet::awaitTicketInForce(size_t i, uint64_t number, Duration timeout) {
  return awaitUntil(timeout, [&] {
    Json answer =
        queryDaemon(i, absl::StrCat("tickets/in-force?number=", number));
    return answer.is_object() && answer.value("in_force", false);
  });
}

void Fleet::setPlatformMode(const Json &mode) {
  (void)postHttp(loopbackAddress(Ports["platform-control"]), "/mode",
                 mode.dump(), HttpTimeout);
}

void Fleet::setFabricDaemons(const std::set<size_t> &daemons) {
  Json list = Json::array();
  for (size_t i : daemons)
    list.push_back({{"vm", absl::StrCat("vm-", i + 1)}, {"ip", daemonIp(i)}});
  (void)postHttp(loopbackAddress(Ports["fabric-control"]), "/daemons",
                 list.dump(), HttpTimeout);
}

Address Fleet::serverAddress(const std::string &id) const {
  return loopbackAddress(Ports.at(id));
}

Fleet::Json Fleet::queryServerCounts(const std::string &id) {
  auto text =
      getHttp(loopbackAddress(Ports[id]), "/balsamrack/counts", HttpTimeout);
  return text.ok() ? Json::parse(*text, nullptr, false) : Json();
}

void Fleet::controlServer(const std::string &id, const Json &command) {
  (void)postHttp(loopbackAddress(Ports[id]), "/balsamrack/control",
                 command.dump(), HttpTimeout);
}

standins::CallSettings Fleet::makeCallSettings() const {
  standins::CallSettings s;
  for (const char *service : ServiceNames)
    s.Targets.push_back(
        {service, loopbackAddress(Ports.at(absl::StrCat("fabric-", service)))});
  s.Seed = Plan.Seed;
  return s;
}

standins::LoadReport
Fleet::stopAndVerify(standins::LoadGenerator &load,
                     const std::set<std::string> &outOfServiceDomains) {
  load.stop();
  standins::LoadReport report = load.report();
  for (const ServerPlan &server : Plan.Servers) {
    absl::Status status = report.addServerCounts(
        loopbackAddress(Ports[server.Id]), server.Service);
    if (!status.ok())
      report.addFault(absl::StrCat(server.Id, ": ", status.message()));
  }
  report.countRunViolations();
  report.countLostFlows(outOfServiceDomains);
  std::printf("%s\n", report.toJson().c_str());
  return report;
}

bool Fleet::ownsServer(size_t i, const std::string &id) {
  Json answer = queryDaemon(i, "servers");
  if (!answer.is_object())
    return false;
  for (const auto &server : answer["servers"])
    if (server.value("id", "") == id)
      return server.value("owned", false);
  return false;
}

size_t Fleet::ownerOf(const std::string &id) {
  size_t i = 0;
  while (i < Daemons.size() && !ownsServer(i, id))
    ++i;
  return i;
}

} // namespace balsamrack

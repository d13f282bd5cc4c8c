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

constexpr auto CallLimit = std::chrono::seconds(5);
constexpr auto StartLimit = std::chrono::seconds(20);
/// VM i has loopback address 127.0.1.(10 + i), as real VMs have their own.
constexpr int FirstHost = 10;
/// Ports on which callers reach a service at each daemon.
constexpr const char *Services[] = {"booking", "archive"};

Address local(uint16_t port) { return {"127.0.0.1", port}; }

Address at(const std::string &ip, uint16_t port) { return {ip, port}; }

bool answers(const Address &where, const std::string &path) {
  return getHttp(where, path, CallLimit).ok();
}

} // namespace

FleetPlan smallPlan() {
  FleetPlan plan;
  plan.Daemons = {"a", "a", "b"};
  for (const char *service : Services)
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
    Ports[name] = freePort();
  for (const char *service : Services) {
    Ports[service] = freePort();
    Ports[absl::StrCat("fabric-", service)] = freePort();
  }
  for (const ServerPlan &server : Plan.Servers)
    Ports[server.Id] = freePort();
  for (size_t i = 0; i < Plan.Daemons.size(); ++i)
    Ports[absl::StrCat("relay-", i)] = freePort();
}

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::start(FleetPlan plan) {
  std::unique_ptr<Fleet> fleet(new Fleet(std::move(plan)));
  absl::Status status = fleet->startAll();
  if (!status.ok())
    return status;
  return fleet;
}

absl::Status Fleet::run(const std::string &name, const std::string &label,
                        const std::vector<std::string> &args,
                        std::unique_ptr<Process> &to) {
  auto process =
      Process::start(name, args, absl::StrCat(Folder, "/", label, ".log"));
  if (process.ok())
    to = std::move(*process);
  return process.status();
}

absl::Status Fleet::startStandIns() {
  auto port = [this](const std::string &name) {
    return absl::StrCat(Ports.at(name));
  };
  absl::Status status = run(
      "standin-platform", "platform",
      {"--port", port("platform"), "--control-port", port("platform-control")},
      PlatformProcess);
  std::vector<std::string> fabric{"--control-port", port("fabric-control"),
                                  "--seed", absl::StrCat(Plan.Seed)};
  for (const char *service : Services) {
    fabric.emplace_back("--map");
    fabric.push_back(absl::StrCat(port(absl::StrCat("fabric-", service)), "=",
                                  port(service)));
  }
  status.Update(run("standin-fabric", "fabric", fabric, FabricProcess));
  Servers.resize(Plan.Servers.size());
  for (size_t i = 0; i < Servers.size(); ++i)
    status.Update(startServer(i, 0));
  return status;
}

absl::Status Fleet::startServer(size_t i, uint32_t coldMs) {
  const ServerPlan &s = Plan.Servers[i];
  return run("standin-server", s.Id,
             {"--id", s.Id, "--service", s.Service, "--domain", s.Domain,
              "--port", absl::StrCat(Ports.at(s.Id)), "--work-ms",
              absl::StrCat(s.WorkMs), "--long-work-ms", absl::StrCat(s.LongMs),
              "--cold-ms", absl::StrCat(coldMs)},
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
  bool up = awaitUntil(StartLimit, [this] {
    bool all = answers(local(Ports["platform-control"]), "/counts");
    for (const ServerPlan &s : Plan.Servers)
      all = all && answers(local(Ports[s.Id]), "/balsamrack/health");
    // The fabric answers no GET, so a list is posted until it is taken.
    return all &&
           postHttp(local(Ports["fabric-control"]), "/daemons", "[]", CallLimit)
               .ok();
  });
  if (!up)
    return absl::UnavailableError("stand-ins did not start");
  Json vms = Json::array();
  for (size_t i = 0; i < Plan.Daemons.size(); ++i)
    vms.push_back({{"id", absl::StrCat("vm-", i + 1)},
                   {"domain", Plan.Daemons[i]},
                   {"peer_address", peersAt(i).str()},
                   {"state", "live"}});
  (void)postHttp(local(Ports["platform-control"]), "/vms", vms.dump(),
                 CallLimit);
  uint64_t first = publish(firstObjects());
  std::set<size_t> all;
  for (size_t i = 0; i < Plan.Daemons.size(); ++i) {
    all.insert(i);
    Daemons.emplace_back();
    Relays.push_back(
        Plan.PlatformRelays
            ? std::make_unique<Relay>(local(Ports[absl::StrCat("relay-", i)]),
                                      local(Ports["platform"]))
            : nullptr);
    status.Update(startDaemon(i));
  }
  setFabric(all);
  for (size_t i : all)
    if (status.ok() && !awaitInForce(i, first, StartLimit))
      status = absl::UnavailableError(
          absl::StrCat("first ticket not in force at vm-", i + 1));
  if (status.ok() && !awaitOwners(all, StartLimit))
    status = absl::UnavailableError("not every server has an owner");
  return status;
}

bool Fleet::seesAll(size_t i, size_t members) {
  Json status = ask(i, "status");
  size_t alive = 0;
  if (status.is_object())
    for (const auto &member : status["members"])
      alive += member.value("state", "") == "alive" ? 1 : 0;
  return alive >= members;
}

bool Fleet::awaitOwners(const std::set<size_t> &among, Duration limit) {
  return awaitUntil(limit, [&] {
    for (size_t i : among)
      if (!seesAll(i, among.size()))
        return false;
    for (const ServerPlan &server : Plan.Servers) {
      auto it = std::find_if(among.begin(), among.end(),
                             [&](size_t i) { return owns(i, server.Id); });
      if (it == among.end())
        return false;
    }
    return true;
  });
}

std::string Fleet::ip(size_t i) const {
  return absl::StrCat("127.0.1.", FirstHost + i);
}

Address Fleet::callersAt(size_t i, const std::string &service) const {
  return at(ip(i), Ports.at(service));
}

Address Fleet::peersAt(size_t i) const { return at(ip(i), Ports.at("peers")); }

Address Fleet::operatorsAt(size_t i) const {
  return at(ip(i), Ports.at("operators"));
}

Fleet::Json Fleet::settings(size_t i, bool firstStart) const {
  Json seeds = Json::array();
  for (size_t j = 0; j < Plan.Daemons.size(); ++j)
    if (j != i)
      seeds.push_back({{"vm", absl::StrCat("vm-", j + 1)},
                       {"failure_domain", Plan.Daemons[j]},
                       {"address", peersAt(j).str()}});
  std::string platform =
      Plan.PlatformRelays ? absl::StrCat("relay-", i) : "platform";
  return {
      {"vm", absl::StrCat("vm-", i + 1)},
      {"failure_domain", Plan.Daemons[i]},
      {"callers", {{"ip", ip(i)}}},
      {"peers",
       {{"listen", peersAt(i).str()},
        {"fleet_key", "failure-tests"},
        {"allowed", {"127.0.0.0/8"}},
        {"seeds", seeds}}},
      {"operators",
       {{"listen", operatorsAt(i).str()}, {"allowed", {"127.0.0.0/8"}}}},
      {"platform", {{"address", local(Ports.at(platform)).str()}}},
      {"keys",
       {{"memory_s", 600}, {"assume_no_earlier_keys_at_start", firstStart}}},
      {"log", {{"level", "info"}}}};
}

absl::Status Fleet::startDaemon(size_t i) {
  std::string name = absl::StrCat("vm-", i + 1);
  std::string file = absl::StrCat(Folder, "/", name, ".json");
  std::ofstream(file) << settings(i, Daemons[i] == nullptr).dump(1) << "\n";
  return run("balsamrackd", name, {"--settings", file}, Daemons[i]);
}

absl::Status Fleet::awaitReady(size_t i) {
  bool ready =
      awaitUntil(StartLimit, [&] { return !ask(i, "status").is_null(); });
  return ready ? absl::OkStatus()
               : absl::UnavailableError("daemon answers no operators");
}

Fleet::Json Fleet::ask(size_t i, const std::string &path) {
  auto text = getHttp(operatorsAt(i), absl::StrCat("/v1/", path), CallLimit);
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
            {"address", local(Ports.at(server.Id)).str()},
            {"slots", 2},
            {"mode", mode}}}};
}

Fleet::Json Fleet::firstObjects() const {
  Json objects = Json::array();
  std::set<std::string> domains(Plan.Daemons.begin(), Plan.Daemons.end());
  for (const auto &domain : domains)
    objects.push_back({{"kind", "domain"},
                       {"id", domain},
                       {"state", {{"region", "test"}, {"in_service", true}}}});
  for (const char *service : Services)
    objects.push_back({{"kind", "service"},
                       {"id", service},
                       {"state", {{"ports", {Ports.at(service)}}}}});
  for (const ServerPlan &server : Plan.Servers)
    objects.push_back(serverState(server, "active"));
  return objects;
}

uint64_t Fleet::publish(const Json &objects) {
  Json ticket{{"ticket", ++LastTicket}, {"objects", objects}};
  (void)postHttp(local(Ports["platform-control"]), "/tickets", ticket.dump(),
                 CallLimit);
  return LastTicket;
}

uint64_t Fleet::drain(const std::string &id) {
  for (const ServerPlan &server : Plan.Servers)
    if (server.Id == id)
      return publish(Json::array({serverState(server, "draining")}));
  return 0;
}

uint64_t Fleet::setDomain(const std::string &domain, bool inService) {
  return publish(Json::array(
      {{{"kind", "domain"},
        {"id", domain},
        {"state", {{"region", "test"}, {"in_service", inService}}}}}));
}

bool Fleet::awaitInForce(size_t i, uint64_t number, Duration limit) {
  return awaitUntil(limit, [&] {
    Json answer = ask(i, absl::StrCat("tickets/in-force?number=", number));
    return answer.is_object() && answer.value("in_force", false);
  });
}

void Fleet::platformMode(const Json &mode) {
  (void)postHttp(local(Ports["platform-control"]), "/mode", mode.dump(),
                 CallLimit);
}

void Fleet::setFabric(const std::set<size_t> &daemons) {
  Json list = Json::array();
  for (size_t i : daemons)
    list.push_back({{"vm", absl::StrCat("vm-", i + 1)}, {"ip", ip(i)}});
  (void)postHttp(local(Ports["fabric-control"]), "/daemons", list.dump(),
                 CallLimit);
}

Address Fleet::serverAt(const std::string &id) const {
  return local(Ports.at(id));
}

Fleet::Json Fleet::counts(const std::string &id) {
  auto text = getHttp(local(Ports[id]), "/balsamrack/counts", CallLimit);
  return text.ok() ? Json::parse(*text, nullptr, false) : Json();
}

void Fleet::control(const std::string &id, const Json &told) {
  (void)postHttp(local(Ports[id]), "/balsamrack/control", told.dump(),
                 CallLimit);
}

standins::CallSettings Fleet::calls() const {
  standins::CallSettings s;
  for (const char *service : Services)
    s.Targets.push_back(
        {service, local(Ports.at(absl::StrCat("fabric-", service)))});
  s.Seed = Plan.Seed;
  return s;
}

standins::LoadReport Fleet::judge(standins::LoadGenerator &load,
                                  const std::set<std::string> &outDomains) {
  load.stop();
  standins::LoadReport report = load.report();
  for (const ServerPlan &server : Plan.Servers) {
    absl::Status status =
        report.addServerCounts(local(Ports[server.Id]), server.Service);
    if (!status.ok())
      report.addFault(absl::StrCat(server.Id, ": ", status.message()));
  }
  report.countRunViolations();
  report.countLostFlows(outDomains);
  std::printf("%s\n", report.json().c_str());
  return report;
}

bool Fleet::owns(size_t i, const std::string &id) {
  Json answer = ask(i, "servers");
  if (!answer.is_object())
    return false;
  for (const auto &server : answer["servers"])
    if (server.value("id", "") == id)
      return server.value("owned", false);
  return false;
}

size_t Fleet::ownerOf(const std::string &id) {
  size_t i = 0;
  while (i < Daemons.size() && !owns(i, id))
    ++i;
  return i;
}

} // namespace balsamrack

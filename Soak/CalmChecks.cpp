#include "Soak/CalmChecks.h"

#include <fstream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace balsamrack::soak {

namespace {

using platform::CallResult;

constexpr Duration ReadyLimit{10'000'000};
/// The users' bounds: a configuration is in force, a draining server and a
/// domain that was taken out are left alone.
constexpr Duration RouteBound{3'000'000};
constexpr Duration DrainBound{3'000'000};
constexpr Duration DomainOutBound{5'000'000};
/// After the bound, new flows are looked for this long.
constexpr Duration Watched{1'000'000};
constexpr int CallsPerService = 20;

class Checks {
public:
  explicit Checks(SoakFleet &fleet) : Fleet(fleet) {}

  std::vector<std::string> run() {
    if (!Fleet.awaitAllReady(ReadyLimit)) {
      Broken.emplace_back("not all daemons are ready after the faults");
      return Broken;
    }
    auto mouth = platform::StandInCaller::create(
        {"127.1.6.1", Fleet.callerPort()}, Fleet.fabric());
    if (!mouth.ok())
      return {"the soak itself: a caller can't start"};
    Mouth = *std::move(mouth);
    allAreServed();
    routesAreObeyed();
    drainIsObeyed();
    domainOutIsObeyed();
    allAreServed();
    return Broken;
  }

private:
  void allAreServed() {
    int lost = 0;
    for (int i = 0; i < CallsPerService; ++i)
      for (const Endpoint &service : {Booking, Plans})
        lost += Mouth->call(service).How == CallResult::Kind::Answered ? 0 : 1;
    if (lost > 0)
      Broken.push_back(absl::StrCat(lost, " calls not answered in the calm"));
  }

  void routesAreObeyed() {
    Fleet.publishRoutes(true);
    std::this_thread::sleep_for(RouteBound);
    eachDaemon("a route that was added is not served", true);
    Fleet.publishRoutes(false);
    std::this_thread::sleep_for(RouteBound);
    eachDaemon("a route that was dropped is still served", false);
  }

  void eachDaemon(const char *complaint, bool served) {
    for (size_t i = 0; i < SoakFleet::Daemons; ++i) {
      Mouth->setDaemons({Fleet.daemonAt(i)});
      bool answered = Mouth->call(Passing).How == CallResult::Kind::Answered;
      if (answered != served)
        Broken.push_back(absl::StrCat("daemon ", i, ": ", complaint));
    }
    Mouth->setDaemons(Fleet.fabric());
  }

  void drainIsObeyed() {
    constexpr size_t Place = 0;
    Fleet.publishServer(Place, "draining");
    std::this_thread::sleep_for(DrainBound);
    uint64_t before = Fleet.server(Place).openings();
    std::this_thread::sleep_for(Watched);
    if (Fleet.server(Place).openings() != before)
      Broken.emplace_back("a draining server gets new flows");
    Fleet.publishServer(Place, "ready");
  }

  void domainOutIsObeyed() {
    Fleet.setDomainOut(1, true);
    std::this_thread::sleep_for(DomainOutBound);
    uint64_t before = openingsIn(1);
    std::this_thread::sleep_for(Watched);
    if (openingsIn(1) != before)
      Broken.emplace_back("a domain that was taken out gets new flows");
    Fleet.setDomainOut(1, false);
  }

  uint64_t openingsIn(size_t domain) {
    uint64_t n = 0;
    for (size_t p = 0; p < SoakFleet::ServerPlaces; ++p)
      if (SoakFleet::domainOf(p) == domain)
        n += Fleet.server(p).openings();
    return n;
  }

  SoakFleet &Fleet;
  std::unique_ptr<platform::StandInCaller> Mouth;
  std::vector<std::string> Broken;
};

} // namespace

std::vector<std::string> checkCalm(SoakFleet &fleet) {
  return Checks(fleet).run();
}

std::vector<std::string> checkLogs(const SoakFleet &fleet) {
  std::vector<std::string> broken;
  for (size_t i = 0; i < SoakFleet::Daemons; ++i) {
    std::ifstream file(fleet.logPath(i));
    std::string line;
    size_t bad = 0;
    while (std::getline(file, line)) {
      auto read = nlohmann::json::parse(line, nullptr, false);
      // A process that was killed may have written half a line.
      bool whole = read.is_object() && read.contains("part") &&
                   read.contains("event") && read.contains("at_ms");
      bad += whole ? 0 : 1;
    }
    if (bad > fleet.life(i))
      broken.push_back(
          absl::StrCat("daemon ", i, ": ", bad, " log lines can't be read"));
  }
  return broken;
}

} // namespace balsamrack::soak

#include "Soak/RecoveryChecks.h"

#include <fstream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace balsamrack::soak {

namespace {

using platform::CallResult;

constexpr Duration ReadyTimeout{10'000'000};
/// Maximum times required by the users: until a configuration is in force, and
/// until a draining server or a domain taken out of service gets no new flows.
constexpr Duration MaxRouteDelay{3'000'000};
constexpr Duration MaxDrainDelay{3'000'000};
constexpr Duration MaxDomainOutDelay{5'000'000};
/// Time for which new flows are counted after the maximum time has passed.
constexpr Duration ObservationTime{1'000'000};
constexpr int CallsPerService = 20;

class RecoveryChecker {
public:
  explicit RecoveryChecker(SoakFleet &fleet) : Fleet(fleet) {}

  std::vector<std::string> run() {
    if (!Fleet.awaitAllReady(ReadyTimeout)) {
      Violations.emplace_back("not all daemons are ready after the faults");
      return Violations;
    }
    auto caller = platform::StandInCaller::create(
        {"127.1.6.1", Fleet.callerPort()}, Fleet.daemonsInRotation());
    if (!caller.ok())
      return {"the soak itself: a caller can't start"};
    Caller = *std::move(caller);
    checkAllServed();
    checkRouteChange();
    checkDrain();
    checkDomainOut();
    checkAllServed();
    return Violations;
  }

private:
  void checkAllServed() {
    int unanswered = 0;
    for (int i = 0; i < CallsPerService; ++i)
      for (const Endpoint &service : {Booking, Plans})
        unanswered +=
            Caller->call(service).How == CallResult::Kind::Answered ? 0 : 1;
    if (unanswered > 0)
      Violations.push_back(
          absl::StrCat(unanswered, " calls not answered in the calm"));
  }

  void checkRouteChange() {
    Fleet.publishRoutes(true);
    std::this_thread::sleep_for(MaxRouteDelay);
    checkEachDaemon("a route that was added is not served", true);
    Fleet.publishRoutes(false);
    std::this_thread::sleep_for(MaxRouteDelay);
    checkEachDaemon("a route that was dropped is still served", false);
  }

  void checkEachDaemon(const char *violation, bool expected) {
    for (size_t i = 0; i < SoakFleet::DaemonCount; ++i) {
      Caller->setDaemons({Fleet.daemonAddress(i)});
      bool answered =
          Caller->call(TemporaryRoute).How == CallResult::Kind::Answered;
      if (answered != expected)
        Violations.push_back(absl::StrCat("daemon ", i, ": ", violation));
    }
    Caller->setDaemons(Fleet.daemonsInRotation());
  }

  void checkDrain() {
    constexpr size_t Server = 0;
    Fleet.publishServer(Server, "draining");
    std::this_thread::sleep_for(MaxDrainDelay);
    uint64_t before = Fleet.server(Server).openings();
    std::this_thread::sleep_for(ObservationTime);
    if (Fleet.server(Server).openings() != before)
      Violations.emplace_back("a draining server gets new flows");
    Fleet.publishServer(Server, "ready");
  }

  void checkDomainOut() {
    Fleet.setDomainOut(1, true);
    std::this_thread::sleep_for(MaxDomainOutDelay);
    uint64_t before = openingsInDomain(1);
    std::this_thread::sleep_for(ObservationTime);
    if (openingsInDomain(1) != before)
      Violations.emplace_back("a domain that was taken out gets new flows");
    Fleet.setDomainOut(1, false);
  }

  uint64_t openingsInDomain(size_t domain) {
    uint64_t n = 0;
    for (size_t p = 0; p < SoakFleet::ServerCount; ++p)
      if (SoakFleet::domainOf(p) == domain)
        n += Fleet.server(p).openings();
    return n;
  }

  SoakFleet &Fleet;
  std::unique_ptr<platform::StandInCaller> Caller;
  std::vector<std::string> Violations;
};

} // namespace

std::vector<std::string> checkRecovery(SoakFleet &fleet) {
  return RecoveryChecker(fleet).run();
}

std::vector<std::string> checkLogs(const SoakFleet &fleet) {
  std::vector<std::string> violations;
  for (size_t i = 0; i < SoakFleet::DaemonCount; ++i) {
    std::ifstream file(fleet.logPath(i));
    std::string line;
    size_t invalidLines = 0;
    while (std::getline(file, line)) {
      auto record = nlohmann::json::parse(line, nullptr, false);
      // A killed process may have written an incomplete line.
      bool valid = record.is_object() && record.contains("part") &&
                   record.contains("event") && record.contains("at_ms");
      invalidLines += valid ? 0 : 1;
    }
    if (invalidLines > fleet.startCount(i))
      violations.push_back(absl::StrCat("daemon ", i, ": ", invalidLines,
                                        " log lines can't be read"));
  }
  return violations;
}

} // namespace balsamrack::soak

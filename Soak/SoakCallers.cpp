#include "Soak/SoakCallers.h"

#include "absl/strings/str_cat.h"

namespace balsamrack::soak {

namespace {

constexpr size_t Callers = 8;
/// Every fourth caller keeps its flow open for several requests.
constexpr size_t CallersPerSession = 4;
constexpr int SessionRequests = 8;
constexpr Duration SessionPause{200'000};
constexpr Duration PauseBetweenCalls{10'000};
constexpr uint64_t CallsPerPlansCall = 4;

} // namespace

SoakCallers::SoakCallers(SoakFleet &fleet, uint64_t seed) : Fleet(fleet) {
  for (size_t i = 0; i < Callers; ++i)
    Threads.emplace_back([this, i, seed] { run(i, seed + i); });
}

SoakCallers::~SoakCallers() { stop(); }

void SoakCallers::stop() {
  Stopping = true;
  for (std::thread &thread : Threads)
    if (thread.joinable())
      thread.join();
}

CallCounts SoakCallers::counts() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Counts;
}

std::vector<std::string> SoakCallers::violations() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Violations;
}

void SoakCallers::run(size_t caller, uint64_t seed) {
  SeededRandom random(seed);
  auto standIn = platform::StandInCaller::create(
      {absl::StrCat("127.1.5.", caller + 1), Fleet.callerPort()},
      Fleet.daemonsInRotation());
  if (!standIn.ok()) {
    std::lock_guard<std::mutex> hold(Lock);
    Violations.push_back("the soak itself: a caller can't start");
    return;
  }
  (*standIn)->setFabric([this] { return Fleet.daemonsInRotation(); });
  platform::CallPlan plan;
  plan.Retransmit = true;
  if (caller % CallersPerSession == 0) {
    plan.Requests = SessionRequests;
    plan.Pause = SessionPause;
  }
  while (!Stopping) {
    bool toPlans = random.below(CallsPerPlansCall) == 0;
    recordCall(caller, (*standIn)->call(toPlans ? Plans : Booking, plan));
    std::this_thread::sleep_for(PauseBetweenCalls);
  }
}

void SoakCallers::recordCall(size_t caller,
                             const platform::CallResult &result) {
  using End = platform::CallResult::Kind;
  std::lock_guard<std::mutex> hold(Lock);
  ++Counts.Calls;
  Counts.Answered += result.How == End::Answered ? 1 : 0;
  Counts.Reset += result.How == End::Reset ? 1 : 0;
  Counts.TimedOut += result.How == End::TimedOut ? 1 : 0;
  // Both routes exist all the time, so no load balancer may reset an open flow,
  // whatever faults occur at servers, daemons, the store and links.
  if (result.How == End::Reset && result.Opened && !result.ServerReset)
    Violations.push_back(absl::StrCat(
        "caller ", caller, ": an open flow was reset by a balancer"));
}

} // namespace balsamrack::soak

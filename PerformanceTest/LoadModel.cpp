#include "PerformanceTest/LoadModel.h"

#include <algorithm>
#include <cmath>

namespace balsamrack {

namespace {

constexpr Duration OneWayDelay{1'000}; // Network delay between failure domains.
constexpr Duration RestartTime{
    500'000};                       // Restart time after an overload crash.
constexpr uint32_t MaxAttempts = 3; // Servers that a new flow tries.
constexpr Duration LinkTimeoutSlack{
    2'000}; // Timeout of the link beyond the deadline.

ServerId serverId(size_t n) {
  return ServerId("server-" + std::to_string(n / 10) + std::to_string(n % 10));
}

} // namespace

LoadModel::LoadModel(const OwnerSettings &settings, const Service &config,
                     std::vector<ModelServer> servers, uint64_t seed)
    : Config(config), Servers(std::move(servers)),
      Owner(std::move(ServiceOwner::create(settings, config.Id, seed)).value()),
      Random(seed) {
  handleEvent(AuthorityChanged{true});
  configureServers({});
}

void LoadModel::configureServers(const std::set<DomainId> &outOfService,
                                 const std::set<size_t> &draining) {
  OutOfServiceDomains = outOfService;
  Draining = draining;
  ServersChanged event{TicketNumber{++TicketCount}, Config, {}};
  for (size_t n = 0; n < Servers.size(); ++n) {
    OwnedServer owned;
    owned.Server.Id = serverId(n);
    owned.Server.Service = Config.Id;
    owned.Server.Domain = Servers[n].Domain;
    owned.Server.Slots = Servers[n].Slots;
    owned.Server.Mode =
        draining.count(n) ? ServerMode::Draining : ServerMode::Active;
    owned.DomainInService = outOfService.count(Servers[n].Domain) == 0;
    // The owner already knows which servers are warm.
    owned.LastKnown.Warm = Servers[n].ColdRequestsLeft == 0;
    owned.LastKnown.Instance = InstanceId("1");
    event.Servers.push_back(owned);
  }
  handleEvent(event);
}

void LoadModel::addTraffic(const ModelTraffic &traffic) {
  double at = 0;
  auto length = static_cast<double>((traffic.To - traffic.From).count());
  while (true) {
    at +=
        -std::log(1.0 - Random.nextDouble()) * 1e6 / traffic.RequestsPerSecond;
    if (at >= length)
      return;
    uint64_t id = NextRequest++;
    Call call;
    call.Traffic = traffic;
    call.Head.Caller.Value =
        traffic.FirstCaller + Random.below(traffic.CallerCount);
    call.Head.Flow.Value =
        combineHash(call.Head.Caller.Value, traffic.OpensFlow ? id : 0);
    call.Head.Kind = traffic.Kind;
    double work = static_cast<double>(traffic.MeanWork.count());
    if (traffic.ExponentialWork)
      work *= -std::log(1.0 - Random.nextDouble());
    call.Result.Label = traffic.Label;
    call.Result.Caller = call.Head.Caller;
    call.Result.OpensFlow = traffic.OpensFlow;
    call.Result.Kind = traffic.Kind;
    call.Result.Work = Duration(static_cast<int64_t>(work) + 100);
    call.Head.Request.Value = id;
    Calls.emplace(id, call);
    TimePoint when =
        TimePoint(Start) + traffic.From + Duration(static_cast<int64_t>(at));
    schedule(when, [this, id] { handleArrival(id); });
  }
}

void LoadModel::scheduleAt(Duration when, std::function<void()> action) {
  schedule(TimePoint(Start) + when, std::move(action));
}

void LoadModel::schedule(TimePoint when, std::function<void()> action) {
  ScheduledActions.push({when, NextOrder++, std::move(action)});
}

void LoadModel::run() {
  // The owner requests no wakeups once nothing waits, so the loop terminates.
  while (!ScheduledActions.empty()) {
    ScheduledAction next = ScheduledActions.top();
    ScheduledActions.pop();
    Now = next.When;
    next.Action();
  }
}

void LoadModel::handleArrival(uint64_t id) {
  Call &call = Calls.at(id);
  call.Result.Arrived = Now;
  call.Deadline = Now + call.Traffic.Deadline;
  sendRequest(id);
}

size_t LoadModel::chooseServer(const Call &call) const {
  // Rank the servers that the entries know to be in service by hash.
  std::vector<std::pair<uint64_t, size_t>> rank;
  for (size_t n = 0; n < Servers.size(); ++n)
    if (OutOfServiceDomains.count(Servers[n].Domain) == 0 &&
        (!call.Traffic.OpensFlow || Draining.count(n) == 0))
      rank.emplace_back(combineHash(call.Head.Flow.Value, n), n);
  if (rank.empty())
    return 0;
  std::sort(rank.begin(), rank.end());
  return rank[call.Attempts % rank.size()].second;
}

void LoadModel::sendRequest(uint64_t id) {
  Call &call = Calls.at(id);
  call.Head.Remaining = call.Deadline - Now;
  RequestArrived event{call.Head, serverId(chooseServer(call)),
                       call.Traffic.OpensFlow, 0};
  handleEvent(event);
}

void LoadModel::handleEvent(const OwnerEvent &event) {
  for (const OwnerAction &action : Owner->step(Now, event)) {
    if (const auto *dispatch = std::get_if<StartDispatch>(&action))
      startDispatch(*dispatch);
    else if (const auto *end = std::get_if<EndRequest>(&action))
      finishRequest(end->Result);
  }
  scheduleWakeup();
}

void LoadModel::scheduleWakeup() {
  auto when = Owner->nextWakeup();
  if (!when || (ScheduledWakeup > Now && ScheduledWakeup <= *when))
    return;
  ScheduledWakeup = *when;
  schedule(*when, [this] {
    ScheduledWakeup = TimePoint();
    handleEvent(Ticked());
  });
}

size_t LoadModel::indexOf(const ServerId &server) const {
  size_t n = 0;
  while (serverId(n) != server)
    ++n;
  return n;
}

void LoadModel::startDispatch(const StartDispatch &dispatch) {
  uint64_t id = dispatch.Request.Value;
  size_t n = indexOf(dispatch.Server);
  OpenDispatches[id] = {n, Now};
  uint32_t dispatchCount = 0;
  for (const auto &[request, where] : OpenDispatches)
    dispatchCount += where.first == n ? 1 : 0;
  if (dispatchCount > Servers[n].Slots)
    MaxOverSlots = std::max(MaxOverSlots, dispatchCount - Servers[n].Slots);
  TimePoint sent = Now;
  schedule(Now + OneWayDelay,
           [this, id, n, sent] { deliverRequest(id, n, sent); });
  // Timeout of the link.
  schedule(Now + dispatch.Timeout + LinkTimeoutSlack, [this, id, n, sent] {
    finishDispatch(id, DispatchOutcome::Failed, n, sent);
  });
}

void LoadModel::deliverRequest(uint64_t id, size_t n, TimePoint sent) {
  ModelServer &server = Servers[n];
  Call &call = Calls.at(id);
  if (Now < server.DownUntil) {
    finishDispatch(id, DispatchOutcome::Unreachable, n, sent);
    return;
  }
  server.LastRequestTime = Now;
  ++call.Result.Dispatches;
  ++server.InProgress;
  if (server.AlwaysFails) {
    --server.InProgress;
    finishDispatch(id, DispatchOutcome::Failed, n, sent);
    return;
  }
  double factor = server.SlowdownFactor;
  if (server.ColdRequestsLeft > 0) {
    factor *= server.ColdSlowdownFactor;
    server.PeakInProgressCold =
        std::max(server.PeakInProgressCold, server.InProgress);
    if (server.InProgress > server.ColdCapacity) {
      crashFromOverload(n);
      return;
    }
  }
  auto work = static_cast<double>(call.Result.Work.count()) * factor;
  uint32_t run = server.Incarnation;
  schedule(Now + Duration(static_cast<int64_t>(work)),
           [this, id, n, sent, run] { finishWork(id, n, sent, run); });
}

void LoadModel::finishWork(uint64_t id, size_t n, TimePoint sent,
                           uint32_t run) {
  ModelServer &server = Servers[n];
  if (server.Incarnation != run)
    return; // The server has restarted since.
  --server.InProgress;
  if (server.ColdRequestsLeft > 0)
    --server.ColdRequestsLeft;
  ++Calls.at(id).Result.Runs;
  schedule(Now + OneWayDelay, [this, id, n, sent] {
    finishDispatch(id, DispatchOutcome::Answered, n, sent);
  });
}

void LoadModel::crashFromOverload(size_t n) {
  ++Servers[n].OverloadCrashes;
  restartServer(n, RestartTime);
}

void LoadModel::restartServer(size_t n, Duration pause) {
  ModelServer &server = Servers[n];
  ++server.Incarnation;
  server.InProgress = 0;
  server.ColdRequestsLeft = server.ColdRequests;
  server.DownUntil = Now + pause;
  std::vector<std::pair<uint64_t, TimePoint>> lostDispatches;
  for (const auto &[id, where] : OpenDispatches)
    if (where.first == n && where.second + OneWayDelay <= Now)
      lostDispatches.emplace_back(id, where.second);
  for (const auto &[id, sent] : lostDispatches)
    finishDispatch(id, DispatchOutcome::Failed, n, sent);
}

void LoadModel::finishDispatch(uint64_t id, DispatchOutcome how, size_t n,
                               TimePoint sent) {
  // The link ends each dispatch once; late answers are ignored.
  auto open = OpenDispatches.find(id);
  if (open == OpenDispatches.end() || open->second != std::make_pair(n, sent))
    return;
  OpenDispatches.erase(open);
  DispatchEnded event;
  event.Request.Value = id;
  event.How = how;
  if (how == DispatchOutcome::Answered) {
    event.Instance = InstanceId(std::to_string(Servers[n].Incarnation));
    event.HttpStatus = 200;
  }
  event.Took = Now - sent;
  handleEvent(event);
}

void LoadModel::finishRequest(const Outcome &outcome) {
  uint64_t id = outcome.Request.Value;
  Call &call = Calls.at(id);
  bool triesNextServer =
      call.Traffic.OpensFlow && outcome.Kind == OutcomeKind::NotRun &&
      ++call.Attempts < MaxAttempts && Now + OneWayDelay < call.Deadline;
  if (triesNextServer) {
    schedule(Now + OneWayDelay, [this, id] { sendRequest(id); });
    return;
  }
  if (call.Traffic.RetriesAfterRefusal && outcome.Kind == OutcomeKind::NotRun &&
      outcome.RetryAfter > Duration(0) &&
      Now + outcome.RetryAfter < TimePoint(Start) + call.Traffic.To) {
    call.Attempts = 0;
    call.Deadline = Now + outcome.RetryAfter + call.Traffic.Deadline;
    call.Result.RetryAfter = outcome.RetryAfter;
    schedule(Now + outcome.RetryAfter, [this, id] { sendRequest(id); });
    return;
  }
  ++call.Result.OutcomeCount;
  call.Result.Ended = Now;
  call.Result.How = outcome.Kind;
  call.Result.Why = outcome.Cause;
  call.Result.RetryAfter = outcome.RetryAfter;
}

std::vector<ModelResult> LoadModel::results() const {
  std::vector<ModelResult> out;
  out.reserve(Calls.size());
  for (const auto &[id, call] : Calls)
    out.push_back(call.Result);
  return out;
}

double goodput(const std::vector<ModelResult> &results, uint32_t slots,
               Duration time) {
  double done = 0;
  TimePoint end = TimePoint(LoadModel::Start) + time;
  for (const ModelResult &r : results)
    if (r.How == OutcomeKind::Answered && r.Ended <= end)
      done += static_cast<double>((r.Work + OneWayDelay * 2).count());
  return done / (static_cast<double>(time.count()) * slots);
}

Duration latency(const std::vector<ModelResult> &results, int label,
                 double quantile, Duration refusedLatency) {
  std::vector<Duration> took;
  for (const ModelResult &r : results)
    if (r.Label == label)
      took.push_back(r.How == OutcomeKind::Answered ? r.Ended - r.Arrived
                                                    : refusedLatency);
  if (took.empty())
    return Duration(0);
  std::sort(took.begin(), took.end());
  return took[static_cast<size_t>(quantile *
                                  static_cast<double>(took.size() - 1))];
}

double answeredFraction(const std::vector<ModelResult> &results, int label) {
  double all = 0;
  double good = 0;
  for (const ModelResult &r : results) {
    if (r.Label != label)
      continue;
    ++all;
    good += r.How == OutcomeKind::Answered ? 1 : 0;
  }
  return all > 0 ? good / all : 0;
}

uint32_t countFalseOutcomes(const std::vector<ModelResult> &results) {
  uint32_t falseCount = 0;
  for (const ModelResult &r : results) {
    bool notRun = r.How == OutcomeKind::NotRun || r.How == OutcomeKind::GivenUp;
    bool falselyRefused = notRun && r.Dispatches > 0;
    bool ranTwice = r.Kind == Semantics::RunOnce && r.Dispatches > 1;
    bool answeredWithoutRun = r.How == OutcomeKind::Answered && r.Runs == 0;
    falseCount +=
        r.OutcomeCount != 1 || falselyRefused || ranTwice || answeredWithoutRun
            ? 1
            : 0;
  }
  return falseCount;
}

double jainFairness(const std::vector<ModelResult> &results) {
  std::map<CallerId, std::pair<double, double>> callers; // Demand, received.
  double remainingWork = 0;
  for (const ModelResult &r : results) {
    auto work = static_cast<double>(r.Work.count());
    callers[r.Caller].first += work;
    if (r.How != OutcomeKind::Answered)
      continue;
    callers[r.Caller].second += work;
    remainingWork += work;
  }
  // Compute the max-min fair shares in the order of increasing demand.
  std::vector<std::pair<double, double>> byDemand;
  byDemand.reserve(callers.size());
  for (const auto &[caller, amounts] : callers)
    byDemand.push_back(amounts);
  std::sort(byDemand.begin(), byDemand.end());
  double sum = 0;
  double squares = 0;
  size_t callersLeft = byDemand.size();
  for (const auto &[demand, received] : byDemand) {
    double fair =
        std::min(demand, remainingWork / static_cast<double>(callersLeft--));
    remainingWork -= fair;
    double x = fair > 0 ? received / fair : 1;
    sum += x;
    squares += x * x;
  }
  double n = static_cast<double>(byDemand.size());
  return squares > 0 ? sum * sum / (n * squares) : 0;
}

} // namespace balsamrack

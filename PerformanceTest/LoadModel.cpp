#include "PerformanceTest/LoadModel.h"

#include <algorithm>
#include <cmath>

namespace balsamrack {

namespace {

constexpr Duration OneWay{1'000};        // Between failure domains.
constexpr Duration RestartTime{500'000}; // Of a server that fell over.
constexpr uint32_t MostTries = 3;    // Servers that a new flow is offered to.
constexpr Duration LinkSlack{2'000}; // The link's timeout beyond the deadline.

ServerId nameOf(size_t n) {
  return ServerId("server-" + std::to_string(n / 10) + std::to_string(n % 10));
}

} // namespace

LoadModel::LoadModel(const OwnerSettings &settings, const Service &config,
                     std::vector<ModelServer> servers, uint64_t seed)
    : Config(config), Servers(std::move(servers)),
      Owner(std::move(ServiceOwner::create(settings, config.Id, seed)).value()),
      Random(seed) {
  give(AuthorityChanged{true});
  configure({});
}

void LoadModel::configure(const std::set<DomainId> &out,
                          const std::set<size_t> &draining) {
  Out = out;
  Draining = draining;
  ServersChanged event{TicketNumber{++TicketCount}, Config, {}};
  for (size_t n = 0; n < Servers.size(); ++n) {
    OwnedServer owned;
    owned.Server.Id = nameOf(n);
    owned.Server.Service = Config.Id;
    owned.Server.Domain = Servers[n].Domain;
    owned.Server.Slots = Servers[n].Slots;
    owned.Server.Mode =
        draining.count(n) ? ServerMode::Draining : ServerMode::Active;
    owned.DomainInService = out.count(Servers[n].Domain) == 0;
    // Warm ones were known as warm by the owner before.
    owned.LastKnown.Warm = Servers[n].ColdLeft == 0;
    owned.LastKnown.Instance = InstanceId("1");
    event.Servers.push_back(owned);
  }
  give(event);
}

void LoadModel::offer(const ModelTraffic &traffic) {
  double at = 0;
  auto length = static_cast<double>((traffic.To - traffic.From).count());
  while (true) {
    at += -std::log(1.0 - Random.nextDouble()) * 1e6 / traffic.PerSecond;
    if (at >= length)
      return;
    uint64_t id = NextRequest++;
    Call call;
    call.Traffic = traffic;
    call.Head.Caller.Value = traffic.Caller + Random.below(traffic.Callers);
    call.Head.Flow.Value =
        combineHash(call.Head.Caller.Value, traffic.Opens ? id : 0);
    call.Head.Kind = traffic.Kind;
    double work = static_cast<double>(traffic.Work.count());
    if (traffic.Varies)
      work *= -std::log(1.0 - Random.nextDouble());
    call.Result.Label = traffic.Label;
    call.Result.Caller = call.Head.Caller;
    call.Result.Opens = traffic.Opens;
    call.Result.Kind = traffic.Kind;
    call.Result.Work = Duration(static_cast<int64_t>(work) + 100);
    call.Head.Request.Value = id;
    Calls.emplace(id, call);
    TimePoint when =
        TimePoint(Start) + traffic.From + Duration(static_cast<int64_t>(at));
    later(when, [this, id] { arrive(id); });
  }
}

void LoadModel::at(Duration when, std::function<void()> what) {
  later(TimePoint(Start) + when, std::move(what));
}

void LoadModel::later(TimePoint when, std::function<void()> what) {
  Agenda.push({when, NextOrder++, std::move(what)});
}

void LoadModel::run() {
  // The owner's own wakeups stop once nothing waits, so the agenda runs dry.
  while (!Agenda.empty()) {
    Later next = Agenda.top();
    Agenda.pop();
    Now = next.When;
    next.What();
  }
}

void LoadModel::arrive(uint64_t id) {
  Call &call = Calls.at(id);
  call.Result.Arrived = Now;
  call.Deadline = Now + call.Traffic.Deadline;
  sendTo(id);
}

size_t LoadModel::placed(const Call &call) const {
  // Rank by hash over the servers that entries know to be in service.
  std::vector<std::pair<uint64_t, size_t>> rank;
  for (size_t n = 0; n < Servers.size(); ++n)
    if (Out.count(Servers[n].Domain) == 0 &&
        (!call.Traffic.Opens || Draining.count(n) == 0))
      rank.emplace_back(combineHash(call.Head.Flow.Value, n), n);
  if (rank.empty())
    return 0;
  std::sort(rank.begin(), rank.end());
  return rank[call.Tries % rank.size()].second;
}

void LoadModel::sendTo(uint64_t id) {
  Call &call = Calls.at(id);
  call.Head.Remaining = call.Deadline - Now;
  RequestArrived event{call.Head, nameOf(placed(call)), call.Traffic.Opens, 0};
  give(event);
}

void LoadModel::give(const OwnerEvent &event) {
  for (const OwnerAction &action : Owner->step(Now, event)) {
    if (const auto *dispatch = std::get_if<StartDispatch>(&action))
      start(*dispatch);
    else if (const auto *end = std::get_if<EndRequest>(&action))
      ended(end->Result);
  }
  wake();
}

void LoadModel::wake() {
  auto when = Owner->nextWakeup();
  if (!when || (Asleep > Now && Asleep <= *when))
    return;
  Asleep = *when;
  later(*when, [this] {
    Asleep = TimePoint();
    give(Ticked());
  });
}

size_t LoadModel::indexOf(const ServerId &server) const {
  size_t n = 0;
  while (nameOf(n) != server)
    ++n;
  return n;
}

void LoadModel::start(const StartDispatch &dispatch) {
  uint64_t id = dispatch.Request.Value;
  size_t n = indexOf(dispatch.Server);
  Open[id] = {n, Now};
  uint32_t atOnce = 0;
  for (const auto &[request, where] : Open)
    atOnce += where.first == n ? 1 : 0;
  if (atOnce > Servers[n].Slots)
    OverSlots = std::max(OverSlots, atOnce - Servers[n].Slots);
  TimePoint sent = Now;
  later(Now + OneWay, [this, id, n, sent] { serve(id, n, sent); });
  // The link's own timeout.
  later(Now + dispatch.Timeout + LinkSlack,
        [this, id, n, sent] { answer(id, DispatchOutcome::Failed, n, sent); });
}

void LoadModel::serve(uint64_t id, size_t n, TimePoint sent) {
  ModelServer &server = Servers[n];
  Call &call = Calls.at(id);
  if (Now < server.DownUntil) {
    answer(id, DispatchOutcome::Unreachable, n, sent);
    return;
  }
  server.LastPacket = Now;
  ++call.Result.Dispatches;
  ++server.Running;
  if (server.Broken) {
    --server.Running;
    answer(id, DispatchOutcome::Failed, n, sent);
    return;
  }
  double factor = server.Slowness;
  if (server.ColdLeft > 0) {
    factor *= server.ColdFactor;
    server.PeakCold = std::max(server.PeakCold, server.Running);
    if (server.Running > server.ColdBears) {
      fallOver(n);
      return;
    }
  }
  auto work = static_cast<double>(call.Result.Work.count()) * factor;
  uint32_t run = server.Run;
  later(Now + Duration(static_cast<int64_t>(work)),
        [this, id, n, sent, run] { finish(id, n, sent, run); });
}

void LoadModel::finish(uint64_t id, size_t n, TimePoint sent, uint32_t run) {
  ModelServer &server = Servers[n];
  if (server.Run != run)
    return; // That process is gone.
  --server.Running;
  if (server.ColdLeft > 0)
    --server.ColdLeft;
  ++Calls.at(id).Result.Runs;
  later(Now + OneWay, [this, id, n, sent] {
    answer(id, DispatchOutcome::Answered, n, sent);
  });
}

void LoadModel::fallOver(size_t n) {
  ++Servers[n].FellOver;
  restart(n, RestartTime);
}

void LoadModel::restart(size_t n, Duration pause) {
  ModelServer &server = Servers[n];
  ++server.Run;
  server.Running = 0;
  server.ColdLeft = server.ColdAnswers;
  server.DownUntil = Now + pause;
  std::vector<std::pair<uint64_t, TimePoint>> lost;
  for (const auto &[id, where] : Open)
    if (where.first == n && where.second + OneWay <= Now)
      lost.emplace_back(id, where.second);
  for (const auto &[id, sent] : lost)
    answer(id, DispatchOutcome::Failed, n, sent);
}

void LoadModel::answer(uint64_t id, DispatchOutcome how, size_t n,
                       TimePoint sent) {
  // The link ends each dispatch once; a late answer goes to nobody.
  auto open = Open.find(id);
  if (open == Open.end() || open->second != std::make_pair(n, sent))
    return;
  Open.erase(open);
  DispatchEnded event;
  event.Request.Value = id;
  event.How = how;
  if (how == DispatchOutcome::Answered) {
    event.Instance = InstanceId(std::to_string(Servers[n].Run));
    event.HttpStatus = 200;
  }
  event.Took = Now - sent;
  give(event);
}

void LoadModel::ended(const Outcome &outcome) {
  uint64_t id = outcome.Request.Value;
  Call &call = Calls.at(id);
  bool another = call.Traffic.Opens && outcome.Kind == OutcomeKind::NotRun &&
                 ++call.Tries < MostTries && Now + OneWay < call.Deadline;
  if (another) {
    later(Now + OneWay, [this, id] { sendTo(id); });
    return;
  }
  if (call.Traffic.Returns && outcome.Kind == OutcomeKind::NotRun &&
      outcome.RetryAfter > Duration(0) &&
      Now + outcome.RetryAfter < TimePoint(Start) + call.Traffic.To) {
    call.Tries = 0;
    call.Deadline = Now + outcome.RetryAfter + call.Traffic.Deadline;
    call.Result.RetryAfter = outcome.RetryAfter;
    later(Now + outcome.RetryAfter, [this, id] { sendTo(id); });
    return;
  }
  ++call.Result.Endings;
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
      done += static_cast<double>((r.Work + OneWay * 2).count());
  return done / (static_cast<double>(time.count()) * slots);
}

Duration latency(const std::vector<ModelResult> &results, int label,
                 double share, Duration refused) {
  std::vector<Duration> took;
  for (const ModelResult &r : results)
    if (r.Label == label)
      took.push_back(r.How == OutcomeKind::Answered ? r.Ended - r.Arrived
                                                    : refused);
  if (took.empty())
    return Duration(0);
  std::sort(took.begin(), took.end());
  return took[static_cast<size_t>(share *
                                  static_cast<double>(took.size() - 1))];
}

double answeredShare(const std::vector<ModelResult> &results, int label) {
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

uint32_t falseEndings(const std::vector<ModelResult> &results) {
  uint32_t bad = 0;
  for (const ModelResult &r : results) {
    bool notRun = r.How == OutcomeKind::NotRun || r.How == OutcomeKind::GivenUp;
    bool lied = notRun && r.Dispatches > 0;
    bool twice = r.Kind == Semantics::RunOnce && r.Dispatches > 1;
    bool unanswered = r.How == OutcomeKind::Answered && r.Runs == 0;
    bad += r.Endings != 1 || lied || twice || unanswered ? 1 : 0;
  }
  return bad;
}

double fairness(const std::vector<ModelResult> &results) {
  std::map<CallerId, std::pair<double, double>> callers; // Asked, got.
  double total = 0;
  for (const ModelResult &r : results) {
    auto work = static_cast<double>(r.Work.count());
    callers[r.Caller].first += work;
    if (r.How != OutcomeKind::Answered)
      continue;
    callers[r.Caller].second += work;
    total += work;
  }
  // Max-min fair shares by filling up from the smallest demand.
  std::vector<std::pair<double, double>> byDemand;
  byDemand.reserve(callers.size());
  for (const auto &[caller, amounts] : callers)
    byDemand.push_back(amounts);
  std::sort(byDemand.begin(), byDemand.end());
  double sum = 0;
  double squares = 0;
  size_t left = byDemand.size();
  for (const auto &[asked, got] : byDemand) {
    double fair = std::min(asked, total / static_cast<double>(left--));
    total -= fair;
    double x = fair > 0 ? got / fair : 1;
    sum += x;
    squares += x * x;
  }
  double n = static_cast<double>(byDemand.size());
  return squares > 0 ? sum * sum / (n * squares) : 0;
}

} // namespace balsamrack

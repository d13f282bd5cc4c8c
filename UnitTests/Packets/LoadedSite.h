#ifndef BALSAMRACK_UNITTESTS_PACKETS_LOADEDSITE_H
#define BALSAMRACK_UNITTESTS_PACKETS_LOADEDSITE_H

#include <algorithm>
#include <cmath>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "UnitTests/Packets/LoadedSiteOptions.h"
#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {

/// Simulation of a site under load in virtual time: routers of several daemons,
/// servers with slots and a bounded queue, and callers that open one flow per
/// request, send copies of an opening after 200 and 600 ms, repeat a failed
/// attempt twice, and leave at their timeout.
class LoadedSite {
public:
  using Span = SimulatedSpan;
  using Options = LoadedSiteOptions;
  using Counts = CallCounts;
  using Result = LoadedSiteResult;

  explicit LoadedSite(const Options &options)
      : Config(options), Random(options.Seed), Servers(options.Servers) {
    Totals.ByDomain.resize(Config.Domains);
    for (size_t i = 0; i < Config.Daemons; ++i)
      startDaemon(i);
  }

  Result run(Duration length, Duration countFrom, Duration countTo) {
    CountFrom = Start + countFrom;
    CountTo = Start + countTo;
    Until = Start + length;
    schedule(Start, [this] { nextCaller(); });
    schedule(Start, [this] { tickAll(); });
    if (Config.Outage.To > Duration(0))
      schedule(Start + Config.Outage.To, [this] {
        for (size_t i = 0; i < Config.Daemons; ++i)
          startDaemon(i);
      });
    while (!Events.empty() && Events.top().At < Until + Duration(3'000'000)) {
      Event next = Events.top();
      Events.pop();
      Now = next.At;
      next.Do();
    }
    summarize();
    return Totals;
  }

  /// The router of daemon \p i, for exchanges between daemons.
  PacketRouter &router(size_t i) { return Harnesses[i]->Router; }
  /// Calls \p what at \p period intervals while callers arrive.
  void every(Duration period, std::function<void(TimePoint)> what) {
    auto shared =
        std::make_shared<std::function<void(TimePoint)>>(std::move(what));
    repeat(period, shared);
  }

  static constexpr TimePoint Start{Duration(10'000'000)};
  static constexpr Duration Objective{150'000};
  static constexpr Duration Timeout{1'500'000};
  static constexpr uint32_t Slots = 2;
  static constexpr size_t Queue = 8;
  static constexpr uint16_t UsualPort = 443;
  static constexpr uint16_t UrgentPort = 444;

private:
  static constexpr Duration Millisecond{1'000};
  static constexpr int MaxAttempts = 3;
  static constexpr uint64_t Callers = 1000;
  static constexpr uint32_t AnswerBytes = 1000;
  static constexpr uint32_t HotCallerIp = 0x64400001;

  struct Event {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Do;
    friend bool operator>(const Event &a, const Event &b) {
      return a.At != b.At ? a.At > b.At : a.Order > b.Order;
    }
  };
  /// One attempt of a caller.
  struct Call {
    TimePoint Began; ///< When the first attempt began.
    int Attempt = 1;
    bool Confirmed = false;
    bool Done = false;
    bool Urgent = false;
    bool Hot = false;
    size_t Domain = 0;
    size_t Daemon = 0;
    uint32_t Ip = 0;
    FlowKey Key;
  };
  struct Job {
    uint64_t Call;
    TimePoint Since;
  };
  struct Server {
    uint32_t Busy = 0;
    std::deque<Job> Waiting;
    Duration Worked{0}; ///< Within the measured interval.
  };
  /// Delivers forwarded packets to the simulated servers, and resets to
  /// callers.
  class ServerSink final : public PacketSink {
  public:
    ServerSink(LoadedSite &site) : Site(site) {}
    void forward(const PacketTarget &to, const uint8_t *packet,
                 size_t) override {
      uint64_t call = 0;
      std::memcpy(&call, packet, sizeof call);
      Site.handleArrival(to.Tag - 1, to.Token, call, packet[8] != 0);
    }
    void relay(DaemonTag, bool, const uint8_t *, size_t) override {}
    void reset(const PacketHeader &head) override { Site.handleReset(head); }
    void report(const PacketEvent &) override {}

  private:
    LoadedSite &Site;
  };

  void schedule(TimePoint when, std::function<void()> what) {
    Events.push({when, ++Orders, std::move(what)});
  }
  void repeat(Duration period,
              const std::shared_ptr<std::function<void(TimePoint)>> &what) {
    schedule(std::max(Now, Start) + period, [this, period, what] {
      (*what)(Now);
      if (Now < Until)
        repeat(period, what);
    });
  }
  bool isWithin(const Span &span) const {
    return Now >= Start + span.From && Now < Start + span.To;
  }
  bool isCounted(const Call &call) const {
    return call.Began >= CountFrom && call.Began < CountTo;
  }
  static std::string domainName(size_t i) {
    return std::string("bern-") + static_cast<char>('a' + i);
  }
  size_t domainOfServer(size_t i) const {
    return i * Config.Domains / Config.Servers;
  }
  size_t domainOfDaemon(size_t i) const {
    return i * Config.Domains / Config.Daemons;
  }
  size_t firstDaemon(size_t domain) const {
    size_t i = 0;
    while (i < Config.Daemons && domainOfDaemon(i) < domain)
      ++i;
    return i;
  }
  bool isLost(size_t server) const {
    size_t domain = domainOfServer(server);
    size_t first =
        (domain * Config.Servers + Config.Domains - 1) / Config.Domains;
    return isWithin(Config.Loss) && server - first < Config.LostServers;
  }
  void startDaemon(size_t i) {
    if (Harnesses.size() <= i)
      Harnesses.resize(i + 1);
    PacketRouterSettings settings = PacketRouterHarness::settings();
    size_t domain = domainOfDaemon(i);
    settings.Domain = DomainId(domainName(domain));
    settings.Load = Config.Load;
    settings.Admission = Config.Admission;
    Harnesses[i] =
        std::make_unique<PacketRouterHarness>(Config.Seed * 100 + i, settings);
    PacketRouterHarness &bench = *Harnesses[i];
    bench.Now = Now;
    if (Config.UrgentPart > 0) {
      bench.Timeout = Timeout;
      bench.Priorities = {{UsualPort, 2}, {UrgentPort, 1}};
    }
    bench.configure(1, {{UsualPort, "booking"}, {UrgentPort, "booking"}}, 0,
                    Config.DelayLateOpenings ? Objective : Duration(0));
    std::vector<PacketRouterHarness::ServerSpec> lines;
    for (size_t s = 0; s < Config.Servers; ++s)
      lines.push_back(
          {"b" + std::to_string(s + 1), domainName(domainOfServer(s))});
    bench.publishServers(lines);
    if (!Config.UseShares)
      return;
    size_t first = firstDaemon(domain);
    FleetPosition position{Config.Daemons, i, firstDaemon(domain + 1) - first,
                           i - first};
    for (size_t d = 0; d < Config.Domains; ++d)
      position.Domains.push_back(
          {DomainId(domainName(d)), firstDaemon(d + 1) - firstDaemon(d)});
    bench.Router.setFleet(position);
  }
  void tickAll() {
    ServerSink wire(*this);
    for (size_t i = 0; i < Harnesses.size(); ++i)
      if (!isWithin(Config.Outage)) {
        Harnesses[i]->Router.tick(Now, wire);
        startAttempts(i);
      }
    if (Now < Until)
      schedule(Now + Millisecond * 5, [this] { tickAll(); });
  }
  /// Starts the connection attempts that a daemon makes to probe servers.
  void startAttempts(size_t daemon) {
    for (const ConnectionAttempt &it :
         Harnesses[daemon]->Router.dueAttempts(Now)) {
      bool lost = isLost(Harnesses[daemon]->tagAt(it.Server) - 1);
      schedule(
          Now + (lost ? it.Timeout : Millisecond), [this, daemon, it, lost] {
            ServerSink wire(*this);
            Harnesses[daemon]->Router.handleAttemptResult(
                Now, it.Server,
                lost ? ConnectionResult::Failed : ConnectionResult::Connected,
                wire);
          });
    }
  }
  void nextCaller() {
    startCall(newCall());
    double rate =
        Config.PerSecond * (isWithin(Config.Burst) ? Config.BurstFactor : 1);
    if (Config.RatesAt) {
      std::vector<double> rates = Config.RatesAt(Now - Start);
      rate *= std::accumulate(rates.begin(), rates.end(), 0.0) /
              static_cast<double>(rates.size());
    }
    double gap = -std::log(1 - Random.nextDouble()) / rate;
    TimePoint next = Now + Duration(static_cast<int64_t>(gap * 1e6));
    if (next < Until)
      schedule(next, [this] { nextCaller(); });
  }
  Call newCall() {
    Call call;
    call.Began = Now;
    std::vector<double> rates =
        Config.RatesAt ? Config.RatesAt(Now - Start) : Config.DomainRates;
    if (!rates.empty()) {
      double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
      double at = Random.nextDouble() * sum;
      while (call.Domain + 1 < Config.Domains && at >= rates[call.Domain])
        at -= rates[call.Domain++];
    } else if (Config.Domains > 1) {
      call.Domain = Random.below(Config.Domains);
    }
    if (Config.UrgentPart > 0)
      call.Urgent = Random.nextDouble() < Config.UrgentPart;
    if (Config.HotCallerPart > 0)
      call.Hot = Random.nextDouble() < Config.HotCallerPart;
    if (isCounted(call))
      count(call, [](Counts &it) { ++it.Asked; });
    return call;
  }
  template <class Add> void count(const Call &call, const Add &add) {
    add(Totals);
    add(Totals.ByDomain[call.Domain]);
    if (call.Urgent)
      add(Totals.Urgent);
    if (call.Hot)
      add(Totals.HotCaller);
  }
  void startCall(Call call) {
    uint64_t id = ++LastCall;
    size_t first = firstDaemon(call.Domain);
    call.Daemon = first + Random.below(firstDaemon(call.Domain + 1) - first);
    // Further attempts have another port and the same address.
    if (call.Attempt == 1)
      call.Ip =
          call.Hot ? HotCallerIp : 1 + static_cast<uint32_t>(id % Callers);
    call.Key = {{call.Ip, static_cast<uint16_t>(id)},
                {0xc6120001, call.Urgent ? UrgentPort : UsualPort}};
    Calls[id] = call;
    ByKey[call.Key] = id;
    for (uint8_t copy : {0, 1, 2}) {
      Duration age =
          copy == 0 ? Duration(0) : Millisecond * (copy == 1 ? 200 : 600);
      schedule(Now + age, [this, id, copy] { sendOpening(id, copy); });
    }
    schedule(Now + Millisecond * 1400, [this, id] {
      if (!Calls[id].Confirmed)
        endAttempt(id, Duration(0));
    });
  }
  /// Ends an attempt without an answer; the next one starts after \p wait.
  void endAttempt(uint64_t id, Duration wait) {
    Call &call = Calls[id];
    if (call.Done)
      return;
    call.Done = true;
    Call next = call;
    next.Done = next.Confirmed = false;
    if (++next.Attempt > MaxAttempts || Now + wait - call.Began >= Timeout)
      return;
    schedule(Now + wait, [this, next] { startCall(next); });
  }
  void handleReset(const PacketHeader &head) {
    auto it = ByKey.find(head.Flow);
    if (it == ByKey.end())
      return;
    ++Totals.Refused;
    uint64_t id = it->second;
    schedule(Now + Millisecond * 4,
             [this, id] { endAttempt(id, Millisecond * 20); });
  }
  void sendOpening(uint64_t id, uint8_t copy) {
    Call &call = Calls[id];
    if (call.Confirmed || call.Done || isWithin(Config.Outage))
      return;
    PacketHeader head;
    head.Flow = call.Key;
    head.Opens = true;
    head.Sequence = static_cast<uint32_t>(id);
    head.CopyNumber = copy;
    head.Age = PacketRouterHarness::copyAge(copy);
    send(call.Daemon, head, id, false);
  }
  void send(size_t daemon, const PacketHeader &head, uint64_t id,
            bool request) {
    uint8_t packet[31] = {};
    std::memcpy(packet, &id, sizeof id);
    packet[8] = request ? 1 : 0;
    ServerSink wire(*this);
    Harnesses[daemon]->Router.handlePacket(Now, head, packet, sizeof packet,
                                           wire);
    Harnesses[daemon]->Router.tick(Now, wire);
  }
  void handleArrival(size_t server, uint32_t token, uint64_t id, bool request) {
    if (isLost(server))
      return;
    if (!request) {
      ++Totals.Openings;
      schedule(Now + Millisecond * 4,
               [this, token, id] { confirmFlow(id, token); });
      return;
    }
    if (Calls[id].Done)
      return;
    if (Servers[server].Waiting.size() >= Queue) {
      if (Config.ShedWhenFull) {
        ++Totals.Sheds;
        finishFlow(id);
      }
      return;
    }
    Servers[server].Waiting.push_back({id, Now});
    startJobs(server);
  }
  void confirmFlow(uint64_t id, uint32_t token) {
    Call &call = Calls[id];
    if (call.Confirmed || call.Done || isWithin(Config.Outage))
      return;
    call.Confirmed = true;
    schedule(Now + Millisecond * 4, [this, id, token] {
      PacketHeader head;
      head.Flow = Calls[id].Key;
      head.Acknowledges = true;
      head.Token = token;
      head.Sequence = static_cast<uint32_t>(id) + 1;
      head.DataBytes = 100;
      if (!isWithin(Config.Outage))
        send(Calls[id].Daemon, head, id, true);
    });
  }
  double speedOf(size_t server) const {
    double speed = Config.Speeds[server % Config.Speeds.size()];
    bool slow = isWithin(Config.Slowness) && server % Config.SlowStride == 0;
    return slow ? speed / Config.SlowFactor : speed;
  }
  /// Service time on a server of speed 1, with a mean of 32 ms.
  double drawServiceMicros() {
    if (!Config.MixedTimes)
      return 16'000 + Random.nextDouble() * 32'000;
    // The sum of twelve uniform numbers is nearly normal. The mean of the
    // log-normal distribution is exp(.5 * .5 / 2) times its median; long
    // requests add 18%.
    double normal = -6;
    for (int i = 0; i < 12; ++i)
      normal += Random.nextDouble();
    double median = 32'000 / (std::exp(0.125) * 1.18);
    double factor = Random.nextDouble() < 0.03 ? 7 : 1;
    return median * std::exp(0.5 * normal) * factor;
  }
  void startJobs(size_t index) {
    Server &server = Servers[index];
    while (server.Busy < Slots && !server.Waiting.empty()) {
      Job job = server.Waiting.front();
      server.Waiting.pop_front();
      ++server.Busy;
      ++Waits;
      WaitSum += static_cast<double>((Now - job.Since).count());
      double micros = drawServiceMicros();
      Duration took(static_cast<int64_t>(micros / speedOf(index)));
      if (Now >= CountFrom && Now < CountTo)
        server.Worked += took;
      schedule(Now + took, [this, index, job] {
        --Servers[index].Busy;
        finishCall(job.Call);
        startJobs(index);
      });
    }
  }
  void finishCall(uint64_t id) {
    Call &call = Calls[id];
    if (call.Done)
      return;
    Duration took = Now + Millisecond * 4 - call.Began;
    if (isCounted(call) && took <= Timeout) {
      AnswerTimes.push_back(took);
      bool inTime = took <= Objective;
      count(call, [inTime](Counts &it) { ++(inTime ? it.InTime : it.Late); });
    }
    finishFlow(id);
  }
  /// The caller closes its flow.
  void finishFlow(uint64_t id) {
    Calls[id].Done = true;
    schedule(Now + Millisecond * 8, [this, id] {
      PacketHeader head;
      head.Flow = Calls[id].Key;
      head.Acknowledges = true;
      head.Acknowledged = AnswerBytes;
      head.Ends = true;
      if (!isWithin(Config.Outage))
        send(Calls[id].Daemon, head, id, true);
      ByKey.erase(Calls[id].Key);
      Calls.erase(id);
    });
  }
  void summarize() {
    Totals.MeanWaitMillis =
        Waits == 0 ? 0 : WaitSum / static_cast<double>(Waits) / 1000;
    Duration sum{0}, most{0};
    for (const Server &it : Servers) {
      sum += it.Worked;
      most = std::max(most, it.Worked);
    }
    if (sum > Duration(0))
      Totals.BusiestToMean = static_cast<double>(most.count()) *
                             static_cast<double>(Servers.size()) /
                             static_cast<double>(sum.count());
    if (AnswerTimes.empty())
      return;
    std::sort(AnswerTimes.begin(), AnswerTimes.end());
    Totals.Slowest99 = AnswerTimes[AnswerTimes.size() * 99 / 100];
  }

  const Options Config;
  SeededRandom Random;
  TimePoint Now = Start;
  TimePoint Until;
  TimePoint CountFrom;
  TimePoint CountTo;
  std::vector<Server> Servers;
  std::vector<std::unique_ptr<PacketRouterHarness>> Harnesses;
  std::map<uint64_t, Call> Calls;
  absl::flat_hash_map<FlowKey, uint64_t> ByKey;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> Events;
  uint64_t Orders = 0;
  uint64_t LastCall = 0;
  uint64_t Waits = 0;
  double WaitSum = 0;
  std::vector<Duration> AnswerTimes;
  Result Totals;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PACKETS_LOADEDSITE_H

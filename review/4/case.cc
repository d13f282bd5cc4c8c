// Servers are released and daemons are restarted in turn, both planned work.
// Checks the rule FLOW.
#include "../stand-ins-2/stand_ins.hh"

using namespace review;

namespace {

constexpr double StabilityS = 4.0; // bounds.stabilityMs
constexpr double DrainS = 3.0;     // bounds.drainMs
constexpr double GraceS = 6.0;     // bounds.graceS
constexpr double WorkS = 0.23;     // Longest work of pitch-reserve.
constexpr double ColdS = 2.0;      // Slow after the start for so long.
constexpr double HandshakeS = 0.05; // Time to answer an opening while slow.
constexpr double ReleaseGapS = 0.72, RollGapS = 1.3;
constexpr size_t ServerCount = 40;
constexpr int Machines = 6;
constexpr double LengthS = 75;

const char *Zones[] = {"bern-a", "thun-a"};

std::string entryOf(const Servers::Spec &it, const std::string &state,
                    int coldLeftMs) {
  char text[400];
  snprintf(text, sizeof text,
           "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
           "\"version\":\"v1\",\"slots\":2,\"state\":\"%s\",\"coldLeftMs\":%d,"
           "\"seq\":1,\"born\":%llu}",
           it.Service.c_str(), it.Ip.c_str(), it.Port, it.Zone.c_str(),
           state.c_str(), coldLeftMs,
           static_cast<unsigned long long>(it.Born));
  return text;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    cannotRun("usage: case FOLDER RECORD");
  const bool trouble = hasTrouble();
  Record record(argv[2]);
  const unsigned seed = std::random_device{}();
  std::mt19937 random(seed);
  record.line("seed %u, trouble %d", seed, trouble);
  const uint16_t storePort = freePort(), packets = freePort(),
                 ready = freePort(), peers = freePort(), metrics = freePort(),
                 serverPort = freePort();
  Store store("127.0.0.1", storePort, 50, [] { return 0.0; });
  Servers servers(packets, WorkS);
  servers.acknowledgeEverySecond();
  std::deque<Servers::Spec> live;
  uint32_t made = 0;
  auto startServer = [&](bool duringTraffic) {
    Servers::Spec it;
    char id[20];
    snprintf(id, sizeof id, "i-%08x", static_cast<unsigned>(random()));
    it.Id = id;
    it.Service = "buchung";
    it.Zone = Zones[made % 2];
    it.Ip = "127.0.20." + std::to_string(1 + made);
    it.Port = serverPort;
    it.Born = 1'700'000'000'000ULL + made++;
    if (duringTraffic) {
      it.SlowUntil = now() + ColdS;
      it.HandshakeS = HandshakeS;
    }
    servers.start(it);
    live.push_back(it);
    store.put("servers/" + it.Id,
              entryOf(it, "ready", duringTraffic ? int(ColdS * 1000) : 0));
    if (duringTraffic)
      record.line("server %s at %s starts", it.Id.c_str(), it.Ip.c_str());
  };
  for (size_t i = 0; i < ServerCount; ++i)
    startServer(false);
  store.put("op/config",
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.0.6.1\","
            "\"prefix\":\"/443/\",\"type\":\"unsafe\",\"timeoutMs\":2000,"
            "\"sloMs\":200,\"priority\":1,\"service\":\"buchung\","
            "\"maxAttempts\":2}],\"services\":[{\"name\":\"buchung\","
            "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
            "\"tls\":false,\"coldS\":2.0,\"coldPerS\":0.0}],\"limits\":{"
            "\"idleTimeoutMs\":15000}}");

  Fleet fleet(argv[1], packets, ready, peers, metrics,
              "127.0.0.1:" + std::to_string(storePort));
  for (int i = 0; i < Machines; ++i)
    fleet.add("127.0.8." + std::to_string(i + 1), Zones[i % 2]);
  for (size_t i = 0; i < fleet.all().size(); ++i)
    fleet.start(i);
  for (double limit = now() + 10; !fleet.allReady(); sleepFor(0.1))
    if (now() > limit)
      cannotRun("the daemons aren't ready");
  fleet.startChecks();
  Clients clients(fleet, {{"bern-a", "127.0.7.1", "127.0.6.1", 443, 110},
                          {"thun-a", "127.0.7.2", "127.0.6.1", 443, 110}});
  std::atomic<size_t> broken{0}, otherResets{0};
  clients.OnReset = [&](const Clients::Reset &it) {
    Servers::OpenFlow at = servers.openFlow(it.Client, it.Port);
    if (at.ServerId.empty() || at.ServerIp == it.From) {
      ++otherResets;
      return;
    }
    ++broken;
    std::string through;
    for (const std::string &name : it.Through)
      through += " " + name;
    record.line("broken: flow %s:%u (%s) is open at %s since %.3f and lives; "
                "reset by %s; its packets went through%s",
                ipText(it.Client).c_str(), it.Port, it.Request.c_str(),
                at.ServerIp.c_str(), at.At, it.From.c_str(), through.c_str());
  };
  sleepFor(StabilityS + 2);

  const double begin = now();
  std::atomic<bool> done{false};
  // release: the new server starts first, the old one drains and leaves.
  std::thread release([&] {
    std::deque<std::pair<double, std::string>> leaving;
    for (int i = 0; now() < begin + LengthS; ++i) {
      startServer(true);
      Servers::Spec old = live.front();
      live.pop_front();
      store.put("servers/" + old.Id, entryOf(old, "draining", 0));
      leaving.emplace_back(now() + DrainS + 1, old.Id);
      sleepFor(ReleaseGapS);
      for (auto &it : live)
        if (it.SlowUntil > 0 && now() > it.SlowUntil) {
          it.SlowUntil = 0;
          store.put("servers/" + it.Id, entryOf(it, "ready", 0));
        }
      while (!leaving.empty() && leaving.front().first <= now()) {
        store.remove("servers/" + leaving.front().second);
        servers.stop(leaving.front().second);
        leaving.pop_front();
      }
    }
    done = true;
  });
  // roll_term: the machines are stopped and started in turn.
  for (size_t i = 0; trouble && !done; i = (i + 1) % Machines) {
    record.line("SIGTERM to %s", fleet.all()[i].Name.c_str());
    fleet.stopInTime(i, GraceS);
    fleet.start(i);
    record.line("start %s", fleet.all()[i].Name.c_str());
    sleepFor(RollGapS);
  }
  release.join();
  sleepFor(1);
  clients.stop();
  recordSeconds(record, clients, servers);
  Clients::Counts sum = clients.counts();
  record.line("asked %zu, answered %zu, reset %zu, timed out %zu, wrong %zu; "
              "other resets %zu",
              sum.Asked, sum.Answered, sum.Reset, sum.TimedOut, sum.Wrong,
              otherResets.load());
  printf("FLOW: %zu open flows reset by others than their living server, %zu "
         "other resets; %zu of %zu requests answered\n",
         broken.load(), otherResets.load(), sum.Answered, sum.Asked);
  if (sum.Answered * 10 < sum.Asked * 9)
    cannotRun("the daemons don't serve");
  return broken > 0 ? 1 : 0;
}

// A daemon restarts while servers leave, and the store answers its first,
// stale reads page by page from two replicas. Checks the rule DRAIN.
#include "../stand-ins-2/stand_ins.hh"

using namespace review;

namespace {

constexpr double DrainS = 3.0;      // bounds.drainMs
constexpr double StabilityS = 4.0;  // bounds.stabilityMs
constexpr double LingerS = 11.0;    // A leaving server serves "at times many
                                    // seconds" longer than drainMs.
constexpr double StaleS = 3.0;      // Lag of the second replica.
constexpr size_t ServerCount = 120;
constexpr size_t PageItems = 50;    // "at most about 500 items"
constexpr int Rounds = 6;
constexpr double RoundS = 16.0;

const char *Zones[] = {"bern-a", "thun-a"};

std::string entryOf(const Servers::Spec &it, const std::string &state) {
  char text[400];
  snprintf(text, sizeof text,
           "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
           "\"version\":\"v1\",\"slots\":2,\"state\":\"%s\",\"coldLeftMs\":0,"
           "\"seq\":1,\"born\":%llu}",
           it.Service.c_str(), it.Ip.c_str(), it.Port, it.Zone.c_str(),
           state.c_str(), static_cast<unsigned long long>(it.Born));
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

  // One replica is up to date, the other some seconds behind; each stale read
  // goes to one of them at random.
  std::mt19937 replicaRandom(seed + 1);
  Store store("127.0.0.1", storePort, PageItems,
              [&] { return replicaRandom() % 2 ? StaleS : 0.0; });
  store.OnList = [&](const std::string &, const std::string &prefix,
                     const std::string &after, bool stale, uint64_t asOf,
                     size_t items) {
    record.line("store: list %s after '%s' stale %d: asOf %llu, %zu items",
                prefix.c_str(), after.c_str(), stale,
                static_cast<unsigned long long>(asOf), items);
  };
  Servers servers(packets, 0.03);
  std::map<std::string, Servers::Spec> live;
  uint32_t made = 0;
  auto startServer = [&] {
    Servers::Spec it;
    char id[20];
    snprintf(id, sizeof id, "i-%08x", static_cast<unsigned>(random()));
    it.Id = id;
    it.Service = "buchung";
    it.Zone = Zones[made % 2];
    it.Ip = "127.0." + std::to_string(20 + made / 200) + "." +
            std::to_string(1 + made % 200);
    it.Port = serverPort;
    it.Born = 1'700'000'000'000ULL + made++;
    servers.start(it);
    live[it.Id] = it;
    store.put("servers/" + it.Id, entryOf(it, "ready"));
  };
  for (size_t i = 0; i < ServerCount; ++i)
    startServer();
  store.put("op/config",
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.0.6.1\","
            "\"prefix\":\"/443/\",\"type\":\"unsafe\",\"timeoutMs\":2000,"
            "\"sloMs\":200,\"priority\":1,\"service\":\"buchung\","
            "\"maxAttempts\":2}],\"services\":[{\"name\":\"buchung\","
            "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
            "\"tls\":false,\"coldS\":2.0,\"coldPerS\":0.0}],\"limits\":{"
            "\"idleTimeoutMs\":15000}}");
  sleepFor(StaleS + 0.5);

  Fleet fleet(argv[1], packets, ready, peers, metrics,
              "127.0.0.1:" + std::to_string(storePort));
  for (int i = 0; i < 4; ++i)
    fleet.add("127.0.8." + std::to_string(i + 1), Zones[i % 2]);
  for (size_t i = 0; i < fleet.all().size(); ++i)
    fleet.start(i);
  for (double limit = now() + 10; !fleet.allReady(); sleepFor(0.1))
    if (now() > limit)
      cannotRun("the daemons aren't ready");
  fleet.startChecks();
  sleepFor(StabilityS);
  Clients clients(fleet, {{"bern-a", "127.0.7.1", "127.0.6.1", 443, 150},
                          {"thun-a", "127.0.7.2", "127.0.6.1", 443, 150}});
  sleepFor(2);

  struct Leaving {
    std::string Id;
    double AckedAt;
  };
  std::vector<Leaving> leaving;
  for (int round = 0; round < Rounds; ++round) {
    double begin = now();
    // scale_in: an eighth of the servers drain and leave.
    std::vector<std::string> ids;
    for (const auto &[id, it] : live)
      ids.push_back(id);
    std::shuffle(ids.begin(), ids.end(), random);
    ids.resize(ServerCount / 8);
    for (const std::string &id : ids) {
      store.put("servers/" + id, entryOf(live[id], "draining"));
      leaving.push_back({id, now()});
      record.line("server %s reports draining", id.c_str());
    }
    // node_kill: one process in each zone is killed and starts again.
    sleepUntil(begin + 1.0);
    for (int zone = 0; trouble && zone < 2; ++zone) {
      size_t i = static_cast<size_t>(zone + 2 * (round % 2));
      record.line("kill %s", fleet.all()[i].Name.c_str());
      fleet.kill(i, SIGKILL);
    }
    sleepFor(0.3);
    for (int zone = 0; trouble && zone < 2; ++zone) {
      size_t i = static_cast<size_t>(zone + 2 * (round % 2));
      fleet.start(i);
      record.line("start %s", fleet.all()[i].Name.c_str());
    }
    sleepUntil(begin + DrainS + LingerS);
    for (const std::string &id : ids) {
      store.remove("servers/" + id);
      servers.stop(id);
      live.erase(id);
    }
    record.line("the servers have left");
    // Others take their places, so that each round has as many.
    for (size_t i = 0; i < ids.size(); ++i)
      startServer();
    sleepUntil(begin + RoundS);
  }
  clients.stop();
  recordSeconds(record, clients, servers);

  std::map<std::string, double> ackedAt;
  for (const Leaving &it : leaving)
    ackedAt[it.Id] = it.AckedAt;
  size_t late = 0;
  for (const Opening &it : servers.openings()) {
    auto acked = ackedAt.find(it.ServerId);
    if (acked == ackedAt.end() || it.At <= acked->second + DrainS)
      continue;
    double sent = clients.sentAt(it.Caller, it.Port);
    bool inTouch = sent > acked->second + DrainS &&
                   fleet.ranThrough(it.Daemon, sent - StabilityS, it.At);
    if (!inTouch)
      continue;
    ++late;
    record.line("late: flow %s:%u sent %.3f, taken at %.3f by %s, draining "
                "since %.3f, from %s",
                ipText(it.Caller).c_str(), it.Port, sent, it.At,
                it.ServerId.c_str(), acked->second,
                fleet.nameOf(it.Daemon).c_str());
  }
  Clients::Counts sum = clients.counts();
  record.line("asked %zu, answered %zu, reset %zu, timed out %zu, wrong %zu; "
              "openings at servers %zu, of them late at draining ones %zu",
              sum.Asked, sum.Answered, sum.Reset, sum.TimedOut, sum.Wrong,
              servers.openings().size(), late);
  printf("DRAIN: %zu openings later than drainMs; %zu of %zu requests answered\n",
         late, sum.Answered, sum.Asked);
  if (sum.Answered * 10 < sum.Asked * 9)
    cannotRun("the daemons don't serve");
  return late > 0 ? 1 : 0;
}

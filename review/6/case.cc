// Another writer leaves unreadable entries under servers/; then the operator
// changes the configuration. Checks the rule CONFIG.
#include "../stand-ins-2/stand_ins.hh"

using namespace review;

namespace {

constexpr double ConfigApplyS = 3.0; // bounds.configApplyMs
constexpr double StabilityS = 4.0;   // bounds.stabilityMs
constexpr size_t ValueBytes = 1'048'576; // platform.valueBytes
constexpr int ForeignEntries = 10;
constexpr double ForeignGapS = 0.01;
constexpr uint16_t Steady = 443, Added = 444, Dropped = 445;

const char *Zones[] = {"bern-a", "thun-a"};

std::string entryOf(const Servers::Spec &it) {
  char text[400];
  snprintf(text, sizeof text,
           "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
           "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"
           "\"seq\":1,\"born\":%llu}",
           it.Service.c_str(), it.Ip.c_str(), it.Port, it.Zone.c_str(),
           static_cast<unsigned long long>(it.Born));
  return text;
}
std::string configOf(int version, const std::vector<uint16_t> &ports) {
  std::string routes;
  for (uint16_t port : ports)
    routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"r-" +
              std::to_string(port) +
              "\",\"host\":\"127.0.6.1\",\"prefix\":\"/" + std::to_string(port) +
              "/\",\"type\":\"unsafe\",\"timeoutMs\":2000,\"sloMs\":200,"
              "\"priority\":1,\"service\":\"buchung\",\"maxAttempts\":2}";
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"buchung\",\"healthPath\":\"/health\","
         "\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\"coldS\":2.0,"
         "\"coldPerS\":0.0}],\"limits\":{\"idleTimeoutMs\":15000}}";
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
  store.OnWatch = [&](const std::string &, const std::string &prefix,
                      uint64_t after, int status, size_t bytes) {
    record.line("store: watch %s after %llu: status %d, %zu bytes",
                prefix.c_str(), static_cast<unsigned long long>(after), status,
                bytes);
  };
  store.OnList = [&](const std::string &, const std::string &prefix,
                     const std::string &after, bool stale, uint64_t asOf,
                     size_t items) {
    record.line("store: list %s after '%s' stale %d: asOf %llu, %zu items",
                prefix.c_str(), after.c_str(), stale,
                static_cast<unsigned long long>(asOf), items);
  };
  Servers servers(packets, 0.03);
  for (int i = 0; i < 14; ++i) {
    Servers::Spec it;
    char id[20];
    snprintf(id, sizeof id, "i-%08x", static_cast<unsigned>(random()));
    it.Id = id;
    it.Service = "buchung";
    it.Zone = Zones[i % 2];
    it.Ip = "127.0.20." + std::to_string(1 + i);
    it.Port = serverPort;
    it.Born = 1'700'000'000'000ULL + static_cast<uint64_t>(i);
    servers.start(it);
    store.put("servers/" + it.Id, entryOf(it));
  }
  store.put("op/config", configOf(7, {Steady, Dropped}));

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
  std::vector<Clients::Group> groups{
      {"bern-a", "127.0.7.1", "127.0.6.1", Steady, 100},
      {"thun-a", "127.0.7.2", "127.0.6.1", Steady, 100}};
  // A few flows directly to each daemon, on routes just added and dropped.
  for (int i = 0; i < 4; ++i) {
    groups.push_back({Zones[i % 2], "127.0.7." + std::to_string(10 + i),
                      "127.0.6.1", Added, 5, false, 2, i});
    groups.push_back({Zones[i % 2], "127.0.7." + std::to_string(20 + i),
                      "127.0.6.1", Dropped, 5, false, 2, i});
  }
  Clients clients(fleet, groups);
  sleepFor(StabilityS + 4);

  if (trouble) {
    std::string garbage(ValueBytes, '\0');
    for (char &c : garbage)
      c = static_cast<char>(random());
    for (int i = 0; i < ForeignEntries; ++i) {
      char key[40];
      snprintf(key, sizeof key, "servers/export-%02d", i);
      store.put(key, garbage);
      record.line("another writer writes %s, %zu bytes", key, garbage.size());
      sleepFor(ForeignGapS);
    }
  }
  sleepFor(4);
  store.put("op/config", configOf(19, {Steady, Added}));
  const double acked = now();
  record.line("config 19 is acknowledged: %u is added, %u is dropped", Added,
              Dropped);
  sleepFor(30);
  clients.stop();
  recordSeconds(record, clients, servers);

  size_t refused = 0, run = 0, right = 0;
  double first = 0, last = 0;
  for (const Clients::Result &it : clients.results()) {
    const Daemon &at = fleet.all()[static_cast<size_t>(it.Daemon)];
    bool inTouch = fleet.ranThrough(at.Ip, it.SentAt - StabilityS, now());
    if (it.SentAt <= acked + ConfigApplyS || !inTouch ||
        it.How == Clients::Result::Silent)
      continue;
    bool opened = it.How == Clients::Result::Opened;
    if (opened == (it.RoutePort == Added)) {
      ++right;
      continue;
    }
    ++(opened ? run : refused);
    first = first == 0 ? it.SentAt : first;
    last = it.SentAt;
    record.line("broken: flow to %u sent %.3f to %s: %s", it.RoutePort,
                it.SentAt, at.Name.c_str(), opened ? "run" : "refused");
  }
  Clients::Counts sum = clients.counts();
  record.line("asked %zu, answered %zu, reset %zu, timed out %zu, wrong %zu",
              sum.Asked, sum.Answered, sum.Reset, sum.TimedOut, sum.Wrong);
  record.line("later than configApplyMs: %zu refused on the added route, %zu run "
              "on the dropped route, %zu right",
              refused, run, right);
  printf("CONFIG: %zu refused, %zu run on the dropped route, %zu right; from "
         "%.1f to %.1f s after the confirmation\n",
         refused, run, right, first ? first - acked : 0, last ? last - acked : 0);
  if (sum.Answered * 10 < sum.Asked * 9 || refused + run + right == 0)
    cannotRun("the daemons don't serve");
  return refused + run > 0 ? 1 : 0;
}

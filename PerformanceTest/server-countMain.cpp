// server-count: measures how the cost of an opening, of a packet of an open
// flow and of a published change depends on the number of servers. Prints a
// line per figure: name, number of servers, value, unit.

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Packets/PacketRouter.h"

namespace balsamrack {
namespace {

constexpr size_t ServersPerDaemon = 10;
constexpr uint32_t Openings = 20'000;
constexpr uint32_t FlowPackets = 200'000;
constexpr uint64_t Changes = 20;
const Endpoint Route{0xc6120001, 443};

/// Counts the packets that the router forwards.
class CountingSink final : public PacketSink {
public:
  void forward(const PacketTarget &to, const uint8_t * /*packet*/,
               size_t /*n*/) override {
    LastToken = to.Token;
    ++Forwarded;
  }
  void relay(DaemonTag, bool, const uint8_t *, size_t) override {}
  void reset(const PacketHeader & /*head*/) override {}
  void report(const PacketEvent & /*event*/) override {}

  uint32_t LastToken = 0;
  uint64_t Forwarded = 0;
};

PublishedObject makeServer(size_t i, uint64_t revision) {
  auto server = std::make_shared<PublishedServer>();
  std::string id = "i-" + std::to_string(i);
  server->Server.Id = ServerId(id);
  server->Server.Service = ServiceId("booking");
  server->Server.Domain = DomainId("bern-" + std::to_string(i % 6));
  server->Server.Slots = 2;
  server->Server.At = {"10.1." + std::to_string(i / 250) + "." +
                           std::to_string(i % 250 + 1),
                       8080};
  return {PublishedSection::Servers,
          id,
          {revision},
          std::shared_ptr<const PublishedServer>(std::move(server))};
}

std::vector<PublishedObject> makeOperators() {
  auto configuration = std::make_shared<OperatorConfiguration>();
  configuration->Version = 1;
  PublishedRoute route;
  route.At = {"198.18.0.1", 443};
  route.Targets = {{ServiceId("booking"), 1}};
  configuration->Routes = {route};
  return {{PublishedSection::Operators,
           "config",
           {1},
           std::shared_ptr<const OperatorConfiguration>(configuration)}};
}

/// Prints the time of one of \p n steps that began at \p start.
void print(const char *name, size_t servers,
           std::chrono::steady_clock::time_point start, uint64_t n) {
  std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  std::printf("%s %zu %.0f ns\n", name, servers,
              took.count() / static_cast<double>(n));
}

void measure(size_t servers, bool speeds) {
  SeededRandom random(1);
  PacketRouterSettings settings;
  settings.Domain = DomainId("bern-0");
  settings.Load.Speeds = speeds;
  PacketRouter router(settings, random);
  PacketRoutesBuilder builder;
  TimePoint now(Duration(1'000'000));
  builder.applyOperatorObjects(now, makeOperators());
  std::vector<PublishedObject> all;
  for (size_t i = 0; i < servers; ++i)
    all.push_back(makeServer(i, i + 2));
  builder.applyServerChanges(now, all);
  router.apply(builder.takeUpdate(now));
  router.setFleet({servers / ServersPerDaemon + 1, 0});
  CountingSink sink;
  const uint8_t packet[31] = {};

  // Openings.
  auto start = std::chrono::steady_clock::now();
  PacketHeader head;
  for (uint32_t i = 1; i <= Openings; ++i) {
    head = PacketHeader();
    head.Flow = {{0x64400000 + i, 1024}, Route};
    head.Opens = true;
    head.Sequence = i;
    router.handlePacket(now, head, packet, sizeof packet, sink);
  }
  print(speeds ? "opening-speeds" : "opening", servers, start, Openings);

  // Packets of one open flow.
  head.Opens = false;
  head.Acknowledges = true;
  head.Token = sink.LastToken;
  start = std::chrono::steady_clock::now();
  for (uint32_t i = 0; i < FlowPackets; ++i)
    router.handlePacket(now, head, packet, sizeof packet, sink);
  print("packet", servers, start, FlowPackets);

  // Changes of one server.
  start = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < Changes; ++i) {
    builder.applyServerChanges(now, {makeServer(i % servers, servers + i + 2)});
    router.apply(builder.takeUpdate(now));
  }
  print("change", servers, start, Changes);
}

} // namespace
} // namespace balsamrack

int main() {
  for (size_t servers : {18, 300, 3'000, 6'000, 12'000})
    for (bool speeds : {false, true})
      balsamrack::measure(servers, speeds);
  return 0;
}

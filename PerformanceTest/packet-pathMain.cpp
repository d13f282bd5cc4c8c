// packet-path: measures packets per second of one core through the packet
// carrier's path, compared with a loop that only receives and sends the same
// packets. Prints a line per figure: name, value, unit.

#include <chrono>
#include <cstdio>
#include <cstring>
#include <memory>
#include <vector>

#include "Balsamrack/Packets/OpeningTokens.h"
#include "Balsamrack/Packets/PacketRouter.h"
#include "Balsamrack/Packets/PacketSocket.h"
#include "platform/EchoPackets.h"

namespace balsamrack {
namespace {

constexpr size_t BatchCount = 20'000;
constexpr size_t HeaderBytes = 31;
constexpr size_t DataBytes = 100;
constexpr size_t PacketsPerFlow =
    8; ///< An opening, six data packets and the end.
const Address CallersAddress{"127.0.0.1", 28711};
const Address DaemonAddress{"127.0.0.1", 28712};
const Address ServerAddress{"127.0.0.1", 28713};

/// Returns packet number \p n of a series of flows.
std::vector<uint8_t> makePacket(uint64_t n, uint32_t token) {
  uint64_t flow = n / PacketsPerFlow;
  size_t position = n % PacketsPerFlow;
  size_t dataBytes =
      position > 0 && position + 1 < PacketsPerFlow ? DataBytes : 0;
  std::vector<uint8_t> packet(HeaderBytes + dataBytes);
  auto put = [&packet](size_t at, uint32_t value, size_t bytes) {
    for (size_t i = 0; i < bytes; ++i)
      packet[at + i] = static_cast<uint8_t>(value >> (8 * i));
  };
  put(4, static_cast<uint32_t>(dataBytes), 2);
  put(6, 0xc6120001, 4);
  put(10, static_cast<uint32_t>(flow % 60'000 + 1), 2);
  put(12, 443, 2);
  put(14, static_cast<uint32_t>(0x64400000 + flow / 60'000), 4);
  uint32_t sequence = static_cast<uint32_t>(flow) << 16;
  FlowKey key{{static_cast<uint32_t>(0x64400000 + flow / 60'000),
               static_cast<uint16_t>(flow % 60'000 + 1)},
              {0xc6120001, 443}};
  if (position == 0)
    token = 0;
  else if (position == 1)
    token = openingToken(DaemonTag(), 0, key, token);
  put(18, token, 4);
  packet[22] = position == 0                    ? 2
               : position + 1 == PacketsPerFlow ? 32 | 64
                                                : 32;
  if (position > 0)
    sequence += static_cast<uint32_t>(1 + (position - 1) * DataBytes);
  put(23, sequence, 4);
  return packet;
}

/// Sends the packets that the router forwards, as the daemon does.
class ForwardingSink final : public PacketSink {
public:
  ForwardingSink(PacketSocket &socket, const PacketCodec &codec)
      : Socket(socket), Codec(codec) {}
  void forward(const PacketTarget &to, const uint8_t *packet,
               size_t n) override {
    uint8_t *out = Socket.prepare(to.At, Codec.prefixBytes() + n);
    Codec.writePrefix(out, to.Tag);
    std::memcpy(out + Codec.prefixBytes(), packet, n);
    Codec.writeToken(out + Codec.prefixBytes(), to.Token);
  }
  void relay(DaemonTag /*to*/, bool /*isOriginal*/, const uint8_t * /*packet*/,
             size_t /*n*/) override {}
  void reset(const PacketHeader & /*head*/) override {}
  void report(const PacketEvent & /*event*/) override {}

private:
  PacketSocket &Socket;
  const PacketCodec &Codec;
};

PacketUpdate makeUpdate() {
  auto made = std::make_shared<PacketRoutes>();
  made->Routes[{0xc6120001, 443}] = {{{ServiceId("booking"), 1}},
                                     {ServiceId("booking")}};
  PacketUpdate update;
  update.Routes = made;
  for (int i = 0; i < 14; ++i) {
    auto published = std::make_shared<PublishedServer>();
    published->Server.Id = ServerId("s" + std::to_string(i));
    published->Server.Service = ServiceId("booking");
    published->Server.Domain = DomainId("bern-a");
    RoutedBackend server;
    server.Published = published;
    server.At = Endpoint::of(ServerAddress);
    server.Token = tokenOf(published->Server.Id);
    update.Changed.push_back(server);
  }
  return update;
}

/// Returns the packets per second that \p handler processes.
template <class Handler>
double measure(PacketSocket &callers, PacketSocket &daemon, Handler handler) {
  std::chrono::steady_clock::duration spent{0};
  uint64_t n = 0;
  uint64_t done = 0;
  uint32_t token = tokenOf(ServerId("s0"));
  for (size_t batch = 0; batch < BatchCount; ++batch) {
    for (size_t i = 0; i < PacketSocket::BatchSize; ++i) {
      std::vector<uint8_t> packet = makePacket(n++, token);
      std::memcpy(callers.prepare(Endpoint::of(DaemonAddress), packet.size()),
                  packet.data(), packet.size());
    }
    callers.flush();
    auto start = std::chrono::steady_clock::now();
    done += daemon.receive(handler);
    daemon.flush();
    spent += std::chrono::steady_clock::now() - start;
  }
  return static_cast<double>(done) /
         std::chrono::duration<double>(spent).count();
}

int run() {
  auto callers = PacketSocket::open(CallersAddress);
  auto daemon = PacketSocket::open(DaemonAddress);
  auto server = PacketSocket::open(ServerAddress);
  if (!callers.ok() || !daemon.ok() || !server.ok()) {
    std::fprintf(stderr,
                 "packet-path: cannot listen at ports 28711 to 28713\n");
    return 1;
  }
  PacketSocket &out = **daemon;
  double bare = measure(**callers, out, [&out](uint8_t *packet, size_t n) {
    std::memcpy(out.prepare(Endpoint::of(ServerAddress), n), packet, n);
  });
  platform::EchoPackets codec;
  SeededRandom random(1);
  PacketRouter router(PacketRouterSettings(), random);
  SystemClock clock;
  router.apply(makeUpdate());
  ForwardingSink sink(out, codec);
  double routed = measure(**callers, out, [&](uint8_t *packet, size_t n) {
    TimePoint now = clock.now();
    if (auto header = codec.decode(packet, n))
      router.handlePacket(now, *header, packet, n, sink);
    router.tick(now, sink);
  });
  std::printf("packets_bare %.0f per_second\n", bare);
  std::printf("packets_routed %.0f per_second\n", routed);
  std::printf("packets_routed_by_bare %.3f ratio\n", routed / bare);
  return 0;
}

} // namespace
} // namespace balsamrack

int main() { return balsamrack::run(); }

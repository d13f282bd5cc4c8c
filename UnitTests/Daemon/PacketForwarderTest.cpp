#include "Balsamrack/Daemon/PacketForwarder.h"

#include <fcntl.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "platform/EchoPackets.h"

namespace balsamrack {
namespace {

/// A clock that the test sets.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return TimePoint(Duration(Micros.load())); }
  void advance(Duration by) { Micros += by.count(); }

private:
  std::atomic<int64_t> Micros{1'000'000};
};

/// A socket in memory. The process is suspended during a call to receive().
class SuspendingSocket final : public PacketSocket {
public:
  explicit SuspendingSocket(ManualClock &time)
      : Time(time), Event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~SuspendingSocket() override { close(Event); }

  /// Delivers \p packet when the process resumes after \p suspension; \p
  /// waited: see PacketSocket.
  void deliver(const std::vector<uint8_t> &packet, Duration suspension,
               std::optional<Duration> waited = std::nullopt) {
    {
      std::lock_guard<std::mutex> hold(Lock);
      Waited = waited;
      Packets.push_back(packet);
      Suspension += suspension;
    }
    uint64_t one = 1;
    (void)!write(Event, &one, sizeof one);
  }
  size_t sent() const { return Sent; }

  const Address &at() const override { return BoundTo; }
  int fd() const override { return Event; }
  size_t receive(const PacketCallback &got) override {
    std::lock_guard<std::mutex> hold(Lock);
    uint64_t count = 0;
    (void)!read(Event, &count, sizeof count);
    Time.advance(std::exchange(Suspension, Duration{0}));
    size_t n = Packets.size();
    for (; !Packets.empty(); Packets.pop_front())
      got(Packets.front().data(), Packets.front().size());
    return n;
  }
  std::optional<Duration> waited() const override { return Waited; }
  uint8_t *prepare(const Endpoint &, size_t) override {
    ++Prepared;
    return Buffer.data();
  }
  void flush() override { Sent += std::exchange(Prepared, 0); }
  const PacketSocketCounters &counters() const override { return Counters; }

private:
  ManualClock &Time;
  const int Event;
  const Address BoundTo{"10.0.0.9", 8172};
  std::mutex Lock; ///< Guards Packets and Suspension.
  std::deque<std::vector<uint8_t>> Packets;
  Duration Suspension{0};
  std::optional<Duration> Waited;
  std::array<uint8_t, MaxPacketBytes> Buffer{};
  size_t Prepared = 0;
  std::atomic<size_t> Sent{0};
  PacketSocketCounters Counters;
};

PacketUpdate oneServer() {
  auto c = std::make_shared<OperatorConfiguration>();
  c->Version = 1;
  c->Routes.push_back({{"198.18.0.1", 443}, {{ServiceId("booking"), 1}}});
  auto s = std::make_shared<PublishedServer>();
  s->Server.Id = ServerId("b1");
  s->Server.Service = ServiceId("booking");
  s->Server.Domain = DomainId("bern-a");
  s->Server.At = {"10.0.0.1", 8080};
  PacketRoutesBuilder builder;
  builder.applyOperatorObjects(
      TimePoint(Duration(1)),
      {{PublishedSection::Operators,
        "config",
        {1},
        std::shared_ptr<const OperatorConfiguration>(c)}});
  builder.applyServerChanges(TimePoint(Duration(1)),
                             {{PublishedSection::Servers,
                               "b1",
                               {2},
                               std::shared_ptr<const PublishedServer>(s)}});
  return builder.takeUpdate(TimePoint(Duration(1)));
}

/// The opening of the platform's documentation, with another caller.
std::vector<uint8_t> opening(uint8_t caller, uint8_t copy = 0) {
  return {0xd5, 0xc3, 0xb2, 0xa1,   0,    0,    1,    0, 0x12, 0xc6, 0x41,
          0x9c, 0xbb, 0x01, caller, 0,    0x40, 0x64, 0, 0,    0,    0,
          2,    0x44, 0x33, 0x22,   0x11, copy, 0,    0, 0};
}

/// The first packet after opening(\p caller), with token \p token.
std::vector<uint8_t> firstPacket(uint8_t caller, uint32_t token) {
  constexpr size_t FlagsOffset = 22;
  constexpr uint8_t Acknowledges = 32;
  std::vector<uint8_t> packet = opening(caller);
  packet[FlagsOffset] = Acknowledges;
  ++packet[FlagsOffset + 1];
  platform::EchoPackets().writeToken(packet.data(), token);
  return packet;
}

struct SuspensionCase {
  const char *Name;
  Duration Suspension;
  bool Waits; ///< The opening waits for an update of the routes.
  std::optional<Duration> Waited{}; ///< Time that it waited in the socket.
  bool IsOutdated = false; ///< It is not forwarded: the caller may have opened
                           ///< the flow by a later copy, elsewhere.
  uint8_t Copies = 1;      ///< Copies that wait in the socket.
};

class PacketForwarderTest : public testing::Test {
protected:
  PacketForwarderTest()
      : Null(open("/dev/null", O_WRONLY)),
        Log(EventLog::create(EventLogSettings(), Null, Time)),
        Telemetry(Time, *Log) {}
  ~PacketForwarderTest() override {
    Log.reset();
    close(Null);
  }
  static bool waitUntil(const std::function<bool()> &condition) {
    for (int i = 0; i < 2000 && !condition(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return condition();
  }

  const int Null;
  ManualClock Time;
  std::unique_ptr<EventLog> Log;
  PacketTelemetry Telemetry;
  platform::EchoPackets Codec;
};

// Guards against a first packet that is lost because it moves to another daemon
// than the one with the opening.
TEST_F(PacketForwarderTest, RelaysAFirstPacketToTheDaemonWithTheOpening) {
  const DaemonTag self{7};
  const DaemonTag peer{9};
  auto created = std::make_unique<SuspendingSocket>(Time);
  SuspendingSocket &socket = *created;
  PacketRouterSettings settings;
  settings.Domain = DomainId("bern-a");
  settings.Self = self;
  PacketForwarder forwarder(settings, Codec, std::move(created), Time, 1,
                            Telemetry, [] {});
  std::mutex lock;
  std::vector<std::pair<DaemonTag, RelayedPacket>> relayed;
  forwarder.setRelayHandler([&](DaemonTag to, RelayedPacket packet) {
    std::lock_guard<std::mutex> hold(lock);
    relayed.emplace_back(to, std::move(packet));
  });
  forwarder.setPeers({peer}, true);
  forwarder.apply(oneServer());

  std::vector<uint8_t> elsewhere =
      firstPacket(8, openingToken(peer, 1, FlowKey(), 1));
  socket.deliver(elsewhere, Duration{0});
  ASSERT_TRUE(waitUntil([&] {
    std::lock_guard<std::mutex> hold(lock);
    return !relayed.empty();
  }));
  EXPECT_EQ(relayed.front().first, peer);
  EXPECT_EQ(relayed.front().second.Bytes,
            std::string(elsewhere.begin(), elsewhere.end()));
  EXPECT_EQ(socket.sent(), 0U);

  socket.deliver(opening(7), Duration{0});
  ASSERT_TRUE(waitUntil([&] { return socket.sent() == 1; }));
  std::vector<uint8_t> here =
      firstPacket(7, openingToken(self, 1, FlowKey(), 1));
  forwarder.handleRelayed({true, std::string(here.begin(), here.end())});
  EXPECT_TRUE(waitUntil([&] { return socket.sent() == 2; }));
}

class EachSuspension : public PacketForwarderTest,
                       public testing::WithParamInterface<SuspensionCase> {};

// Guards against a process that is suspended right before it reads its socket,
// and handles what has arrived meanwhile by the time of before: an opening is
// placed by outdated routes, although its copies have opened the flow.
TEST_P(EachSuspension, IsDetectedBeforeItsPacketsAreHandled) {
  auto created = std::make_unique<SuspendingSocket>(Time);
  SuspendingSocket &socket = *created;
  std::atomic<int> pauses{0};
  PacketRouterSettings settings;
  settings.Domain = DomainId("bern-a");
  PacketForwarder forwarder(settings, Codec, std::move(created), Time, 1,
                            Telemetry, [&] { ++pauses; });
  forwarder.apply(oneServer());
  socket.deliver(opening(7), GetParam().Suspension, GetParam().Waited);
  for (uint8_t copy = 1; copy < GetParam().Copies; ++copy)
    socket.deliver(opening(7, copy), Duration{0});
  ASSERT_TRUE(
      waitUntil([&] { return forwarder.received() == GetParam().Copies; }));
  if (GetParam().Waits) {
    EXPECT_TRUE(waitUntil([&] { return pauses == 1; }));
    EXPECT_EQ(socket.sent(), 0U);
    forwarder.setFresh();
  }
  // The next opening is forwarded in any case.
  Time.advance(Duration(1'000));
  socket.deliver(opening(8), Duration{0});
  size_t forwarded = GetParam().IsOutdated ? 1 : 2;
  EXPECT_TRUE(waitUntil([&] { return socket.sent() >= forwarded; }));
  EXPECT_EQ(socket.sent(), forwarded);
  EXPECT_EQ(pauses, GetParam().Waits ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    Suspensions, EachSuspension,
    testing::Values(
        SuspensionCase{"None", Duration(0), false},
        SuspensionCase{"Short", Duration(200'000), false},
        SuspensionCase{"Medium", Duration(500'000), false, std::nullopt, true},
        SuspensionCase{"Long", Duration(1'500'000), true, std::nullopt, true},
        SuspensionCase{"LongTwoCopies", Duration(1'500'000), true, std::nullopt,
                       true, 2},
        SuspensionCase{"LongAllCopies", Duration(1'500'000), true, std::nullopt,
                       false, 3},
        SuspensionCase{"LongRecentOpening", Duration(1'500'000), true,
                       Duration(100'000)},
        SuspensionCase{"LongOutdatedOpening", Duration(1'500'000), true,
                       Duration(200'000), true}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

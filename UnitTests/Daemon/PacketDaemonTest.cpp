#include "Balsamrack/Daemon/PacketDaemon.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <list>
#include <thread>

#include <gtest/gtest.h>

#include "Balsamrack/Core/ListenSocket.h"
#include "UnitTests/Http/ReservedPort.h"
#include "platform/EchoPackets.h"

namespace balsamrack {
namespace {

/// Answers each read after a delay, on a thread of its own. Listings contain
/// one route and at most one server.
class DelayedSource final : public PublishedSource {
public:
  ~DelayedSource() override {
    for (std::thread &it : Threads)
      it.join();
  }
  void read(const PublishedRead &read, Done done) override {
    std::lock_guard<std::mutex> hold(Lock);
    if (Threads.size() >= MaxThreads)
      return;
    Threads.emplace_back([this, read, done = std::move(done)] {
      std::this_thread::sleep_for(read.Section == SlowSection ? Delay * 4
                                                              : Delay);
      done(answerTo(read));
    });
  }
  void cancelAll() override {}

  std::chrono::milliseconds Delay{1};
  PublishedSection SlowSection =
      PublishedSection::Servers; ///< Its delay is four times as long.
  Address ServerAt; ///< Address of the listed server; port zero: no server is
                    ///< listed.

private:
  static constexpr size_t MaxThreads = 40;

  PublishedChanges answerTo(const PublishedRead &read) const {
    PublishedChanges changes{read.Section, read.After, {9}, {}};
    if (read.Section == PublishedSection::Operators) {
      auto c = std::make_shared<OperatorConfiguration>();
      c->Version = 1;
      c->Routes.push_back({{"198.18.0.1", 443}, {{ServiceId("booking"), 1}}});
      changes.Objects.push_back(
          {read.Section,
           "config",
           {3},
           std::shared_ptr<const OperatorConfiguration>(c)});
    } else if (ServerAt.Port != 0) {
      auto s = std::make_shared<PublishedServer>();
      s->Server.Id = ServerId("b1");
      s->Server.Service = ServiceId("booking");
      s->Server.Domain = DomainId("bern-a");
      s->Server.At = ServerAt;
      changes.Objects.push_back(
          {read.Section, "b1", {4}, std::shared_ptr<const PublishedServer>(s)});
    }
    return changes;
  }

  std::mutex Lock;
  std::list<std::thread> Threads;
};

/// Blocks the thread that decodes a packet, once switched on.
class BlockingCodec final : public PacketCodec {
public:
  std::optional<PacketHeader> decode(const uint8_t *packet,
                                     size_t n) const override {
    while (Blocks)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return Base.decode(packet, n);
  }
  size_t prefixBytes() const override { return Base.prefixBytes(); }
  void writePrefix(uint8_t *out, uint64_t tag) const override {
    Base.writePrefix(out, tag);
  }
  void writeToken(uint8_t *packet, uint32_t token) const override {
    Base.writeToken(packet, token);
  }
  size_t writeReset(const PacketHeader &head, uint8_t *out) const override {
    return Base.writeReset(head, out);
  }

  std::atomic<bool> Blocks{false};

private:
  platform::EchoPackets Base;
};

class PacketDaemonTest : public testing::Test {
protected:
  PacketDaemonTest()
      : Null(open("/dev/null", O_WRONLY)),
        Log(EventLog::create(EventLogSettings(), Null, Time)) {
    Settings.Name = "vm-1";
    Settings.Domain = DomainId("bern-a");
    Settings.PacketAddress = PacketsAt.at();
    Settings.ReadyAddress = ReadyAt.at();
    Settings.ReadyPath = "/ready";
    Settings.PeerAddress = PeersAt.at();
    Settings.MetricsAddress = MetricsAt.at();
    Settings.ShutdownGrace = Duration(100'000);
  }
  ~PacketDaemonTest() override {
    Log.reset();
    close(Null);
  }
  absl::StatusOr<std::unique_ptr<PacketDaemon>> start(DelayedSource &source) {
    return PacketDaemon::create(Settings, {Codec, source, Time, *Log});
  }
  /// Status of a readiness check, as the fabric makes it.
  unsigned checkReadiness() {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(Settings.ReadyAddress.Port);
    to.sin_addr.s_addr = inet_addr(Settings.ReadyAddress.Ip.c_str());
    char answer[16] = "";
    const std::string call = "GET /ready HTTP/1.1\r\nHost: vm\r\n"
                             "Connection: close\r\n\r\n";
    if (connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0 &&
        send(fd, call.data(), call.size(), MSG_NOSIGNAL) > 0)
      (void)!recv(fd, answer, sizeof answer - 1, MSG_WAITALL);
    close(fd);
    constexpr size_t StatusOffset = 9; // After "HTTP/1.1 ".
    return static_cast<unsigned>(
        strtoul(answer + std::min(StatusOffset, strlen(answer)), nullptr, 10));
  }
  /// Sends the opening packet of a flow to the daemon.
  void sendOpening(uint8_t caller) {
    // The example packet from the platform's documentation, with another caller
    // address.
    const uint8_t packet[] = {0xd5, 0xc3, 0xb2, 0xa1, 0,    0,    1,      0,
                              0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01, caller, 0,
                              0x40, 0x64, 0,    0,    0,    0,    2,      0x44,
                              0x33, 0x22, 0x11, 0,    0,    0,    0};
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(Settings.PacketAddress.Port);
    to.sin_addr.s_addr = inet_addr(Settings.PacketAddress.Ip.c_str());
    EXPECT_EQ(sendto(fd, packet, sizeof packet, 0,
                     reinterpret_cast<sockaddr *>(&to), sizeof to),
              static_cast<ssize_t>(sizeof packet));
    close(fd);
  }
  static bool waitUntil(const std::function<bool()> &condition) {
    for (int i = 0; i < 2000 && !condition(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return condition();
  }

  const int Null;
  SystemClock Time;
  std::unique_ptr<EventLog> Log;
  BlockingCodec Codec;
  ReservedPort PacketsAt, ReadyAt, PeersAt, MetricsAt;
  PacketSettings Settings;
};

class SlowSectionTest : public PacketDaemonTest,
                        public testing::WithParamInterface<PublishedSection> {};

// A fleet may start before its servers, and the empty server list may arrive
// after the configuration. The daemon must become ready, to reject callers at
// once, even if the last update changed nothing.
TEST_P(SlowSectionTest, IsReadyOnceItKnowsWhatIsPublished) {
  DelayedSource source;
  source.Delay = std::chrono::milliseconds(20);
  source.SlowSection = GetParam();
  auto daemon = start(source);
  ASSERT_TRUE(daemon.ok()) << daemon.status();
  EXPECT_FALSE((*daemon)->ready());
  EXPECT_TRUE(waitUntil([&] { return (*daemon)->ready(); }));
  (*daemon)->shutDown();
  EXPECT_FALSE((*daemon)->ready());
}

INSTANTIATE_TEST_SUITE_P(Sections, SlowSectionTest,
                         testing::Values(PublishedSection::Operators,
                                         PublishedSection::Servers),
                         [](const auto &info) {
                           return std::string(sectionName(info.param));
                         });

// Operators take a failure domain out of service, and then it is partitioned
// from the others. Its own servers get no new flows and those of other domains
// can't be reached, so its daemons would reject every caller until the
// partition heals, though daemons of other domains could serve them. They must
// report not ready, and ready again once a server accepts a connection.
TEST_F(PacketDaemonTest, IsNotReadyWhileNoServerCanBeReached) {
  ReservedPort serverAt;
  DelayedSource source;
  source.ServerAt = serverAt.at();
  auto server = ListenSocket::open(serverAt.at());
  ASSERT_TRUE(server.ok()) << server.status();
  auto daemon = start(source);
  ASSERT_TRUE(daemon.ok()) << daemon.status();
  ASSERT_TRUE(waitUntil([&] { return (*daemon)->ready(); }));
  server = absl::UnavailableError("stopped");
  for (uint8_t caller = 1; caller <= 3; ++caller)
    sendOpening(caller);
  EXPECT_TRUE(waitUntil([&] { return !(*daemon)->ready(); }));
  server = ListenSocket::open(serverAt.at());
  ASSERT_TRUE(server.ok()) << server.status();
  EXPECT_TRUE(waitUntil([&] { return (*daemon)->ready(); }));
}

// A daemon that restarted in a partitioned failure domain reported ready until
// its first connection attempts failed, and so attracted all callers of its
// domain.
TEST_F(PacketDaemonTest, IsNotReadyBeforeAServerWasReached) {
  ReservedPort serverAt;
  DelayedSource source;
  source.ServerAt = serverAt.at();
  auto daemon = start(source);
  ASSERT_TRUE(daemon.ok()) << daemon.status();
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE((*daemon)->ready());
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  auto server = ListenSocket::open(serverAt.at());
  ASSERT_TRUE(server.ok()) << server.status();
  EXPECT_TRUE(waitUntil([&] { return (*daemon)->ready(); }));
}

// Guards against a daemon whose forwarding thread hangs and that goes on
// reporting ready, so that the fabric goes on sending to it.
TEST_F(PacketDaemonTest, IsNotReadyWhileItForwardsNothing) {
  DelayedSource source;
  auto daemon = start(source);
  ASSERT_TRUE(daemon.ok()) << daemon.status();
  ASSERT_TRUE(waitUntil([&] { return checkReadiness() == 200; }));
  Codec.Blocks = true;
  sendOpening(1);
  EXPECT_TRUE(waitUntil([&] { return checkReadiness() == 503; }));
  Codec.Blocks = false;
  EXPECT_TRUE(waitUntil([&] { return checkReadiness() == 200; }));
}

// A VM stops while reads of the publishing service are in progress. Their
// responses arrive after the daemon is destroyed and must not access it.
TEST_F(PacketDaemonTest, AnswersThatComeAfterItsEndAreHarmless) {
  for (int i = 0; i < 12; ++i) {
    DelayedSource source;
    source.Delay = std::chrono::milliseconds(i * 3);
    auto daemon = start(source);
    ASSERT_TRUE(daemon.ok()) << daemon.status();
    std::this_thread::sleep_for(std::chrono::milliseconds(i * 2));
    (*daemon)->shutDown();
    daemon->reset();
  }
}

TEST_F(PacketDaemonTest, ATakenPortIsAnErrorWithStepAndPeer) {
  DelayedSource source;
  auto first = start(source);
  ASSERT_TRUE(first.ok());
  auto second = start(source);
  ASSERT_FALSE(second.ok());
  EXPECT_EQ(second.status().code(), absl::StatusCode::kAlreadyExists);
}

} // namespace
} // namespace balsamrack

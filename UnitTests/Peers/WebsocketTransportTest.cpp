#include "Balsamrack/Peers/WebsocketTransport.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Errors.h"
#include "UnitTests/Http/ReservedPort.h"
#include "UnitTests/Http/ScriptedServer.h"
#include "UnitTests/Peers/PeerSamples.h"
#include "UnitTests/Peers/TransportPeer.h"

namespace balsamrack {
namespace {

const CancelRequest Small{{1}};

Forward withBody(size_t bytes) {
  Forward f;
  f.Content.Body = std::string(bytes, 'x');
  return f;
}

TEST(WebsocketTransportTest, EachMessageArrivesInOrder) {
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  std::vector<std::string> sent;
  for (const PeerMessage &m : samplePeerMessages())
    if (!std::holds_alternative<Hello>(m)) {
      ASSERT_TRUE(a.Transport->send(b.vm(), m).ok());
      sent.push_back("vm-a " + encodePeerMessage(m));
    }
  EXPECT_TRUE(waitUntil([&] { return b.received().size() == sent.size(); }));
  EXPECT_EQ(b.received(), sent);
  TransportCounters out = a.Transport->counters();
  TransportCounters in = b.Transport->counters();
  EXPECT_GT(out.ControlBytesSent, out.DataBytesSent);
  EXPECT_GT(out.DataBytesSent, 0U);
  EXPECT_EQ(in.DataBytesReceived, out.DataBytesSent);
  EXPECT_EQ(in.ControlBytesReceived, out.ControlBytesSent);
}

TEST(WebsocketTransportTest, ManyThreadsSendBothWays) {
  constexpr size_t Threads = 4;
  constexpr size_t MessagesPerThread = 200;
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  std::vector<std::thread> senders;
  for (size_t t = 0; t < Threads; ++t)
    senders.emplace_back([&] {
      for (size_t i = 0; i < MessagesPerThread; ++i) {
        a.Transport->send(b.vm(), Small).IgnoreError();
        b.Transport->send(a.vm(), withBody(1000)).IgnoreError();
      }
    });
  for (std::thread &t : senders)
    t.join();
  EXPECT_TRUE(waitUntil([&] {
    return a.received().size() == Threads * MessagesPerThread &&
           b.received().size() == Threads * MessagesPerThread;
  }));
}

TEST(WebsocketTransportTest, LargeAnswersArriveWhole) {
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  const std::vector<PeerMessage> all = {withBody(4 << 20), withBody(3 << 19),
                                        Small};
  std::vector<std::string> sent;
  for (const PeerMessage &m : all) {
    ASSERT_TRUE(a.Transport->send(b.vm(), m).ok());
    sent.push_back("vm-a " + encodePeerMessage(m));
  }
  ASSERT_TRUE(waitUntil([&] { return b.received().size() == sent.size(); }));
  EXPECT_TRUE(b.received() == sent);
  absl::Status tooLarge = a.Transport->send(b.vm(), withBody(7 << 20));
  EXPECT_EQ(tooLarge.code(), absl::StatusCode::kInvalidArgument);
  EXPECT_EQ(stepOf(tooLarge), "send-to-peer");
  EXPECT_EQ(peerOf(tooLarge), "vm-b");
}

/// A sender with a given stall timeout, and whether its connection to a stalled
/// peer survives.
struct StalledPeer {
  const char *Name;
  int64_t StallTimeoutMillis;
  bool ExpectArrival;
};

class EachStalledPeer : public testing::TestWithParam<StalledPeer> {};

// A peer works on a message for 1.5 s, and the messages behind it fill its
// receive buffer. TCP treats a full buffer as silence, so the connection ends
// after the stall timeout, and messages written to it are lost although the
// peer is alive.
TEST_P(EachStalledPeer, LosesItsConnectionAfterTheStallTimeout) {
  PeerTransportSettings settings = TransportPeer::settingsFor("vm-a");
  settings.StallTimeout = Duration(GetParam().StallTimeoutMillis * 1000);
  TransportPeer a(settings);
  TransportPeer b("vm-b");
  std::unique_lock<std::mutex> blocked(b.ReceiveGate);
  ASSERT_TRUE(a.Transport->send(b.vm(), Small).ok());
  ASSERT_TRUE(waitUntil([&] { return b.received().size() == 1; }));
  ASSERT_TRUE(a.Transport->send(b.vm(), withBody(4 << 20)).ok());
  // The time until the first byte of the frame is sent is unknown, so the test
  // of the shorter timeout waits while the peer still reads nothing.
  if (GetParam().ExpectArrival) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    blocked.unlock();
    EXPECT_TRUE(waitUntil([&] { return b.received().size() == 2; }));
  } else {
    EXPECT_TRUE(waitUntil([&] { return a.hasEvent("lost vm-b"); }));
  }
  EXPECT_EQ(a.hasEvent("lost vm-b"), !GetParam().ExpectArrival);
}

INSTANTIATE_TEST_SUITE_P(Timeouts, EachStalledPeer,
                         testing::Values(StalledPeer{"Shorter", 300, false},
                                         StalledPeer{"Longer", 60'000, true}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// An owner's VM is gone. The entry VM must learn which requests were not sent,
// since only those may be placed again, and must not wait for a connect timeout
// on each further one.
TEST(WebsocketTransportTest, ReturnsMessagesForAnUnreachablePeer) {
  PeerTransportSettings settings = TransportPeer::settingsFor("vm-a");
  settings.MinBackoff = settings.MaxBackoff = Duration(300'000);
  TransportPeer a(settings);
  ReservedPort unusedPort;
  EntryVm gone{VmId("vm-x"), DomainId("bern-a"), unusedPort.at()};
  ASSERT_TRUE(a.Transport->send(gone, withBody(9)).ok());
  ASSERT_TRUE(waitUntil([&] { return a.hasEvent("lost vm-x"); }));
  EXPECT_EQ(a.events(),
            (std::vector<std::string>{"failed vm-x Forward", "lost vm-x"}));
  absl::Status again = a.Transport->send(gone, Small);
  EXPECT_EQ(again.code(), absl::StatusCode::kUnavailable);
  EXPECT_EQ(peerOf(again), "vm-x");
  EXPECT_TRUE(waitUntil([&] { return a.Transport->send(gone, Small).ok(); }));
}

// A daemon is killed while it runs a request. Written messages may have run;
// they must not be reported as unsent.
TEST(WebsocketTransportTest, WrittenMessagesAreNotReturned) {
  TransportPeer a("vm-a");
  auto b = std::make_unique<TransportPeer>("vm-b");
  ASSERT_TRUE(a.Transport->send(b->vm(), withBody(9)).ok());
  ASSERT_TRUE(waitUntil([&] { return b->received().size() == 1; }));
  b.reset();
  ASSERT_TRUE(waitUntil([&] { return a.hasEvent("lost vm-b"); }));
  EXPECT_EQ(a.events(), std::vector<std::string>{"lost vm-b"});
}

TEST(WebsocketTransportTest, RestartedPeerIsReachedAgain) {
  ReservedPort port;
  PeerTransportSettings settings = TransportPeer::settingsFor("vm-b");
  settings.Listen = port.at();
  TransportPeer a("vm-a");
  auto b = std::make_unique<TransportPeer>(settings);
  EntryVm vm = b->vm();
  ASSERT_TRUE(a.Transport->send(vm, Small).ok());
  ASSERT_TRUE(waitUntil([&] { return b->received().size() == 1; }));
  b.reset();
  settings.Run = {2};
  b = std::make_unique<TransportPeer>(settings);
  EXPECT_TRUE(waitUntil([&] {
    a.Transport->send(vm, Small).IgnoreError();
    return !b->received().empty();
  }));
}

// A VM was replaced and its address given to another VM, while the VM list
// still contains the old one. The new VM must not receive the old one's
// requests.
TEST(WebsocketTransportTest, AnotherVmAtTheAddressGetsNothing) {
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  EntryVm old = b.vm();
  old.Id = VmId("vm-old");
  ASSERT_TRUE(a.Transport->send(old, Small).ok());
  EXPECT_TRUE(waitUntil([&] { return a.hasEvent("lost vm-old"); }));
  EXPECT_TRUE(a.hasEvent("failed vm-old CancelRequest"));
  EXPECT_TRUE(b.received().empty());
}

TEST(WebsocketTransportTest, SilentPeerFailsAfterTheConnectTimeout) {
  ScriptedServer silent([](RawConnection c, int) { c.readToEnd(); });
  PeerTransportSettings settings = TransportPeer::settingsFor("vm-a");
  settings.ConnectTimeout = Duration(100'000);
  TransportPeer a(settings);
  EntryVm vm{VmId("vm-s"), DomainId("d"), silent.at()};
  ASSERT_TRUE(a.Transport->send(vm, Small).ok());
  EXPECT_TRUE(waitUntil([&] { return a.hasEvent("lost vm-s"); }));
  EXPECT_TRUE(a.hasEvent("failed vm-s CancelRequest"));
}

TEST(WebsocketTransportTest, QueueIsBounded) {
  ScriptedServer silent([](RawConnection c, int) { c.readToEnd(); });
  PeerTransportSettings settings = TransportPeer::settingsFor("vm-a");
  settings.MaxQueuedMessages = 2;
  settings.MaxQueuedBytes = 1000;
  TransportPeer a(settings);
  EntryVm vm{VmId("vm-s"), DomainId("d"), silent.at()};
  EXPECT_TRUE(a.Transport->send(vm, Small).ok());
  EXPECT_EQ(a.Transport->send(vm, withBody(1000)).code(),
            absl::StatusCode::kResourceExhausted);
  EXPECT_TRUE(a.Transport->send(vm, Small).ok());
  EXPECT_EQ(a.Transport->send(vm, Small).code(),
            absl::StatusCode::kResourceExhausted);
}

TEST(WebsocketTransportTest, StopSendsWhatIsQueuedAndThenNothing) {
  constexpr size_t MessageTotal = 500;
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  for (size_t i = 0; i < MessageTotal; ++i)
    ASSERT_TRUE(a.Transport->send(b.vm(), withBody(1000)).ok());
  a.Transport->stop();
  EXPECT_EQ(a.Transport->send(b.vm(), Small).code(),
            absl::StatusCode::kUnavailable);
  EXPECT_TRUE(waitUntil([&] { return b.received().size() == MessageTotal; }));
}

// Guards against requests that a stopping daemon neither handles nor returns,
// so that their callers get an unknown outcome.
TEST(WebsocketTransportTest, StopLosesNoMessageOnItsWay) {
  constexpr size_t MessageTotal = 500;
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  std::unique_lock<std::mutex> blocked(b.ReceiveGate);
  for (size_t i = 0; i < MessageTotal; ++i)
    ASSERT_TRUE(a.Transport->send(b.vm(), withBody(1000)).ok());
  ASSERT_TRUE(waitUntil([&] { return b.received().size() == 1; }));
  std::thread stopper([&] { b.Transport->stop(); });
  blocked.unlock();
  stopper.join();
  EXPECT_TRUE(waitUntil([&] {
    std::vector<std::string> events = a.events();
    auto returned = static_cast<size_t>(
        std::count(events.begin(), events.end(), "failed vm-b Forward"));
    return b.received().size() + returned == MessageTotal;
  }));
}

// Guards against unknown outcomes of requests that a stopping daemon answers
// after it has refused further ones.
TEST(WebsocketTransportTest, AStoppingPeerAnswersBeforeItIsLost) {
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  EntryVm stopping = b.vm();
  ASSERT_TRUE(a.Transport->send(stopping, Small).ok());
  ASSERT_TRUE(waitUntil([&] { return b.received().size() == 1; }));
  EXPECT_TRUE(b.Transport->stopReceiving(Duration(60'000'000)));
  // Further messages are known to be unsent.
  EXPECT_EQ(a.Transport->send(stopping, withBody(9)).code(),
            absl::StatusCode::kUnavailable);
  ASSERT_TRUE(b.Transport->send(a.vm(), Small).ok());
  EXPECT_TRUE(waitUntil([&] { return a.received().size() == 1; }));
  EXPECT_FALSE(a.hasEvent("lost vm-b"));
  b.Transport->stop();
  EXPECT_TRUE(waitUntil([&] { return a.hasEvent("lost vm-b"); }));
}

// Guards against a request that is counted as lost with its owner, and sent on
// the next connection all the same.
TEST(WebsocketTransportTest, ACancelledForwardIsNotQueued) {
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  std::atomic<bool> cancelled{true};
  EXPECT_EQ(a.Transport->sendForward(b.vm(), withBody(9), cancelled).code(),
            absl::StatusCode::kUnavailable);
  cancelled = false;
  EXPECT_TRUE(a.Transport->sendForward(b.vm(), withBody(8), cancelled).ok());
  ASSERT_TRUE(waitUntil([&] { return !b.received().empty(); }));
  EXPECT_EQ(b.received(),
            std::vector<std::string>{"vm-a " + encodePeerMessage(withBody(8))});
}

// Guards against a daemon that announces its leave before its peers have
// handled the keys that it handed over.
TEST(WebsocketTransportTest, FlushWaitsUntilPeersHaveHandledMessages) {
  TransportPeer a("vm-a");
  TransportPeer b("vm-b");
  std::unique_lock<std::mutex> blocked(b.ReceiveGate);
  ASSERT_TRUE(a.Transport->send(b.vm(), Small).ok());
  ASSERT_TRUE(a.Transport->send(b.vm(), Small).ok());
  ASSERT_TRUE(waitUntil([&] { return b.received().size() == 1; }));
  EXPECT_FALSE(a.Transport->flush(Duration(20'000)));
  blocked.unlock();
  EXPECT_TRUE(a.Transport->flush(Duration(60'000'000)));
  EXPECT_EQ(b.received().size(), 2U);
}

TEST(WebsocketTransportTest, ReportsListenErrors) {
  TransportPeer a("vm-a");
  PeerTransportSettings settings = TransportPeer::settingsFor("vm-b");
  settings.Listen = a.vm().PeerAt;
  auto result = WebsocketTransport::create(settings, a);
  EXPECT_EQ(result.status().code(), absl::StatusCode::kAlreadyExists);
  EXPECT_EQ(stepOf(result.status()), "listen");
  settings.Listen.Port = 0;
  settings.Allowed = {"nowhere"};
  EXPECT_EQ(WebsocketTransport::create(settings, a).status().code(),
            absl::StatusCode::kInvalidArgument);
}

struct UnauthorizedPeer {
  const char *Name;
  const char *Key;
  const char *Allowed;
};

class EachUnauthorizedPeer : public testing::TestWithParam<UnauthorizedPeer> {};

// A daemon of a test fleet is configured with a production VM by mistake. Its
// old tickets and its member list must not be accepted.
TEST_P(EachUnauthorizedPeer, IsRejected) {
  PeerTransportSettings acceptorSettings = TransportPeer::settingsFor("vm-b");
  acceptorSettings.Allowed = {GetParam().Allowed};
  TransportPeer b(acceptorSettings);
  PeerTransportSettings settings = TransportPeer::settingsFor("vm-a");
  settings.FleetKey = GetParam().Key;
  TransportPeer a(settings);
  ASSERT_TRUE(a.Transport->send(b.vm(), Small).ok());
  EXPECT_TRUE(waitUntil([&] { return a.hasEvent("lost vm-b"); }));
  EXPECT_TRUE(a.hasEvent("failed vm-b CancelRequest"));
  EXPECT_TRUE(b.received().empty());
  EXPECT_EQ(a.Transport->counters().PeersRefused +
                b.Transport->counters().PeersRefused,
            1U);
}

INSTANTIATE_TEST_SUITE_P(
    Peers, EachUnauthorizedPeer,
    testing::Values(UnauthorizedPeer{"OtherKey", "another key", "127.0.0.1"},
                    UnauthorizedPeer{"NoKey", "", "127.0.0.1"},
                    UnauthorizedPeer{"OtherAddress", "key of the fleet",
                                     "10.0.0.0/8"}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

#include <algorithm>

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

/// A router with four servers of two slots each, and load.admission on. The
/// limit is 8 * 2 / slotUse() requests.
class PacketAdmissionTest : public testing::Test {
protected:
  PacketAdmissionTest() : Bench(1, settings()) {
    Bench.Timeout = 2000 * Millisecond;
    Bench.Priorities = {{443, 2}, {444, 1}};
    configure(1, {{443, "booking"}, {444, "booking"}});
    Bench.publishServers({{"b1", "bern-a"},
                          {"b2", "bern-a"},
                          {"b3", "bern-b"},
                          {"b4", "bern-b"}});
  }
  static PacketRouterSettings settings() {
    PacketRouterSettings s = PacketRouterHarness::settings();
    s.Load.Admission = true;
    return s;
  }
  void configure(uint64_t version,
                 const std::vector<std::pair<uint16_t, std::string>> &routes) {
    Bench.configure(version, routes, 0, 400 * Millisecond);
  }
  /// Opens flows with a request each that is not answered.
  void open(uint16_t from, uint16_t count) {
    for (uint16_t i = from; i < from + count; ++i) {
      Bench.sendOpening(i);
      Bench.sendRequest(i, Bench.lastToken(), 0);
    }
  }
  /// Ends the given requests and their flows after 100 ms.
  void learnRequestTime() {
    open(1, 4);
    Bench.advance(100 * Millisecond);
    for (uint16_t i = 1; i <= 4; ++i)
      Bench.acknowledgeAnswer(i, Bench.lastToken(), 0);
  }
  /// Brings the service to its limit and lets one opening wait.
  void fill() {
    learnRequestTime();
    open(100, 17);
    Bench.advance(500 * Millisecond);
    Bench.sendOpening(200);
    ASSERT_TRUE(Bench.Router.admissionStatus().at(0).Short);
    ASSERT_EQ(Bench.Router.heldOpenings(), 1U);
  }
  size_t resetsOf(uint16_t caller) const {
    return static_cast<size_t>(std::count_if(
        Bench.Out.Resets.begin(), Bench.Out.Resets.end(), [&](const auto &it) {
          return it.Flow.Caller == PacketRouterHarness::key(caller).Caller;
        }));
  }
  bool isPlaced(uint16_t caller) {
    return Bench.Router.explain(Bench.Now, PacketRouterHarness::key(caller))
        .Known;
  }

  PacketRouterHarness Bench;
};

// Guards against an opening that is neither placed nor refused before its
// caller's first copy, at which another daemon may place it.
TEST_F(PacketAdmissionTest, AWaitEndsWithin180Milliseconds) {
  fill();
  FlowExplanation why =
      Bench.Router.explain(Bench.Now, PacketRouterHarness::key(200));
  ASSERT_TRUE(why.Admission && why.Admission->Waits);
  EXPECT_GT(why.Admission->Forecast.ExpectedWait, Duration(0));
  Bench.advance(180 * Millisecond);
  EXPECT_EQ(Bench.Router.heldOpenings(), 0U);
  EXPECT_EQ(resetsOf(200), 1U);
  EXPECT_TRUE(
      Bench.Out.reported(PacketEventKind::Refused, PacketReason::NoRoom));
}

// Guards against a wait that goes on although a request has ended, and against
// a held opening whose copies later count as delayed.
TEST_F(PacketAdmissionTest, AFreeSlotEndsTheWait) {
  fill();
  Bench.advance(20 * Millisecond);
  for (uint16_t i = 100; i < 103; ++i)
    Bench.sendOnFlow(i, Bench.lastToken(), 0, true);
  EXPECT_TRUE(isPlaced(200));
  EXPECT_TRUE(Bench.Out.reported(PacketEventKind::Waited, PacketReason::None));
}

// Guards against a reset of an opening of which another daemon may have placed
// a copy, when the process had no processor time.
TEST_F(PacketAdmissionTest, NothingIsRefusedAfterAStall) {
  fill();
  Bench.Now += 300 * Millisecond;
  Bench.Router.tick(Bench.Now, Bench.Out);
  // It waited in the socket meanwhile.
  Bench.sendOpening(201);
  Bench.advance(1000 * Millisecond);
  EXPECT_EQ(resetsOf(200), 0U);
  EXPECT_EQ(resetsOf(201), 0U);
  EXPECT_EQ(Bench.Router.heldOpenings(), 0U);
}

// Guards against an opening that is placed twice, or reset, after a copy of it
// was placed when the routes were outdated.
TEST_F(PacketAdmissionTest, ACopyThatWasPlacedMeanwhileEndsTheWait) {
  fill();
  Bench.Router.setStale();
  Bench.sendOpening(200, 1);
  Bench.Router.setFresh();
  size_t sent = Bench.Out.Sent.size();
  Bench.advance(10 * Millisecond);
  EXPECT_EQ(Bench.Out.Sent.size(), sent + 1);
  Bench.advance(200 * Millisecond);
  EXPECT_EQ(resetsOf(200), 0U);
  EXPECT_EQ(Bench.Router.heldOpenings(), 0U);
}

// Guards against decisions by an outdated configuration.
TEST_F(PacketAdmissionTest, WaitingOpeningsFollowANewConfiguration) {
  fill();
  Bench.sendOpening(201, 0, 444);
  configure(2, {{444, "booking"}});
  Bench.advance(5 * Millisecond);
  EXPECT_EQ(resetsOf(200), 1U);
  EXPECT_TRUE(
      Bench.Out.reported(PacketEventKind::Refused, PacketReason::NoRoute));
  EXPECT_EQ(resetsOf(201), 0U);
}

// Guards against openings that are lost with a daemon that stops.
TEST_F(PacketAdmissionTest, AllArePlacedBeforeTheDaemonStops) {
  fill();
  Bench.Router.releaseOpenings();
  EXPECT_LE(Bench.Router.nextWakeup(), Bench.Now);
  Bench.Router.tick(Bench.Now, Bench.Out);
  EXPECT_TRUE(isPlaced(200));
  Bench.sendOpening(201);
  EXPECT_TRUE(isPlaced(201));
}

// Guards against openings that wait for servers that are gone.
TEST_F(PacketAdmissionTest, NothingWaitsWithoutServers) {
  fill();
  Bench.takeDomainOut("bern-a");
  Bench.takeDomainOut("bern-b");
  Bench.advance(5 * Millisecond);
  EXPECT_EQ(Bench.Router.heldOpenings(), 0U);
}

// Guards against requests at servers that are out of service, or no longer
// known, that count against the slots of the others.
TEST_F(PacketAdmissionTest, OnlyRequestsAtUsableServersCount) {
  learnRequestTime();
  open(100, 8);
  EXPECT_EQ(Bench.Router.admissionStatus().at(0).Inputs.InProgress, 8U);
  Bench.takeDomainOut("bern-b");
  EXPECT_EQ(Bench.Router.admissionStatus().at(0).Inputs.InProgress, 4U);
  EXPECT_EQ(Bench.Router.admissionStatus().at(0).Inputs.Slots, 4);
  for (uint16_t i = 100; i < 108; ++i)
    Bench.sendOnFlow(i, Bench.lastToken(), 0, true);
  EXPECT_EQ(Bench.Router.admissionStatus().at(0).Inputs.InProgress, 0U);
}

// Guards against placing a held opening after a stall in which its next copy
// may have opened the flow through another daemon.
TEST_F(PacketAdmissionTest, AHeldOpeningOfAnOpenFlowIsNotPlaced) {
  fill();
  size_t sent = Bench.Out.Sent.size();
  // The next copy opens the flow through another daemon meanwhile.
  Bench.Now += 700 * Millisecond;
  Bench.Router.tick(Bench.Now, Bench.Out);
  for (uint16_t i = 100; i < 110; ++i)
    Bench.sendOnFlow(i, 0, 0, true);
  Bench.advance(20 * Millisecond);
  EXPECT_FALSE(isPlaced(200));
  EXPECT_EQ(Bench.Router.heldOpenings(), 0U);
  (void)sent;
}

// As above, after a suspension.
TEST_F(PacketAdmissionTest, AHeldOpeningIsNotPlacedAfterASuspension) {
  fill();
  Bench.Now += 1500 * Millisecond;
  Bench.Router.setStale();
  Bench.Router.tick(Bench.Now, Bench.Out);
  Bench.Now += 25 * Millisecond;
  Bench.Router.setFresh();
  Bench.Router.tick(Bench.Now, Bench.Out);
  Bench.advance(20 * Millisecond);
  EXPECT_FALSE(isPlaced(200));
}

// As above, when the daemon stops.
TEST_F(PacketAdmissionTest, AHeldOpeningOfAnOpenFlowIsNotReleased) {
  fill();
  Bench.Now += 700 * Millisecond;
  Bench.Router.releaseOpenings();
  Bench.Router.tick(Bench.Now, Bench.Out);
  EXPECT_FALSE(isPlaced(200));
}

} // namespace
} // namespace balsamrack

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

/// A daemon that has started and knows only some of the published servers.
class PartialServersTest : public testing::Test {
protected:
  PartialServersTest() { Bench.HasAllServers = false; }

  PacketRouterHarness Bench;
};

// Guards against refusing a caller of a service whose servers are merely not
// known yet after a start.
TEST_F(PartialServersTest, AnOpeningWaitsForTheFirstServerOfItsService) {
  Bench.configure(1, {{443, "booking"}});
  Bench.publishServers({{"b9", "bern-a", "plans"}});
  Bench.sendOpening(1);
  EXPECT_TRUE(Bench.Out.Resets.empty());
  EXPECT_TRUE(Bench.Out.Sent.empty());
  Bench.publishServers({{"b1", "bern-a"}});
  Bench.advance(Duration(5'000));
  EXPECT_EQ(Bench.lastTag(), 1U);
}

// Guards against refusing a caller because the known servers are cold and have
// had their part, while others are not known yet.
TEST_F(PartialServersTest, AnOpeningForWhichAllKnownServersAreColdIsDropped) {
  constexpr uint16_t Openings = 10;
  Bench.configure(1, {{443, "booking"}}, 0.01);
  Bench.publishServers(
      {{"b1", "bern-a", "booking", ServerMode::Active, Duration(60'000'000)}});
  for (uint16_t caller = 1; caller <= Openings; ++caller)
    Bench.sendOpening(caller);
  EXPECT_LE(Bench.Out.Sent.size(), 1U);
  EXPECT_TRUE(Bench.Out.Resets.empty());
}

// Guards against openings that wait for ever: the caller's next copy may reach
// a daemon that knows a server.
TEST_F(PartialServersTest, AnOpeningWaitsForALimitedTime) {
  Bench.configure(1, {{443, "booking"}});
  Bench.publishServers({{"b9", "bern-a", "plans"}});
  Bench.sendOpening(1);
  Bench.advance(Duration(400'000));
  Bench.publishServers({{"b1", "bern-a"}});
  Bench.advance(Duration(5'000));
  EXPECT_TRUE(Bench.Out.Sent.empty());
  EXPECT_TRUE(Bench.Out.Resets.empty());
}

// Guards against holding callers back once it is known that there is no server.
TEST_F(PartialServersTest, AWaitingOpeningIsRefusedOnceAllServersAreKnown) {
  Bench.configure(1, {{443, "booking"}});
  Bench.publishServers({{"b9", "bern-a", "plans"}});
  Bench.sendOpening(1);
  Bench.HasAllServers = true;
  Bench.publishServers({{"b8", "bern-a", "plans"}});
  Bench.advance(Duration(5'000));
  EXPECT_EQ(Bench.Out.Resets.size(), 1U);
}

// Guards against a reset of an open flow whose server is not known yet.
TEST_F(PartialServersTest, APacketOfAFlowToAnUnknownServerIsDropped) {
  Bench.configure(1, {{443, "booking"}});
  Bench.publishServers({{"b1", "bern-a"}});
  Bench.sendOnFlow(7, tokenOf(ServerId("b2")));
  EXPECT_TRUE(Bench.Out.Resets.empty());
  EXPECT_TRUE(Bench.Out.Sent.empty());
  Bench.publishServers({{"b2", "bern-b"}});
  Bench.sendOnFlow(7, tokenOf(ServerId("b2")));
  EXPECT_EQ(Bench.lastTag(), 2U);
}

// Guards against shares of slots that are too small: the servers that are known
// first are used by the daemons of one failure domain only.
TEST_F(PartialServersTest, SharesAreThoseAmongTheDaemonsOfTheDomain) {
  Bench.Router.setFleet({400, 8, 4, 0});
  Bench.publishDefaults();
  double shares = 0;
  for (const ServerEntry &server : Bench.Router.servers().all())
    shares += server.Share;
  double slots = 0;
  for (const ServerEntry &server : Bench.Router.servers().all())
    slots += server.Backend.Published->Server.Slots;
  EXPECT_DOUBLE_EQ(shares, slots / 4);
}

// Guards against too much load on the few servers of the own failure domain
// that are known after a start.
TEST_F(PartialServersTest, KnownServersOfAllDomainsAreUsedEqually) {
  constexpr uint16_t Openings = 200;
  Bench.publishDefaults();
  size_t inOwnDomain = 0;
  for (uint16_t caller = 1; caller <= Openings; ++caller) {
    Bench.sendOpening(caller);
    inOwnDomain += Bench.lastTag() <= 2 ? 1 : 0;
    Bench.sendOnFlow(caller, Bench.lastToken(), 0, true);
  }
  EXPECT_NEAR(static_cast<double>(inOwnDomain), Openings / 2.0, Openings / 8.0);
}

} // namespace
} // namespace balsamrack

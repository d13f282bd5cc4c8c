#include <unordered_map>

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

/// Two servers whose ids have the same token; the first one started earlier.
class SharedTokenTest : public testing::Test {
protected:
  SharedTokenTest() {
    std::unordered_map<uint32_t, int> numbers;
    for (int i = 1; First == 0; ++i) {
      auto [it, isNew] =
          numbers.emplace(tokenOf(ServerId("b" + std::to_string(i))), i);
      if (isNew)
        continue;
      Second = static_cast<uint64_t>(it->second);
      First = static_cast<uint64_t>(i);
    }
    Bench.configure(1, {{443, "booking"}});
  }
  static PacketRouterHarness::ServerSpec
  server(uint64_t number, uint64_t born, ServerMode mode = ServerMode::Active) {
    return {"b" + std::to_string(number),
            "bern-a",
            "booking",
            mode,
            Duration(0),
            born,
            "10.0.1." + std::to_string(born)};
  }
  /// Returns the number of \p n new flows that are sent to server \p number.
  size_t countFlowsTo(uint64_t number, uint16_t n = 20) {
    size_t sent = 0;
    for (uint16_t i = 0; i < n; ++i) {
      Bench.sendOpening(++Callers);
      sent += Bench.lastTag() == number ? 1 : 0;
    }
    return sent;
  }

  uint64_t First = 0, Second = 0;
  uint16_t Callers = 0;
  PacketRouterHarness Bench;
};

// Guards against packets of an open flow that are forwarded to another server
// with the same token, which resets the flow.
TEST_F(SharedTokenTest, OnlyTheServerThatStartedFirstGetsNewFlows) {
  Bench.publishServers({server(Second, 2), server(First, 1)});
  EXPECT_GT(countFlowsTo(First), 0U);
  EXPECT_EQ(countFlowsTo(Second), 0U);
  Bench.sendOnFlow(500, tokenOf(ServerId("b" + std::to_string(First))));
  EXPECT_EQ(Bench.lastTag(), First);
}

// Guards against the same while the first server drains and keeps its flows.
TEST_F(SharedTokenTest, ADrainingServerKeepsItsToken) {
  Bench.publishServers({server(Second, 2), server(First, 1), server(0, 3)});
  Bench.publishServers({server(First, 1, ServerMode::Draining)});
  EXPECT_EQ(countFlowsTo(Second), 0U);
  Bench.sendOnFlow(500, tokenOf(ServerId("b" + std::to_string(First))));
  EXPECT_EQ(Bench.lastTag(), First);
}

// Guards against a server that never gets flows, because another one that is
// gone had its token.
TEST_F(SharedTokenTest, TheTokenPassesOnWhenTheFirstServerIsGone) {
  Bench.publishServers({server(Second, 2), server(First, 1)});
  Bench.publishServers({server(First, 1, ServerMode::Draining)});
  Bench.removeServers({"b" + std::to_string(First)});
  EXPECT_GT(countFlowsTo(Second), 0U);
  Bench.sendOnFlow(500, tokenOf(ServerId("b" + std::to_string(First))));
  EXPECT_EQ(Bench.lastTag(), Second);
}

} // namespace
} // namespace balsamrack

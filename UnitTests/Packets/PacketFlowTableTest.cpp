#include "Balsamrack/Packets/PacketFlowTable.h"

#include <vector>

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr TimePoint Start{Duration(1'000'000)};
constexpr Duration OpenRetention{20'000'000};
constexpr Duration OpeningRetention{2'000'000};

FlowKey key(uint16_t port) { return {{0x0a000001, port}, {0xc6120001, 443}}; }

Duration idleLimitOf(const TrackedFlow &) { return Duration(2'000'000); }

Duration retentionOf(const TrackedFlow &flow) {
  return flow.Stage == FlowStage::Open ? OpenRetention : OpeningRetention;
}

// A caller disappears during an open flow, which is then retained for 20 s. A
// second later an opening stays unanswered. If timers are processed in the
// order in which they were added instead of the order of expiry, the slot of
// the opening counts as taken until the first flow expires, and new flows avoid
// an idle server.
TEST(PacketFlowTableTest, ALongTimerDoesNotDelayOthers) {
  PacketFlowTable memory(100);
  TrackedFlow *open = memory.add(Start, key(1));
  open->Stage = FlowStage::Open;
  int quiet = 0;
  auto onQuiet = [&](const FlowKey &, TrackedFlow &flow, bool) {
    quiet += flow.Stage == FlowStage::Opening ? 1 : 0;
  };
  for (TimePoint now = Start; now < Start + Duration(3'000'000);
       now += Duration(100'000)) {
    memory.processTimers(now, idleLimitOf, retentionOf, onQuiet);
    if (now == Start + Duration(2'500'000))
      memory.add(now, key(2));
  }
  for (TimePoint now = Start + Duration(3'000'000);
       now < Start + Duration(6'000'000); now += Duration(100'000))
    memory.processTimers(now, idleLimitOf, retentionOf, onQuiet);
  EXPECT_EQ(quiet, 1);
  EXPECT_EQ(memory.find(key(2)), nullptr);
  EXPECT_NE(memory.find(key(1)), nullptr);
}

TEST(PacketFlowTableTest, IsBounded) {
  PacketFlowTable memory(2);
  EXPECT_NE(memory.add(Start, key(1)), nullptr);
  EXPECT_NE(memory.add(Start, key(2)), nullptr);
  EXPECT_EQ(memory.add(Start, key(3)), nullptr);
}

struct RoomCase {
  const char *Name;
  FlowStage First;  ///< Of the flow that was added first.
  FlowStage Second; ///< Of the other one.
  size_t Left;      ///< Flows that are left.
};

class EachFullTable : public testing::TestWithParam<RoomCase> {};

// Guards against a new flow that is not tracked because the table is full of
// flows that their tokens identify, and against removing a handshake.
TEST_P(EachFullTable, MakesRoomForAnOpening) {
  PacketFlowTable memory(2);
  memory.add(Start, key(1))->Stage = GetParam().First;
  memory.add(Start + Duration(1'000), key(2))->Stage = GetParam().Second;
  std::vector<FlowStage> removed;
  memory.makeRoom(Start + Duration(2'000),
                  [&](const TrackedFlow &it) { removed.push_back(it.Stage); });
  EXPECT_EQ(memory.size(), GetParam().Left);
  EXPECT_EQ(removed.size(), 2 - GetParam().Left);
  for (FlowStage it : removed)
    EXPECT_NE(it, FlowStage::Opening);
  EXPECT_EQ(memory.add(Start, key(3)) != nullptr, GetParam().Left < 2);
}

INSTANTIATE_TEST_SUITE_P(
    Tables, EachFullTable,
    testing::Values(
        RoomCase{"OpenFlows", FlowStage::Open, FlowStage::Open, 1},
        RoomCase{"ARelayedFlow", FlowStage::Opening, FlowStage::Relayed, 1},
        RoomCase{"AClosingFlow", FlowStage::Closing, FlowStage::Opening, 1},
        RoomCase{"Handshakes", FlowStage::Opening, FlowStage::Opening, 2}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(PacketFlowTableTest, AnActiveFlowIsKept) {
  PacketFlowTable memory(10);
  memory.add(Start, key(1))->Stage = FlowStage::Open;
  int quiet = 0;
  for (TimePoint now = Start; now < Start + Duration(60'000'000);
       now += Duration(500'000)) {
    memory.find(key(1))->LastSeen = now;
    memory.processTimers(
        now, idleLimitOf, retentionOf,
        [&](const FlowKey &, TrackedFlow &, bool) { ++quiet; });
    ASSERT_NE(memory.find(key(1)), nullptr);
  }
  EXPECT_EQ(quiet, 0);
}

} // namespace
} // namespace balsamrack

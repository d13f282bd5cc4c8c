#include "Balsamrack/Packets/PacketFlowTable.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr TimePoint Start{Duration(1'000'000)};
constexpr Duration OpenKeep{20'000'000};
constexpr Duration OpeningKeep{2'000'000};

FlowKey key(uint16_t port) { return {{0x0a000001, port}, {0xc6120001, 443}}; }

Duration quietOf(const TrackedFlow &) { return Duration(2'000'000); }

Duration keepOf(const TrackedFlow &flow) {
  return flow.Stage == FlowStage::Open ? OpenKeep : OpeningKeep;
}

// Story: a caller vanishes in the middle of an open flow, which is then kept
// for twenty seconds. A second later an opening gets no answer. Its slot of the
// server was counted as taken until the first flow's time was over, so that new
// flows avoided a server that stood idle.
// Cause: looks at flows waited in the order in which they were planned, not in
// the order of their times.
TEST(PacketFlowTableTest, ALongWaitHoldsUpNoOtherFlow) {
  PacketFlowTable memory(100);
  TrackedFlow *open = memory.add(Start, key(1));
  open->Stage = FlowStage::Open;
  int quiet = 0;
  auto onQuiet = [&](const FlowKey &, TrackedFlow &flow, bool) {
    quiet += flow.Stage == FlowStage::Opening ? 1 : 0;
  };
  for (TimePoint now = Start; now < Start + Duration(3'000'000);
       now += Duration(100'000)) {
    memory.processTimers(now, quietOf, keepOf, onQuiet);
    if (now == Start + Duration(2'500'000))
      memory.add(now, key(2));
  }
  for (TimePoint now = Start + Duration(3'000'000);
       now < Start + Duration(6'000'000); now += Duration(100'000))
    memory.processTimers(now, quietOf, keepOf, onQuiet);
  EXPECT_EQ(quiet, 1);
  EXPECT_EQ(memory.find(key(2)), nullptr);
  EXPECT_NE(memory.find(key(1)), nullptr);
}

TEST(PacketFlowTableTest, TakesNoMoreThanItsBound) {
  PacketFlowTable memory(2);
  EXPECT_NE(memory.add(Start, key(1)), nullptr);
  EXPECT_NE(memory.add(Start, key(2)), nullptr);
  EXPECT_EQ(memory.add(Start, key(3)), nullptr);
}

TEST(PacketFlowTableTest, AFlowThatSpeaksStays) {
  PacketFlowTable memory(10);
  memory.add(Start, key(1))->Stage = FlowStage::Open;
  int quiet = 0;
  for (TimePoint now = Start; now < Start + Duration(60'000'000);
       now += Duration(500'000)) {
    memory.find(key(1))->LastSeen = now;
    memory.processTimers(
        now, quietOf, keepOf,
        [&](const FlowKey &, TrackedFlow &, bool) { ++quiet; });
    ASSERT_NE(memory.find(key(1)), nullptr);
  }
  EXPECT_EQ(quiet, 0);
}

} // namespace
} // namespace balsamrack

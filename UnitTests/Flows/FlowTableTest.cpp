#include "Balsamrack/Flows/FlowTable.h"

#include <map>
#include <thread>

#include "UnitTests/Flows/SeededCheck.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {
namespace {

TimePoint at(int64_t seconds) {
  return TimePoint(std::chrono::seconds(1000 + seconds));
}

std::unique_ptr<FlowTable> table(size_t maxFlows, uint32_t shards,
                                 int64_t idleSeconds = 900) {
  FlowTableSettings s;
  s.MaxFlows = maxFlows;
  s.Shards = shards;
  s.MaxServers = 64;
  s.IdleTimeout = std::chrono::seconds(idleSeconds);
  return std::move(*FlowTable::create(s));
}

ServerId server(uint64_t n) { return ServerId(absl::StrCat("s-", n)); }

// Compares the table with a plain map under random bindings, moves and
// removals: lookups and counts must agree.
TEST(FlowTableTest, BehavesLikeAMap) {
  EXPECT_TRUE(seededCheck([] {
    auto t = table(1000, 2);
    std::map<uint64_t, uint64_t> model;
    auto steps = *rc::gen::inRange(0, 300);
    for (int i = 0; i < steps; ++i) {
      auto flow = *rc::gen::inRange<uint64_t>(1, 60);
      auto home = *rc::gen::inRange<uint64_t>(0, 4);
      switch (*rc::gen::inRange(0, 8)) {
      case 0:
        t->remove(FlowId{flow});
        model.erase(flow);
        break;
      case 1:
        t->removeServer(server(home));
        for (auto it = model.begin(); it != model.end();)
          it = it->second == home ? model.erase(it) : std::next(it);
        break;
      default:
        t->bind(at(0), FlowId{flow}, server(home));
        model[flow] = home;
      }
    }
    std::map<uint64_t, uint32_t> counts;
    for (uint64_t flow = 1; flow < 60; ++flow) {
      auto found = t->find(at(0), FlowId{flow});
      RC_ASSERT(found.has_value() == (model.count(flow) == 1));
      if (found) {
        RC_ASSERT(found->Server == server(model[flow]));
        ++counts[model[flow]];
      }
    }
    RC_ASSERT(t->size() == model.size());
    for (uint64_t s = 0; s < 4; ++s)
      RC_ASSERT(t->countFlows(server(s)) == counts[s]);
  }));
}

TEST(FlowTableTest, IdleFlowsAreForgotten) {
  auto t = table(1000, 2, 10);
  t->bind(at(0), FlowId{1}, server(1));
  t->bind(at(8), FlowId{2}, server(2));
  EXPECT_TRUE(t->find(at(9), FlowId{1}));
  EXPECT_FALSE(t->find(at(11), FlowId{1}));
  t->expire(at(11));
  EXPECT_EQ(t->size(), 1U);
  EXPECT_EQ(t->countFlows(server(1)), 0U);
  t->setIdleTimeout(server(2), std::chrono::seconds(1));
  EXPECT_FALSE(t->find(at(11), FlowId{2}));
}

// Guards against evicting established flows during a flood of flows that send a
// single packet, like a SYN flood: the table is full, but evicting established
// flows would interrupt their callers' work.
TEST(FlowTableTest, FloodOfNewFlowsDropsNoEstablishedFlow) {
  auto t = table(1600, 1);
  constexpr uint64_t Established = 800;
  for (int packet = 0; packet < 2; ++packet)
    for (uint64_t f = 1; f <= Established; ++f)
      t->bind(at(0), FlowId{f}, server(1));
  for (uint64_t f = 10'000; f < 60'000; ++f)
    t->bind(at(1), FlowId{f}, server(2));
  EXPECT_EQ(t->size(), 1600U);
  uint64_t kept = 0;
  for (uint64_t f = 1; f <= Established; ++f)
    kept += t->find(at(1), FlowId{f}).has_value() ? 1 : 0;
  EXPECT_EQ(kept, Established);
}

TEST(FlowTableTest, SmallEnoughPerFlow) {
  auto t = table(1'000'000, 128);
  constexpr uint32_t NumFlows = 300'000;
  for (uint64_t f = 1; f <= NumFlows; ++f)
    t->bind(at(0), FlowId{f}, server(f % 17));
  EXPECT_EQ(t->size(), NumFlows);
  EXPECT_LT(static_cast<double>(t->bytes()) / NumFlows, 64.0);
}

// Twelve threads bind, look up and remove flows concurrently; the counts must
// add up afterwards. The thread sanitizer build detects unguarded accesses.
TEST(FlowTableTest, ThreadsDoNotLoseFlows) {
  auto t = table(100'000, 64);
  std::vector<std::thread> threads;
  for (uint64_t n = 0; n < 12; ++n)
    threads.emplace_back([&t, n] {
      for (uint64_t f = 1; f <= 1000; ++f) {
        FlowId flow{n * 1000 + f};
        t->bind(at(0), flow, server(f % 5));
        EXPECT_TRUE(t->find(at(0), flow));
        if (f % 4 == 0)
          t->remove(flow);
      }
    });
  for (std::thread &it : threads)
    it.join();
  uint32_t sum = 0;
  for (uint64_t s = 0; s < 5; ++s)
    sum += t->countFlows(server(s));
  EXPECT_EQ(t->size(), 9000U);
  EXPECT_EQ(sum, 9000U);
}

// Guards against lookups that miss a flow while a writer moves its entry
// because other flows are added and removed. Its packet would go to another
// server.
TEST(FlowTableTest, ReadersNeverMissAFlowThatAWriterMoves) {
  auto t = table(10'000, 1);
  constexpr uint64_t Moved = 45;
  constexpr uint64_t Before = 1000;
  std::atomic<uint64_t> round{0}; // Odd while the moved flows must be found.
  std::atomic<bool> stop{false};
  std::atomic<uint64_t> missed{0};
  auto read = [&] {
    while (!stop)
      for (uint64_t f = 1; f <= Moved; ++f) {
        uint64_t seen = round;
        bool found = t->find(at(0), FlowId{f}).has_value();
        if (!found && seen % 2 == 1 && round == seen)
          ++missed;
      }
  };
  std::vector<std::thread> readers;
  readers.reserve(3);
  for (int n = 0; n < 3; ++n)
    readers.emplace_back(read);
  for (int n = 0; n < 5000; ++n) {
    // The flows added first occupy slots of the others, which move back when
    // the first ones are removed.
    for (uint64_t f = 1; f <= Moved; ++f)
      t->bind(at(0), FlowId{Before + f}, server(0));
    for (uint64_t f = 1; f <= Moved; ++f)
      t->bind(at(0), FlowId{f}, server(1));
    ++round;
    for (uint64_t f = 1; f <= Moved; ++f)
      t->remove(FlowId{Before + f});
    ++round;
    t->removeServer(server(1));
  }
  stop = true;
  for (std::thread &it : readers)
    it.join();
  EXPECT_EQ(missed, 0U);
}

TEST(FlowTableTest, SettingsOutOfRangeAreRefused) {
  FlowTableSettings s;
  s.Shards = 3;
  EXPECT_FALSE(FlowTable::create(s).ok());
  s.Shards = 4;
  s.MaxFlows = 2;
  EXPECT_FALSE(FlowTable::create(s).ok());
}

} // namespace
} // namespace balsamrack

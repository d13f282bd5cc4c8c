#include "PerformanceTest/FlowBaselines.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Flows/FlowRank.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr size_t ServerCount = 14;
constexpr size_t DaemonCount = 8;
constexpr size_t DrainedServer = 3;

std::vector<RankedServer> rankedServers(size_t count, bool skipDrained) {
  std::vector<RankedServer> list;
  for (size_t i = 0; i < count; ++i)
    if (!skipDrained || i != DrainedServer)
      list.push_back({ServerId(absl::StrCat("booking-", i)), 100});
  return list;
}

/// Modulo hashing over the servers that take flows: hash(flow) mod n.
double moduloBrokenPercent(size_t before, size_t after, size_t flows) {
  size_t moved = 0;
  for (uint64_t f = 1; f <= flows; ++f) {
    uint64_t hash = combineHash(f, 1);
    moved += hash % before != hash % after ? 1 : 0;
  }
  return 100.0 * static_cast<double>(moved) / static_cast<double>(flows);
}

/// Stateless rendezvous hashing over the servers that take flows, while half of
/// the daemons have the new list.
double rendezvousBrokenPercent(size_t flows) {
  auto oldList = rankedServers(ServerCount, false);
  auto newList = rankedServers(ServerCount + 1, true);
  FlowRank before(oldList);
  FlowRank after(newList);
  size_t moved = 0;
  for (uint64_t f = 1; f <= flows; ++f) {
    const ServerId &a = oldList[before.firstCandidate(FlowId{f})].Server;
    const ServerId &b = newList[after.firstCandidate(FlowId{f})].Server;
    moved += a != b ? 1 : 0;
  }
  return 100.0 * static_cast<double>(moved) / static_cast<double>(flows);
}

/// Each daemon has a flow table of its own and sends flows that are not in it
/// to a random server. Packets are distributed at random over the daemons.
double flowTableBrokenPercent(size_t flows) {
  SeededRandom random(1);
  std::vector<std::map<uint64_t, size_t>> tables(DaemonCount);
  auto routePacket = [&](uint64_t f) {
    auto &table = tables[random.below(DaemonCount)];
    return table.try_emplace(f, random.below(ServerCount)).first->second;
  };
  size_t broken = 0;
  for (uint64_t f = 1; f <= flows; ++f) {
    size_t home = routePacket(f);
    bool moved = false;
    for (int i = 0; i < 3; ++i)
      moved = routePacket(f) != home || moved;
    broken += moved ? 1 : 0;
  }
  return 100.0 * static_cast<double>(broken) / static_cast<double>(flows);
}

} // namespace

BaselineResult baselineFor(const std::string &change, size_t flows) {
  if (change == "server_join")
    return {"modulo_hashing",
            moduloBrokenPercent(ServerCount, ServerCount + 1, flows)};
  if (change == "server_drain")
    return {"modulo_hashing",
            moduloBrokenPercent(ServerCount, ServerCount - 1, flows)};
  if (change == "ticket_skew")
    return {"rendezvous_without_memory", rendezvousBrokenPercent(flows)};
  return {"flow_table_alone", flowTableBrokenPercent(flows)};
}

std::vector<uint32_t> moduloFlowsPerServer(size_t flows, uint64_t firstId) {
  std::vector<uint32_t> counts(ServerCount);
  for (uint64_t f = firstId + 1; f <= firstId + flows; ++f)
    ++counts[combineHash(f, 1) % ServerCount];
  return counts;
}

double bytesPerFlowInHashMap(uint64_t flows) {
  using Map = absl::flat_hash_map<FlowId, ServerId>;
  Map map;
  for (uint64_t f = 1; f <= flows; ++f)
    map.emplace(FlowId{f}, ServerId(absl::StrCat("s-", f % 17)));
  return static_cast<double>(map.capacity() * (sizeof(Map::value_type) + 1)) /
         static_cast<double>(flows);
}

double lockedMapLookups(uint64_t flows, size_t threads, double seconds) {
  std::mutex lock;
  absl::flat_hash_map<FlowId, ServerId> map;
  for (uint64_t f = 1; f <= flows; ++f)
    map.emplace(FlowId{f}, ServerId(absl::StrCat("s-", f % 17)));
  std::atomic<uint64_t> total{0};
  std::atomic<bool> stop{false};
  auto work = [&](uint64_t seed) {
    SeededRandom random(seed);
    uint64_t found = 0;
    while (!stop.load(std::memory_order_relaxed)) {
      FlowId flow{random.below(flows) + 1};
      std::lock_guard<std::mutex> guard(lock);
      ServerId home = map.find(flow)->second;
      found += home.empty() ? 0 : 1;
    }
    total += found;
  };
  std::vector<std::thread> workers;
  for (size_t t = 0; t < threads; ++t)
    workers.emplace_back(work, t);
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  stop = true;
  for (std::thread &it : workers)
    it.join();
  return static_cast<double>(total.load()) / seconds;
}

} // namespace balsamrack

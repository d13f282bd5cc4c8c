#include <ctime>

#include <gtest/gtest.h>

#include "Balsamrack/Packets/PacketRoutes.h"

namespace balsamrack {
namespace {

// A daemon starts after a power loss, and openings stay unanswered for 200 ms
// after the first updates have arrived. This happens when a builder without
// entries reports its next change as overdue: the thread that waits for updates
// then polls continuously and uses up the process's CPU quota.
TEST(PacketRoutesBuilderTest, AnEmptyBuilderHasNothingDue) {
  EXPECT_EQ(PacketRoutesBuilder().nextChange(), TimePoint(Duration::max()));
}

/// CPU time that a builder with \p servers servers needs to process the removal
/// of a quarter of them.
Duration measureRemovalTime(size_t servers) {
  PacketRoutesBuilder book;
  TimePoint now{Duration(1'000'000)};
  std::vector<PublishedObject> all, lost;
  for (size_t i = 0; i < servers; ++i) {
    auto made = std::make_shared<PublishedServer>();
    std::string id = "i-" + std::to_string(i);
    made->Server.Id = ServerId(id);
    made->Server.Service = ServiceId("booking");
    made->Server.Domain = DomainId("d" + std::to_string(i % 4));
    made->Server.At = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
    all.push_back({PublishedSection::Servers,
                   id,
                   {1},
                   std::shared_ptr<const PublishedServer>(made)});
    if (i % 4 == 0)
      lost.push_back({PublishedSection::Servers, id, {2}, std::monostate()});
  }
  book.applyServerChanges(now, all);
  auto processorTime = [] {
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return Duration(at.tv_sec * 1'000'000 + at.tv_nsec / 1'000);
  };
  Duration before = processorTime();
  book.applyServerChanges(now, lost);
  return processorTime() - before;
}

// The loss of all servers of a failure domain must not keep a daemon busy for
// seconds, as happens when each server is compared with all others.
TEST(PacketRoutesBuilderTest, LossOfADomainCostsLinearTime) {
  constexpr size_t Few = 500, TimesAsMany = 8;
  // Geometric mean of linear and quadratic growth.
  constexpr double MostGrowth = 8 * 2.83;
  Duration few = Duration::max(), many = Duration::max();
  for (int i = 0; i < 5; ++i) {
    few = std::min(few, measureRemovalTime(Few));
    many = std::min(many, measureRemovalTime(Few * TimesAsMany));
  }
  EXPECT_LE(static_cast<double>(many.count()),
            MostGrowth * static_cast<double>(few.count() + 1));
}

} // namespace
} // namespace balsamrack

#include <ctime>

#include <gtest/gtest.h>

#include "Balsamrack/Packets/PacketRoutes.h"

namespace balsamrack {
namespace {

// Story: after a loss of power a daemon starts and waits for its first updates.
// Callers' openings come at once, but the daemon answers none for a fifth of a
// second after the updates are there. Cause: a book without entries said that
// its next change was due since the beginning of time, so the thread that
// waited for updates looked without pause and used up the processor's
// allotment.
TEST(PacketRoutesBuilderTest, AnEmptyBookHasNothingDue) {
  EXPECT_EQ(PacketRoutesBuilder().nextChange(), TimePoint(Duration::max()));
}

/// Processor time of this thread that a book of \p servers needs to take in
/// that a quarter of them disappear.
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

// Guards against a daemon that is busy for seconds with the loss of a failure
// domain's servers: each was compared with all others.
TEST(PacketRoutesBuilderTest, TheLossOfADomainCostsWhatItsServersCost) {
  constexpr size_t Few = 500, TimesAsMany = 8;
  // Half way, in powers, from what grows with servers to what grows with their
  // square.
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

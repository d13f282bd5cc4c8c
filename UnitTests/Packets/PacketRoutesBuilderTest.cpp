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

/// Publishes server \p id of \p service at an address that all of these share.
void publishServer(PacketRoutesBuilder &book, const std::string &id,
                   const std::string &service, uint64_t born) {
  auto made = std::make_shared<PublishedServer>();
  made->Server.Id = ServerId(id);
  made->Server.Service = ServiceId(service);
  made->Server.Domain = DomainId("bern-a");
  made->Server.At = {"10.0.0.1", 8080};
  made->Born = born;
  book.applyServerChanges(TimePoint(Duration(1)),
                          {{PublishedSection::Servers,
                            id,
                            {born},
                            std::shared_ptr<const PublishedServer>(made)}});
}

/// Publishes a configuration that names \p services.
void publishServices(PacketRoutesBuilder &book, uint64_t version,
                     const std::vector<std::string> &services) {
  auto made = std::make_shared<OperatorConfiguration>();
  made->Version = version;
  for (const std::string &it : services)
    made->Services.push_back({ServiceId(it), 0});
  book.applyOperatorObjects(
      TimePoint(Duration(1)),
      {{PublishedSection::Operators,
        "config",
        {version},
        std::shared_ptr<const OperatorConfiguration>(made)}});
}

ServerPresence presenceIn(const PacketUpdate &update, const std::string &id) {
  for (const RoutedBackend &it : update.Changed)
    if (it.Published->Server.Id.str() == id)
      return it.Presence;
  ADD_FAILURE() << id << " is not in the update";
  return ServerPresence::Gone;
}

// Guards against an entry of another writer at the address of a live server,
// whose service no configuration names: flows of the server must go on.
TEST(PacketRoutesBuilderTest, AnEntryOfAnUnknownServiceReplacesNoServer) {
  PacketRoutesBuilder book;
  publishServices(book, 1, {"booking"});
  publishServer(book, "i-1", "booking", 10);
  publishServer(book, "i-2", "ledger", 20);
  EXPECT_EQ(presenceIn(book.takeUpdate(TimePoint(Duration(1))), "i-1"),
            ServerPresence::Listed);
  // A later configuration names the service, so the address was reassigned.
  publishServices(book, 2, {"booking", "ledger"});
  EXPECT_EQ(presenceIn(book.takeUpdate(TimePoint(Duration(1))), "i-1"),
            ServerPresence::Replaced);
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

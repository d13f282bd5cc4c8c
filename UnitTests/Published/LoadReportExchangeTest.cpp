#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Published/StateExchange.h"

namespace balsamrack {
namespace {

constexpr TimePoint Start{Duration(1'000'000)};

EntryVm makeVm(const char *id) {
  EntryVm vm;
  vm.Id = VmId(id);
  vm.Domain = DomainId("a");
  return vm;
}

/// The digests that \p exchange sends during one second.
std::vector<PublishedDigest> sentDigests(StateExchange &exchange,
                                         TimePoint from) {
  std::vector<PublishedDigest> digests;
  for (int i = 0; i < 10; ++i)
    for (const auto &action : exchange.tick(from + Duration(100'000) * i))
      if (const auto *to = std::get_if<SendStateMessage>(&action))
        if (const auto *digest = std::get_if<PublishedDigest>(&to->Message))
          digests.push_back(*digest);
  return digests;
}

// With the switch off nothing may be sent, so that a fleet without the part has
// the same control traffic as before.
TEST(LoadReportExchangeTest, DigestsCarryReportsOnlyIfThereAreAny) {
  SeededRandom random(1);
  StateExchange exchange({}, makeVm("1"), random);
  exchange.setPeers({makeVm("2")});
  for (const PublishedDigest &digest : sentDigests(exchange, Start))
    EXPECT_TRUE(digest.Loads.Reports.empty());
  int asked = 0;
  exchange.setLoadReporter([&](TimePoint) {
    ++asked;
    LoadReports reports;
    reports.Reports.emplace_back();
    return reports;
  });
  StateExchange peer({}, makeVm("2"), random);
  int received = 0;
  auto digests = sentDigests(exchange, Start + Duration(1'000'000));
  EXPECT_GT(digests.size(), 0U);
  for (const PublishedDigest &digest : digests)
    for (const auto &action :
         peer.handleDigest(TimePoint(), makeVm("1"), digest))
      if (const auto *it = std::get_if<LoadReportsReceived>(&action))
        received += static_cast<int>(it->Loads.Reports.size());
  EXPECT_EQ(received, asked);
}

} // namespace
} // namespace balsamrack

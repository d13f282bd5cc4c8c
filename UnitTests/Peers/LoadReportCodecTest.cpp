#include <cstdio>
#include <limits>

#include <gtest/gtest.h>

#include "Balsamrack/Peers/FieldArchive.h"
#include "Balsamrack/Peers/LoadReportFields.h"
#include "Balsamrack/Peers/PeerCodec.h"
#include "UnitTests/Peers/PeerSamples.h"

namespace balsamrack {
namespace {

/// A digest as sent by a daemon with state of both sections.
PublishedDigest digest() {
  SectionDigest section{{123'456}, {123'400},           ~uint64_t{1}, {120'000},
                        5'400,     Duration(1'234'567), ~uint64_t{2}, 1};
  PublishedDigest digest;
  digest.Digests = {section, section};
  return digest;
}

LoadReports reports(size_t n) {
  LoadReports all;
  for (size_t i = 0; i < n; ++i) {
    LoadReport it;
    it.Service = ~uint32_t(i);
    it.Domain = ~uint32_t(i + 100);
    it.Rate = 81.234 + static_cast<double>(i);
    it.Load = 0.912;
    it.Age = Duration(1'250'000);
    // Two services: two entries are of the sender's own domain.
    it.EstimatedRate = i % 4 == 0 ? 80.5 : 0;
    it.EstimatedLoad = i % 4 == 0 ? 0.95 : 0;
    all.Reports.push_back(it);
  }
  return all;
}

/// The load field of a digest whose list of numbers is \p numbers.
LoadReports decodedField(const nlohmann::json &numbers) {
  nlohmann::json map = nlohmann::json::object();
  map["d"] = numbers;
  std::string fault;
  FieldReader reader(map, fault);
  LoadReports back;
  fields(reader, back);
  EXPECT_EQ(fault, "");
  return back;
}

TEST(LoadReportCodecTest, ReportsSurviveARoundTrip) {
  PublishedDigest sent = digest();
  sent.Loads = reports(8);
  auto back = decodePeerMessage(encodePeerMessage(sent));
  ASSERT_TRUE(back.ok());
  const LoadReports &loads = std::get<PublishedDigest>(*back).Loads;
  EXPECT_FALSE(loads.Invalid);
  ASSERT_EQ(loads.Reports.size(), 8U);
  EXPECT_EQ(loads.Reports[4].Service, ~uint32_t(4));
  EXPECT_EQ(loads.Reports[4].Domain, ~uint32_t(104));
  EXPECT_NEAR(loads.Reports[4].Rate, 85.234, 1e-9);
  EXPECT_NEAR(loads.Reports[4].Load, 0.912, 1e-9);
  EXPECT_EQ(loads.Reports[4].Age, Duration(1'250'000));
  EXPECT_NEAR(loads.Reports[4].EstimatedRate, 80.5, 1e-9);
}

// Daemons without the part send no field; it must not look like one that could
// not be read.
TEST(LoadReportCodecTest, AbsentFieldIsNoReport) {
  std::string frame = encodePeerMessage(digest());
  auto back = decodePeerMessage(frame);
  ASSERT_TRUE(back.ok());
  EXPECT_TRUE(std::get<PublishedDigest>(*back).Loads.Reports.empty());
  EXPECT_FALSE(std::get<PublishedDigest>(*back).Loads.Invalid);
}

// A forged or damaged field must not stop the exchange of published state with
// that peer: only the reports are dropped.
TEST(LoadReportCodecTest, InvalidFieldLeavesTheDigestValid) {
  std::string tooLong = "[1";
  for (size_t i = 1; i < 7 * (LoadReports::MaxReports + 1); ++i)
    tooLong += ",1";
  for (const std::string &bad :
       {std::string("\"text\""), std::string("7"), std::string("{}"),
        std::string("[1,2,3,4,5,6]"), std::string("[1,2,3,4,5,6,7,8]"),
        std::string("[1,2,-3,4,5,6,7]"), std::string("[1,2,3.5,4,5,6,7]"),
        std::string("[1,2,3,4,\"5\",6,7]"),
        std::string("[1,2,3,4,5,6,4294967296]"), tooLong + "]"}) {
    LoadReports back = decodedField(nlohmann::json::parse(bad));
    EXPECT_TRUE(back.Invalid) << bad;
    EXPECT_TRUE(back.Reports.empty()) << bad;
  }
  EXPECT_FALSE(decodedField(nlohmann::json::parse("[1,2,3,4,5,6,7]")).Invalid);
}

TEST(LoadReportCodecTest, AbsurdFiguresAreBoundedWhenSent) {
  LoadReports absurd = reports(1);
  absurd.Reports[0].Rate = std::numeric_limits<double>::infinity();
  absurd.Reports[0].Load = -1;
  absurd.Reports[0].Age = Duration(-5);
  auto numbers = packLoadReports(absurd);
  EXPECT_EQ(numbers[2], std::numeric_limits<uint32_t>::max());
  EXPECT_EQ(numbers[3], 0U);
  EXPECT_EQ(numbers[4], 0U);
  EXPECT_EQ(packLoadReports(reports(20)).size(), 7 * LoadReports::MaxReports);
}

// Control traffic is limited to 3 KB/s a daemon. A digest goes out every
// 250 ms, so 400 bytes of reports in each would take more than half of it.
TEST(LoadReportCodecTest, ReportsOfFourDomainsAndTwoServicesAreSmall) {
  PublishedDigest with = digest();
  with.Loads = reports(8);
  size_t plain = encodePeerMessage(digest()).size();
  size_t bytes = encodePeerMessage(with).size() - plain;
  printf("digest %zu bytes, load reports %zu bytes: %zu bytes a second more\n",
         plain, bytes, bytes * 4);
  EXPECT_LE(bytes, 240U);
}

} // namespace
} // namespace balsamrack

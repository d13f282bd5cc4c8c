#include "Balsamrack/Settings/PacketSettings.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

const std::string Good =
    R"({"vm":"front-1","failure_domain":"bern-a","packets":{"listen":"10.1.0.10:8172"},"ready":{"listen":"10.1.0.10:8167","path":"/-/ready"},"peers":{"listen":"10.1.0.10:7720","seeds":["10.1.0.10:8166","10.2.0.40:8166"]},"published":{"address":"10.200.1.7:8169"},"metrics":{"listen":"10.1.0.10:9464"},"load":{"admission":true},"shutdown":{"grace_s":6},"new_field":{"any":1}})";

TEST(PacketSettingsTest, ParsesValidSettings) {
  PacketSettingsResult read = parsePacketSettings(Good);
  ASSERT_TRUE(read.Faults.empty()) << read.Faults[0].str();
  EXPECT_EQ(read.Values.Domain.str(), "bern-a");
  EXPECT_EQ(read.Values.self().Id.str(), "10.1.0.10");
  EXPECT_EQ(read.Values.ShutdownGrace, Duration(6'000'000));
  EXPECT_TRUE(read.Values.Load.Admission);
  EXPECT_FALSE(read.Values.Load.Speeds) << "must be off unless turned on";
  auto seeds = read.Values.seedPeers();
  ASSERT_EQ(seeds.size(), 1U) << "must not include this daemon";
  EXPECT_EQ(seeds[0].PeerAt.str(), "10.2.0.40:7720")
      << "must use the peer port";
}

struct BadFile {
  const char *Name;
  const char *Original;
  const char *Replacement;
  const char *Pointer;
};

class EachBadPacketSetting : public testing::TestWithParam<BadFile> {};

TEST_P(EachBadPacketSetting, IsReportedWithItsPointer) {
  std::string text = Good;
  size_t at = text.find(GetParam().Original);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, std::string(GetParam().Original).size(),
               GetParam().Replacement);
  PacketSettingsResult read = parsePacketSettings(text);
  ASSERT_FALSE(read.Faults.empty());
  EXPECT_EQ(read.Faults[0].Pointer, GetParam().Pointer);
  EXPECT_FALSE(read.Faults[0].str().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Files, EachBadPacketSetting,
    testing::Values(BadFile{"NoJson", "{\"vm\"", "{vm", ""},
                    BadFile{"VmIsANumber", "\"front-1\"", "7", "/vm"},
                    BadFile{"BadAddress", "10.1.0.10:8172", "front-1:8172",
                            "/packets/listen"},
                    BadFile{"PortZero", "10.200.1.7:8169", "10.200.1.7:0",
                            "/published/address"},
                    BadFile{"BadSeed", "\"10.2.0.40:8166\"",
                            "\"10.2.0.400:8166\"", "/peers/seeds/1"},
                    BadFile{"LoadFlagIsANumber", "\"admission\":true",
                            "\"admission\":1", "/load/admission"},
                    BadFile{"UnknownLoadFlag", "\"admission\":true",
                            "\"admissions\":true", "/load/admissions"},
                    BadFile{"GraceTooLong", "\"grace_s\":6", "\"grace_s\":6000",
                            "/shutdown/grace_s"}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

#include "Balsamrack/Settings/Settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace balsamrack {
namespace {

using nlohmann::json;

json goodSettings() {
  return json::parse(R"({
    "vm": "vm-1", "failure_domain": "bern-a",
    "callers": {"ip": "127.0.0.1"},
    "peers": {"listen": "127.0.0.1:8101", "fleet_key": "k",
              "allowed": ["127.0.0.0/8"],
              "seeds": [{"vm": "vm-2", "failure_domain": "bern-a",
                         "address": "127.0.0.1:8102"}]},
    "operators": {"listen": "127.0.0.1:8201", "allowed": ["127.0.0.1"]},
    "platform": {"address": "127.0.0.1:8001"}})");
}

struct FaultCase {
  const char *Name;    ///< Name of the test case.
  const char *Pointer; ///< Field that is changed and must be reported.
  const char *Value; ///< JSON value of the field; empty: the field is removed.
  const char *Allowed; ///< Part of the expected SettingsFault::Allowed.
};

class SettingsFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(SettingsFaultTest, ReportsFieldAndAllowedValues) {
  const FaultCase &it = GetParam();
  json document = goodSettings();
  const json::json_pointer at(it.Pointer);
  if (*it.Value)
    document[at] = json::parse(it.Value);
  else
    document[at.parent_pointer()].erase(at.back());
  const SettingsResult result = parseSettings(document.dump());
  ASSERT_EQ(result.Faults.size(), 1u);
  EXPECT_EQ(result.Faults[0].Pointer, it.Pointer);
  EXPECT_NE(result.Faults[0].Allowed.find(it.Allowed), std::string::npos)
      << result.Faults[0].str();
}

INSTANTIATE_TEST_SUITE_P(
    Faults, SettingsFaultTest,
    testing::Values(
        FaultCase{"unknown", "/colour", "1", "fields "},
        FaultCase{"unknownInside", "/peers/colour", "1", "fleet_key"},
        FaultCase{"missing", "/vm", "", "1 to 64 characters"},
        FaultCase{"missingInside", "/platform/address", "", "string"},
        FaultCase{"type", "/vm", "7", "string"},
        FaultCase{"range", "/keys/memory_s", "0", "1 to 86400"},
        FaultCase{"fraction", "/shutdown/limit_ms", "100.5", "integer"},
        FaultCase{"choice", "/log/level", "\"loud\"", "warning"},
        FaultCase{"objectWanted", "/callers", "[]", "object"},
        FaultCase{"address", "/operators/listen", "\"localhost:80\"", "IPv4"},
        FaultCase{"allowed", "/peers/allowed/0", "\"300.0.0.0/8\"", "range"},
        FaultCase{"seed", "/peers/seeds/0/address", "\"127.0.0.1\"", "IPv4"},
        FaultCase{"twice", "/peers/seeds/0/vm", "\"vm-1\"", "no other VM"},
        FaultCase{"lease", "/membership", "{\"lease_ms\": 500}", "lease"}),
    [](const auto &info) { return info.param.Name; });

TEST(SettingsTest, ValidSettingsAreParsedWithoutFaults) {
  json document = goodSettings();
  document["keys"] = {{"memory_s", 5}, {"when_cut", "run_with_reachable"}};
  const SettingsResult result = parseSettings(document.dump());
  ASSERT_TRUE(result.Faults.empty()) << result.Faults[0].str();
  EXPECT_EQ(result.Values.Keys.Memory, Duration(5'000'000));
  EXPECT_EQ(result.Values.Keys.OnUnreachableReplica,
            UnreachableReplicaPolicy::RunWithReachable);
  EXPECT_EQ(result.Values.Peers.Seeds.at(0).Id, VmId("vm-2"));
}

TEST(SettingsTest, ReportsEachFaultSeparately) {
  json document = goodSettings();
  document["vm"] = "";
  document["log"] = {{"level", "loud"}};
  document["extra"] = true;
  EXPECT_EQ(parseSettings(document.dump()).Faults.size(), 3u);
  EXPECT_EQ(parseSettings("{").Faults.size(), 1u);
}

} // namespace
} // namespace balsamrack

#include "platform/StorePages.h"

#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Published/PublishedLimits.h"
#include "Balsamrack/Published/PublishedSource.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace balsamrack::platform {
namespace {

constexpr auto Servers = PublishedSection::Servers;
constexpr auto Operators = PublishedSection::Operators;

const std::string GoodServer =
    R"({"service":"huvo","address":"10.128.0.9:8080","zone":"bern-a","version":"v1","slots":2,"state":"ready","coldLeftMs":1500,"seq":4,"born":1700000000000})";
const std::string GoodConfiguration =
    R"({"version":7,"routes":[{"name":"r1","host":"198.18.0.1","prefix":"/8080/","type":"unsafe","timeoutMs":2000,"sloMs":200,"priority":1,"service":"huvo","maxAttempts":2},{"name":"r2","host":"198.18.0.1","prefix":"/8443/","backends":[{"service":"huvo","weight":90},{"service":"wuno","weight":10}]}],"services":[{"name":"huvo","coldS":2.0,"coldPerS":1.5}],"limits":{"idleTimeoutMs":15000}})";

std::string item(const std::string &key, const std::string &value,
                 uint64_t at) {
  return absl::StrCat(R"({"key":")", key, R"(","value":")",
                      absl::Base64Escape(value), R"(","modRev":)", at,
                      R"(,"createRev":1,"lease":0})");
}
std::string listing(const std::string &items, bool more = false) {
  return absl::StrCat(R"({"items":[)", items, R"(],"truncated":)",
                      more ? "true" : "false", R"(,"asOf":530})");
}

/// The published request type of a route, and whether it is idempotent.
struct RequestKind {
  const char *Name;
  const char *Field;
  bool Idempotent;
};

class EachRequestKind : public testing::TestWithParam<RequestKind> {};

TEST_P(EachRequestKind, SetsIdempotent) {
  size_t unreadable = 0;
  std::string route =
      absl::StrCat(R"({"host":"198.18.0.1","prefix":"/8080/","service":"huvo")",
                   GetParam().Field, "}");
  auto page = decodeListing(
      Operators,
      listing(item("op/config",
                   absl::StrCat(R"({"version":7,"routes":[)", route,
                                R"(],"services":[{"name":"huvo"}]})"),
                   12)),
      unreadable);
  ASSERT_TRUE(page.ok());
  ASSERT_EQ(page->Objects.size(), 1U);
  using Shared = std::shared_ptr<const OperatorConfiguration>;
  const auto *found = std::get_if<Shared>(&page->Objects[0].Content);
  ASSERT_TRUE(found);
  ASSERT_EQ((*found)->Routes.size(), 1U);
  EXPECT_EQ((*found)->Routes[0].Idempotent, GetParam().Idempotent);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, EachRequestKind,
    testing::Values(RequestKind{"Safe", R"(,"type":"safe")", true},
                    RequestKind{"Download", R"(,"type":"download")", true},
                    RequestKind{"Unsafe", R"(,"type":"unsafe")", false},
                    RequestKind{"Unknown", R"(,"type":"stream")", false},
                    RequestKind{"NotText", R"(,"type":3)", false},
                    RequestKind{"NotGiven", "", false}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(StorePagesTest, DecodesAServer) {
  size_t unreadable = 0;
  auto page = decodeListing(
      Servers, listing(item("servers/i-7f3a91c2", GoodServer, 12), true),
      unreadable);
  ASSERT_TRUE(page.ok());
  EXPECT_EQ(page->AsOf, Revision{530});
  EXPECT_TRUE(page->More);
  EXPECT_EQ(page->LastKey, "servers/i-7f3a91c2");
  ASSERT_EQ(page->Objects.size(), 1U);
  EXPECT_EQ(page->Objects[0].Name, "i-7f3a91c2");
  EXPECT_EQ(page->Objects[0].At, Revision{12});
  const auto &server = *std::get<std::shared_ptr<const PublishedServer>>(
      page->Objects[0].Content);
  EXPECT_EQ(server.Server.Id.str(), "i-7f3a91c2");
  EXPECT_EQ(server.Server.Service.str(), "huvo");
  EXPECT_EQ(server.Server.Domain.str(), "bern-a");
  EXPECT_EQ(server.Server.At.str(), "10.128.0.9:8080");
  EXPECT_EQ(server.Tag, 0x7f3a91c2U);
  EXPECT_EQ(server.ColdLeft, Duration(1'500'000));
  EXPECT_EQ(server.Born, 1700000000000U);
}

// Guards against shares that leave out a server or contain one twice.
TEST(StorePagesTest, EachServerIsInOneShare) {
  const std::string key = "servers/i-7f3a91c2";
  size_t shares = 0;
  for (uint32_t i = 0; i < PublishedRead::ShareCount; ++i)
    shares += key.rfind(shareKeyPrefix(Servers, i), 0) == 0 ? 1 : 0;
  EXPECT_EQ(shares, 1U);
  EXPECT_EQ(shareKeyPrefix(Servers, 10), "servers/i-0a");
}

TEST(StorePagesTest, DecodesConfigurationAndDomainsOutOfService) {
  size_t unreadable = 0;
  auto page = decodeListing(Operators,
                            listing(item("op/config", GoodConfiguration, 3) +
                                    "," + item("op/evacuate/bern-a", "{}", 4)),
                            unreadable);
  ASSERT_TRUE(page.ok());
  ASSERT_EQ(page->Objects.size(), 2U);
  const auto &c = *std::get<std::shared_ptr<const OperatorConfiguration>>(
      page->Objects[0].Content);
  EXPECT_EQ(c.Version, 7U);
  ASSERT_EQ(c.Routes.size(), 2U);
  EXPECT_EQ(c.Routes[0].At.str(), "198.18.0.1:8080");
  EXPECT_EQ(c.Routes[0].Objective, Duration(200'000));
  EXPECT_EQ(c.Routes[0].Timeout, Duration(2'000'000));
  EXPECT_EQ(c.Routes[1].Objective, Duration(0)) << "not given";
  EXPECT_EQ(c.Routes[1].Targets,
            (std::vector<RouteTarget>{{ServiceId("huvo"), 90},
                                      {ServiceId("wuno"), 10}}));
  EXPECT_EQ(c.Routes[0].Priority, 1U);
  EXPECT_EQ(c.Routes[1].Priority, LowestPriority) << "not given";
  EXPECT_DOUBLE_EQ(c.Services[0].ColdPerSecond, 1.5);
  EXPECT_EQ(c.IdleTimeout, Duration(15'000'000));
  EXPECT_EQ(std::get<DomainOutOfService>(page->Objects[1].Content).Domain.str(),
            "bern-a");
}

struct BadEntry {
  const char *Name;
  std::string Value;
};

class EachBadStoreEntry : public testing::TestWithParam<BadEntry> {};

// Guards against an invalid entry of another writer among the servers: it is
// treated as deleted, and the other entries are not affected.
TEST_P(EachBadStoreEntry, IsSkippedWithoutAffectingOthers) {
  size_t unreadable = 0;
  auto page = decodeListing(Servers,
                            listing(item("servers/i-1", GetParam().Value, 5) +
                                    "," + item("servers/i-2", GoodServer, 6)),
                            unreadable);
  ASSERT_TRUE(page.ok());
  EXPECT_EQ(unreadable, 1U);
  ASSERT_EQ(page->Objects.size(), 2U);
  EXPECT_TRUE(page->Objects[0].isDeleted());
  EXPECT_FALSE(page->Objects[1].isDeleted());
}

std::string goodServerWith(const std::string &from, const std::string &to) {
  std::string text = GoodServer;
  text.replace(text.find(from), from.size(), to);
  return text;
}

INSTANTIATE_TEST_SUITE_P(
    Entries, EachBadStoreEntry,
    testing::Values(
        BadEntry{"NoJson", "\x01\xff"}, BadEntry{"Array", "[1]"},
        BadEntry{"NoService", goodServerWith("\"service\":\"huvo\",", "")},
        BadEntry{"ServiceIsANumber", goodServerWith("\"huvo\"", "7")},
        BadEntry{"BadAddress", goodServerWith("10.128.0.9:8080", "host:80")},
        BadEntry{"PortZero", goodServerWith(":8080", ":0")},
        BadEntry{"UnknownState", goodServerWith("ready", "zombie")},
        BadEntry{"NoSlots", goodServerWith("\"slots\":2", "\"slots\":0")},
        BadEntry{"SlotsAreText",
                 goodServerWith("\"slots\":2", "\"slots\":\"2\"")},
        BadEntry{"HugeSlots",
                 goodServerWith("\"slots\":2", "\"slots\":4000000000")},
        BadEntry{"NoVersion", goodServerWith("\"version\":\"v1\",", "")},
        BadEntry{"VersionIsANumber", goodServerWith("\"v1\"", "1")},
        BadEntry{"NoSeq", goodServerWith("\"seq\":4,", "")},
        BadEntry{"SeqIsText", goodServerWith("\"seq\":4", "\"seq\":\"4\"")},
        BadEntry{"NoColdLeft", goodServerWith("\"coldLeftMs\":1500,", "")},
        BadEntry{"ColdLeftIsNegative", goodServerWith("1500", "-1")},
        BadEntry{"ColdLeftIsText", goodServerWith("1500", "\"1500\"")},
        BadEntry{"BornIsAFraction", goodServerWith("1700000000000", "1.5")},
        BadEntry{"BornIsText", goodServerWith("1700000000000", "\"now\"")},
        BadEntry{"LongService", goodServerWith("huvo", std::string(2000, 'a'))},
        BadEntry{"NoZone",
                 goodServerWith("\"zone\":\"bern-a\"", "\"zone\":null")}),
    [](const auto &info) { return std::string(info.param.Name); });

struct BadPage {
  const char *Name;
  std::string Body;
};

class EachBadStorePage : public testing::TestWithParam<BadPage> {};

TEST_P(EachBadStorePage, IsAnError) {
  size_t unreadable = 0;
  EXPECT_FALSE(decodeListing(Servers, GetParam().Body, unreadable).ok());
  EXPECT_FALSE(decodeWatch(Servers, {1}, GetParam().Body, unreadable).ok());
}

INSTANTIATE_TEST_SUITE_P(
    Pages, EachBadStorePage,
    testing::Values(BadPage{"Empty", ""}, BadPage{"NoJson", "<html>"},
                    BadPage{"NoList", R"({"asOf":3})"},
                    BadPage{"NoRevision", R"({"items":[],"events":[]})"},
                    BadPage{"ListIsAMap",
                            R"({"items":{},"events":{},"asOf":3})"}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a partly written configuration: the last valid one stays in
// force.
TEST(StorePagesTest, InvalidConfigurationIsIgnored) {
  for (
      const std::string &bad :
      {std::string("{\"version\":8}"), std::string("{"),
       std::string(
           R"({"version":8,"routes":[{"host":"x","prefix":"/1/"}],"services":[]})")}) {
    size_t unreadable = 0;
    auto changes =
        decodeWatch(Operators, {3},
                    absl::StrCat(R"({"events":[)", item("op/config", bad, 9),
                                 R"(],"asOf":9})"),
                    unreadable);
    ASSERT_TRUE(changes.ok());
    EXPECT_TRUE(changes->Objects.empty());
    EXPECT_EQ(unreadable, 1U);
  }
}

TEST(StorePagesTest, DecodesDeletions) {
  size_t unreadable = 0;
  auto changes = decodeWatch(
      Servers, {411},
      R"({"events":[{"key":"servers/i-9","modRev":413,"deleted":true},{"key":"other/x","modRev":412}],"asOf":413})",
      unreadable);
  ASSERT_TRUE(changes.ok());
  ASSERT_EQ(changes->Objects.size(), 1U);
  EXPECT_TRUE(changes->Objects[0].isDeleted());
  EXPECT_EQ(changes->After, Revision{411});
  EXPECT_EQ(changes->UpTo, Revision{413});
}

// Some platforms do not publish when a server started.
TEST(StorePagesTest, AServerWithoutAStartTimeIsUsed) {
  size_t unreadable = 0;
  auto page = decodeListing(
      Servers,
      listing(item("servers/i-1", goodServerWith(",\"born\":1700000000000", ""),
                   5)),
      unreadable);
  ASSERT_TRUE(page.ok());
  EXPECT_EQ(unreadable, 0U);
}

// Guards against durations that overflow when they are converted or added to a
// time.
TEST(StorePagesTest, HugeNumbersOfAConfigurationAreClamped) {
  std::string huge = R"({"version":8,"routes":[{"host":"198.18.0.1",)"
                     R"("prefix":"/8080/","service":"huvo","sloMs":1e300,)"
                     R"("timeoutMs":18446744073709551615}],"services":[)"
                     R"({"name":"huvo","coldPerS":1e308}],)"
                     R"("limits":{"idleTimeoutMs":1e300}})";
  size_t unreadable = 0;
  auto page =
      decodeListing(Operators, listing(item("op/config", huge, 5)), unreadable);
  ASSERT_TRUE(page.ok());
  ASSERT_EQ(page->Objects.size(), 1U);
  using Configuration = std::shared_ptr<const OperatorConfiguration>;
  const auto &c = *std::get<Configuration>(page->Objects[0].Content);
  EXPECT_EQ(c.Routes[0].Objective, MaxPublishedDuration);
  EXPECT_EQ(c.Routes[0].Timeout, MaxPublishedDuration);
  EXPECT_EQ(c.IdleTimeout, MaxPublishedDuration);
  EXPECT_EQ(c.Services[0].ColdPerSecond, MaxColdPerSecond);
}

// Any mutation of a valid page is either decoded or rejected, without a crash.
TEST(StorePagesTest, MutatedPagesAreSafe) {
  SeededRandom random(3);
  std::string good = listing(item("servers/i-7f3a91c2", GoodServer, 12) + "," +
                             item("servers/i-8", GoodServer, 13));
  for (int i = 0; i < 3000; ++i) {
    std::string mutant = good;
    for (uint64_t n = 1 + random.below(4); n > 0; --n)
      mutant[random.below(mutant.size())] = static_cast<char>(random.next());
    size_t unreadable = 0;
    auto page = decodeListing(Servers, mutant, unreadable);
    if (page.ok()) {
      EXPECT_LE(page->Objects.size(), 2U);
    }
  }
}

} // namespace
} // namespace balsamrack::platform

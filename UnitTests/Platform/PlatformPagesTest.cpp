#include "Balsamrack/Platform/PlatformPages.h"

#include <gtest/gtest.h>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/Random.h"

namespace balsamrack {
namespace {

TEST(PlatformPagesTest, KeepsTicketTextsUnchanged) {
  const std::string first = R"({ "ticket": 7, "x": "}]\"{[", "a":[{}], "a":1})";
  const std::string second = R"({"ticket":8})";
  auto page =
      decodeTicketPage(R"({"other": ["tickets", {"a": 1}], "tickets": [)" +
                       first + ",\n " + second + R"(], "highest": 8})");
  ASSERT_TRUE(page.ok()) << page.status();
  EXPECT_EQ(page->Highest, TicketNumber{8});
  EXPECT_EQ(page->Tickets, (std::vector<std::string>{first, second}));
}

TEST(PlatformPagesTest, ReadsTheVmList) {
  auto page = decodeVmPage(
      R"({"version": 3, "vms": [
        {"id": "a", "domain": "bern-a", "peer_address": "10.0.0.1:7100",
         "state": "live"},
        {"id": "b", "domain": "bern-b", "peer_address": "10.0.0.2:7100",
         "state": "leaving", "more": 1}]})");
  ASSERT_TRUE(page.ok()) << page.status();
  EXPECT_EQ(page->Version, 3U);
  ASSERT_EQ(page->Vms.size(), 2U);
  EXPECT_EQ(page->Vms[0].PeerAt.str(), "10.0.0.1:7100");
  EXPECT_FALSE(page->Vms[0].Leaving);
  EXPECT_TRUE(page->Vms[1].Leaving);
}

std::string vmPage(const std::string &vm) {
  return R"({"version": 1, "vms": [)" + vm + "]}";
}

struct BadPage {
  const char *Name;
  std::string Text;
  const char *ExpectedText;
};

class EachBadPage : public testing::TestWithParam<BadPage> {};

// Guards against error pages of a proxy in front of the platform and against
// corrupt values. The daemon keeps its state and reports the error; a partly
// read page would look like deleted VMs.
TEST_P(EachBadPage, IsRejectedWithAReason) {
  auto tickets = decodeTicketPage(GetParam().Text);
  auto vms = decodeVmPage(GetParam().Text);
  ASSERT_FALSE(tickets.ok());
  ASSERT_FALSE(vms.ok());
  EXPECT_EQ(stepOf(tickets.status()), "read-platform");
  std::string both = std::string(tickets.status().message()) +
                     std::string(vms.status().message());
  EXPECT_NE(both.find(GetParam().ExpectedText), std::string::npos) << both;
}

INSTANTIATE_TEST_SUITE_P(
    Pages, EachBadPage,
    testing::Values(
        BadPage{"Empty", "", "not a JSON object"},
        BadPage{"Html", "<html>", "not a JSON object"},
        BadPage{"Array", "[]", "not a JSON object"},
        BadPage{"Deep", std::string(1 << 20, '['), "nested too deeply"},
        BadPage{"DeepTicket",
                R"({"highest":1,"tickets":[{"a":)" + std::string(99, '[') +
                    std::string(99, ']') + "}]}",
                "nested too deeply"},
        BadPage{"TooLarge", std::string(MaxPlatformPageBytes + 1, ' '),
                "too large"},
        BadPage{"NoHighest", R"({"tickets":[]})", "highest"},
        BadPage{"NegativeHighest", R"({"highest":-1,"tickets":[]})", "highest"},
        BadPage{"TicketsAMap", R"({"highest":1,"tickets":{}})", "tickets"},
        BadPage{"TicketANumber", R"({"highest":1,"tickets":[1]})",
                "not an object"},
        BadPage{"TicketsTwice",
                R"({"highest":1,"tickets":[{}],"tickets":[{}]})",
                "not an object"},
        BadPage{"HugeTicket",
                R"({"highest":1,"tickets":[{"a":")" +
                    std::string(MaxPlatformValueBytes, 'x') + "\"}]}",
                "ticket too large"},
        BadPage{"VmANumber", vmPage("1"), "VM without"},
        BadPage{"VmWithoutState",
                vmPage(R"({"id":"a","domain":"d","peer_address":"1.2.3.4:5"})"),
                "state"},
        BadPage{"VmWithBadAddress",
                vmPage(R"({"id":"a","domain":"d","peer_address":"localhost:5",
                           "state":"live"})"),
                "IPv4"},
        BadPage{"VmWithBadState",
                vmPage(R"({"id":"a","domain":"d","peer_address":"1.2.3.4:5",
                           "state":"dead"})"),
                "neither"}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(PlatformPagesTest, MutatedPagesNeverCrash) {
  const std::string pages[] = {
      R"({"highest": 8, "tickets": [{"ticket": 7, "objects": [{"a": "\u00e9"}]},
      {"ticket": 8}]})",
      vmPage(R"({"id":"a","domain":"d","peer_address":"1.2.3.4:5",
                 "state":"live"})")};
  constexpr int Mutants = 20000;
  SeededRandom random(5);
  for (int i = 0; i < Mutants; ++i) {
    std::string text = pages[i % 2];
    for (uint64_t n = 1 + random.below(3); n > 0; --n) {
      size_t at = random.below(text.size());
      if (random.below(2) == 0)
        text[at] = "{}[]\",:\\01e-"[random.below(12)];
      else
        text.erase(at, 1 + random.below(8));
    }
    auto tickets = decodeTicketPage(text);
    for (const std::string &one :
         tickets.ok() ? tickets->Tickets : std::vector<std::string>())
      EXPECT_EQ(one.front(), '{');
    decodeVmPage(text).IgnoreError();
  }
}

} // namespace
} // namespace balsamrack

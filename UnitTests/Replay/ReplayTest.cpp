#include "Balsamrack/Replay/Replayer.h"

#include <gtest/gtest.h>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/Random.h"

namespace balsamrack {
namespace {

std::vector<EntryEvent> entryEvents() {
  Envelope head;
  head.Request = {11};
  head.Flow = {12};
  head.Service = ServiceId("booking");
  head.FirstOfFlow = true;
  head.Key = {1, 2};
  head.Remaining = Duration(5'000'000);
  RoutingView contents;
  contents.Ticket = {7};
  contents.Self = {VmId("vm-1"), DomainId("bern-a"), {"127.0.0.1", 1}, false};
  ServiceRoute &route = contents.Services[ServiceId("booking")];
  route.Settings.Id = ServiceId("booking");
  RoutedServer server;
  server.Server.Id = ServerId("booking-01");
  server.Server.Service = ServiceId("booking");
  server.Owner = contents.Self;
  server.OwnerReachable = true;
  route.Servers.push_back(server);
  route.EarlierServers = {{{ServerId("booking-00"), 50}}};
  auto view = RoutingView::create(contents);
  return {ViewChanged{*view},
          PacketArrived{head, "token"},
          OwnerReplied{VmId("vm-2"), Outcome{{11},
                                             OutcomeKind::NotRun,
                                             Reason::QueueFull,
                                             Duration(5),
                                             ServerId("booking-01"),
                                             "admit",
                                             "booking-01",
                                             {}}},
          FlowReplied{VmId("vm-2"), {{11}, {12}, ServerId("b"), true, {7}}},
          KeyReplied{VmId("vm-2"), {{1, 2}, {11}, KeyVerdict::Fresh}},
          PeerLost{VmId("vm-2")},
          SendFailed{{11}, VmId("vm-2")},
          CallerLeft{{11}},
          EntryTicked{},
          SettleFailed{{{1, 2}, {11}, OutcomeKind::NotRun}}};
}

std::vector<OwnerEvent> ownerEvents() {
  OwnedServer owned;
  owned.Server.Id = ServerId("booking-01");
  owned.Server.Mode = ServerMode::Draining;
  owned.DomainInService = false;
  owned.How = OwnedServer::Origin::TakenOver;
  owned.DispatchAllowedFrom = TimePoint(Duration(9));
  Envelope head;
  head.Request = {11};
  return {ServersChanged{{7}, Service(), {owned}},
          RequestArrived{head, ServerId("booking-01"), true, 3},
          RequestCancelled{{11}},
          DispatchEnded{{11},
                        DispatchOutcome::Shed,
                        InstanceId("i"),
                        Duration(4),
                        Duration(5),
                        503},
          HealthReported{ServerId("booking-01"), true, 2, InstanceId("i")},
          AuthorityChanged{true},
          Ticked{},
          ShutdownBegan{}};
}

// Guards against a field that is lost between recording and replay: the replay
// would then differ from the recorded run.
TEST(TraceCodecTest, EncodesAndDecodesEveryEvent) {
  std::vector<TraceLine> lines;
  for (const EntryEvent &it : entryEvents())
    lines.push_back({"entry-0", TimePoint(Duration(5)), it});
  for (const OwnerEvent &it : ownerEvents())
    lines.push_back({"owner-booking", TimePoint(Duration(5)), it});
  lines.push_back({"entry-0", TimePoint(Duration(1)), RouterOpened{{}, 3}});
  lines.push_back({"owner-booking", TimePoint(Duration(1)),
                   OwnerOpened{ServiceId("booking"), 4}});
  for (const TraceLine &it : lines) {
    const std::string text = encodeTraceLine(it);
    const auto decoded = decodeTraceLine(text);
    ASSERT_TRUE(decoded.ok()) << text << describe(decoded.status());
    EXPECT_EQ(encodeTraceLine(*decoded), text);
  }
}

struct InvalidLineCase {
  const char *Name;
  const char *Text;
};

class InvalidTraceLineTest : public testing::TestWithParam<InvalidLineCase> {};

TEST_P(InvalidTraceLineTest, IsRejected) {
  Replayer replayer;
  const auto actions = replayer.processLine(GetParam().Text);
  ASSERT_FALSE(actions.ok());
  EXPECT_EQ(stepOf(actions.status()), "replay");
}

INSTANTIATE_TEST_SUITE_P(
    Lines, InvalidTraceLineTest,
    testing::Values(
        InvalidLineCase{"NoJson", "packet arrived"},
        InvalidLineCase{"NoMachine", R"({"at_us":1,"what":"Ticked"})"},
        InvalidLineCase{"UnknownEvent",
                        R"({"machine":"m","at_us":1,"what":"Knock"})"},
        InvalidLineCase{"NotOpened",
                        R"({"machine":"m","at_us":1,"what":"Ticked"})"},
        InvalidLineCase{"Misspelt",
                        R"({"machine":"m","at_us":1,"what":"PeerLost",)"
                        R"("with":{"pear":"vm-1"}})"},
        InvalidLineCase{"EnumRange",
                        R"({"machine":"m","at_us":1,)"
                        R"("what":"DispatchEnded","with":{"how":9}})"},
        InvalidLineCase{"WrongType",
                        R"({"machine":"m","at_us":1,)"
                        R"("what":"CallerLeft","with":{"request":"x"}})"}),
    [](const auto &info) { return info.param.Name; });

// Traces are edited by hand: any modified line must be decoded or rejected.
TEST(TraceCodecTest, MutatedLinesNeverCrash) {
  SeededRandom random(3);
  const auto events = entryEvents();
  for (int n = 0; n < 5'000; ++n) {
    std::string text = encodeTraceLine(
        {"entry-0", TimePoint(Duration(5)), events[n % events.size()]});
    for (uint64_t i = 1 + random.below(4); i > 0; --i)
      text[random.below(text.size())] = static_cast<char>(random.below(256));
    const auto decoded = decodeTraceLine(text);
    if (!decoded.ok()) {
      EXPECT_EQ(stepOf(decoded.status()), "replay");
    }
  }
}

struct CompareCase {
  const char *Name;
  std::vector<std::string> Expected;
  size_t Line; ///< Line of the first difference; zero for none.
};

class CompareOutcomesTest : public testing::TestWithParam<CompareCase> {};

// The comparison must report the line of the first changed outcome.
TEST_P(CompareOutcomesTest, FindsTheFirstDifference) {
  const auto difference = compareOutcomes({"a", "b"}, GetParam().Expected);
  EXPECT_EQ(difference ? difference->Line : 0, GetParam().Line);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CompareOutcomesTest,
    testing::Values(CompareCase{"Same", {"a", "b"}, 0},
                    CompareCase{"Comments", {"# why", "a", "", "b"}, 0},
                    CompareCase{"Changed", {"a", "c"}, 2},
                    CompareCase{"Less", {"a"}, 2},
                    CompareCase{"More", {"a", "b", "c"}, 3},
                    CompareCase{"Swapped", {"b", "a"}, 1}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace balsamrack

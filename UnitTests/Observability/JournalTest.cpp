#include "Balsamrack/Observability/Journal.h"

#include <gtest/gtest.h>

#include <thread>

#include <nlohmann/json.hpp>

namespace balsamrack {
namespace {

Decision makeDecision(uint64_t request, uint64_t flow, const char *server) {
  Decision d;
  d.Kind = DecisionKind::Placed;
  d.Rule = "bounded-load";
  d.Result = "dispatched to booking-03";
  d.Request = {request};
  d.Flow = {flow};
  d.Server = ServerId(server);
  d.Ticket = {7};
  d.AtStep = "place";
  d.AtPeer = "vm-2";
  d.Inputs = {{"in progress", "2"}, {"limit", "2"}};
  return d;
}

TEST(JournalTest, FindsByEachKeyOldestFirst) {
  Journal journal(1000);
  for (uint64_t i = 1; i <= 20; ++i)
    journal.add(makeDecision(i, i % 4, i % 2 == 0 ? "a" : "b"));
  Decision ticket = makeDecision(0, 0, "");
  ticket.Kind = DecisionKind::TicketRejected;
  journal.add(ticket);
  EXPECT_EQ(journal.findByRequest({5}).size(), 1U);
  EXPECT_EQ(journal.findByTicket({7}).size(), 1U);
  EXPECT_EQ(journal.findByTicket({8}).size(), 0U);
  std::vector<Decision> serverDecisions = journal.findByServer(ServerId("a"));
  ASSERT_EQ(serverDecisions.size(), 10U);
  for (size_t i = 1; i < serverDecisions.size(); ++i)
    EXPECT_LT(serverDecisions[i - 1].Request, serverDecisions[i].Request);
  EXPECT_EQ(journal.findByFlow({3}).size(), 5U);
}

TEST(JournalTest, KeepsOnlyMostRecentDecisions) {
  Journal journal(160);
  for (uint64_t i = 1; i <= 100; ++i)
    journal.add(makeDecision(i, 9, "a"));
  std::vector<Decision> decisions = journal.findByFlow({9});
  ASSERT_EQ(decisions.size(), 10U);
  EXPECT_EQ(decisions.back().Request, RequestId{100});
}

TEST(JournalTest, SupportsConcurrentAddAndFind) {
  Journal journal(16'000);
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (uint64_t t = 1; t <= 4; ++t)
    threads.emplace_back([&journal, t] {
      for (uint64_t i = 0; i < 200; ++i) {
        journal.add(makeDecision(t, i, "a"));
        journal.findByRequest({t});
      }
    });
  for (std::thread &t : threads)
    t.join();
  EXPECT_EQ(journal.findByServer(ServerId("a")).size(), 800U);
}

struct JournalQuery {
  const char *Kind;
  const char *Id;
  int ExpectedCount; ///< -1 if the query can't be parsed.
};

class JournalQueryTest : public testing::TestWithParam<JournalQuery> {};

TEST_P(JournalQueryTest, ReturnsDecisionsOrError) {
  Journal journal(100);
  journal.add(makeDecision(0xab, 0xcd, "booking-03"));
  auto found = journal.query(GetParam().Kind, GetParam().Id);
  EXPECT_EQ(found.ok() ? static_cast<int>(found->size()) : -1,
            GetParam().ExpectedCount);
}

INSTANTIATE_TEST_SUITE_P(
    Questions, JournalQueryTest,
    testing::Values(
        JournalQuery{"request", "00000000000000ab", 1},
        JournalQuery{"request", "ab", 1}, JournalQuery{"flow", "cd", 1},
        JournalQuery{"flow", "xy", -1}, JournalQuery{"flow", "", -1},
        JournalQuery{"server", "booking-03", 1},
        JournalQuery{"server", "booking-04", 0}, JournalQuery{"ticket", "7", 0},
        JournalQuery{"ticket", "x", -1}, JournalQuery{"seller", "1", -1}));

TEST(JournalTest, FormatsDecisionAsSentence) {
  EXPECT_EQ(decisionSentence(makeDecision(0xab, 0xcd, "booking-03")),
            "placed for request 00000000000000ab of flow 00000000000000cd: "
            "dispatched to booking-03, by rule bounded-load on in progress = "
            "2, limit = 2, under ticket 7, at step place, on the word of "
            "vm-2.");
  nlohmann::json json = decisionToJson(makeDecision(0xab, 0xcd, "booking-03"));
  EXPECT_EQ(json["rule"], "bounded-load");
  EXPECT_EQ(json["inputs"]["limit"], "2");
}

} // namespace
} // namespace balsamrack

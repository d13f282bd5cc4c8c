#include "FailureTests/FleetTest.h"

#include <chrono>

#include "StandIns/HttpClient.h"
#include "StandIns/HttpServer.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr auto AnswersTimeout = std::chrono::seconds(20);
constexpr auto PostTimeout = std::chrono::seconds(15);

} // namespace

void FleetTest::startFleet(const FleetPlan &plan) {
  Plan = plan;
  auto fleet = Fleet::start(plan);
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  TestFleet = std::move(*fleet);
}

void FleetTest::awaitAnswers(standins::LoadGenerator &load, uint64_t count) {
  uint64_t goal = load.report().Answered + count;
  ASSERT_TRUE(awaitUntil(AnswersTimeout, [&] {
    return load.report().Answered >= goal;
  })) << load.report().toJson();
}

void FleetTest::expectNoViolations(const standins::LoadReport &report,
                                   double minAnsweredFraction) {
  EXPECT_EQ(report.BrokenFlows, 0U);
  EXPECT_EQ(report.WrongService, 0U);
  EXPECT_EQ(report.WrongAnswer, 0U);
  EXPECT_EQ(report.RunTwice, 0U);
  EXPECT_EQ(report.FalseRefusals, 0U);
  EXPECT_EQ(report.Overloads, 0U);
  EXPECT_GE(static_cast<double>(report.Answered),
            minAnsweredFraction * static_cast<double>(report.Requests));
}

absl::StatusOr<Answer> FleetTest::postBooking(size_t i,
                                              const std::string &target,
                                              const std::string &key,
                                              const std::string &attempt) {
  Message m{"POST", target, {}, "deposit"};
  m.Headers = {{"Forwarded",
                absl::StrCat("for=\"10.1.1.1:", 10'000 + ++FlowsOpened, "\"")},
               {"Balsamrack-Packet", "1"},
               {"Idempotency-Key", key},
               {"Request-Timeout", "8000"},
               {"X-Caller-Service", "booking"},
               {"X-Caller-Request", attempt}};
  return standins::sendHttp(TestFleet->callerAddress(i, "booking"), m,
                            PostTimeout);
}

uint64_t FleetTest::countRuns(const std::string &operation) {
  uint64_t n = 0;
  for (const ServerPlan &server : Plan.Servers) {
    const Json counts = TestFleet->queryServerCounts(server.Id);
    for (const auto &[attempt, runs] : counts["runs"].items())
      if (absl::StartsWith(attempt, operation + "."))
        n += runs.get<uint64_t>();
  }
  return n;
}

uint64_t FleetTest::countBookingInProgress() {
  uint64_t n = 0;
  for (const ServerPlan &server : Plan.Servers)
    if (server.Service == "booking")
      n += TestFleet->queryServerCounts(server.Id)["in_progress"]
               .get<uint64_t>();
  return n;
}

std::string outcomeOf(const absl::StatusOr<Answer> &answer) {
  if (!answer.ok())
    return absl::StatusCodeToString(answer.status().code());
  return standins::headerOf(answer->Headers, "Balsamrack-Ending");
}

} // namespace balsamrack

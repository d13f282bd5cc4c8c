#include <chrono>
#include <thread>

#include "FailureTests/Process.h"
#include "StandIns/BackendServer.h"
#include "StandIns/Fabric.h"
#include "StandIns/HttpClient.h"
#include "StandIns/HttpServer.h"
#include "StandIns/LoadGenerator.h"
#include "StandIns/Platform.h"
#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

namespace balsamrack::standins {
namespace {

using namespace std::chrono_literals;

/// Callers, fabric and two servers of one service without daemons between them.
/// The fabric distributes the packets of each flow over both servers, which
/// balsamrack must prevent.
class StandInsTest : public testing::Test {
protected:
  void SetUp() override {
    for (size_t i = 0; i < 2; ++i) {
      BackendServerSettings s;
      s.Id = absl::StrCat("booking-", i);
      s.Service = "booking";
      s.Slots = 100;
      Servers[i] = std::make_unique<BackendServer>(s);
      // The same port at two loopback addresses, as at two entry VMs.
      auto http = HttpServer::listen(
          {absl::StrCat("127.0.2.", i + 1), ServerPort},
          [this, i](const Message &m) { return Servers[i]->serve(m); });
      ASSERT_TRUE(http.ok()) << http.status();
      ServerHttp[i] = std::move(*http);
    }
    auto fabric =
        HttpServer::listen({"127.0.0.1", FabricPort}, [this](const Message &m) {
          return TestFabric.forward(ServerPort, m);
        });
    ASSERT_TRUE(fabric.ok()) << fabric.status();
    FabricHttp = std::move(*fabric);
  }

  void setFabricServers(const std::string &list) {
    TestFabric.handleControl({"POST", "/daemons", {}, list});
  }

  LoadReport runLoad(const std::string &service) {
    CallSettings s;
    s.Targets = {{service, {"127.0.0.1", FabricPort}}};
    s.Callers = 8;
    s.MaxThinkTime = 1ms;
    s.Seed = testSeed();
    LoadGenerator load(s);
    EXPECT_TRUE(awaitUntil(20s, [&] { return load.report().Requests > 200; }));
    load.stop();
    LoadReport report = load.report();
    for (int i = 1; i <= 2; ++i)
      EXPECT_TRUE(report
                      .addServerCounts(
                          {absl::StrCat("127.0.2.", i), ServerPort}, "booking")
                      .ok());
    report.countRunViolations();
    return report;
  }

  const uint16_t ServerPort = findFreePort();
  const uint16_t FabricPort = findFreePort();
  Fabric TestFabric{testSeed()};
  std::unique_ptr<BackendServer> Servers[2];
  std::unique_ptr<HttpServer> ServerHttp[2];
  std::unique_ptr<HttpServer> FabricHttp;
};

TEST_F(StandInsTest, OneServerIsClean) {
  setFabricServers(R"([{"ip":"127.0.2.1"}])");
  LoadReport report = runLoad("booking");
  EXPECT_TRUE(report.isClean()) << report.toJson();
  EXPECT_EQ(report.Answered, report.Requests) << report.toJson();
}

// The fabric distributes the packets of a flow over both servers, and the
// second one never got the flow's opening. The callers must detect that.
TEST_F(StandInsTest, CallersNoticeBrokenFlows) {
  setFabricServers(R"([{"ip":"127.0.2.1"},{"ip":"127.0.2.2"}])");
  EXPECT_GT(runLoad("booking").BrokenFlows, 0U);
}

// Packets for service archive reach booking servers. Both the answers and the
// servers' counts must show it.
TEST_F(StandInsTest, CallersNoticeTheWrongService) {
  setFabricServers(R"([{"ip":"127.0.2.1"}])");
  LoadReport report = runLoad("archive");
  EXPECT_GE(report.WrongService, 2 * report.Answered);
}

// A server ran a request whose caller was told that it did not run, and an
// operation that may run once ran in two attempts. The report must count both.
TEST_F(StandInsTest, CountsShowFalseRefusalsAndSecondRuns) {
  for (const char *attempt : {"op1.1", "op1.2", "op2.1"})
    Servers[0]->serve({"POST", "/work", {{"X-Caller-Request", attempt}}, ""});
  LoadReport report;
  report.Operations = {{"op1",
                        "booking",
                        true,
                        {OutcomeKind::OutcomeUnknown, OutcomeKind::Answered}},
                       {"op2", "booking", true, {OutcomeKind::NotRun}},
                       {"op3", "booking", true, {OutcomeKind::NotRun}}};
  ASSERT_TRUE(
      report.addServerCounts({"127.0.2.1", ServerPort}, "booking").ok());
  report.countRunViolations();
  EXPECT_EQ(report.RunTwice, 1U);
  EXPECT_EQ(report.FalseRefusals, 1U);
}

// A cold server handles one run at a time. A second one overloads it, which
// must be visible to the caller.
TEST_F(StandInsTest, ColdServerFallsOver) {
  BackendServerSettings s;
  s.WarmupTime = 60s;
  s.RunTime = 200ms;
  BackendServer cold(s);
  std::thread first([&] { cold.serve({"GET", "/work", {}, ""}); });
  ASSERT_TRUE(awaitUntil(5s, [&] {
    return cold.serve({"GET", "/balsamrack/counts", {}, ""})
               .Body.find("\"in_progress\":1") != std::string::npos;
  }));
  EXPECT_EQ(cold.serve({"GET", "/work", {}, ""}).Status, 500U);
  first.join();
}

TEST(PlatformTest, StaleModeServesEarlierState) {
  Platform platform;
  auto ticket = [&](int n, const char *id) {
    return platform.addTicket(absl::StrCat(
        "{\"ticket\":", n, ",\"objects\":[{\"kind\":\"domain\",\"id\":\"", id,
        "\"}]}"));
  };
  ASSERT_TRUE(ticket(1, "a").ok());
  ASSERT_TRUE(ticket(3, "a").ok());
  EXPECT_FALSE(ticket(2, "b").ok());
  auto read = [&] {
    return platform.serveReader({"GET", "/v1/tickets?after=0", {}, ""}).Body;
  };
  // All objects of ticket 1 were replaced later, so it is not sent any more.
  EXPECT_EQ(read().find("\"ticket\":1"), std::string::npos);
  platform.serveOperator(
      {"POST", "/mode", {}, R"({"mode":"stale","stale_at":1})"});
  EXPECT_NE(read().find("\"ticket\":1"), std::string::npos);
  EXPECT_EQ(read().find("\"ticket\":3"), std::string::npos);
  EXPECT_EQ(platform.serveReader({"POST", "/v1/tickets", {}, ""}).Status, 405U);
}

} // namespace
} // namespace balsamrack::standins

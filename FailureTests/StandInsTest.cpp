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

/// Callers, fabric and two servers of one service, with no daemon between: each
/// flow is sprayed over both servers, which is what balsamrack must prevent.
class StandInsTest : public testing::Test {
protected:
  void SetUp() override {
    for (size_t i = 0; i < 2; ++i) {
      BackendServerSettings s;
      s.Id = absl::StrCat("booking-", i);
      s.Service = "booking";
      s.Slots = 100;
      Servers[i] = std::make_unique<BackendServer>(s);
      // One port on two loopback addresses, as on two entry VMs.
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

// Story: the fabric sprays a flow's packets and nothing keeps them together.
// The second server never saw the flow open. The callers must notice.
TEST_F(StandInsTest, CallersNoticeBrokenFlows) {
  setFabricServers(R"([{"ip":"127.0.2.1"},{"ip":"127.0.2.2"}])");
  EXPECT_GT(runLoad("booking").BrokenFlows, 0U);
}

// Story: packets for the archive end at booking servers. Both the answers and
// the servers' counts must show it.
TEST_F(StandInsTest, CallersNoticeTheWrongService) {
  setFabricServers(R"([{"ip":"127.0.2.1"}])");
  LoadReport report = runLoad("archive");
  EXPECT_GE(report.WrongService, 2 * report.Answered);
}

// Story: the caller was told "not run", and the server ran it; and an operation
// that may run once ran under two attempts. The comparison must show both.
TEST_F(StandInsTest, CountsShowUntrueRefusalsAndSecondRuns) {
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

// Story: a cold server bears one run, and gets two at once: it falls over, and
// a test can see that it did.
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

TEST(PlatformTest, OlderViewsComeBackWhole) {
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
  // Ticket 1 has no object of its own left, so it is compacted away.
  EXPECT_EQ(read().find("\"ticket\":1"), std::string::npos);
  platform.serveOperator(
      {"POST", "/mode", {}, R"({"mode":"stale","stale_at":1})"});
  EXPECT_NE(read().find("\"ticket\":1"), std::string::npos);
  EXPECT_EQ(read().find("\"ticket\":3"), std::string::npos);
  EXPECT_EQ(platform.serveReader({"POST", "/v1/tickets", {}, ""}).Status, 405U);
}

} // namespace
} // namespace balsamrack::standins

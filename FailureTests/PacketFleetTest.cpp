#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

#include <gtest/gtest.h>

#include "Balsamrack/Client/OperatorClient.h"
#include "Balsamrack/Client/Report.h"
#include "Balsamrack/Core/ListenSocket.h"
#include "Balsamrack/Http/HttpClient.h"
#include "Balsamrack/Packets/Packet.h"
#include "FailureTests/Process.h"
#include "absl/strings/str_cat.h"
#include "platform/standins/StandInFlows.h"
#include "platform/standins/StandInStore.h"

namespace balsamrack {
namespace {

using platform::CallResult;
using platform::StandInCaller;
using platform::StandInServer;
using platform::StandInStore;

constexpr Duration Second{1'000'000};
const Endpoint BookingEndpoint{0xc6120001, 443}; // 198.18.0.1:443

/// Daemons of the packet carrier as processes on loopback addresses, with
/// stand-ins for the store, four backend servers and a caller of the users'
/// protocol.
class PacketFleetTest : public testing::Test {
protected:
  static constexpr size_t DaemonCount = 3;
  static constexpr size_t ServerCount = 4;

  void SetUp() override {
    Ports = {findFreePort(), findFreePort(), findFreePort(), findFreePort(),
             findFreePort()};
    auto store = StandInStore::create({"127.0.0.1", Ports[0]});
    ASSERT_TRUE(store.ok()) << store.status();
    Store = *std::move(store);
    for (size_t i = 1; i <= ServerCount; ++i) {
      auto server = StandInServer::create(serverAddress(i), i, Ports[1]);
      ASSERT_TRUE(server.ok()) << server.status();
      Servers.push_back(*std::move(server));
      publishServer(i, "ready");
    }
    publishRoutes(1, {443});
    for (size_t i = 0; i < DaemonCount; ++i)
      startDaemon(i);
    auto caller =
        StandInCaller::create({"127.0.7.1", Ports[1]}, packetAddresses());
    ASSERT_TRUE(caller.ok()) << caller.status();
    Caller = *std::move(caller);
    for (size_t i = 0; i < DaemonCount; ++i)
      ASSERT_TRUE(awaitUntil(Second * 10, [&] { return isReady(i); }))
          << "daemon " << i;
  }

  static std::string vmIp(size_t i) { return absl::StrCat("127.0.8.", i + 1); }
  Address serverAddress(size_t i) const {
    return {absl::StrCat("127.0.9.", i), Ports[2]};
  }
  std::vector<Address> packetAddresses() const {
    std::vector<Address> all;
    for (size_t i = 0; i < DaemonCount; ++i)
      all.push_back({vmIp(i), Ports[1]});
    return all;
  }
  std::string settingsPath(size_t i) const {
    return absl::StrCat(testing::TempDir(), "packetd-", Ports[0], "-", i,
                        ".json");
  }
  void writeSettings(size_t i, const std::string &seeds) const {
    std::ofstream(settingsPath(i)) << absl::StrCat(
        R"({"vm":"vm-)", i, R"(","failure_domain":"d)", i % 2,
        R"(","packets":{"listen":")", vmIp(i), ":", Ports[1],
        R"("},"ready":{"listen":")", vmIp(i), ":", Ports[3],
        R"(","path":"/-/ready"},"peers":{"listen":")", vmIp(i), ":", Ports[4],
        R"(","seeds":[)", seeds, R"(]},"published":{"address":")",
        Store->at().str(), R"("},"metrics":{"listen":")", vmIp(i), ":",
        Ports[2], R"("},"shutdown":{"grace_s":6}})");
  }
  void startDaemon(size_t i) {
    writeSettings(i, absl::StrCat("\"", vmIp(0), ":1\",\"", vmIp(1), ":1\""));
    auto process =
        Process::start("balsamrack-packetd", {"--settings", settingsPath(i)},
                       settingsPath(i) + ".log");
    ASSERT_TRUE(process.ok()) << process.status();
    if (Processes.size() <= i)
      Processes.resize(i + 1);
    Processes[i] = *std::move(process);
  }
  void publishServer(size_t i, const std::string &state) {
    Store->put(absl::StrCat("servers/i-", i),
               absl::StrCat(R"({"service":"booking","address":")",
                            serverAddress(i).str(), R"(","zone":"d)", i % 2,
                            R"(","version":"v1","slots":2,"state":")", state,
                            R"(","coldLeftMs":0,"seq":1})"));
  }
  void publishRoutes(int version, const std::vector<int> &ports) {
    std::string routes;
    for (int port : ports)
      absl::StrAppend(
          &routes, routes.empty() ? "" : ",",
          R"({"name":"r","host":"198.18.0.1","prefix":"/)", port,
          R"(/","service":"booking","timeoutMs":1500,"sloMs":150})");
    Store->put(
        "op/config",
        absl::StrCat(
            R"({"version":)", version, R"(,"routes":[)", routes,
            R"(],"services":[{"name":"booking","coldPerS":0.0}],"limits":{"idleTimeoutMs":15000}})"));
  }
  /// Checks readiness as the fabric does.
  bool isReady(size_t i) const;
  CallResult::Kind call(int moveTo = -1) {
    platform::CallPlan plan;
    plan.MoveToDaemon = moveTo;
    return Caller->call(BookingEndpoint, plan).How;
  }
  std::string readLog(size_t i) const {
    std::ifstream file(settingsPath(i) + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  bool awaitLogText(size_t i, const std::string &text) const {
    return awaitUntil(
        Second * 5, [&] { return readLog(i).find(text) != std::string::npos; });
  }

  std::vector<uint16_t> Ports;
  std::unique_ptr<StandInStore> Store;
  std::vector<std::unique_ptr<StandInServer>> Servers;
  std::vector<std::unique_ptr<Process>> Processes;
  std::unique_ptr<StandInCaller> Caller;
};

bool PacketFleetTest::isReady(size_t i) const {
  auto client = HttpClient::create();
  HttpCall request;
  request.To = {vmIp(i), Ports[3]};
  request.Content.Method = "GET";
  request.Content.Target = "/-/ready";
  request.Timeout = Second;
  std::atomic<unsigned> status{0};
  std::atomic<bool> done{false};
  (*client)->start(request, [&](const HttpCallResult &result) {
    status =
        result.How == HttpCallOutcome::Answered ? result.Content.Status : 0;
    done = true;
  });
  awaitUntil(Second * 2, [&] { return done.load(); });
  (*client)->stop();
  return status == 200;
}

TEST_F(PacketFleetTest, ServesEveryFlowOnAQuietDay) {
  for (int i = 0; i < 60; ++i)
    EXPECT_EQ(call(i % 4 == 0 ? i : -1), CallResult::Kind::Answered) << i;
  for (auto &server : Servers) {
    EXPECT_EQ(server->misdirected(), 0U);
    EXPECT_EQ(server->unknownFlows(), 0U);
    EXPECT_GT(server->answered(), 0U);
  }
}

// A server goes silent while it is still published as ready. Its callers must
// be answered by other servers, before they retransmit the opening.
TEST_F(PacketFleetTest, ADarkServerCostsNoCallerItsAnswer) {
  Servers[0]->setSilent(true);
  int late = 0;
  for (int i = 0; i < 60; ++i) {
    CallResult result = Caller->call(BookingEndpoint);
    EXPECT_EQ(result.How, CallResult::Kind::Answered) << i;
    late += result.Took > Duration(190'000) ? 1 : 0;
  }
  EXPECT_LE(late, 3);
}

// The store goes silent, then a daemon is killed and restarts. It must load the
// published state from its peers, and all calls must be answered.
TEST_F(PacketFleetTest, AFreshDaemonLearnsFromPeersWhileTheStoreIsSilent) {
  Store->setMode(StandInStore::Mode::Silent);
  Processes[2]->signal(SIGKILL);
  ASSERT_TRUE(Processes[2]->awaitExit(Second * 5).ok());
  startDaemon(2);
  ASSERT_TRUE(awaitUntil(Second * 10, [&] { return isReady(2); }));
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(call(), CallResult::Kind::Answered) << i;
}

// Operators remove a route. Every daemon must apply the new configuration
// within 3 s and reset openings for the removed route.
TEST_F(PacketFleetTest, ADroppedRouteIsRefusedEverywhereInTime) {
  publishRoutes(2, {444});
  ASSERT_TRUE(awaitUntil(Second * 3, [&] {
    for (size_t i = 0; i < DaemonCount; ++i)
      if (readLog(i).find("\"configuration\":2,\"routes\"") ==
          std::string::npos)
        return false;
    return true;
  }));
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(call(), CallResult::Kind::Reset);
}

// Another writer leaves ten entries of a megabyte at once. Guards against
// daemons that read neither routes nor servers any more, since each watch of
// the servers fails.
TEST_F(PacketFleetTest, LargeForeignEntriesDelayNoChange) {
  for (int i = 0; i < 10; ++i)
    Store->put(absl::StrCat("servers/foreign-", i), std::string(1 << 20, 'x'));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  publishRoutes(2, {443, 444});
  publishServer(1, "draining");
  ASSERT_TRUE(awaitUntil(Second * 3, [&] {
    for (size_t i = 0; i < DaemonCount; ++i)
      if (readLog(i).find("\"configuration\":2,\"routes\"") ==
              std::string::npos ||
          readLog(i).find("\"state\":\"draining\"") == std::string::npos)
        return false;
    return true;
  }));
  uint64_t before = Servers[0]->openings();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(call(), CallResult::Kind::Answered) << i;
  EXPECT_EQ(Servers[0]->openings(), before);
}

// A daemon is stopped. The fabric still sends packets to it for a second, and
// all calls must be answered. Then the process must exit within its limit.
TEST_F(PacketFleetTest, AStoppedDaemonServesUntilTheFabricHasLeft) {
  Processes[0]->signal(SIGTERM);
  ASSERT_TRUE(awaitUntil(Second, [&] { return !isReady(0); }));
  Caller->setDaemons({packetAddresses()[0]});
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(call(), CallResult::Kind::Answered) << i;
  Caller->setDaemons({packetAddresses()[1], packetAddresses()[2]});
  auto code = Processes[0]->awaitExit(Second * 6);
  ASSERT_TRUE(code.ok()) << code.status();
  EXPECT_EQ(*code, 0);
  EXPECT_TRUE(awaitLogText(0, "\"event\":\"stopped\""));
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(call(), CallResult::Kind::Answered) << i;
}

// The settings file of a running daemon becomes invalid and is then corrected.
// The daemon must log the error and continue with the last valid settings.
TEST_F(PacketFleetTest, ABrokenSettingsFileChangesNothing) {
  std::ofstream(settingsPath(1)) << "{\"vm\": 7}";
  Processes[1]->signal(SIGHUP);
  EXPECT_TRUE(awaitLogText(1, "\"event\":\"bad-settings\""));
  EXPECT_TRUE(Processes[1]->isRunning());
  EXPECT_EQ(call(), CallResult::Kind::Answered);
  writeSettings(1, absl::StrCat("\"", vmIp(2), ":1\""));
  EXPECT_TRUE(awaitLogText(1, "\"event\":\"reloaded\""))
      << "corrected settings must be reloaded without a signal";
  EXPECT_EQ(call(), CallResult::Kind::Answered);
}

// A daemon is started while an earlier process still holds its address. It must
// log that and start once the address is free, without exiting in between.
TEST_F(PacketFleetTest, AHeldAddressIsWaitedFor) {
  Processes[2]->signal(SIGKILL);
  ASSERT_TRUE(Processes[2]->awaitExit(Second * 5).ok());
  {
    auto holder = ListenSocket::open({vmIp(2), Ports[3]});
    ASSERT_TRUE(holder.ok()) << holder.status();
    startDaemon(2);
    EXPECT_TRUE(awaitLogText(2, "\"event\":\"not-started\""));
    EXPECT_TRUE(Processes[2]->isRunning());
  }
  EXPECT_TRUE(awaitUntil(Second * 10, [&] { return isReady(2); }));
}

// A daemon starts while the store and all its peers are unreachable. Guards
// against a busy loop: polling for updates without a pause used up its CPU
// quota, so it had none left for the callers that came with the first updates.
TEST_F(PacketFleetTest, ADaemonWithoutUpdatesRests) {
  Store->setMode(StandInStore::Mode::Silent);
  for (auto &process : Processes) {
    process->signal(SIGKILL);
    ASSERT_TRUE(process->awaitExit(Second * 5).ok());
  }
  startDaemon(0);
  ASSERT_TRUE(awaitLogText(0, "\"event\":\"started\""));
  Duration before = Processes[0]->cpuTime();
  std::this_thread::sleep_for(Second * 2);
  Duration used = Processes[0]->cpuTime() - before;
  EXPECT_FALSE(isReady(0));
  EXPECT_LT(used, Second / 5) << used.count() << " us of two seconds";
}

// An operator queries a flow that hangs with the operators' client: which
// server it is at, and where a new flow would be placed.
TEST_F(PacketFleetTest, OperatorsAskAboutAFlow) {
  platform::CallPlan plan;
  ASSERT_EQ(Caller->call(BookingEndpoint, plan).How,
            CallResult::Kind::Answered);
  std::vector<Address> ports;
  for (size_t i = 0; i < DaemonCount; ++i)
    ports.push_back({vmIp(i), Ports[2]});
  auto client = OperatorClient::create(ports, Second);
  ASSERT_TRUE(client.ok()) << client.status();
  auto queryDaemons = [&](const std::string &path,
                          const OperatorClient::Query &query) {
    auto replies = client->askAll(path, query);
    return reportDecisions(replies, OutputFormat::Text);
  };
  // The first flow of the caller has source port 1001.
  Report flow = queryDaemons(
      "explain", {{"kind", "flow"}, {"id", "127.0.7.1:1001>198.18.0.1:443"}});
  EXPECT_EQ(flow.ExitCode, ExitCodes::Good) << flow.Notes;
  EXPECT_NE(flow.Text.find("the flow is ending at i-"), std::string::npos)
      << flow.Text;
  Report placement = queryDaemons(
      "where", {{"service", "198.18.0.1:443"}, {"flow", "127.0.7.1:2000"}});
  EXPECT_NE(placement.Text.find("would go to i-"), std::string::npos)
      << placement.Text;
  Report noRoute = queryDaemons(
      "where", {{"service", "198.18.0.1:444"}, {"flow", "127.0.7.1:2000"}});
  EXPECT_NE(noRoute.Text.find("no-route"), std::string::npos) << noRoute.Text;
  Report servers =
      reportServers(client->askAll("servers", {}), OutputFormat::Text);
  EXPECT_NE(servers.Text.find("i-4"), std::string::npos) << servers.Text;
  Report badId =
      queryDaemons("explain", {{"kind", "flow"}, {"id", "nonsense"}});
  EXPECT_NE(badId.ExitCode, ExitCodes::Good);
  Report metrics =
      reportMetrics(client->askAll("metrics", {}), OutputFormat::Text);
  EXPECT_NE(metrics.Text.find("balsamrack_flow_events_total"),
            std::string::npos);
}

// All daemons are killed at once and restart.
TEST_F(PacketFleetTest, AllDaemonsComeBackTogether) {
  for (auto &process : Processes)
    process->signal(SIGKILL);
  for (size_t i = 0; i < DaemonCount; ++i) {
    ASSERT_TRUE(Processes[i]->awaitExit(Second * 5).ok());
    startDaemon(i);
  }
  EXPECT_EQ(call(), CallResult::Kind::Answered);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(call(), CallResult::Kind::Answered) << i;
}

} // namespace
} // namespace balsamrack

#include "Balsamrack/Platform/PlatformLink.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

#include "Balsamrack/Core/Errors.h"
#include "UnitTests/Http/ReservedPort.h"
#include "UnitTests/Http/ScriptedServer.h"

namespace balsamrack {
namespace {

TEST(HttpPlatformLinkTest, ReadsTicketsAndVms) {
  std::string received;
  ScriptedServer server([&](RawConnection c, int) {
    received = c.readMessage();
    c.sendAll(
        httpAnswer("200 OK", R"({"highest":9,"tickets":[{"ticket":9}]})"));
    received += c.readMessage();
    c.sendAll(httpAnswer("200 OK", R"({"version":2,"vms":[]})"));
  });
  auto link = createHttpPlatformLink(server.at());
  auto tickets = link->readTickets({7}, Duration(1'500'000));
  ASSERT_TRUE(tickets.ok()) << tickets.status();
  EXPECT_EQ(tickets->Tickets.size(), 1U);
  auto vms = link->readVms(1, Duration(0));
  ASSERT_TRUE(vms.ok()) << vms.status();
  EXPECT_EQ(vms->Version, 2U);
  link->stop();
  EXPECT_NE(received.find("GET /v1/tickets?after=7&wait_ms=1500 HTTP/1.1"),
            std::string::npos);
  EXPECT_NE(received.find("GET /v1/vms?after=1&wait_ms=0 HTTP/1.1"),
            std::string::npos);
}

struct BadReply {
  const char *Name;
  std::string Reply;
  absl::StatusCode Code;
};

class EachFault : public testing::TestWithParam<BadReply> {};

TEST_P(EachFault, IsAnErrorWithStepAndPeer) {
  ScriptedServer server([&](RawConnection c, int) {
    c.readMessage();
    c.sendAll(GetParam().Reply);
  });
  auto got = createHttpPlatformLink(server.at())->readTickets({}, Duration(0));
  EXPECT_EQ(got.status().code(), GetParam().Code) << got.status();
  EXPECT_EQ(stepOf(got.status()), "read-platform");
  EXPECT_EQ(peerOf(got.status()), server.at().str());
}

INSTANTIATE_TEST_SUITE_P(
    Faults, EachFault,
    testing::Values(
        BadReply{"Status", httpAnswer("500 E", "{}"),
                 absl::StatusCode::kUnavailable},
        BadReply{"Closed", "", absl::StatusCode::kUnavailable},
        BadReply{"Half", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"high",
                 absl::StatusCode::kUnavailable},
        BadReply{"NotAPage", httpAnswer("200 OK", "[]"),
                 absl::StatusCode::kInvalidArgument}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(HttpPlatformLinkTest, RefusedConnectionIsUnavailable) {
  ReservedPort closedPort;
  auto got = createHttpPlatformLink(closedPort.at())->readVms(0, Duration(0));
  EXPECT_EQ(got.status().code(), absl::StatusCode::kUnavailable);
}

TEST(HttpPlatformLinkTest, TimesOutTwoSecondsAfterTheWait) {
  ScriptedServer server([](RawConnection c, int) { c.readToEnd(); });
  auto got = createHttpPlatformLink(server.at())->readVms(0, Duration(0));
  EXPECT_EQ(got.status().code(), absl::StatusCode::kDeadlineExceeded);
}

TEST(HttpPlatformLinkTest, StopCancelsAWaitingRead) {
  std::atomic<int> entered{0};
  ScriptedServer server([&](RawConnection c, int) {
    c.readMessage();
    ++entered;
    c.readToEnd();
  });
  auto link = createHttpPlatformLink(server.at());
  auto watch = std::async(std::launch::async, [&] {
    return link->readTickets({}, Duration(60'000'000)).status();
  });
  ASSERT_TRUE(waitUntil([&] { return entered == 1; }));
  link->stop();
  EXPECT_EQ(watch.get().code(), absl::StatusCode::kCancelled);
  EXPECT_EQ(link->readVms(0, Duration(0)).status().code(),
            absl::StatusCode::kCancelled);
}

} // namespace
} // namespace balsamrack

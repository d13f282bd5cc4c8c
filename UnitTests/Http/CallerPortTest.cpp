#include "Balsamrack/Http/CallerPort.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/ListenSocket.h"
#include "Balsamrack/Http/HeaderRules.h"
#include "UnitTests/Http/RawConnection.h"

namespace balsamrack {
namespace {

/// Records the last message and returns a configured response.
class RecordingHandler final : public CallerHandler {
public:
  Answer serve(uint16_t port, const std::string &peerIp,
               Message message) override {
    std::lock_guard<std::mutex> hold(Lock);
    Port = port;
    PeerIp = peerIp;
    Last = std::move(message);
    ++Calls;
    return Reply;
  }

  std::mutex Lock;
  uint16_t Port = 0;
  std::string PeerIp;
  Message Last;
  int Calls = 0;
  Answer Reply{200, {}, "done"};
};

/// Blocks until it is released.
class BlockingHandler final : public CallerHandler {
public:
  Answer serve(uint16_t /*port*/, const std::string & /*peerIp*/,
               Message /*message*/) override {
    ++Entered;
    Released.wait();
    return {200, {}, std::string(1 << 20, 'x')};
  }

  std::promise<void> ReleasePromise;
  std::shared_future<void> Released = ReleasePromise.get_future().share();
  std::atomic<int> Entered{0};
};

class CallerPortTest : public testing::Test {
protected:
  void SetUp() override {
    Settings.MaxBodyBytes = 1000;
    Settings.MaxHeaderBytes = 2000;
    auto made = CallerPort::create(Settings, {0, 0}, Handler);
    ASSERT_TRUE(made.ok()) << made.status();
    Port = *std::move(made);
    At = {"127.0.0.1", Port->ports()[0]};
  }

  std::string ask(const std::string &request) const {
    RawConnection c = RawConnection::connectTo(At);
    c.sendAll(request);
    return c.readMessage();
  }

  CallerPortSettings Settings;
  RecordingHandler Handler;
  std::unique_ptr<CallerPort> Port;
  Address At;
};

TEST_F(CallerPortTest, PassesTheMessageUnchanged) {
  std::string body("a=1&b=\0\xff", 8);
  std::string answer =
      ask("POST /p%20q?x=1&y=%2F HTTP/1.1\r\nHost: h\r\nX-One: \xe9\r\n"
          "Connection: X-Hop\r\nX-Hop: 1\r\nContent-Type: "
          "application/x-www-form-urlencoded\r\nContent-Length: 8\r\n\r\n" +
          body);
  EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0U) << answer;
  EXPECT_EQ(Handler.Last.Method, "POST");
  EXPECT_EQ(Handler.Last.Target, "/p%20q?x=1&y=%2F");
  EXPECT_EQ(Handler.Last.Body, body);
  EXPECT_EQ(Handler.PeerIp, "127.0.0.1");
  EXPECT_EQ(Handler.Port, At.Port);
  ASSERT_NE(findHeader(Handler.Last.Headers, "x-one"), nullptr);
  EXPECT_EQ(*findHeader(Handler.Last.Headers, "x-one"), "\xe9");
  EXPECT_EQ(findHeader(Handler.Last.Headers, "host"), nullptr);
  EXPECT_EQ(findHeader(Handler.Last.Headers, "x-hop"), nullptr);
}

TEST_F(CallerPortTest, ReportsThePortOfEachRequest) {
  Address second{"127.0.0.1", Port->ports()[1]};
  RawConnection c = RawConnection::connectTo(second);
  c.sendAll("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(c.readMessage(), "");
  EXPECT_EQ(Handler.Port, second.Port);
}

class EachRequestLine : public CallerPortTest,
                        public testing::WithParamInterface<
                            std::pair<const char *, const char *>> {};

TEST_P(EachRequestLine, IsServed) {
  const auto &[method, target] = GetParam();
  std::string answer =
      ask(std::string(method) + " " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0U) << answer;
  EXPECT_EQ(Handler.Last.Method, method);
  EXPECT_EQ(Handler.Last.Target, target);
}

INSTANTIATE_TEST_SUITE_P(Lines, EachRequestLine,
                         testing::Values(std::make_pair("GET", "/"),
                                         std::make_pair("GET", "/a/b/c"),
                                         std::make_pair("GET", "//"),
                                         std::make_pair("PUT", "/a/"),
                                         std::make_pair("DELETE", "/a?b"),
                                         std::make_pair("PATCH", "/?"),
                                         std::make_pair("OPTIONS", "*"),
                                         std::make_pair("BREW", "/pot")));

TEST_F(CallerPortTest, OneConnectionServesManyRequests) {
  RawConnection c = RawConnection::connectTo(At);
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(c.sendAll("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    EXPECT_NE(c.readMessage().find("\r\n\r\ndone"), std::string::npos);
  }
  EXPECT_EQ(Handler.Calls, 3);
}

TEST_F(CallerPortTest, EmptyResponseKeepsItsStatus) {
  Handler.Reply = {503, {}, ""};
  EXPECT_EQ(ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n").substr(9, 3), "503");
}

TEST_F(CallerPortTest, RepeatedSetCookieFieldsAreKept) {
  Handler.Reply.Headers = {
      {"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}, {"Set-Cookie", "c=3"}};
  std::string answer = ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  for (const char *value : {": a=1\r\n", ": b=2\r\n", ": c=3\r\n"})
    EXPECT_NE(answer.find(value), std::string::npos) << answer;
}

struct Limit {
  const char *Name;
  size_t HeaderBytes;
  size_t BodyBytes;
  const char *Status;
  int Calls;
};

class EachLimit : public CallerPortTest,
                  public testing::WithParamInterface<Limit> {};

// Guards against oversized requests: a body of many megabytes or an endless
// cookie is rejected at once, with the right status, and never reaches a
// backend server.
TEST_P(EachLimit, IsReportedByItsStatus) {
  const Limit &p = GetParam();
  std::string answer = ask(
      "POST / HTTP/1.1\r\nHost: h\r\nX: " + std::string(p.HeaderBytes, 'x') +
      "\r\nContent-Length: " + std::to_string(p.BodyBytes) + "\r\n\r\n" +
      std::string(p.BodyBytes, 'b'));
  EXPECT_EQ(answer.substr(0, 12), std::string("HTTP/1.1 ") + p.Status);
  EXPECT_EQ(Handler.Calls, p.Calls);
  EXPECT_EQ(Handler.Last.Body.size(), p.Calls == 1 ? p.BodyBytes : 0);
  EXPECT_EQ(ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n").substr(9, 3), "200");
}

INSTANTIATE_TEST_SUITE_P(
    Limits, EachLimit,
    testing::Values(Limit{"Fits", 1900, 1000, "200", 1},
                    Limit{"Body", 10, 1001, "413", 0},
                    Limit{"HugeBody", 10, 200000, "413", 0},
                    Limit{"Header", 2001, 10, "431", 0},
                    Limit{"HugeHeader", 100000, 0, "431", 0}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(CallerPortErrorTest, ReportsWhyItCannotListen) {
  RecordingHandler handler;
  auto taken = ListenSocket::open({"127.0.0.1", 0});
  ASSERT_TRUE(taken.ok());
  auto clash = CallerPort::create({}, {0, taken->address().Port}, handler);
  EXPECT_EQ(clash.status().code(), absl::StatusCode::kAlreadyExists);
  EXPECT_EQ(stepOf(clash.status()), "listen");
  EXPECT_EQ(peerOf(clash.status()), taken->address().str());
  CallerPortSettings notOurs;
  notOurs.Ip = "192.0.2.1"; // TEST-NET-1: not assigned to any machine.
  auto foreign = CallerPort::create(notOurs, {0}, handler);
  EXPECT_EQ(foreign.status().code(), absl::StatusCode::kUnavailable);
  EXPECT_EQ(peerOf(foreign.status()), "192.0.2.1:0");
}

TEST(CallerPortErrorTest, OpeningAnOpenPortIsOk) {
  RecordingHandler handler;
  auto made = CallerPort::create({}, {0}, handler);
  ASSERT_TRUE(made.ok());
  EXPECT_TRUE((*made)->open((*made)->ports()[0]).ok());
  EXPECT_EQ((*made)->ports().size(), 1U);
  (*made)->stop();
  EXPECT_FALSE((*made)->open(0).ok());
}

// Guards against a lost response when a daemon stops while it handles a
// request: the server library closes all connections when it stops, so the
// caller would not receive the response to a request that was executed.
TEST(CallerPortStopTest, RequestInProgressGetsItsCompleteResponse) {
  BlockingHandler handler;
  auto made = CallerPort::create({}, {0}, handler);
  ASSERT_TRUE(made.ok());
  Address at{"127.0.0.1", (*made)->ports()[0]};
  RawConnection c = RawConnection::connectTo(at);
  c.sendAll("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(waitUntil([&] { return handler.Entered == 1; }));
  std::thread stopper([&] { (*made)->stop(); });
  bool refused =
      waitUntil([&] { return !RawConnection::connectTo(at).isOpen(); });
  handler.ReleasePromise.set_value();
  std::string answer = c.readToEnd();
  stopper.join();
  EXPECT_TRUE(refused);
  EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, size_t(1) << 20);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

} // namespace
} // namespace balsamrack

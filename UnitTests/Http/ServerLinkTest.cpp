#include "Balsamrack/Http/ServerLink.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>

#include "Balsamrack/Http/HeaderRules.h"
#include "UnitTests/Http/ReservedPort.h"
#include "UnitTests/Http/ScriptedServer.h"

namespace balsamrack {
namespace {

constexpr Duration LongTimeout{10'000'000};

BackendServer serverAt(const Address &at) {
  BackendServer s;
  s.Id = ServerId("booking-01");
  s.At = at;
  return s;
}

Envelope envelope(uint64_t request, Semantics kind) {
  Envelope e;
  e.Request = {request};
  e.Flow = {0xF1};
  e.Kind = kind;
  e.Trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  return e;
}

class ServerLinkTest : public testing::Test {
protected:
  void SetUp() override {
    auto made = createHttpServerLink({});
    ASSERT_TRUE(made.ok()) << made.status();
    Link = *std::move(made);
  }

  std::future<DispatchResult> dispatch(const Address &at, Semantics kind,
                                       const Message &message = {},
                                       Duration timeout = LongTimeout) {
    auto result = std::make_shared<std::promise<DispatchResult>>();
    Link->dispatch(serverAt(at), envelope(7, kind), message, timeout,
                   [result](const DispatchResult &r) { result->set_value(r); });
    return result->get_future();
  }

  std::unique_ptr<ServerLink> Link;
};

TEST_F(ServerLinkTest, SendsTheMessageUnchangedWithItsOwnFields) {
  std::string received;
  ScriptedServer server([&](RawConnection c, int) {
    received = c.readMessage();
    c.sendAll(httpAnswer("201 Created\r\nX-A: 1\r\nBalsamrack-Ending: not-run"
                         "\r\nBalsamrack-Instance: run-4",
                         std::string("a\0b", 3)));
  });
  Message m{"POST", "/a/../b?x=%2F", {}, std::string("x\0\xff", 3)};
  m.Headers = {{"Idempotency-Key", "k"}, {"X-Empty", ""},
               {"traceparent", "old"},   {"Connection", "X-Hop"},
               {"X-Hop", "1"},           {"Content-Type", "a/b"}};
  DispatchResult r = dispatch(server.at(), Semantics::RunOnce, m).get();
  EXPECT_EQ(r.How, DispatchOutcome::Answered);
  EXPECT_EQ(r.Content.Status, 201U);
  EXPECT_EQ(r.Content.Body, std::string("a\0b", 3));
  EXPECT_EQ(r.Instance.str(), "run-4");
  EXPECT_NE(findHeader(r.Content.Headers, "x-a"), nullptr);
  EXPECT_EQ(findHeader(r.Content.Headers, "balsamrack-ending"), nullptr);
  EXPECT_EQ(received.rfind("POST /a/../b?x=%2F HTTP/1.1\r\n", 0), 0U)
      << received;
  for (const char *line :
       {"\r\nIdempotency-Key: k\r\n", "\r\nX-Empty:\r\n",
        "\r\nRequest-Timeout: 10000\r\n", "\r\nContent-Type: a/b\r\n",
        "\r\nBalsamrack-Request: 0000000000000007\r\n",
        "\r\nBalsamrack-Flow: 00000000000000f1\r\n",
        "\r\ntraceparent: 00-0af7651916cd43dd8448eb211c80319c-"})
    EXPECT_NE(received.find(line), std::string::npos) << line << received;
  for (const char *absent : {"X-Hop", "traceparent: old", "Accept", "Expect"})
    EXPECT_EQ(received.find(absent), std::string::npos) << absent << received;
}

struct ServerAnswer {
  const char *Name;
  std::string Reply; ///< Sent by the server before it closes the connection.
  DispatchOutcome How;
};

class EachAnswer : public ServerLinkTest,
                   public testing::WithParamInterface<ServerAnswer> {};

// Guards against a wrong outcome when a server process dies or sends an
// incomplete response. The request may have been executed, so it must be
// Failed; a truncated response forwarded as complete would be worse.
TEST_P(EachAnswer, HasTheProvableOutcome) {
  ScriptedServer server([&](RawConnection c, int) {
    c.readMessage();
    c.sendAll(GetParam().Reply);
  });
  DispatchResult r = dispatch(server.at(), Semantics::RunOnce).get();
  EXPECT_EQ(r.How, GetParam().How);
  EXPECT_EQ(server.connections(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EachAnswer,
    testing::Values(
        ServerAnswer{"Whole", httpAnswer("200 OK", "x"),
                     DispatchOutcome::Answered},
        ServerAnswer{"NotFound", httpAnswer("404 No", ""),
                     DispatchOutcome::Answered},
        ServerAnswer{"Chunked",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "1\r\nx\r\n0\r\n\r\n",
                     DispatchOutcome::Answered},
        ServerAnswer{"NoContent", "HTTP/1.1 204 No\r\n\r\n",
                     DispatchOutcome::Answered},
        ServerAnswer{"Shed", httpAnswer("503 Busy\r\nBalsamrack-Run: no", ""),
                     DispatchOutcome::Shed},
        ServerAnswer{"Plain503", httpAnswer("503 Busy", ""),
                     DispatchOutcome::Answered},
        ServerAnswer{"RunNoBut500",
                     httpAnswer("500 E\r\nBalsamrack-Run: no", ""),
                     DispatchOutcome::Answered},
        ServerAnswer{"Nothing", "", DispatchOutcome::Failed},
        ServerAnswer{"HalfHeader", "HTTP/1.1 200 OK\r\nContent-Le",
                     DispatchOutcome::Failed},
        ServerAnswer{"HalfBody",
                     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                     DispatchOutcome::Failed},
        ServerAnswer{
            "HalfChunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx",
            DispatchOutcome::Failed},
        ServerAnswer{"EndByClose", "HTTP/1.1 200 OK\r\n\r\nmaybe half",
                     DispatchOutcome::Failed},
        ServerAnswer{"NotHttp", "220 smtp.example\r\n",
                     DispatchOutcome::Failed},
        ServerAnswer{"HugeHeader",
                     "HTTP/1.1 200 OK\r\nX: " + std::string(70000, 'x') +
                         "\r\nContent-Length: 0\r\n\r\n",
                     DispatchOutcome::Failed},
        ServerAnswer{"HugeBody",
                     httpAnswer("200 OK", std::string((4 << 20) + 1, 'x')),
                     DispatchOutcome::Failed}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST_F(ServerLinkTest, ShedReportsRetryAfter) {
  ScriptedServer server([](RawConnection c, int) {
    c.readMessage();
    c.sendAll(
        httpAnswer("503 Busy\r\nBalsamrack-Run: no\r\nRetry-After: 3", ""));
  });
  DispatchResult r = dispatch(server.at(), Semantics::RunOnce).get();
  EXPECT_EQ(r.RetryAfter, std::chrono::seconds(3));
}

TEST_F(ServerLinkTest, RefusedConnectionIsUnreachable) {
  ReservedPort closedPort;
  EXPECT_EQ(dispatch(closedPort.at(), Semantics::RunOnce).get().How,
            DispatchOutcome::Unreachable);
}

TEST_F(ServerLinkTest, LineBreakInAFieldIsNeverSent) {
  ScriptedServer server([](const RawConnection &, int) {});
  Message m{"GET", "/", {{"X", "1\r\nPOST /evil"}}, ""};
  EXPECT_EQ(dispatch(server.at(), Semantics::Idempotent, m).get().How,
            DispatchOutcome::Unreachable);
  m = {"GET", "/ HTTP/1.1\r\nX: y", {}, ""};
  EXPECT_EQ(dispatch(server.at(), Semantics::Idempotent, m).get().How,
            DispatchOutcome::Unreachable);
  EXPECT_EQ(server.connections(), 0);
}

TEST_F(ServerLinkTest, NoTimeLeftIsUnreachable) {
  ScriptedServer server([](const RawConnection &, int) {});
  EXPECT_EQ(
      dispatch(server.at(), Semantics::RunOnce, {}, Duration(0)).get().How,
      DispatchOutcome::Unreachable);
}

// Guards against a dispatch by a former owner: its process is paused while it
// connects, and another daemon owns the server when it resumes. The request
// must not be sent.
TEST(ServerLinkSettingsTest, NothingIsSentOnceAuthorityIsLost) {
  std::atomic<bool> hasAuthority{true};
  ServerLinkSettings settings;
  settings.MaySend = [&] { return hasAuthority.load(); };
  auto link = createHttpServerLink(settings);
  ASSERT_TRUE(link.ok());
  ScriptedServer server([](RawConnection c, int) {
    if (!c.readMessage().empty())
      c.sendAll(httpAnswer("200 OK", ""));
  });
  for (bool allowed : {true, false}) {
    hasAuthority = allowed;
    std::promise<DispatchOutcome> end;
    (*link)->dispatch(serverAt(server.at()), envelope(7, Semantics::Idempotent),
                      {}, LongTimeout,
                      [&](const DispatchResult &r) { end.set_value(r.How); });
    EXPECT_EQ(end.get_future().get(), allowed ? DispatchOutcome::Answered
                                              : DispatchOutcome::Unreachable);
  }
}

TEST(ServerLinkSettingsTest, DispatchAboveTheLimitIsUnreachable) {
  ServerLinkSettings settings;
  settings.MaxDispatches = 1;
  auto link = createHttpServerLink(settings);
  ASSERT_TRUE(link.ok());
  ScriptedServer server([](RawConnection c, int) { c.readToEnd(); });
  std::promise<DispatchOutcome> first;
  std::promise<DispatchOutcome> second;
  for (auto *end : {&first, &second})
    (*link)->dispatch(serverAt(server.at()), envelope(7, Semantics::RunOnce),
                      {}, LongTimeout,
                      [=](const DispatchResult &r) { end->set_value(r.How); });
  EXPECT_EQ(second.get_future().get(), DispatchOutcome::Unreachable);
  ASSERT_TRUE(waitUntil([&] { return server.connections() == 1; }));
  (*link)->cancel({7});
  (*link)->stop();
}

TEST_F(ServerLinkTest, SilentServerFailsAfterTheTimeout) {
  ScriptedServer server([](RawConnection c, int) { c.readToEnd(); });
  DispatchResult r =
      dispatch(server.at(), Semantics::RunOnce, {}, Duration(50'000)).get();
  EXPECT_EQ(r.How, DispatchOutcome::Failed);
  EXPECT_GE(r.Took, Duration(40'000));
}

/// Responds to the first request of a connection, and closes the connection
/// without a response at the next.
class ClosingServer {
public:
  int requests() const { return Requests; }
  const Address &at() const { return Server.at(); }
  int connections() const { return Server.connections(); }

private:
  std::atomic<int> Requests{0};
  ScriptedServer Server{[this](RawConnection c, int) {
    if (c.readMessage().empty())
      return;
    ++Requests;
    c.sendAll(httpAnswer("200 OK", "x"));
    if (!c.readMessage().empty())
      ++Requests;
  }};
};

// Guards against executing a request twice. The server closes an idle
// connection just as a request that must execute at most once is sent on it;
// libcurl then resends the request on a new connection, whatever its method,
// and a deposit would be charged twice.
TEST_F(ServerLinkTest, RunOnceNeverReusesAConnection) {
  ClosingServer server;
  Message get{"GET", "/", {}, ""};
  Message post{"POST", "/", {}, "deposit"};
  EXPECT_EQ(dispatch(server.at(), Semantics::Idempotent, get).get().How,
            DispatchOutcome::Answered);
  EXPECT_EQ(dispatch(server.at(), Semantics::RunOnce, post).get().How,
            DispatchOutcome::Answered);
  EXPECT_EQ(server.requests(), 2);
  EXPECT_EQ(server.connections(), 2);
}

// The opposite case: an idempotent request reuses the idle connection, and is
// resent instead of failing when the server has closed it.
TEST_F(ServerLinkTest, IdempotentIsResentWhenAReusedConnectionIsClosed) {
  ClosingServer server;
  Message get{"GET", "/", {}, ""};
  EXPECT_EQ(dispatch(server.at(), Semantics::Idempotent, get).get().How,
            DispatchOutcome::Answered);
  EXPECT_EQ(dispatch(server.at(), Semantics::Idempotent, get).get().How,
            DispatchOutcome::Answered);
  EXPECT_EQ(server.requests(), 3);
  EXPECT_EQ(server.connections(), 2);
}

TEST_F(ServerLinkTest, IdleConnectionsAreReused) {
  ScriptedServer server([](RawConnection c, int) {
    while (!c.readMessage().empty())
      c.sendAll(httpAnswer("200 OK", "x"));
  });
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(dispatch(server.at(), Semantics::Idempotent).get().How,
              DispatchOutcome::Answered);
  EXPECT_EQ(server.connections(), 1);
}

// The caller closes its connection while the server works. The server is told
// that the request was cancelled, and the dispatch ends without a response.
TEST_F(ServerLinkTest, CancelNotifiesTheServerAndEndsTheDispatch) {
  std::mutex lock;
  std::vector<std::string> received;
  ScriptedServer server([&](RawConnection c, int) {
    std::string message = c.readMessage();
    {
      std::lock_guard<std::mutex> hold(lock);
      received.push_back(message);
    }
    if (message.find("/balsamrack/cancel") != std::string::npos)
      c.sendAll(httpAnswer("200 OK", ""));
    else
      c.readToEnd();
  });
  auto count = [&] {
    std::lock_guard<std::mutex> hold(lock);
    return received.size();
  };
  auto result = dispatch(server.at(), Semantics::RunOnce);
  ASSERT_TRUE(waitUntil([&] { return count() == 1; }));
  Link->cancel({8}); // another request
  Link->cancel({7});
  EXPECT_EQ(result.get().How, DispatchOutcome::Failed);
  ASSERT_TRUE(waitUntil([&] { return count() == 2; }));
  std::lock_guard<std::mutex> hold(lock);
  EXPECT_EQ(received[1].rfind("POST /balsamrack/cancel HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(received[1].find("\r\nBalsamrack-Request: 0000000000000007\r\n"),
            std::string::npos);
}

TEST_F(ServerLinkTest, StopWaitsForResponsesAndThenSendsNothing) {
  std::promise<void> release;
  std::atomic<int> entered{0};
  ScriptedServer server([&](RawConnection c, int) {
    c.readMessage();
    ++entered;
    release.get_future().wait();
    c.sendAll(httpAnswer("200 OK", "x"));
  });
  auto result = dispatch(server.at(), Semantics::RunOnce);
  ASSERT_TRUE(waitUntil([&] { return entered == 1; }));
  std::thread stopper([&] { Link->stop(); });
  release.set_value();
  EXPECT_EQ(result.get().How, DispatchOutcome::Answered);
  stopper.join();
  EXPECT_EQ(dispatch(server.at(), Semantics::RunOnce).get().How,
            DispatchOutcome::Unreachable);
  EXPECT_EQ(server.connections(), 1);
}

TEST(ServerLinkSettingsTest, ManyConcurrentDispatchesEachEndOnce) {
  constexpr int Many = 200;
  ServerLinkSettings settings;
  settings.MaxDispatches = Many;
  auto link = createHttpServerLink(settings);
  ASSERT_TRUE(link.ok());
  ScriptedServer server([](RawConnection c, int) {
    while (!c.readMessage().empty())
      c.sendAll(httpAnswer("200 OK", "x"));
  });
  std::atomic<int> ended{0};
  std::atomic<int> answered{0};
  for (int i = 0; i < Many; ++i)
    (*link)->dispatch(serverAt(server.at()), envelope(i, Semantics::Idempotent),
                      {}, LongTimeout, [&](const DispatchResult &r) {
                        answered += r.How == DispatchOutcome::Answered;
                        ++ended;
                      });
  (*link)->stop();
  EXPECT_EQ(ended, Many);
  EXPECT_EQ(answered, Many);
}

} // namespace
} // namespace balsamrack

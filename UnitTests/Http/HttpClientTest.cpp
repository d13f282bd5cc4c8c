#include "Balsamrack/Http/HttpClient.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>

#include "UnitTests/Http/ScriptedServer.h"

namespace balsamrack {
namespace {

constexpr Duration StallTimeout{300'000};
constexpr Duration Timeout{10'000'000};

/// How a server sends its response.
struct AnswerPattern {
  const char *Name;
  int Pieces;                    ///< Number of pieces sent, of ten.
  std::chrono::milliseconds Gap; ///< Delay before each piece.
  HttpCallOutcome End;
};

class EachSending : public testing::TestWithParam<AnswerPattern> {};

// Guards against aborting a long response over a slow link at a fixed time, and
// against a stalled response that blocks its caller.
TEST_P(EachSending, TimesOutByTimeSinceLastByte) {
  const std::string piece(100, 'x');
  ScriptedServer server([&](RawConnection c, int) {
    c.readMessage();
    c.sendAll("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
    for (int i = 0; i < GetParam().Pieces; ++i) {
      std::this_thread::sleep_for(GetParam().Gap);
      c.sendAll(piece);
    }
    c.readMessage();
  });
  auto client = HttpClient::create();
  ASSERT_TRUE(client.ok()) << client.status();
  HttpCall call;
  call.To = server.at();
  call.Content.Method = "GET";
  call.Content.Target = "/";
  call.Timeout = Timeout;
  call.StallTimeout = StallTimeout;
  std::promise<HttpCallResult> promise;
  (*client)->start(std::move(call), [&](HttpCallResult result) {
    promise.set_value(std::move(result));
  });
  HttpCallResult result = promise.get_future().get();
  EXPECT_EQ(result.How, GetParam().End) << result.Error;
  EXPECT_LT(result.Took, Timeout);
}

INSTANTIATE_TEST_SUITE_P(
    Sendings, EachSending,
    testing::Values(AnswerPattern{"Slowly", 10, std::chrono::milliseconds(60),
                                  HttpCallOutcome::Answered},
                    AnswerPattern{"ThenNoMore", 3,
                                  std::chrono::milliseconds(10),
                                  HttpCallOutcome::Failed},
                    AnswerPattern{"Nothing", 0, std::chrono::milliseconds(0),
                                  HttpCallOutcome::Failed}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

#include "Balsamrack/Http/HttpClient.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>

#include "UnitTests/Http/ScriptedServer.h"

namespace balsamrack {
namespace {

constexpr Duration Stall{300'000};
constexpr Duration Limit{10'000'000};

/// How a server sends its answer.
struct Sending {
  const char *Name;
  int Pieces;                    ///< Of the whole answer's ten.
  std::chrono::milliseconds Gap; ///< Before each piece.
  HttpCallEnd End;
};

class EachSending : public testing::TestWithParam<Sending> {};

// Guards against a long answer over a slow link that is given up at a fixed
// time, and against one that never goes on and holds its caller up.
TEST_P(EachSending, EndsByItsLastByte) {
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
  call.Timeout = Limit;
  call.StallTimeout = Stall;
  std::promise<HttpCallResult> promise;
  (*client)->start(std::move(call), [&](HttpCallResult result) {
    promise.set_value(std::move(result));
  });
  HttpCallResult result = promise.get_future().get();
  EXPECT_EQ(result.How, GetParam().End) << result.Error;
  EXPECT_LT(result.Took, Limit);
}

INSTANTIATE_TEST_SUITE_P(
    Sendings, EachSending,
    testing::Values(Sending{"Slowly", 10, std::chrono::milliseconds(60),
                            HttpCallEnd::Answered},
                    Sending{"ThenNoMore", 3, std::chrono::milliseconds(10),
                            HttpCallEnd::Failed},
                    Sending{"Nothing", 0, std::chrono::milliseconds(0),
                            HttpCallEnd::Failed}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

#include "Balsamrack/Core/Random.h"
#include "FailureTests/FleetTest.h"

namespace balsamrack {
namespace {

using namespace std::chrono_literals;

/// Timeout of the reply to garbage.
constexpr time_t ReplyTimeoutSeconds = 1;
constexpr size_t RandomInputBytes = 4096;
constexpr size_t HugeBodyBytes = 8 << 20;

/// Sends \p bytes to \p to and discards the reply, until the peer closes the
/// connection or ReplyTimeoutSeconds have passed.
void sendGarbage(const Address &to, const std::string &bytes) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  timeval timeout{ReplyTimeoutSeconds, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.Port);
  inet_pton(AF_INET, to.Ip.c_str(), &address.sin_addr);
  char buf[4096];
  if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) ==
          0 &&
      send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) {
    shutdown(fd, SHUT_WR);
    while (recv(fd, buf, sizeof(buf), 0) > 0) {
    }
  }
  close(fd);
}

std::string randomBytes(uint64_t seed, size_t n) {
  SeededRandom random(seed);
  std::string bytes;
  for (size_t i = 0; i < n; ++i)
    bytes.push_back(static_cast<char>(random.below(256)));
  return bytes;
}

std::vector<std::string> makeGarbageInputs(uint64_t seed) {
  const std::string upgrade =
      "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: "
      "Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: "
      "dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  const std::string badEnvelope =
      "GET / HTTP/1.1\r\nHost: x\r\nForwarded: for=\"]:[;;\"\r\n"
      "Balsamrack-Packet: -5\r\nBalsamrack-Token: \xff\xfe\r\n"
      "Request-Timeout: 1e99\r\ntraceparent: 00-zz\r\n\r\n";
  const std::string frame("\x82\x84\x00\x00\x00\x00", 6);
  return {
      "\r\n\r\n",
      std::string(100, '\0'),
      "GET",
      "GET / HTTP/9.9\r\n\r\n",
      "POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /pay HTTP/1.1\r\nContent-Length: 99\r\n\r\ntruncated",
      "GET /v1/explain?kind=request&id=%zz HTTP/1.1\r\nHost: x\r\n\r\n",
      "GET /v1/flows?limit=99999999999999999999 HTTP/1.1\r\nHost: x\r\n\r\n",
      badEnvelope,
      "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'h') + "\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8388608\r\n\r\n" +
          std::string(HugeBodyBytes, 'b'),
      upgrade + frame + "\xff\xff\xff\xff",
      upgrade + frame + std::string(4, '\x81'),
      upgrade + std::string("\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff", 10),
      upgrade + randomBytes(seed + 1, RandomInputBytes),
      randomBytes(seed + 2, RandomInputBytes),
  };
}

// Sends garbage to every port of a daemon: truncated and oversized HTTP,
// invalid header values, frames that are not CBOR, deep nesting and random
// bytes. The daemon must not crash, and callers' requests must still be
// answered.
TEST_F(FleetTest, GarbageIntoEachPort) {
  ASSERT_NO_FATAL_FAILURE(startFleet(makeSmallPlan()));
  standins::LoadGenerator load(TestFleet->makeCallSettings());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 100));
  for (const std::string &bytes : makeGarbageInputs(testSeed()))
    for (const Address &port :
         {TestFleet->callerAddress(0, "booking"), TestFleet->peerAddress(0),
          TestFleet->operatorAddress(0)})
      sendGarbage(port, bytes);
  ASSERT_TRUE(TestFleet->daemon(0).isRunning());
  EXPECT_TRUE(TestFleet->awaitReady(0).ok());
  ASSERT_NO_FATAL_FAILURE(awaitAnswers(load, 100));
  standins::LoadReport report = TestFleet->stopAndVerify(load);
  expectNoViolations(report, 0.9);
  EXPECT_EQ(report.Unknown, 0U);
}

} // namespace
} // namespace balsamrack

#include "Balsamrack/Peers/DatagramTransport.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Peers/PeerCodec.h"
#include "UnitTests/Peers/PeerSamples.h"

namespace balsamrack {
namespace {

class DatagramTransportTest : public testing::Test {
protected:
  void SetUp() override {
    for (auto *it : {&A, &B}) {
      // Finds a free port by binding to it.
      for (uint16_t port = 31000; !*it && port < 31900; ++port) {
        auto opened = DatagramTransport::open({"127.0.0.1", port});
        if (opened.ok()) {
          *it = *std::move(opened);
          At[it == &A ? 0 : 1] = {"127.0.0.1", port};
        }
      }
      ASSERT_TRUE(*it);
    }
  }
  std::vector<PeerMessage> receive(size_t minCount) {
    std::vector<PeerMessage> all;
    for (int i = 0; i < 100 && all.size() < minCount; ++i) {
      pollfd polled{B->fd(), POLLIN, 0};
      poll(&polled, 1, 20);
      B->receive([&](const Address &from, PeerMessage message) {
        EXPECT_EQ(from, At[0]);
        all.push_back(std::move(message));
      });
    }
    return all;
  }
  std::unique_ptr<DatagramTransport> A, B;
  Address At[2];
};

TEST_F(DatagramTransportTest, EachMessageArrives) {
  auto sent = samplePeerMessages();
  for (const PeerMessage &message : sent)
    ASSERT_TRUE(A->send(At[1], message).ok());
  auto got = receive(sent.size());
  ASSERT_EQ(got.size(), sent.size());
  for (size_t i = 0; i < got.size(); ++i) {
    size_t bytes = encodePeerMessage(sent[i]).size();
    EXPECT_EQ(encodePeerMessage(got[i]), encodePeerMessage(sent[i]));
    EXPECT_EQ(A->counters().SentByType[i].Bytes, bytes);
    EXPECT_EQ(B->counters().ReceivedByType[i].Bytes, bytes);
    EXPECT_EQ(B->counters().ReceivedByType[i].Messages, 1U);
  }
}

// Guards against losing a configuration of thousands of different routes
// because it exceeds one datagram.
TEST_F(DatagramTransportTest, SplitsALongMessageIntoFragments) {
  auto c = std::make_shared<OperatorConfiguration>();
  for (uint16_t i = 0; i < 3000; ++i)
    c->Routes.push_back({{"198.18.1.1", static_cast<uint16_t>(i + 1)},
                         {{ServiceId("booking-" + std::to_string(i)), 1}}});
  PublishedUpdate update;
  update.Changes.push_back(
      {PublishedSection::Operators,
       {},
       {9},
       {{PublishedSection::Operators,
         "config",
         {9},
         std::shared_ptr<const OperatorConfiguration>(c)}}});
  ASSERT_TRUE(A->send(At[1], update).ok());
  auto got = receive(1);
  ASSERT_EQ(got.size(), 1U);
  EXPECT_EQ(encodePeerMessage(got[0]), encodePeerMessage(PeerMessage(update)));
  EXPECT_GT(A->counters().DatagramsSent, 50U);
}

TEST_F(DatagramTransportTest, TooLongMessageIsAnError) {
  StateRequest request;
  request.BucketHashes.assign(200'000, UINT64_MAX);
  EXPECT_EQ(A->send(At[1], request).code(),
            absl::StatusCode::kResourceExhausted);
}

// Datagrams of unrelated senders arrive at the peer port.
TEST_F(DatagramTransportTest, GarbageIsCountedAndHarmless) {
  int fd = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(At[1].Port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  SeededRandom random(1);
  for (int i = 0; i < 300; ++i) {
    std::string bytes(random.below(200), '\0');
    for (char &c : bytes)
      c = static_cast<char>(random.next());
    if (bytes.size() > 12 && i % 2 == 0)
      bytes.replace(0, 4, "brd1");
    sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&to),
           sizeof to);
    if (i % 20 == 0)
      B->receive([](const Address &, const PeerMessage &) { FAIL(); });
  }
  close(fd);
  ASSERT_TRUE(A->send(At[1], samplePeerMessages()[1]).ok());
  EXPECT_EQ(receive(1).size(), 1U);
  EXPECT_GT(B->counters().Malformed, 100U);
}

} // namespace
} // namespace balsamrack

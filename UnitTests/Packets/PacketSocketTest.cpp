#include "Balsamrack/Packets/PacketSocket.h"

#include <thread>

#include <gtest/gtest.h>

#include "UnitTests/Http/ReservedPort.h"

namespace balsamrack {
namespace {

// Guards against a daemon that takes packets for fresh which have waited in its
// socket.
TEST(PacketSocketTest, TellsHowLongAPacketHasWaited) {
  ReservedPort from, to;
  auto sender = PacketSocket::open(from.at());
  auto receiver = PacketSocket::open(to.at());
  ASSERT_TRUE(sender.ok() && receiver.ok());
  constexpr Duration Wait{50'000};
  for (Duration wait : {Duration{0}, Wait}) {
    *(*sender)->prepare(Endpoint::of(to.at()), 1) = 7;
    (*sender)->flush();
    std::this_thread::sleep_for(wait);
    std::optional<Duration> waited;
    size_t n = 0;
    for (int i = 0; i < 1000 && n == 0; ++i) {
      n = (*receiver)->receive(
          [&](uint8_t *, size_t) { waited = (*receiver)->waited(); });
      std::this_thread::sleep_for(Duration(1'000));
    }
    ASSERT_EQ(n, 1U);
    ASSERT_TRUE(waited);
    EXPECT_GE(*waited, wait);
    EXPECT_LT(*waited, wait + Duration(10'000'000));
  }
}

} // namespace
} // namespace balsamrack

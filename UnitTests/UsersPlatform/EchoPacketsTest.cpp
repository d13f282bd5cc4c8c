#include "platform/EchoPackets.h"

#include <array>
#include <vector>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"

namespace balsamrack::platform {
namespace {

using Bytes = std::vector<uint8_t>;

/// An opening from 100.64.0.7:40001 to 198.18.0.1:443, sequence 0x11223344.
const Bytes Opening = {0xd5, 0xc3, 0xb2, 0xa1, 0,    0,    0x01, 0x00,
                       0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01, 0x07, 0x00,
                       0x40, 0x64, 0,    0,    0,    0,    0x02, 0x44,
                       0x33, 0x22, 0x11, 0,    0,    0,    0};
/// The reset in reply to it.
const Bytes Reset = {0,    0,    0,    0,    0,    0,    0x07, 0x00,
                     0x40, 0x64, 0xbb, 0x01, 0x41, 0x9c, 0x01, 0x00,
                     0x12, 0xc6, 0,    0,    0,    0,    0x08, 0,
                     0,    0,    0,    0,    0,    0,    0};

TEST(EchoPacketsTest, DecodesAnOpening) {
  auto head = EchoPackets().decode(Opening.data(), Opening.size());
  ASSERT_TRUE(head);
  EXPECT_EQ(head->Flow.Caller.str(), "100.64.0.7:40001");
  EXPECT_EQ(head->Flow.Service.str(), "198.18.0.1:443");
  EXPECT_EQ(head->Sequence, 0x11223344U);
  EXPECT_TRUE(head->Opens);
  EXPECT_EQ(head->CopyNumber, 0);
}

TEST(EchoPacketsTest, DecodesTheCopyNumber) {
  Bytes copy = Opening;
  copy[27] = 2;
  auto head = EchoPackets().decode(copy.data(), copy.size());
  ASSERT_TRUE(head);
  EXPECT_EQ(head->CopyNumber, 2);
  EXPECT_EQ(head->Age, Duration(600'000));
}

TEST(EchoPacketsTest, WritesTheReset) {
  EchoPackets codec;
  auto head = codec.decode(Opening.data(), Opening.size());
  Bytes out(PacketCodec::MaxHeaderBytes);
  out.resize(codec.writeReset(*head, out.data()));
  EXPECT_EQ(out, Reset);
}

TEST(EchoPacketsTest, ResetUsesTheAcknowledgedSequence) {
  EchoPackets codec;
  Bytes packet = Opening;
  packet[22] = 32;
  packet[27] = 0x78;
  packet[28] = 0x56;
  auto head = codec.decode(packet.data(), packet.size());
  ASSERT_TRUE(head);
  Bytes out(PacketCodec::MaxHeaderBytes);
  codec.writeReset(*head, out.data());
  EXPECT_EQ(out[23], 0x78);
  EXPECT_EQ(out[24], 0x56);
}

TEST(EchoPacketsTest, WritesTokenAndTagInTheirByteOrder) {
  EchoPackets codec;
  Bytes packet = Opening;
  codec.writeToken(packet.data(), 0x01020304);
  EXPECT_EQ(Bytes(packet.begin() + 18, packet.begin() + 22),
            (Bytes{4, 3, 2, 1}));
  EXPECT_EQ(codec.decode(packet.data(), packet.size())->Token, 0x01020304U);
  Bytes tag(8);
  codec.writePrefix(tag.data(), 0x7f3a91c2);
  EXPECT_EQ(tag, (Bytes{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
}

struct BadPacket {
  const char *Name;
  size_t Bytes;
  uint8_t Flags;
  uint16_t DataLength;
};

class EachBadEchoPacket : public testing::TestWithParam<BadPacket> {};

TEST_P(EachBadEchoPacket, IsRejected) {
  Bytes packet = Opening;
  packet.resize(GetParam().Bytes);
  if (packet.size() > 22)
    packet[22] = GetParam().Flags;
  if (packet.size() > 5) {
    packet[4] = static_cast<uint8_t>(GetParam().DataLength);
    packet[5] = static_cast<uint8_t>(GetParam().DataLength >> 8);
  }
  EXPECT_FALSE(EchoPackets().decode(packet.data(), packet.size()));
}

INSTANTIATE_TEST_SUITE_P(
    Packets, EachBadEchoPacket,
    testing::Values(BadPacket{"Empty", 0, 0, 0}, BadPacket{"Short", 30, 2, 0},
                    BadPacket{"LessDataThanSaid", 31, 32, 5},
                    BadPacket{"MoreDataThanSaid", 40, 32, 5},
                    BadPacket{"TooMuchData", 31 + 1201, 32, 1201},
                    BadPacket{"ForgedServerAnswer", 31, 2 | 32, 0},
                    BadPacket{"OpensAndEnds", 31, 2 | 64, 0},
                    BadPacket{"OpensAndResets", 31, 2 | 8, 0}),
    [](const auto &info) { return std::string(info.param.Name); });

// Random bytes are either rejected or decoded to a header that a reset can
// reply to.
TEST(EchoPacketsTest, RandomBytesAreSafe) {
  SeededRandom random(1);
  EchoPackets codec;
  for (int i = 0; i < 20000; ++i) {
    Bytes packet(random.below(80));
    for (uint8_t &b : packet)
      b = static_cast<uint8_t>(random.next());
    if (packet.size() >= 31 && random.below(2) == 0) {
      packet[4] = static_cast<uint8_t>(packet.size() - 31);
      packet[5] = 0;
    }
    auto head = codec.decode(packet.data(), packet.size());
    std::array<uint8_t, PacketCodec::MaxHeaderBytes> out{};
    if (head) {
      EXPECT_EQ(codec.writeReset(*head, out.data()), 31U);
    }
  }
}

} // namespace
} // namespace balsamrack::platform

#include <gtest/gtest.h>

#include "Balsamrack/Peers/FleetKeyProof.h"
#include "UnitTests/Http/RawConnection.h"
#include "UnitTests/Peers/PeerSamples.h"
#include "UnitTests/Peers/TransportPeer.h"

namespace balsamrack {
namespace {

constexpr char Text = 1;
constexpr char Binary = 2;
constexpr char Close = 8;
constexpr const char *Nonce = "00112233445566778899aabbccddeeff";

/// Returns a websocket frame of a client (RFC 6455, section 5.2) with a mask of
/// zero. \p length is the payload length in the header.
std::string frame(char opcode, const std::string &payload, uint64_t length) {
  std::string f;
  f.push_back(static_cast<char>(0x80 | opcode));
  f.push_back(static_cast<char>(0x80 | 127));
  for (int shift = 56; shift >= 0; shift -= 8)
    f.push_back(static_cast<char>(length >> shift));
  return f + std::string(4, '\0') + payload;
}

std::string frame(char opcode, const std::string &payload) {
  if (payload.size() > 65535)
    return frame(opcode, payload, payload.size());
  const bool large = payload.size() > 125;
  std::string f;
  f.push_back(static_cast<char>(0x80 | opcode));
  f.push_back(static_cast<char>(0x80 | (large ? 126 : payload.size())));
  if (large) {
    f.push_back(static_cast<char>(payload.size() >> 8));
    f.push_back(static_cast<char>(payload.size()));
  }
  return f + std::string(4, '\0') + payload;
}

std::string message(size_t index) {
  return frame(Binary, encodePeerMessage(samplePeerMessages()[index]));
}

std::string handshake(const std::string &nonceLine) {
  return "GET /peer HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
         "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
         "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n" +
         nonceLine + "\r\n";
}

/// The dialer's proof for the acceptor's response \p header.
std::string proofFor(const std::string &header, const std::string &key) {
  size_t at = header.find("Balsamrack-Nonce: ") + 18;
  return FleetKeyProof::make(key, ProofSide::Dialer, Nonce,
                             header.substr(at, 32));
}

struct BadPeer {
  const char *Name;
  const char *Key;           ///< Empty: sends no valid proof.
  std::string Frames;        ///< Frames sent after the proof.
  uint64_t BadFrames;        ///< Expected counter value.
  uint64_t Refused;          ///< Expected counter value.
  const char *ExpectedError; ///< Part of the error and the close frame.
};

class EachBadPeer : public testing::TestWithParam<BadPeer> {};

// Guards against connections of port scanners, daemons of other versions or
// daemons with corrupt memory that disturb other peers. Such a connection is
// closed with a reason, and the error is counted and reported.
TEST_P(EachBadPeer, IsDisconnectedWithAReason) {
  const BadPeer &p = GetParam();
  TransportPeer b("vm-b");
  RawConnection c = RawConnection::connectTo(b.vm().PeerAt);
  c.sendAll(handshake(std::string("Balsamrack-Nonce: ") + Nonce + "\r\n"));
  std::string header = c.readMessage();
  ASSERT_EQ(header.substr(9, 3), "101") << header;
  if (*p.Key)
    c.sendAll(frame(Text, proofFor(header, p.Key)));
  c.sendAll(p.Frames);
  ASSERT_TRUE(waitUntil([&] { return !b.faults().empty(); }));
  c.sendAll(frame(Close, ""));
  EXPECT_NE(c.readToEnd().find(p.ExpectedError), std::string::npos);
  EXPECT_NE(b.faults()[0].find(p.ExpectedError), std::string::npos)
      << b.faults()[0];
  EXPECT_NE(b.faults()[0].find("decode-peer-message"), std::string::npos);
  EXPECT_EQ(b.Transport->counters().BadFrames, p.BadFrames);
  EXPECT_EQ(b.Transport->counters().PeersRefused, p.Refused);
  TransportPeer good("vm-a");
  ASSERT_TRUE(good.Transport->send(b.vm(), samplePeerMessages()[1]).ok());
  EXPECT_TRUE(waitUntil([&] { return b.received().size() == 1; }));
}

constexpr const char *Key = "key of the fleet";

INSTANTIATE_TEST_SUITE_P(
    Peers, EachBadPeer,
    testing::Values(
        BadPeer{"OtherKey", "other", message(0), 0, 1, "wrong proof"},
        BadPeer{"ProofOfAnotherConnection", "",
                frame(Text, std::string(64, 'a')), 0, 1, "wrong proof"},
        BadPeer{"HelloWithoutProof", "", message(0), 0, 1, "wrong proof"},
        BadPeer{"MessageBeforeHello", Key, message(1), 1, 0, "Hello must"},
        BadPeer{"HelloTwice", Key, message(0) + message(0), 1, 0, "Hello must"},
        BadPeer{"Garbage", Key, message(0) + frame(Binary, "\xff\xff"), 1, 0,
                "length"},
        BadPeer{"OtherVersion", Key,
                message(0) + frame(Binary, std::string("\xa1\x61v\x02")), 1, 0,
                "unknown version"},
        BadPeer{"DeepNesting", Key,
                message(0) + frame(Binary, std::string(100'000, '\x81')), 1, 0,
                "nested too deeply"},
        BadPeer{
            "HalfAMessage", Key,
            message(0) +
                frame(Binary,
                      encodePeerMessage(samplePeerMessages()[1]).substr(0, 20)),
            1, 0, "truncated"},
        BadPeer{"LengthInTooManyBytes", Key,
                message(0) + frame(Binary, "xx", 2), 1, 0, "minimally"},
        BadPeer{"SevenMebibytes", Key,
                message(0) + frame(Binary, "x", uint64_t(7) << 20), 1, 0,
                "too large"}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(BadPeerTest, MissingOrMalformedNonceIsABadRequest) {
  TransportPeer b("vm-b");
  for (const char *line : {"", "Balsamrack-Nonce: 12\r\n"}) {
    RawConnection c = RawConnection::connectTo(b.vm().PeerAt);
    c.sendAll(handshake(line));
    EXPECT_EQ(c.readMessage().substr(9, 3), "400");
  }
  EXPECT_EQ(b.Transport->counters().PeersRefused, 2U);
}

} // namespace
} // namespace balsamrack

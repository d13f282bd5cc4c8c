#include "Balsamrack/Peers/PeerCodec.h"

#include <gtest/gtest.h>

#include <map>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/Random.h"
#include "UnitTests/Peers/PeerSamples.h"

namespace balsamrack {
namespace {

/// Budget of control bytes per daemon while one configuration comes into force:
/// 3 KB per second for six seconds.
constexpr size_t MaxConfigurationBytes = 18'000;

class EachMessage : public testing::TestWithParam<size_t> {
protected:
  PeerMessage Sample = samplePeerMessages()[GetParam()];
};

TEST_P(EachMessage, SurvivesARoundTrip) {
  ASSERT_EQ(Sample.index(), GetParam());
  std::string frame = encodePeerMessage(Sample);
  auto back = decodePeerMessage(frame);
  ASSERT_TRUE(back.ok()) << back.status();
  EXPECT_EQ(back->index(), Sample.index());
  EXPECT_EQ(encodePeerMessage(*back), frame);
}

// A peer is killed in the middle of a write, or its memory is corrupt. The
// receiver must report the truncated frame and continue; a parser that trusts a
// length or recurses without bound would crash it.
TEST_P(EachMessage, EveryTruncationIsAnError) {
  std::string frame = encodePeerMessage(Sample);
  for (size_t n = 0; n < frame.size(); ++n) {
    auto got = decodePeerMessage(frame.substr(0, n));
    ASSERT_FALSE(got.ok()) << n;
    EXPECT_EQ(got.status().code(), absl::StatusCode::kInvalidArgument);
    EXPECT_EQ(stepOf(got.status()), "decode-peer-message");
  }
}

// As above, with bytes changed, inserted or removed at random. Each mutant is
// either rejected or is a message that can be encoded again.
TEST_P(EachMessage, MutantsNeverCrash) {
  constexpr int Mutants = 2000;
  std::string frame = encodePeerMessage(Sample);
  SeededRandom random(GetParam() + 1);
  for (int i = 0; i < Mutants; ++i) {
    std::string mutant = frame;
    for (uint64_t n = 1 + random.below(4); n > 0 && !mutant.empty(); --n) {
      size_t at = random.below(mutant.size());
      auto byte = static_cast<char>(random.next());
      switch (random.below(3)) {
      case 0:
        mutant[at] = byte;
        break;
      case 1:
        mutant.insert(at, 1, byte);
        break;
      default:
        mutant.erase(at, 1);
      }
    }
    auto got = decodePeerMessage(mutant);
    if (got.ok())
      EXPECT_TRUE(decodePeerMessage(encodePeerMessage(*got)).ok());
    else
      EXPECT_EQ(stepOf(got.status()), "decode-peer-message");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Types, EachMessage,
    testing::Range<size_t>(0, std::variant_size_v<PeerMessage>),
    [](const auto &info) {
      return std::string(peerMessageName(samplePeerMessages()[info.param]));
    });

TEST(PeerCodecTest, FieldsWithDefaultsOtherThanZeroKeepZero) {
  auto back = decodePeerMessage(encodePeerMessage(samplePeerMessages()[5]));
  ASSERT_TRUE(back.ok());
  const auto &objects = std::get<StateUpdate>(*back).Objects;
  EXPECT_TRUE(objects[0].deleted());
  EXPECT_FALSE(std::get<FailureDomain>(objects[1].State).InService);
  EXPECT_EQ(std::get<Service>(objects[2].State).QueuePerServer, 0U);
  const auto &server = std::get<BackendServer>(objects[3].State);
  EXPECT_EQ(server.Id.str(), "booking-01");
  EXPECT_EQ(server.Connections, 0U);
  EXPECT_EQ(server.Weight, 70000U);
}

TEST(PeerCodecTest, BodiesAndHeadersKeepAnyBytes) {
  auto back = decodePeerMessage(encodePeerMessage(samplePeerMessages()[7]));
  ASSERT_TRUE(back.ok());
  const auto &f = std::get<Forward>(*back);
  EXPECT_EQ(f.Content.Body, std::string("\0\xff\x81", 3));
  EXPECT_EQ(f.Content.Headers[1].second, "\xff");
  EXPECT_EQ(f.Head.Remaining, Duration(-1));
  EXPECT_EQ(f.Head.Kind, Semantics::RunOnce);
}

/// A published server that a peer with other limits passes on.
struct ServerOutOfRange {
  const char *Name;
  void (*Change)(PublishedServer &);
};

class EachServerOutOfRange : public testing::TestWithParam<ServerOutOfRange> {};

// Guards against values that the decoder of the publishing service rejects and
// that enter through a peer. Such an entry names no server, and the other
// objects of the message are used.
TEST_P(EachServerOutOfRange, IsTreatedAsDeleted) {
  auto server = std::make_shared<PublishedServer>();
  server->Server.Service = ServiceId("booking");
  server->Server.Domain = DomainId("bern-a");
  server->Server.At = {"10.0.0.1", 8080};
  PublishedObject good{PublishedSection::Servers,
                       "i-1",
                       {5},
                       std::make_shared<const PublishedServer>(*server)};
  GetParam().Change(*server);
  PublishedObject bad{PublishedSection::Servers,
                      "i-2",
                      {6},
                      std::shared_ptr<const PublishedServer>(server)};
  PublishedUpdate update;
  update.Changes = {{PublishedSection::Servers, {1}, {6}, {bad, good}}};
  auto back = decodePeerMessage(encodePeerMessage(update));
  ASSERT_TRUE(back.ok()) << back.status();
  const auto &objects = std::get<PublishedUpdate>(*back).Changes[0].Objects;
  ASSERT_EQ(objects.size(), 2U);
  EXPECT_TRUE(objects[0].isDeleted());
  EXPECT_FALSE(objects[1].isDeleted());
}

INSTANTIATE_TEST_SUITE_P(
    Servers, EachServerOutOfRange,
    testing::Values(
        ServerOutOfRange{"HugeSlots",
                         [](auto &s) { s.Server.Slots = 4'000'000'000; }},
        ServerOutOfRange{"NoSlots", [](auto &s) { s.Server.Slots = 0; }},
        ServerOutOfRange{"ColdForever",
                         [](auto &s) { s.ColdLeft = Duration::max(); }},
        ServerOutOfRange{"ColdInThePast",
                         [](auto &s) { s.ColdLeft = Duration(-1); }},
        ServerOutOfRange{"NoService",
                         [](auto &s) { s.Server.Service = ServiceId(); }}),
    [](const auto &info) { return std::string(info.param.Name); });

struct BadFrame {
  const char *Name;
  std::string Frame;
  const char *ExpectedError;
};

class EachBadFrame : public testing::TestWithParam<BadFrame> {};

TEST_P(EachBadFrame, IsRefusedWithAReason) {
  auto got = decodePeerMessage(GetParam().Frame);
  ASSERT_FALSE(got.ok());
  EXPECT_NE(got.status().message().find(GetParam().ExpectedError),
            absl::string_view::npos)
      << got.status();
}

std::string bytes(std::initializer_list<int> list) {
  std::string s;
  for (int b : list)
    s.push_back(static_cast<char>(b));
  return s;
}

INSTANTIATE_TEST_SUITE_P(
    Frames, EachBadFrame,
    testing::Values(
        BadFrame{"Empty", "", "truncated"},
        BadFrame{"Text", "GET / HTTP/1.1\r\n", ""},
        BadFrame{"NestedArrays", std::string(size_t(5) << 20, '\x81'),
                 "nested too deeply"},
        BadFrame{"TooLarge", std::string(MaxPeerFrameBytes + 1, '\0'),
                 "too large"},
        BadFrame{"TooManyValues",
                 bytes({0x9a, 0, 0x10, 0, 0}) + std::string(1 << 20, '\0'),
                 "too many values"},
        BadFrame{
            "LengthBeyondEnd",
            bytes({0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0}),
            "truncated"},
        BadFrame{"MapLengthOverflows", bytes({0xbb, 0x80, 0, 0, 0, 0, 0, 0, 0}),
                 "truncated"},
        BadFrame{"IndefiniteLength", bytes({0xbf, 0xff}), "not definite"},
        BadFrame{"UnsupportedTag", bytes({0xc1, 0x00}), "no message uses"},
        BadFrame{"TwoItems", bytes({0xa0, 0xa0}), "after the end"},
        BadFrame{"NotAMap", bytes({0x80}), "not a CBOR map"},
        BadFrame{"NoVersion", bytes({0xa0}), "unknown version"},
        BadFrame{"OtherVersion", bytes({0xa1, 0x61, 'v', 2}),
                 "unknown version"},
        BadFrame{"NoType", bytes({0xa1, 0x61, 'v', 1}), "missing"},
        BadFrame{
            "UnknownType",
            bytes({0xa3, 0x61, 'v', 1, 0x61, 't', 0x61, 'X', 0x61, 'm', 0xa0}),
            "unknown message type"},
        BadFrame{"FieldOfWrongKind",
                 bytes({0xa3, 0x61, 'v', 1, 0x61, 't', 0x64, 'P', 'i', 'n', 'g',
                        0x61, 'm', 0xa1, 0x61, 'q', 0x61, 'x'}),
                 "Ping: bad field: q"}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a configuration with many routes that fills the links of small
// VMs: each daemon receives at least one copy.
TEST(PeerCodecTest, LargeConfigurationFitsTheByteBudget) {
  auto large = std::make_shared<OperatorConfiguration>();
  for (uint16_t i = 0; i < 1400; ++i)
    large->Routes.push_back({{"198.18." + std::to_string(i / 200) + ".1", i},
                             {{ServiceId(i % 2 ? "booking" : "plans"), 1}},
                             Duration(i % 3 ? 400'000 : 1'200'000),
                             Duration(2'500'000),
                             i % 5 != 0,
                             i % 3U});
  PublishedUpdate update{
      {{PublishedSection::Operators,
        {8},
        {9},
        {{PublishedSection::Operators,
          "config",
          {9},
          std::shared_ptr<const OperatorConfiguration>(large)}}}},
      {},
      false};
  std::string frame = encodePeerMessage(update);
  EXPECT_LE(frame.size(), MaxConfigurationBytes);
  auto back = decodePeerMessage(frame);
  ASSERT_TRUE(back.ok()) << back.status();
  const PublishedObject &object =
      std::get<PublishedUpdate>(*back).Changes[0].Objects[0];
  using Shared = std::shared_ptr<const OperatorConfiguration>;
  const OperatorConfiguration &got = *std::get<Shared>(object.Content);
  auto byAddress = [](const OperatorConfiguration &of) {
    std::map<Address, PublishedRoute> all;
    for (const PublishedRoute &it : of.Routes)
      all[it.At] = it;
    return all;
  };
  auto sent = byAddress(*large);
  auto received = byAddress(got);
  ASSERT_EQ(received.size(), sent.size());
  for (const auto &[at, route] : sent) {
    EXPECT_EQ(received[at].Targets, route.Targets);
    EXPECT_EQ(received[at].Objective, route.Objective);
    EXPECT_EQ(received[at].Timeout, route.Timeout);
    EXPECT_EQ(received[at].Idempotent, route.Idempotent);
    EXPECT_EQ(received[at].Priority, route.Priority);
  }
}

} // namespace
} // namespace balsamrack

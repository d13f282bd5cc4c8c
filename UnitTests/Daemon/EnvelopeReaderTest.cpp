#include "Balsamrack/Daemon/EnvelopeReader.h"

#include <gtest/gtest.h>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/Random.h"

namespace balsamrack {
namespace {

Service booking() {
  Service service;
  service.Id = ServiceId("booking");
  return service;
}

Message packet(const HeaderList &headers, const char *method = "GET") {
  Message message;
  message.Method = method;
  message.Headers = headers;
  return message;
}

struct BadCase {
  const char *Name;
  const char *Header;
  const char *Value;
};

class BadEnvelopeTest : public testing::TestWithParam<BadCase> {};

// A malformed field must be rejected with an error that names it. A guessed
// value would give a request the wrong flow or deadline.
TEST_P(BadEnvelopeTest, IsRefusedByName) {
  const BadCase &it = GetParam();
  const auto read =
      readEnvelope(booking(), "10.0.0.9", packet({{it.Header, it.Value}}));
  ASSERT_FALSE(read.ok());
  EXPECT_EQ(read.status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_EQ(stepOf(read.status()), "decode-envelope");
  EXPECT_EQ(peerOf(read.status()), "10.0.0.9");
  EXPECT_NE(std::string(read.status().message()).find(it.Header),
            std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, BadEnvelopeTest,
    testing::Values(BadCase{"PacketZero", "Balsamrack-Packet", "0"},
                    BadCase{"PacketText", "Balsamrack-Packet", "first"},
                    BadCase{"TimeoutZero", "Request-Timeout", "0"},
                    BadCase{"TimeoutNegative", "Request-Timeout", "-5"},
                    BadCase{"TimeoutUnit", "Request-Timeout", "5s"},
                    BadCase{"TimeoutHuge", "Request-Timeout",
                            "99999999999999999999"},
                    BadCase{"ForwardedEmptyFor", "Forwarded", "for="},
                    BadCase{"ForwardedNoPort", "Forwarded", "for=\"10.0.0.1\""},
                    BadCase{"ForwardedName", "Forwarded", "for=\"example:80\""},
                    BadCase{"ForwardedOther", "Forwarded", "by=10.0.0.1:80"}),
    [](const auto &info) { return info.param.Name; });

struct SemanticsCase {
  const char *Method;
  Semantics Kind;
};

class SemanticsTest : public testing::TestWithParam<SemanticsCase> {};

// An unknown method may have side effects, such as charging a deposit, so it
// must run at most once.
TEST_P(SemanticsTest, ComesFromTheMethod) {
  const auto read =
      readEnvelope(booking(), "10.0.0.9", packet({}, GetParam().Method));
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->Head.Kind, GetParam().Kind);
}

INSTANTIATE_TEST_SUITE_P(
    Methods, SemanticsTest,
    testing::Values(SemanticsCase{"GET", Semantics::Idempotent},
                    SemanticsCase{"HEAD", Semantics::Idempotent},
                    SemanticsCase{"PUT", Semantics::Idempotent},
                    SemanticsCase{"DELETE", Semantics::Idempotent},
                    SemanticsCase{"POST", Semantics::RunOnce},
                    SemanticsCase{"PATCH", Semantics::RunOnce},
                    SemanticsCase{"get", Semantics::RunOnce},
                    SemanticsCase{"BOOK", Semantics::RunOnce}));

TEST(EnvelopeReaderTest, ReadsEveryField) {
  const auto read = readEnvelope(
      booking(), "10.0.0.9",
      packet({{"forwarded", "for=\"192.0.2.1:4711\";proto=http, for=10.9.9.9"},
              {"BALSAMRACK-PACKET", "2"},
              {"Balsamrack-Token", "t"},
              {"Idempotency-Key", "k"},
              {"Request-Timeout", "1500"}},
             "POST"));
  ASSERT_TRUE(read.ok());
  EXPECT_FALSE(read->Head.FirstOfFlow);
  EXPECT_EQ(read->Token, "t");
  EXPECT_EQ(read->Head.Key, digestKey(ServiceId("booking"), "k"));
  EXPECT_EQ(read->Head.Remaining, Duration(1'500'000));
  // The flow doesn't depend on the fabric node that forwarded the packet.
  const auto again =
      readEnvelope(booking(), "10.0.0.10",
                   packet({{"Forwarded", "For=\"192.0.2.1:4711\""}}));
  EXPECT_EQ(again->Head.Flow, read->Head.Flow);
  EXPECT_EQ(again->Head.Caller, read->Head.Caller);
  // A different port is a different flow of the same caller.
  const auto other =
      readEnvelope(booking(), "10.0.0.10",
                   packet({{"Forwarded", "for=\"192.0.2.1:4712\""}}));
  EXPECT_NE(other->Head.Flow, read->Head.Flow);
  EXPECT_EQ(other->Head.Caller, read->Head.Caller);
}

// Callers may send arbitrary bytes. Reading must yield an envelope or an error
// with its step.
TEST(EnvelopeReaderTest, AnyBytesAreReadOrRefused) {
  SeededRandom random(7);
  const char *names[] = {"Forwarded",        "Balsamrack-Packet",
                         "Balsamrack-Token", "Idempotency-Key",
                         "Request-Timeout",  "traceparent"};
  for (int n = 0; n < 20'000; ++n) {
    HeaderList headers;
    for (const char *name : names) {
      std::string value = random.below(2) ? "for=\"1.2.3.4:5\";" : "";
      for (uint64_t i = random.below(12); i > 0; --i)
        value += static_cast<char>(random.below(256));
      headers.emplace_back(name, value);
    }
    const auto read = readEnvelope(booking(), "10.0.0.9", packet(headers));
    if (read.ok()) {
      EXPECT_GT(read->Head.Remaining, Duration::zero());
    } else {
      EXPECT_EQ(stepOf(read.status()), "decode-envelope");
    }
  }
}

} // namespace
} // namespace balsamrack

#include "Balsamrack/Observability/TraceContext.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr const char *ValidTraceparent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

TEST(TraceContextTest, ParsesAndFormatsUnchanged) {
  auto c = TraceContext::parse(ValidTraceparent);
  ASSERT_TRUE(c.ok());
  EXPECT_EQ(c->str(), ValidTraceparent);
  EXPECT_EQ(c->traceId(), "0af7651916cd43dd8448eb211c80319c");
  EXPECT_EQ(c->spanId(), "b7ad6b7169203331");
}

TEST(TraceContextTest, ChildHasSameTraceId) {
  SeededRandom random(1);
  TraceContext root = TraceContext::start(random);
  TraceContext child = root.child(random);
  EXPECT_EQ(child.traceId(), root.traceId());
  EXPECT_NE(child.spanId(), root.spanId());
  EXPECT_TRUE(TraceContext::parse(child.str()).ok());
}

struct TraceparentCase {
  const char *Name;
  std::string Value;
  bool IsValid;
};

class TraceparentTest : public testing::TestWithParam<TraceparentCase> {};

TEST_P(TraceparentTest, IsParsedAsTheStandardRequires) {
  EXPECT_EQ(TraceContext::parse(GetParam().Value).ok(), GetParam().IsValid);
}

std::string replaceAt(size_t at, const std::string &replacement) {
  return std::string(ValidTraceparent)
      .replace(at, replacement.size(), replacement);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, TraceparentTest,
    testing::Values(
        TraceparentCase{"Good", ValidTraceparent, true},
        TraceparentCase{"Empty", "", false},
        TraceparentCase{"Short", std::string(ValidTraceparent).substr(0, 54),
                        false},
        TraceparentCase{"LongerOfVersion0",
                        std::string(ValidTraceparent) + "-x", false},
        TraceparentCase{"LaterVersion", replaceAt(0, "01"), true},
        TraceparentCase{"LongerOfLaterVersion", replaceAt(0, "01") + "-x",
                        true},
        TraceparentCase{"LaterVersionWithoutSeparator",
                        replaceAt(0, "01") + "x", false},
        TraceparentCase{"ForbiddenVersion", replaceAt(0, "ff"), false},
        TraceparentCase{"UpperCase", replaceAt(4, "A"), false},
        TraceparentCase{"Sign", replaceAt(3, "+"), false},
        TraceparentCase{"ZeroTrace", replaceAt(3, std::string(32, '0')), false},
        TraceparentCase{"ZeroSpan", replaceAt(36, std::string(16, '0')), false},
        TraceparentCase{"WrongDash", replaceAt(35, "_"), false}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(TraceContextTest, ParsesOrRejectsMutatedText) {
  constexpr int MutantCount = 20000;
  SeededRandom random(3);
  for (int i = 0; i < MutantCount; ++i) {
    std::string text = ValidTraceparent;
    for (uint64_t n = 1 + random.below(3); n > 0; --n)
      text[random.below(text.size())] = static_cast<char>(random.next());
    text.resize(random.below(4) == 0 ? random.below(80) : text.size(), '0');
    auto c = TraceContext::parse(text);
    EXPECT_TRUE(!c.ok() || TraceContext::parse(c->str()).ok());
  }
}

} // namespace
} // namespace balsamrack

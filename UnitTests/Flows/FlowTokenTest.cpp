#include "Balsamrack/Flows/FlowToken.h"

#include "UnitTests/Flows/SeededCheck.h"

namespace balsamrack {
namespace {

FlowToken someToken() {
  return {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>(),
          FlowId{*rc::gen::arbitrary<uint64_t>()},
          TicketNumber{*rc::gen::arbitrary<uint64_t>()}};
}

TEST(FlowTokenTest, DecodesWhatWasEncoded) {
  EXPECT_TRUE(seededCheck([] {
    FlowTokenCodec codec("key");
    FlowToken token = someToken();
    auto read = codec.decode(codec.encode(token));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->ServiceHash == token.ServiceHash);
    RC_ASSERT(read->ServerHash == token.ServerHash);
    RC_ASSERT(read->Flow == token.Flow);
    RC_ASSERT(read->Ticket == token.Ticket);
  }));
}

// Guards against forged tokens: a caller that modifies its token to reach
// another server, or sends arbitrary text, must not get a valid token.
TEST(FlowTokenTest, AnyMutationIsRejected) {
  EXPECT_TRUE(seededCheck(
      [] {
        FlowTokenCodec codec("key");
        std::string good = codec.encode(someToken());
        std::string text = good;
        auto at = *rc::gen::inRange<size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
          text[at] = *rc::gen::arbitrary<char>();
          break;
        case 1:
          text.erase(at, *rc::gen::inRange<size_t>(1, 9));
          break;
        case 2:
          text.insert(at, *rc::gen::arbitrary<std::string>());
          break;
        default:
          text = *rc::gen::arbitrary<std::string>();
        }
        RC_PRE(text != good);
        RC_ASSERT(!codec.decode(text).has_value());
      },
      2000));
}

TEST(FlowTokenTest, TokenOfAnotherFleetIsRejected) {
  std::string text = FlowTokenCodec("a").encode({1, 2, FlowId{3}, {}});
  EXPECT_TRUE(FlowTokenCodec("a").decode(text));
  EXPECT_FALSE(FlowTokenCodec("b").decode(text));
}

} // namespace
} // namespace balsamrack

#include "Balsamrack/Packets/OpeningTokens.h"

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

const FlowKey Flow{{0x64400001, 1000}, {0xc6120001, 443}};

// Guards against a daemon whose openings no other daemon can attribute to it.
TEST(OpeningTokensTest, EveryDaemonHasATagThatFitsIntoItsTokens) {
  std::set<uint32_t> tags;
  for (int i = 0; i < 20'000; ++i) {
    DaemonTag tag = DaemonTag::of(VmId("vm-" + std::to_string(i)));
    EXPECT_GE(tag.Value, 1U);
    EXPECT_LE(tag.Value, 4095U);
    EXPECT_EQ(daemonOfToken(openingToken(tag, 7, Flow, i)), tag);
    tags.insert(tag.Value);
  }
  EXPECT_GT(tags.size(), 4000U);
}

// Guards against a restarted daemon that takes the tokens of its earlier run
// for its own.
TEST(OpeningTokensTest, DependOnTheRunTheFlowAndTheServer) {
  DaemonTag tag = DaemonTag::of(VmId("vm-1"));
  FlowKey other = Flow;
  ++other.Caller.Port;
  std::set<uint32_t> tokens{
      openingToken(tag, 1, Flow, 1), openingToken(tag, 2, Flow, 1),
      openingToken(tag, 1, Flow, 2), openingToken(tag, 1, other, 1)};
  EXPECT_EQ(tokens.size(), 4U);
}

} // namespace
} // namespace balsamrack

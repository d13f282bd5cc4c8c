#ifndef BALSAMRACK_UNITTESTS_PACKETS_MOVEDHANDSHAKE_H
#define BALSAMRACK_UNITTESTS_PACKETS_MOVEDHANDSHAKE_H

#include <gtest/gtest.h>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {

/// Daemons of one site, between which the fabric moves a flow.
class MovedHandshakeTest : public testing::Test {
protected:
  static constexpr uint16_t Port = 1; ///< Of the caller.

  MovedHandshakeTest() {
    for (PacketRouterHarness *it : {&First, &Second, &Third})
      it->publishDefaults();
    PacketRouterHarness::connect({&First, &Second, &Third});
  }
  /// Expects that \p daemon has forwarded packets to \p home only.
  static void expectOnlyAt(const PacketRouterHarness &daemon, uint64_t home) {
    for (const RecordingSink::Forwarded &it : daemon.Out.Sent)
      EXPECT_EQ(it.Tag, home);
  }
  /// Advances the first daemon until it has sent its last opening to \p servers
  /// servers.
  void retryUntil(size_t servers) {
    for (int i = 0; i < 100 && First.Out.Sent.size() < servers; ++i)
      First.advance(Duration(5'000));
    ASSERT_EQ(First.Out.Sent.size(), servers);
  }

  PacketRouterHarness First{1}, Second{2}, Third{3};
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PACKETS_MOVEDHANDSHAKE_H

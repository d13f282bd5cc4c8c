#include <gtest/gtest.h>

#include "Balsamrack/Packets/PacketRoutes.h"

namespace balsamrack {
namespace {

// Story: after a loss of power a daemon starts and waits for its first updates.
// Callers' openings come at once, but the daemon answers none for a fifth of a
// second after the updates are there. Cause: a book without entries said that
// its next change was due since the beginning of time, so the thread that
// waited for updates looked without pause and used up the processor's
// allotment.
TEST(RouteBookTest, AnEmptyBookHasNothingDue) {
  EXPECT_EQ(RouteBook().nextChange(), TimePoint(Duration::max()));
}

} // namespace
} // namespace balsamrack

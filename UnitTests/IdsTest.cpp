#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/World/Request.h"

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

// Flow placement uses this hash on every VM, so its values are part of the
// protocol. Guards against a hash library that computes other values.
TEST(IdsTest, HashIsPartOfTheProtocol) {
  EXPECT_EQ(ServerId("booking-01").hash(), stableHash("booking-01"));
  EXPECT_EQ(stableHash(""), 0x2D06800538D394C2ULL);
}

TEST(IdsTest, KeyDigestDependsOnService) {
  EXPECT_NE(digestKey(ServiceId("booking"), "k"),
            digestKey(ServiceId("archive"), "k"));
  EXPECT_TRUE(digestKey(ServiceId("booking"), "").empty());
}

TEST(ErrorsTest, KeepsFirstStepAndPeer) {
  absl::Status status = makeError(absl::StatusCode::kUnavailable,
                                  Step::Dispatch, "booking-01", "refused");
  status = addErrorContext(status, Step::ForwardToOwner, "vm-2");
  EXPECT_EQ(stepOf(status), "dispatch");
  EXPECT_EQ(peerOf(status), "booking-01");
}

} // namespace
} // namespace balsamrack

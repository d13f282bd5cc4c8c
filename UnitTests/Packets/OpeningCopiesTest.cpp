#include "Balsamrack/Packets/OpeningCopies.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "UnitTests/Packets/PacketRouterHarness.h"

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};

struct ArrivedCopy {
  uint8_t Number;
  int AtMillis;                   ///< Since the original was sent.
  bool MayHaveWaited = false;     ///< See OpeningCopies::add().
  std::optional<int> Waited = {}; ///< In milliseconds, if known.
};

struct CopiesCase {
  const char *Name;
  std::vector<ArrivedCopy> Copies;
  int AfterMillis; ///< Time of the question, since the last arrival.
  bool AreAllHere;
  bool IsNewest;
  bool WereDelayed;
};

class EachOpening : public testing::TestWithParam<CopiesCase> {};

// Guards against placing a copy, or trusting a handshake, while another copy
// may have opened the flow through another daemon.
TEST_P(EachOpening, TellsWhetherCopiesMayBeElsewhere) {
  const TimePoint sentAt{Duration(10'000'000)};
  OpeningCopies copies;
  TimePoint now = sentAt;
  for (const ArrivedCopy &it : GetParam().Copies) {
    PacketHeader head;
    head.Opens = true;
    head.CopyNumber = it.Number;
    head.Age = PacketRouterHarness::copyAge(it.Number);
    head.NextCopyAfter = PacketRouterHarness::copyAge(it.Number + 1) - head.Age;
    if (it.Waited)
      head.Waited = Millisecond * *it.Waited;
    now = sentAt + Millisecond * it.AtMillis;
    copies.add(now, head, it.MayHaveWaited);
  }
  now += Millisecond * GetParam().AfterMillis;
  EXPECT_EQ(copies.areAllHere(now), GetParam().AreAllHere);
  EXPECT_EQ(copies.isNewest(now), GetParam().IsNewest);
  EXPECT_EQ(copies.wereDelayed(), GetParam().WereDelayed);
}

INSTANTIATE_TEST_SUITE_P(
    Copies, EachOpening,
    testing::Values(
        CopiesCase{"Original", {{0, 3}}, 10, true, true, false},
        CopiesCase{
            "OriginalWhenTheNextIsDue", {{0, 3}}, 160, false, false, false},
        CopiesCase{"TwoInTime", {{0, 3}, {1, 203}}, 10, true, true, false},
        CopiesCase{"SecondOnly", {{1, 203}}, 10, false, true, false},
        CopiesCase{"OneMissing", {{0, 3}, {2, 603}}, 10, false, true, false},
        CopiesCase{"AllInTime",
                   {{0, 3}, {1, 203}, {2, 603}},
                   2000,
                   true,
                   false,
                   false},
        CopiesCase{"WaitedUnknown", {{0, 1500, true}}, 0, false, false, true},
        CopiesCase{
            "WaitedBriefly", {{0, 103, true, 100}}, 0, true, true, false},
        CopiesCase{"WaitedLong", {{0, 203, true, 200}}, 0, false, false, false},
        CopiesCase{"AllWaited",
                   {{0, 1500, true}, {1, 1500, true}, {2, 1500, true}},
                   0,
                   true,
                   false,
                   true},
        CopiesCase{
            "TwoArrivedTogether", {{0, 500}, {1, 500}}, 0, false, false, true},
        CopiesCase{"FreshAfterOneThatWaited",
                   {{0, 150, true}, {1, 203}},
                   10,
                   true,
                   true,
                   true}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

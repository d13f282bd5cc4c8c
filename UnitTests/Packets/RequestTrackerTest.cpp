#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "Balsamrack/Packets/RequestTracker.h"

namespace balsamrack {
namespace {

/// One packet of a caller, and the expected progress.
struct ObservedPacket {
  int64_t AtMillis;
  uint32_t Sequence;
  uint16_t Bytes;
  uint32_t Acknowledged;
  bool Answered;
  RequestDataKind Data;
};

struct ProgressCase {
  const char *Name;
  std::vector<ObservedPacket> Packets;
  bool AskingAtTheEnd;
};

class EachProgress : public testing::TestWithParam<ProgressCase> {};

TEST_P(EachProgress, IsTracked) {
  RequestTracker progress;
  for (const ObservedPacket &it : GetParam().Packets) {
    PacketHeader head;
    head.Sequence = it.Sequence;
    head.DataBytes = it.Bytes;
    head.Acknowledged = it.Acknowledged;
    head.Acknowledges = true;
    RequestProgress step =
        progress.handlePacket(TimePoint(Duration(it.AtMillis * 1000)), head);
    EXPECT_EQ(step.Answered, it.Answered) << "at " << it.AtMillis;
    EXPECT_EQ(step.Data, it.Data) << "at " << it.AtMillis;
  }
  EXPECT_EQ(progress.isAwaitingAnswer(), GetParam().AskingAtTheEnd);
}

constexpr RequestDataKind None = RequestDataKind::None;
constexpr RequestDataKind Begins = RequestDataKind::NewRequest;
constexpr RequestDataKind GoesOn = RequestDataKind::Continuation;
constexpr RequestDataKind Repeated = RequestDataKind::Retransmission;

INSTANTIATE_TEST_SUITE_P(
    Flows, EachProgress,
    testing::Values(
        ProgressCase{"NothingAsked", {{0, 100, 0, 50, false, None}}, false},
        ProgressCase{"OneRequest",
                     {{0, 100, 80, 50, false, Begins},
                      {30, 180, 0, 50, false, None},
                      {31, 180, 0, 900, true, None},
                      {32, 180, 0, 1700, false, None}},
                     false},
        // The next request acknowledges the previous answer.
        ProgressCase{"AnswerConfirmedByTheNextRequest",
                     {{0, 100, 80, 50, false, Begins},
                      {400, 180, 80, 900, true, Begins}},
                     true},
        // The packets of one request are reordered.
        ProgressCase{"PartsInAnyOrder",
                     {{0, 2500, 160, 50, false, Begins},
                      {0, 1300, 1200, 50, false, GoesOn},
                      {1, 100, 1200, 50, false, GoesOn},
                      {40, 2660, 0, 800, true, None}},
                     false},
        ProgressCase{"ARequestComesAgain",
                     {{0, 100, 80, 50, false, Begins},
                      {200, 100, 80, 50, false, Repeated},
                      {600, 100, 80, 50, false, Repeated}},
                     true},
        // The request is answered, but the acknowledgement of its data was
        // lost.
        ProgressCase{"AnsweredAndRepeated",
                     {{0, 100, 80, 50, false, Begins},
                      {150, 180, 0, 900, true, None},
                      {200, 100, 80, 900, false, GoesOn}},
                     false},
        ProgressCase{"NumbersWrapAround",
                     {{0, 0xffffffc0U, 80, 0xfffffff0U, false, Begins},
                      {30, 0x10, 0, 0x200, true, None},
                      {500, 0x10, 80, 0x200, false, Begins}},
                     true}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

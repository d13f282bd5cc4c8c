#include "Balsamrack/Decisions/OpeningAdmission.h"

#include <cmath>

#include <gtest/gtest.h>

namespace balsamrack {
namespace {

constexpr Duration Millisecond{1'000};
constexpr TimePoint Start{Duration(10'000'000)};

/// An admission whose load has been at \p inProgress requests for a second.
/// Requests take 50 ms, of which 40 ms at 2 slots: the limit is 2 * 2 / .8 = 5
/// requests, and 100 of them end a second.
class OpeningAdmissionTest : public testing::Test {
protected:
  OpeningAdmission loaded(uint32_t inProgress) {
    OpeningAdmission admission;
    Now = Start;
    Inputs = {2, inProgress, 50 * Millisecond, 5 * Millisecond, {}};
    admission.update(Now, Inputs);
    Now += 1000 * Millisecond;
    admission.update(Now, Inputs);
    return admission;
  }
  OpeningRequest request(uint32_t caller, uint32_t priority = 1) {
    OpeningRequest it;
    it.Id = ++LastId;
    it.Caller = caller;
    it.Priority = priority;
    it.SentAt = Now;
    it.Objective = 400 * Millisecond;
    it.Timeout = 2000 * Millisecond;
    it.RefusableUntil = Now + OpeningAdmission::RefusalPeriod;
    return it;
  }
  void setInProgress(OpeningAdmission &admission, uint32_t n) {
    Inputs.InProgress = n;
    admission.update(Now, Inputs);
  }

  TimePoint Now = Start;
  AdmissionInputs Inputs;
  uint64_t LastId = 0;
};

// Guards against openings that wait without the inputs of the decision or while
// other daemons have room, and against invalid figures that hide a shortage.
TEST_F(OpeningAdmissionTest, IsShortOnlyByKnownInputs) {
  struct Case {
    const char *Name;
    AdmissionInputs Inputs;
    bool Short;
  } cases[] = {
      {"load below the limit", {2, 3, 50 * Millisecond, {}, {}}, false},
      {"overload", {2, 9, 50 * Millisecond, {}, {}}, true},
      {"no slots", {0, 50, 50 * Millisecond, {}, {}}, false},
      {"request time unknown", {2, 50, {}, {}, {}}, false},
      {"room elsewhere", {2, 9, 50 * Millisecond, {}, .5}, false},
      {"no room elsewhere", {2, 9, 50 * Millisecond, {}, .9}, true},
      {"invalid", {2, 9, 50 * Millisecond, {}, -1}, true},
      {"not a number", {2, 9, 50 * Millisecond, {}, std::nan("")}, true},
  };
  for (const Case &it : cases) {
    OpeningAdmission admission;
    admission.update(Start, it.Inputs);
    admission.update(Start + 1000 * Millisecond, it.Inputs);
    EXPECT_EQ(admission.isShort(), it.Short) << it.Name;
  }
}

// Guards against openings that are held until they are late instead of being
// refused while their callers can try again.
TEST_F(OpeningAdmissionTest, RefusesWhatCannotBeServedInTime) {
  OpeningAdmission admission = loaded(9);
  // Five requests over the limit of five: 50 ms, within a third of 350 ms.
  EXPECT_EQ(admission.decide(Now, request(1)), OpeningVerdict::Wait);
  OpeningRequest tight = request(2);
  tight.Objective = 150 * Millisecond;
  EXPECT_EQ(admission.decide(Now, tight), OpeningVerdict::Refuse);
  // Its caller sends further copies, which other daemons may have placed.
  tight.RefusableUntil = {};
  EXPECT_EQ(admission.decide(Now, tight), OpeningVerdict::Wait);
}

// Guards against late openings that take room from those in time, and against
// late ones that wait until their callers have left.
TEST_F(OpeningAdmissionTest, LateOpeningsYieldUntilAQuarterOfTheTimeIsLeft) {
  OpeningAdmission admission = loaded(6);
  OpeningRequest late = request(1, 0);
  late.SentAt = Now - 600 * Millisecond;
  late.RefusableUntil = {};
  OpeningRequest inTime = request(2, 2);
  ASSERT_EQ(admission.decide(Now, late), OpeningVerdict::Wait);
  ASSERT_EQ(admission.decide(Now, inTime), OpeningVerdict::Wait);
  setInProgress(admission, 4);
  EXPECT_EQ(admission.takeNext(Now)->Id, inTime.Id);
  setInProgress(admission, 6);
  EXPECT_FALSE(admission.takeNext(Now));
  // Three quarters of the 1,400 ms after which callers give up.
  EXPECT_EQ(*admission.nextWakeup(), late.SentAt + 1050 * Millisecond);
  Now = late.SentAt + 1050 * Millisecond;
  setInProgress(admission, 9);
  EXPECT_EQ(admission.takeNext(Now)->Id, late.Id);
}

// Guards against a wrong order: priority, then callers in turn, then time left.
TEST_F(OpeningAdmissionTest, ServesInTheOrderOfPrecedence) {
  OpeningAdmission admission = loaded(12);
  std::vector<OpeningRequest> openings = {request(1), request(1), request(1),
                                          request(2), request(3, 0)};
  openings[2].Objective = 300 * Millisecond;
  for (OpeningRequest &it : openings) {
    it.RefusableUntil = {};
    ASSERT_EQ(admission.decide(Now, it), OpeningVerdict::Wait);
  }
  for (size_t expected : {4, 2, 3, 0, 1}) {
    setInProgress(admission, 3);
    EXPECT_EQ(admission.takeNext(Now)->Id, openings[expected].Id);
  }
}

// Guards against a full queue that turns away what goes before its last one,
// and against a refusal of an opening that other daemons may have.
TEST_F(OpeningAdmissionTest, AFullQueueLosesTheLastInOrder) {
  OpeningAdmission admission = loaded(9);
  OpeningRequest last = request(1, 3);
  last.RefusableUntil = {};
  admission.decide(Now, last);
  while (admission.waiting() < OpeningAdmissionSettings().MaxWaiting) {
    OpeningRequest it = request(static_cast<uint32_t>(LastId), 2);
    it.RefusableUntil = {};
    admission.decide(Now, it);
  }
  OpeningRequest urgent = request(2, 0);
  ASSERT_EQ(admission.decide(Now, urgent), OpeningVerdict::Wait);
  auto ended = admission.takeNext(Now);
  EXPECT_EQ(ended->Id, last.Id);
  EXPECT_EQ(ended->Verdict, OpeningVerdict::Drop);
}

// Guards against daemons whose share is less than one slot and that together
// place more than the servers can do, or nothing.
TEST_F(OpeningAdmissionTest, ASmallShareIsUsedForPartOfTheTime) {
  OpeningAdmission admission = loaded(9);
  // The limit is .25 requests: one of 50 ms each 200 ms.
  Inputs.Slots = .1;
  setInProgress(admission, 0);
  ASSERT_EQ(admission.decide(Now, request(1)), OpeningVerdict::Place);
  Now += 50 * Millisecond;
  setInProgress(admission, 0);
  ASSERT_EQ(admission.decide(Now, request(2)), OpeningVerdict::Refuse);
  Now += 150 * Millisecond;
  setInProgress(admission, 0);
  EXPECT_EQ(admission.decide(Now, request(3)), OpeningVerdict::Place);
}

} // namespace
} // namespace balsamrack

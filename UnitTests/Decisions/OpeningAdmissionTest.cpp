#include "Balsamrack/Decisions/OpeningAdmission.h"

#include <limits>

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
  OpeningAdmission loaded(uint32_t inProgress,
                          std::optional<double> siteLoad = std::nullopt) {
    OpeningAdmission admission;
    Now = Start;
    Inputs = {2, inProgress, 50 * Millisecond, 5 * Millisecond, siteLoad};
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

// Guards against openings that wait because of a peak, although other daemons'
// servers are free, or without the inputs of the decision.
TEST_F(OpeningAdmissionTest, PlacesEverythingWithoutAShortage) {
  struct Case {
    const char *Name;
    AdmissionInputs Inputs;
  } cases[] = {
      {"load below the limit", {2, 3, 50 * Millisecond, {}, {}}},
      {"no slots", {0, 50, 50 * Millisecond, {}, {}}},
      {"request time unknown", {2, 50, Duration(0), {}, {}}},
      {"other daemons have room", {2, 50, 50 * Millisecond, {}, .5}},
  };
  for (const Case &it : cases) {
    OpeningAdmission admission;
    admission.update(Start, it.Inputs);
    Now = Start + 1000 * Millisecond;
    admission.update(Now, it.Inputs);
    EXPECT_EQ(admission.decide(Now, request(1)), OpeningVerdict::Place)
        << it.Name;
  }
}

// Guards against a gate that a missing or invalid report of other daemons
// opens.
TEST_F(OpeningAdmissionTest, AnUnknownSiteLoadDoesNotHideAShortage) {
  for (std::optional<double> load :
       {std::optional<double>(), std::optional<double>(.9),
        std::optional<double>(-1),
        std::optional<double>(std::numeric_limits<double>::quiet_NaN())})
    EXPECT_TRUE(loaded(10, load).isShort());
  EXPECT_FALSE(loaded(10, .5).isShort());
}

// Guards against a shortage that outlasts the overload, or that ends while its
// limit still holds requests back.
TEST_F(OpeningAdmissionTest, AShortageEndsWithTheOverload) {
  OpeningAdmission admission = loaded(10);
  Now += 2000 * Millisecond;
  setInProgress(admission, 4);
  EXPECT_TRUE(admission.isShort());
  Now += 2000 * Millisecond;
  setInProgress(admission, 2);
  EXPECT_FALSE(admission.isShort());
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

// Guards against an opening that is held after its last chance of a refusal,
// and against a refusal after that.
TEST_F(OpeningAdmissionTest, AWaitEndsBeforeTheCallersNextCopy) {
  OpeningAdmission admission = loaded(6);
  OpeningRequest opening = request(1);
  opening.Objective = Duration(0);
  ASSERT_EQ(admission.decide(Now, opening), OpeningVerdict::Wait);
  EXPECT_EQ(*admission.nextWakeup(), opening.RefusableUntil);
  OpeningAdmission late = admission;
  Now = opening.RefusableUntil;
  setInProgress(admission, 6);
  EXPECT_EQ(admission.takeNext(Now)->Verdict, OpeningVerdict::Refuse);
  // The process had no processor time in between.
  Now += Millisecond;
  late.update(Now, Inputs);
  EXPECT_EQ(late.takeNext(Now)->Verdict, OpeningVerdict::Place);
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
  OpeningAdmission admission = loaded(8);
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
  OpeningAdmission admission;
  // The limit is .25 requests: one of 50 ms each 200 ms.
  Inputs = {.1, 1, 50 * Millisecond, 5 * Millisecond, {}};
  int placed = 0;
  for (int step = 0; step < 2000; ++step, Now += 5 * Millisecond) {
    bool busy = step % 40 < 10;
    setInProgress(admission, step < 200 || busy ? 1 : 0);
    OpeningRequest it = request(1);
    it.Objective = 100 * Millisecond;
    if (step >= 200 && !busy && admission.isShort())
      placed += admission.decide(Now, it) == OpeningVerdict::Place ? 1 : 0;
  }
  EXPECT_GE(placed, 40);
  EXPECT_LE(placed, 50);
}

} // namespace
} // namespace balsamrack

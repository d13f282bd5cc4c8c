#include <cmath>
#include <numeric>

#include <gtest/gtest.h>

#include "Balsamrack/Decisions/FailureDetector.h"
#include "Balsamrack/Decisions/LateOpenings.h"
#include "Balsamrack/Decisions/OpeningChoice.h"
#include "Balsamrack/Decisions/SlotShares.h"

namespace balsamrack {
namespace {

struct ShareCase {
  const char *Name;
  std::vector<uint32_t> Slots;
  size_t Daemons;
};

class EachShare : public testing::TestWithParam<ShareCase> {};

TEST_P(EachShare, EachSlotIsOwnedOnceAndAllOwnAsMany) {
  const ShareCase &c = GetParam();
  double total = std::accumulate(c.Slots.begin(), c.Slots.end(), 0.0);
  std::vector<double> owned(c.Slots.size());
  for (size_t self = 0; self < c.Daemons; ++self) {
    std::vector<double> shares = slotShares(c.Slots, c.Daemons, self);
    ASSERT_EQ(shares.size(), c.Slots.size());
    EXPECT_NEAR(std::accumulate(shares.begin(), shares.end(), 0.0),
                total / static_cast<double>(c.Daemons), 1e-9);
    for (size_t i = 0; i < owned.size(); ++i)
      owned[i] += shares[i];
  }
  for (size_t i = 0; i < owned.size(); ++i)
    EXPECT_NEAR(owned[i], c.Slots[i], 1e-9);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, EachShare,
    testing::Values(ShareCase{"Site", std::vector<uint32_t>(14, 2), 9},
                    ShareCase{"OneDaemon", {2, 2, 2}, 1},
                    ShareCase{"MoreDaemonsThanSlots", {2, 2}, 9},
                    ShareCase{"Uneven", {1, 8, 3}, 4},
                    ShareCase{"NoServer", {}, 3}),
    [](const auto &info) { return std::string(info.param.Name); });

OpeningCandidate candidate(uint32_t inProgress, double share) {
  OpeningCandidate c;
  c.InProgress = inProgress;
  c.Slots = 2;
  c.Share = share;
  return c;
}

TEST(OpeningChoiceTest, ExpectedWaitRisesWithOwnAndOthersFlows) {
  EXPECT_DOUBLE_EQ(expectedWait(candidate(0, 2), 0.5), 0);
  EXPECT_DOUBLE_EQ(expectedWait(candidate(1, 2), 0.5), 0);
  EXPECT_DOUBLE_EQ(expectedWait(candidate(2, 2), 0.5), 0.5);
  EXPECT_GT(expectedWait(candidate(0, 0), 0.5), 0);
  EXPECT_GT(expectedWait(candidate(0, 0), 0.9),
            expectedWait(candidate(0, 0), 0.5));
  EXPECT_GT(expectedWait(candidate(1, 1), 0.5),
            expectedWait(candidate(0, 1), 0.5));
}

// Guards against an expected wait of zero under heavy overload. The sum over
// the flows of other daemons was truncated after a few terms, so all servers
// seemed idle and a daemon placed flows at random.
TEST(OpeningChoiceTest, ExpectedWaitHoldsUnderAnyLoad) {
  for (double load : {0.1, 1.0, 10.0, 1000.0}) {
    double others = 1.5 * load;
    EXPECT_GE(expectedWait(candidate(0, 0.5), load), (others - 1) / 2 - 1e-9)
        << load;
    EXPECT_LT(expectedWait(candidate(0, 1.5), load),
              expectedWait(candidate(0, 0.5), load))
        << load;
  }
}

/// The mean excess of a Poisson distributed number over the free slots, per
/// slot, as a sum over all of its terms.
double waitByDefinition(uint32_t slots, double others) {
  double wait = 0, logChance = -others;
  for (int n = 0; n < 2000; ++n) {
    wait += std::max(0.0, n - (slots - 1.0)) * std::exp(logChance);
    logChance += std::log(others) - std::log(n + 1.0);
  }
  return wait / slots;
}

struct SlotCount {
  const char *Name;
  uint32_t Slots;
  double OthersLoad;
};

class EachSlotCount : public testing::TestWithParam<SlotCount> {};

TEST_P(EachSlotCount, ExpectedWaitFollowsItsDefinition) {
  OpeningCandidate c = candidate(0, 0);
  c.Slots = GetParam().Slots;
  double others = c.Slots * GetParam().OthersLoad;
  EXPECT_NEAR(expectedWait(c, GetParam().OthersLoad),
              waitByDefinition(c.Slots, others), 1e-3);
}

INSTANTIATE_TEST_SUITE_P(
    Slots, EachSlotCount,
    testing::Values(SlotCount{"One", 1, 0.5}, SlotCount{"Two", 2, 0.9},
                    SlotCount{"Sixteen", 16, 1}, SlotCount{"SixtyFour", 64, 1},
                    SlotCount{"JustBeyondTheSum", 65, 1},
                    SlotCount{"ManyOverloaded", 500, 1.5},
                    SlotCount{"ManyIdle", 1000, 0.1},
                    SlotCount{"ManyBusy", 1000, 0.98}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a published slot count that sets the length of a loop in the
// placement of each opening: with 4,000,000,000 slots daemons forwarded no
// packet any more.
TEST(OpeningChoiceTest, AHugeSlotCountCostsNoTime) {
  OpeningCandidate c = candidate(0, 0);
  for (uint32_t slots : {1U << 20, 2'000'000'000U, 4'000'000'000U, UINT32_MAX})
    for (double load : {0.0, 1e-9, 0.5, 1.0, 3.0}) {
      c.Slots = slots;
      double wait = expectedWait(c, load);
      EXPECT_GE(wait, 0) << slots << " " << load;
      EXPECT_LE(wait, std::max(0.0, load - 1) + 0.01) << slots << " " << load;
    }
}

/// Two candidates; the first one must be chosen.
struct ChoiceCase {
  const char *Name;
  OpeningCandidate Better;
  OpeningCandidate Worse;
};

OpeningCandidate with(OpeningCandidate c, OpeningRank rank, bool near,
                      bool cold) {
  c.Rank = rank;
  c.InSameDomain = near;
  c.Cold = cold;
  return c;
}

class EachChoice : public testing::TestWithParam<ChoiceCase> {};

TEST_P(EachChoice, TakesTheBetterOne) {
  OpeningCandidate better = GetParam().Better;
  OpeningCandidate worse = GetParam().Worse;
  better.Server = 1;
  worse.Server = 2;
  SeededRandom random(1);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(chooseForOpening({better, worse}, 0.5, random)->Server, 1U);
    EXPECT_EQ(chooseForOpening({worse, better}, 0.5, random)->Server, 1U);
  }
}

constexpr auto Normal = OpeningRank::Normal;
INSTANTIATE_TEST_SUITE_P(
    Pairs, EachChoice,
    testing::Values(
        ChoiceCase{"IdleBeforeBusy", candidate(0, 2), candidate(2, 2)},
        ChoiceCase{"OwnBeforeForeign", candidate(1, 2), candidate(0, 0)},
        ChoiceCase{"ForeignBeforeFullOwn", candidate(0, 0), candidate(3, 2)},
        ChoiceCase{"NearBeforeFar", candidate(0, 2),
                   with(candidate(0, 2), Normal, false, false)},
        ChoiceCase{"FarIdleBeforeNearBusy",
                   with(candidate(0, 2), Normal, false, false),
                   candidate(2, 2)},
        ChoiceCase{"WarmBeforeCold", candidate(1, 2),
                   with(candidate(0, 2), Normal, true, true)},
        ChoiceCase{"ColdBeforeQueue", with(candidate(0, 2), Normal, true, true),
                   candidate(3, 2)},
        ChoiceCase{"FullBeforeSuspected", candidate(9, 2),
                   with(candidate(0, 2), OpeningRank::Suspected, true, false)},
        ChoiceCase{"FullBeforeExpired", candidate(9, 2),
                   with(candidate(0, 2), OpeningRank::Expired, true, false)},
        ChoiceCase{"ExpiredBeforeSilent",
                   with(candidate(9, 2), OpeningRank::Expired, true, false),
                   with(candidate(0, 2), OpeningRank::Silent, true, false)}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(OpeningChoiceTest, EqualsAreTakenInTurnByChance) {
  SeededRandom random(1);
  std::vector<OpeningCandidate> all(4, candidate(0, 2));
  for (size_t i = 0; i < all.size(); ++i)
    all[i].Server = i;
  std::vector<int> taken(4);
  for (int i = 0; i < 4000; ++i)
    ++taken[chooseForOpening(all, 0.5, random)->Server];
  for (int n : taken)
    EXPECT_NEAR(n, 1000, 150);
  EXPECT_FALSE(chooseForOpening({}, 0.5, random));
}

class FailureDetectorTest : public testing::Test {
protected:
  FailureDetectorTest() : Detector(FailureDetectorSettings()) {
    for (size_t i = 0; i < 3; ++i)
      Detector.add(i, DomainId("a"));
    Detector.add(3, DomainId("b"));
  }
  void fallsSilent(size_t server) {
    Detector.reportUnanswered(Now, server, Now - Duration(20'000), 1);
    Detector.reportUnanswered(Now, server, Now - Duration(10'000), 2);
  }
  TimePoint Now{Duration(10'000'000)};
  FailureDetector Detector;
};

TEST_F(FailureDetectorTest, OneLostOpeningSaysNothing) {
  EXPECT_FALSE(Detector.reportUnanswered(Now, 0, Now - Duration(20'000), 1));
  Detector.reportAnswered(Now, 0);
  EXPECT_FALSE(Detector.reportUnanswered(Now, 0, Now + Duration(10'000), 2));
  EXPECT_FALSE(Detector.isSilent(0));
}

TEST_F(FailureDetectorTest, AnAnswerAfterTheOpeningWasSentProvesLife) {
  Detector.reportAnswered(Now, 0);
  EXPECT_FALSE(Detector.reportUnanswered(Now, 0, Now - Duration(1), 1));
  EXPECT_FALSE(Detector.reportUnanswered(Now, 0, Now - Duration(2), 2));
  EXPECT_FALSE(Detector.isSilent(0));
}

// A caller with a broken link gets no answers to its openings, which says
// nothing about the servers.
TEST_F(FailureDetectorTest, OneCallerAloneSilencesNobody) {
  for (int i = 0; i < 10; ++i)
    EXPECT_FALSE(Detector.reportUnanswered(Now, 0, Now - Duration(20'000), 7));
  EXPECT_TRUE(Detector.reportUnanswered(Now, 0, Now - Duration(20'000), 8));
}

// Guards against a live server that stays silent forever with its domain: two
// servers of the domain have died, and the third receives no openings through
// which it could show that it is alive.
TEST_F(FailureDetectorTest, ALivingServerSpeaksForItsDomain) {
  fallsSilent(0);
  EXPECT_FALSE(Detector.isDomainSilent(DomainId("a")));
  fallsSilent(1);
  EXPECT_TRUE(Detector.isDomainSilent(DomainId("a")));
  EXPECT_TRUE(Detector.isSilent(2));
  EXPECT_FALSE(Detector.isSilent(3));
  std::vector<size_t> due = Detector.takeDueProbes(Now);
  EXPECT_EQ(due, (std::vector<size_t>{0, 1, 2}));
  Detector.reportAttemptFailed(Now, 0);
  Detector.reportAttemptFailed(Now, 1);
  Detector.reportAnswered(Now, 2);
  EXPECT_FALSE(Detector.isDomainSilent(DomainId("a")));
  EXPECT_FALSE(Detector.isSilent(2));
  EXPECT_TRUE(Detector.isSilent(0));
}

TEST_F(FailureDetectorTest, AttemptsComeLessOftenUpToABound) {
  fallsSilent(0);
  Duration last{0};
  for (int i = 0; i < 10; ++i) {
    TimePoint due = Detector.nextProbeAt();
    ASSERT_LE(due, Now + FailureDetectorSettings().MaxProbeInterval);
    last = due - Now;
    Now = std::max(Now, due);
    EXPECT_EQ(Detector.takeDueProbes(Now).size(), 1U);
    Detector.reportAttemptFailed(Now, 0);
  }
  EXPECT_EQ(last, FailureDetectorSettings().MaxProbeInterval);
}

// When a domain is partitioned, the first sign is one repeated request. The
// other servers of the domain are probed along with the suspected one, so that
// the whole domain is detected after two connection attempts instead of after
// more callers.
TEST_F(FailureDetectorTest, SuspicionOfOneServerIsSettledForItsDomain) {
  Detector.reportUndelivered(Now, 0, Now);
  EXPECT_EQ(Detector.takeDueProbes(Now), std::vector<size_t>{0});
  EXPECT_EQ(Detector.chooseControlProbe(Now, 0), 3U) << "one elsewhere";
  Detector.reportConnected(Now, 3);
  EXPECT_FALSE(Detector.reportAttemptFailed(Now, 0));
  EXPECT_FALSE(Detector.isSilent(0)) << "one packet may be lost";
  EXPECT_EQ(Detector.takeDueProbes(Now), (std::vector<size_t>{0, 1, 2}));
  EXPECT_EQ(Detector.chooseControlProbe(Now, 0), 3U);
  Detector.reportConnected(Now, 3);
  EXPECT_TRUE(Detector.reportAttemptFailed(Now, 0));
  EXPECT_TRUE(Detector.isUnreachable(0));
  EXPECT_FALSE(Detector.isLost(0)) << "open flows need more proof";
  EXPECT_FALSE(Detector.isSilent(1)) << "it may be this one alone";
  for (size_t server : {1, 2}) {
    Detector.reportAttemptFailed(Now, server);
    EXPECT_TRUE(Detector.reportAttemptFailed(Now, server));
  }
  EXPECT_TRUE(Detector.isDomainSilent(DomainId("a")));
  EXPECT_TRUE(Detector.isOutOfReach(2));
  EXPECT_FALSE(Detector.isSilent(3));
}

// Guards against resetting flows to live servers when this daemon's own link is
// saturated. The link of a small VM was full for 200 ms while a new
// configuration was sent over it; openings and connection attempts were all
// late, and all servers of the site seemed lost.
TEST_F(FailureDetectorTest, AFullLinkOfOurOwnLosesNobody) {
  fallsSilent(1);
  Detector.reportUndelivered(Now, 0, Now);
  TimePoint began = Now;
  for (; Now - began < Duration(900'000); Now += Duration(50'000))
    for (size_t server : Detector.takeDueProbes(Now))
      Detector.reportAttemptFailed(Now, server);
  for (size_t server : {0, 1, 2, 3})
    EXPECT_FALSE(Detector.isLost(server)) << server;
  EXPECT_FALSE(Detector.isSilent(0));
  // A link that passes nothing for a second counts as partitioned.
  for (; Now - began < Duration(2'500'000); Now += Duration(50'000))
    for (size_t server : Detector.takeDueProbes(Now))
      Detector.reportAttemptFailed(Now, server);
  for (size_t server : {0, 1}) {
    EXPECT_TRUE(Detector.isOutOfReach(server));
    EXPECT_FALSE(Detector.isLost(server)) << "open flows may live";
  }
}

// Guards against losing live servers over a saturated link that drops every
// third packet: some attempts connect, so the link seems to work, while others
// fail.
TEST_F(FailureDetectorTest, ALinkThatLosesPacketsLosesNobody) {
  SeededRandom random(7);
  for (int i = 0; i < 2000; ++i, Now += Duration(50'000)) {
    for (size_t server : {0, 1, 2, 3})
      if (random.below(10) == 0)
        Detector.reportUndelivered(Now, server, Now);
    std::vector<size_t> due = Detector.takeDueProbes(Now);
    if (!due.empty())
      if (auto control = Detector.chooseControlProbe(Now, due.front()))
        due.push_back(*control);
    for (size_t server : due)
      if (random.below(3) == 0)
        Detector.reportAttemptFailed(Now, server);
      else
        Detector.reportConnected(Now, server);
    for (size_t server : {0, 1, 2, 3})
      ASSERT_FALSE(Detector.isLost(server)) << i;
  }
}

// Guards against resetting flows to a live server of a domain in which others
// have died. A daemon that has just started has no answer from the domain yet
// and considers the whole domain silent; a repeated request on a flow to the
// live server was reset.
TEST_F(FailureDetectorTest, DeadServersLoseNoLivingOne) {
  for (size_t server : {0, 1}) {
    fallsSilent(server);
    for (int i = 0; i < 5; ++i) {
      EXPECT_FALSE(Detector.isLost(server)) << "after " << i;
      Detector.takeDueProbes(Now);
      Detector.reportDelivered(3, Now);
      Detector.reportAttemptFailed(Now, server);
      Now += FailureDetectorSettings().MinProbeInterval;
    }
    EXPECT_TRUE(Detector.isLost(server));
  }
  EXPECT_TRUE(Detector.isDomainSilent(DomainId("a")));
  EXPECT_FALSE(Detector.isLost(2));
}

// Guards against bursts of probes when a domain with a thousand servers is
// partitioned from six hundred daemons: to its servers when the partition
// heals, and on the daemons' links while it lasts.
TEST_F(FailureDetectorTest, ASuspectedDomainIsProbedByAFew) {
  for (size_t i = 100; i < 1100; ++i)
    Detector.add(i, DomainId("c"));
  Detector.reportUndelivered(Now, 100, Now);
  size_t most = 0;
  for (int i = 0; i < 3; ++i) {
    std::vector<size_t> due = Detector.takeDueProbes(Now);
    most = std::max(most, due.size());
    Detector.reportDelivered(3, Now);
    for (size_t server : due)
      Detector.reportAttemptFailed(Now, server);
    if (Detector.isDomainSilent(DomainId("c")))
      break;
  }
  EXPECT_TRUE(Detector.isDomainSilent(DomainId("c")));
  EXPECT_LE(most, 1U + FailureDetectorSettings().MaxProbesPerDomain);
}

/// Number of probes that one daemon of a fleet sends to a dead server in ten
/// seconds.
size_t attemptsAtDeadServer(size_t daemons, bool requestsPending) {
  FailureDetector detector{FailureDetectorSettings()};
  detector.setDaemonCount(daemons);
  detector.add(0, DomainId("a"));
  detector.add(1, DomainId("b"));
  TimePoint now{Duration(10'000'000)};
  detector.reportUndelivered(now, 0, now);
  size_t attempts = 0;
  for (TimePoint end = now + Duration(10'000'000); now < end;
       now += Duration(10'000)) {
    detector.reportDelivered(1, now);
    for (size_t server : detector.takeDueProbes(now)) {
      ++attempts;
      detector.reportAttemptFailed(now, server, true, requestsPending);
    }
  }
  return attempts;
}

// Guards against a dead server receiving probes in proportion to the size of
// the fleet, although no daemon has a request in progress there.
TEST_F(FailureDetectorTest, AFleetOfHundredsAsksADeadServerAsOftenAsASmallOne) {
  constexpr size_t Small = 9, Large = 295;
  size_t small = Small * attemptsAtDeadServer(Small, false);
  size_t large = Large * attemptsAtDeadServer(Large, false);
  // Each daemon needs some initial probes of its own.
  constexpr size_t InitialProbes = 5;
  size_t initialProbes = Large * InitialProbes;
  EXPECT_LE(large, 2 * small + initialProbes);
}

// Guards against a request in progress on a dead server that waits for as long
// as the probe interval of a large fleet.
TEST_F(FailureDetectorTest, AWaitingRequestIsSettledSoonInAnyFleet) {
  for (size_t daemons : {1, 9, 295, 610}) {
    FailureDetector detector{FailureDetectorSettings()};
    detector.setDaemonCount(daemons);
    detector.add(0, DomainId("a"));
    detector.add(1, DomainId("b"));
    TimePoint now{Duration(10'000'000)};
    // The server fell silent without requests in progress; a request arrives
    // two seconds later and is repeated.
    detector.reportUndelivered(now, 0, now);
    TimePoint began = now + Duration(2'000'000);
    TimePoint limit = began + Duration(1'000'000);
    for (; now < limit && !detector.isLost(0); now += Duration(10'000)) {
      detector.reportDelivered(1, now);
      bool requestsPending = now >= began;
      if (now == began)
        detector.reportUndelivered(now, 0, now);
      for (size_t server : detector.takeDueProbes(now))
        detector.reportAttemptFailed(now, server, true, requestsPending);
    }
    EXPECT_TRUE(detector.isLost(0)) << daemons;
  }
}

// Guards against a silent domain whose live servers are never probed, because
// only a few are probed at a time and always the same ones.
TEST_F(FailureDetectorTest, ALivingServerOfALargeSilentDomainIsFound) {
  constexpr size_t First = 100, Count = 40, Living = 137;
  for (size_t i = First; i < First + Count; ++i)
    Detector.add(i, DomainId("c"));
  fallsSilent(100);
  fallsSilent(101);
  ASSERT_TRUE(Detector.isDomainSilent(DomainId("c")));
  TimePoint end = Now + Duration(10'000'000);
  for (; Now < end && Detector.isDomainSilent(DomainId("c"));
       Now += Duration(10'000)) {
    Detector.reportDelivered(3, Now);
    std::vector<size_t> due = Detector.takeDueProbes(Now);
    EXPECT_LE(due.size(), 2 + FailureDetectorSettings().MaxProbesPerDomain);
    for (size_t server : due)
      if (server == Living)
        Detector.reportConnected(Now, server);
      else
        Detector.reportAttemptFailed(Now, server, true, false);
  }
  EXPECT_FALSE(Detector.isDomainSilent(DomainId("c")));
}

// Guards against a busy loop: a daemon that could not make another connection
// attempt was asked for it again at once, and did nothing else.
TEST_F(FailureDetectorTest, AnAttemptThatCouldNotBeMadeComesLater) {
  Detector.reportUndelivered(Now, 0, Now);
  ASSERT_EQ(Detector.takeDueProbes(Now).size(), 1U);
  for (int i = 0; i < 5; ++i)
    EXPECT_FALSE(Detector.reportAttemptFailed(Now, 0, false));
  EXPECT_FALSE(Detector.isSilent(0));
  EXPECT_TRUE(Detector.takeDueProbes(Now).empty());
  EXPECT_EQ(Detector.nextProbeAt(),
            Now + FailureDetectorSettings().MinProbeInterval);
}

TEST_F(FailureDetectorTest, WhatArrivedLaterEndsSuspicion) {
  Detector.reportDelivered(0, Now);
  Detector.reportUndelivered(Now, 0, Now - Duration(1));
  EXPECT_TRUE(Detector.takeDueProbes(Now).empty()) << "a later one has arrived";
  Detector.reportUndelivered(Now, 0, Now + Duration(1));
  Detector.reportDelivered(0, Now + Duration(2));
  EXPECT_TRUE(Detector.takeDueProbes(Now).empty());
}

// The last answers of a domain that was just partitioned may still reach their
// callers. They must not make its servers look healthy again.
TEST_F(FailureDetectorTest, AnAnswerToWhatWasSentBeforeSaysNothing) {
  fallsSilent(0);
  Detector.reportDelivered(0, Now - Duration(50'000));
  EXPECT_TRUE(Detector.isSilent(0));
}

struct LateCase {
  const char *Name;
  OpeningTimes Times;
  Duration Wait;
};

class EachLateOpening : public testing::TestWithParam<LateCase> {};

TEST_P(EachLateOpening, WaitsAsLongAsItsCallersTimeAllows) {
  EXPECT_EQ(lateOpeningMaxWait(GetParam().Times), GetParam().Wait);
}

constexpr Duration Ms{1'000};
INSTANTIATE_TEST_SUITE_P(
    Openings, EachLateOpening,
    testing::Values(
        LateCase{"First", {Ms * 0, Ms * 150, Ms * 1500}, Ms * 0},
        LateCase{"CopyInTime", {Ms * 200, Ms * 500, Ms * 5000}, Ms * 0},
        LateCase{"NoObjective", {Ms * 200, Ms * 0, Ms * 5000}, Ms * 0},
        LateCase{"LongTimeout", {Ms * 200, Ms * 150, Ms * 1500}, Ms * 850},
        LateCase{"NoTimeout", {Ms * 200, Ms * 150, Ms * 0}, Ms * 850},
        LateCase{"ShortTimeout", {Ms * 200, Ms * 100, Ms * 1000}, Ms * 550},
        LateCase{"SecondCopy", {Ms * 600, Ms * 100, Ms * 1000}, Ms * 150},
        LateCase{"TimeNearlyOver", {Ms * 600, Ms * 100, Ms * 700}, Ms * 0}),
    [](const auto &info) { return std::string(info.param.Name); });

struct SlotsCase {
  const char *Name;
  OwnSlotUsage Slots;
  bool Taken;
};

class EachOwnSlots : public testing::TestWithParam<SlotsCase> {};

TEST_P(EachOwnSlots, AreTakenByWorkOnly) {
  EXPECT_EQ(areOwnSlotsBusy(GetParam().Slots), GetParam().Taken);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, EachOwnSlots,
    testing::Values(SlotsCase{"Idle", {0, Ms * 50, Ms * 8}, false},
                    SlotsCase{"FullOfWork", {1, Ms * 50, Ms * 0}, true},
                    SlotsCase{"NothingMeasured", {1, Ms * 0, Ms * 0}, true},
                    SlotsCase{"HalfOnTheWay", {1.5, Ms * 32, Ms * 8}, false},
                    SlotsCase{
                        "HalfOnTheWayAndFull", {2, Ms * 32, Ms * 8}, true},
                    SlotsCase{"OddMeasures", {3.9, Ms * 10, Ms * 30}, false},
                    SlotsCase{"OddMeasuresFull", {4, Ms * 10, Ms * 30}, true}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack

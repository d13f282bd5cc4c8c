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

// Story: the site is overloaded many times over. The sum over other daemons'
// flows was cut off after a few terms, so all servers seemed idle and a daemon
// sent everything wherever chance would have it.
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

// Story: one caller's link is cut. Whatever it opens gets no answer, and that
// says nothing of the servers.
TEST_F(FailureDetectorTest, OneCallerAloneSilencesNobody) {
  for (int i = 0; i < 10; ++i)
    EXPECT_FALSE(Detector.reportUnanswered(Now, 0, Now - Duration(20'000), 7));
  EXPECT_TRUE(Detector.reportUnanswered(Now, 0, Now - Duration(20'000), 8));
}

// Story: two servers of a domain die, the third one lives. Judged with its
// domain it gets no openings, so it could never prove itself.
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

// Story: a domain is cut off, and the first sign is one request that comes
// again. Its other servers are asked while that one is, so that the whole
// domain is known after two attempts to connect instead of after more callers.
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

// Story: a small VM's link is full for 200 ms, for a new configuration goes out
// on it. Openings and attempts to connect are all late, and every server of the
// site looked lost; open flows to living servers were reset on a quiet day.
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
  // A link that lets nothing through for a second is as good as cut.
  for (; Now - began < Duration(2'500'000); Now += Duration(50'000))
    for (size_t server : Detector.takeDueProbes(Now))
      Detector.reportAttemptFailed(Now, server);
  for (size_t server : {0, 1}) {
    EXPECT_TRUE(Detector.isOutOfReach(server));
    EXPECT_FALSE(Detector.isLost(server)) << "open flows may live";
  }
}

// Story: a link that is full loses every third packet. Some attempts connect,
// so that the link seems to work, and others fail; living servers looked lost.
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

// Story: servers of a domain have died, and a daemon has just started there. It
// has had no answer of the domain yet and takes it for silent as a whole; a
// request that came again on an open flow to a living server of it was reset.
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

// Story: a domain with a thousand servers is cut off from six hundred daemons.
// Asked all at once, its servers would get a burst of attempts when the cut
// heals, and the daemons' links one while it lasts.
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

/// Attempts of one daemon of a fleet at a dead server in ten seconds.
size_t attemptsAtDeadServer(size_t daemons, bool awaited) {
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
      detector.reportAttemptFailed(now, server, true, awaited);
    }
  }
  return attempts;
}

// Guards against a dead server that gets attempts in proportion to the fleet,
// although none of its daemons has a request there.
TEST_F(FailureDetectorTest, AFleetOfHundredsAsksADeadServerAsOftenAsASmallOne) {
  constexpr size_t Small = 9, Large = 295;
  size_t small = Small * attemptsAtDeadServer(Small, false);
  size_t large = Large * attemptsAtDeadServer(Large, false);
  // Each daemon needs a first look of its own.
  constexpr size_t FirstLook = 5;
  size_t firstLooks = Large * FirstLook;
  EXPECT_LE(large, 2 * small + firstLooks);
}

// Guards against a request that is in progress at a dead server and is left
// waiting for as long as a large fleet leaves that server alone.
TEST_F(FailureDetectorTest, AWaitingRequestIsSettledSoonInAnyFleet) {
  for (size_t daemons : {1, 9, 295, 610}) {
    FailureDetector detector{FailureDetectorSettings()};
    detector.setDaemonCount(daemons);
    detector.add(0, DomainId("a"));
    detector.add(1, DomainId("b"));
    TimePoint now{Duration(10'000'000)};
    // It fell silent while nothing waited there; a request comes two seconds
    // later and is repeated.
    detector.reportUndelivered(now, 0, now);
    TimePoint began = now + Duration(2'000'000);
    TimePoint limit = began + Duration(1'000'000);
    for (; now < limit && !detector.isLost(0); now += Duration(10'000)) {
      detector.reportDelivered(1, now);
      bool awaited = now >= began;
      if (now == began)
        detector.reportUndelivered(now, 0, now);
      for (size_t server : detector.takeDueProbes(now))
        detector.reportAttemptFailed(now, server, true, awaited);
    }
    EXPECT_TRUE(detector.isLost(0)) << daemons;
  }
}

// Guards against a silent domain whose living servers are never asked, since
// few are asked at a time and the same ones each time.
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

// Story: a daemon has no room for one more attempt to connect. Asked for it
// again at once, it did nothing else any more.
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

// Story: the last answers of a domain that has just been cut off still reach
// their callers. They must not make its servers look well again.
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

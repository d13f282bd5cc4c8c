#include <algorithm>
#include <functional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "UnitTests/Decisions/OwnerFixture.h"

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};

/// A scenario, the result that request 1 must get, and how often it must have
/// been dispatched.
struct EndingCase {
  const char *Name;
  std::function<void(OwnerFixture &)> Scenario;
  OutcomeKind How;
  Reason Why;
  size_t Dispatches;
};

RequestArrived newFlow(uint64_t id) {
  RequestArrived event = OwnerFixture::request(id);
  event.NewFlow = true;
  return event;
}

RequestArrived again(uint64_t id) {
  RequestArrived event = OwnerFixture::request(id);
  event.Head.Kind = Semantics::Idempotent;
  return event;
}

std::vector<EndingCase> endingCases() {
  using F = OwnerFixture;
  auto run = [](DispatchOutcome how) {
    return [how](F &f) {
      f.give(F::request(1));
      f.end(1, how);
    };
  };
  auto reconfigured = [](ServerMode mode, bool inService, bool newOne) {
    return [=](F &f) {
      f.Config.Servers[0].Server.Mode = mode;
      f.Config.Servers[0].DomainInService = inService;
      f.give(f.Config);
      f.give(newOne ? newFlow(1) : F::request(1));
    };
  };
  return {
      {"Answered", run(DispatchOutcome::Answered), OutcomeKind::Answered,
       Reason::None, 1},
      {"ShedDidNotRun", run(DispatchOutcome::Shed), OutcomeKind::NotRun,
       Reason::ServerShed, 1},
      {"UnreachableDidNotRun", run(DispatchOutcome::Unreachable),
       OutcomeKind::NotRun, Reason::ServerUnreachable, 1},
      {"FailedIsUnknown", run(DispatchOutcome::Failed),
       OutcomeKind::OutcomeUnknown, Reason::ServerFailed, 1},
      {"IdempotentTwiceFailedIsUnknown",
       [](F &f) {
         RequestArrived r = again(1);
         r.Head.Remaining = Second * 10;
         f.give(r);
         f.end(1, DispatchOutcome::Failed);
         f.pass(Second * 5);
         f.end(1, DispatchOutcome::Failed);
       },
       OutcomeKind::OutcomeUnknown, Reason::ServerFailed, 2},
      // An earlier dispatch was sent, so the expiry of the queued retry must
      // not be reported as "not run".
      {"ExpiredRetryIsUnknown",
       [](F &f) {
         f.give(again(1));
         f.end(1, DispatchOutcome::Failed);
         f.pass(Second);
       },
       OutcomeKind::OutcomeUnknown, Reason::DeadlinePassed, 1},
      {"UnknownServer",
       [](F &f) {
         RequestArrived r = F::request(1);
         r.Server = ServerId("booking-77");
         f.give(r);
       },
       OutcomeKind::NotRun, Reason::NotOwner, 0},
      {"NoTimeLeft",
       [](F &f) {
         RequestArrived r = F::request(1);
         r.Head.Remaining = Duration(0);
         f.give(r);
       },
       OutcomeKind::NotRun, Reason::DeadlinePassed, 0},
      {"FullOfFlows",
       [](F &f) {
         RequestArrived r = newFlow(1);
         r.FlowsOnServer = 2000;
         f.give(r);
       },
       OutcomeKind::NotRun, Reason::ServerFull, 0},
      {"DrainingNewFlow", reconfigured(ServerMode::Draining, true, true),
       OutcomeKind::NotRun, Reason::ServerDraining, 0},
      {"DomainOutNewFlow", reconfigured(ServerMode::Active, false, true),
       OutcomeKind::NotRun, Reason::DomainOutOfService, 0},
      {"DomainOutEstablishedFlow",
       reconfigured(ServerMode::Active, false, false), OutcomeKind::GivenUp,
       Reason::DomainOutOfService, 0},
      {"DomainOutWhileQueued",
       [](F &f) {
         f.give(F::request(2));
         f.give(F::request(1));
         f.Config.Servers[0].DomainInService = false;
         f.give(f.Config);
       },
       OutcomeKind::GivenUp, Reason::DomainOutOfService, 0},
      {"DomainOutWhileRunning",
       [](F &f) {
         f.give(F::request(1));
         f.Config.Servers[0].DomainInService = false;
         f.give(f.Config);
         f.end(1, DispatchOutcome::Answered);
       },
       OutcomeKind::Answered, Reason::None, 1},
      {"DrainLimitPassed",
       [](F &f) {
         f.Config.Servers[0].Server.Mode = ServerMode::Draining;
         f.Config.Servers[0].Server.DrainLimit = Second;
         f.give(f.Config);
         f.pass(Second);
         f.give(f.Config);
         f.give(F::request(1));
       },
       OutcomeKind::GivenUp, Reason::ServerDraining, 0},
      {"OwnedNoMoreWhileQueued",
       [](F &f) {
         f.give(F::request(2));
         f.give(F::request(1));
         f.Config.Servers.clear();
         f.give(f.Config);
       },
       OutcomeKind::NotRun, Reason::NotOwner, 0},
      {"OwnedNoMoreWhileRunning",
       [](F &f) {
         f.give(F::request(1));
         f.Config.Servers.clear();
         f.give(f.Config);
         f.end(1, DispatchOutcome::Answered);
       },
       OutcomeKind::Answered, Reason::None, 1},
      {"AuthorityExpiredForLong",
       [](F &f) {
         f.give(AuthorityChanged{false});
         f.give(F::request(1));
         f.pass(Duration(500'000));
       },
       OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, 0},
      {"AuthorityBackInTime",
       [](F &f) {
         f.give(AuthorityChanged{false});
         f.give(F::request(1));
         f.pass(Duration(400'000));
         f.give(AuthorityChanged{true});
         f.end(1, DispatchOutcome::Answered);
       },
       OutcomeKind::Answered, Reason::None, 1},
      {"WaitsForEarlierOwner",
       [](F &f) {
         f.Config.Servers[0].DispatchAllowedFrom = f.Now + Second * 2;
         f.give(f.Config);
         f.give(F::request(1));
       },
       OutcomeKind::NotRun, Reason::OwnerWithoutAuthority, 0},
      {"CancelledWhileQueued",
       [](F &f) {
         f.give(F::request(2));
         f.give(F::request(1));
         f.give(RequestCancelled{RequestId{1}});
       },
       OutcomeKind::NotRun, Reason::CallerDisconnected, 0},
      {"CancelledWhileRunning",
       [](F &f) {
         f.give(F::request(1));
         f.give(RequestCancelled{RequestId{1}});
         f.end(1, DispatchOutcome::Failed);
       },
       OutcomeKind::OutcomeUnknown, Reason::CallerDisconnected, 1},
      {"ShuttingDown",
       [](F &f) {
         f.give(ShutdownBegan());
         f.give(F::request(1));
       },
       OutcomeKind::NotRun, Reason::ShuttingDown, 0},
      {"QueuedBeforeShutdown",
       [](F &f) {
         f.give(F::request(2));
         f.give(F::request(1));
         f.give(ShutdownBegan());
         f.end(2, DispatchOutcome::Answered);
         f.end(1, DispatchOutcome::Answered);
       },
       OutcomeKind::Answered, Reason::None, 1},
      {"DeadlineBeforeItsTurn",
       [](F &f) {
         f.give(F::request(2));
         RequestArrived r = F::request(1);
         r.Head.Remaining = Duration(60'000);
         f.give(r);
       },
       OutcomeKind::NotRun, Reason::ServerCold, 0},
      {"EjectedAfterFailures",
       [](F &f) {
         for (uint64_t id = 10; id < 15; ++id) {
           f.give(F::request(id));
           f.end(id, DispatchOutcome::Failed);
           f.pass(Second * 6);
         }
         f.give(newFlow(2));
         f.give(newFlow(1));
       },
       OutcomeKind::NotRun, Reason::ServerEjected, 0},
  };
}

class EndingTest : public testing::TestWithParam<EndingCase> {};

// Guards against missing, repeated or false results of requests: after a false
// "not run" a deposit is paid twice, and without a result a clerk waits in
// vain. Each case is one way in which a request can end.
TEST_P(EndingTest, ReportsOneCorrectResult) {
  const EndingCase &test = GetParam();
  OwnerFixture fixture;
  test.Scenario(fixture);
  EXPECT_EQ(fixture.Endings[1], 1U);
  EXPECT_STREQ(outcomeKindName(fixture.ending(1).Kind),
               outcomeKindName(test.How));
  EXPECT_STREQ(reasonName(fixture.ending(1).Cause), reasonName(test.Why));
  auto &all = fixture.Dispatched;
  EXPECT_EQ(std::count(all.begin(), all.end(), 1U),
            static_cast<ptrdiff_t>(test.Dispatches));
}

INSTANTIATE_TEST_SUITE_P(Ways, EndingTest, testing::ValuesIn(endingCases()),
                         [](const auto &info) { return info.param.Name; });

// A cancelled request may still run on its server. If its slot were free at
// once, a cold server would get a second request and crash: the owner counted
// one, the server had two.
TEST(ServiceOwnerTest, CancelledDispatchKeepsItsSlot) {
  OwnerFixture f;
  f.give(OwnerFixture::request(1));
  f.give(RequestCancelled{RequestId{1}});
  f.give(OwnerFixture::request(2));
  EXPECT_EQ(f.Cancelled, std::vector<uint64_t>{1});
  EXPECT_EQ(f.Dispatched, std::vector<uint64_t>{1});
  f.end(1, DispatchOutcome::Answered);
  EXPECT_EQ(f.Dispatched, (std::vector<uint64_t>{1, 2}));
}

// A dispatch timed out, but the server continues working on it. Another request
// would be more than a cold server can handle, so the slot stays occupied for a
// bounded time.
TEST(ServiceOwnerTest, TimedOutDispatchHoldsItsSlotForABoundedTime) {
  OwnerFixture f;
  f.give(OwnerFixture::request(1));
  f.Now += Second;
  f.end(1, DispatchOutcome::Failed, Second);
  EXPECT_EQ(f.Owner->report(f.Now)[0].Abandoned, 1U);
  RequestArrived next = OwnerFixture::request(2);
  next.Head.Remaining = Second * 8;
  f.give(next);
  EXPECT_EQ(f.Dispatched.size(), 1U);
  f.pass(*f.Owner->nextWakeup() - f.Now);
  EXPECT_EQ(f.Dispatched.size(), 2U);
  EXPECT_LE(f.Now, TimePoint(Second * 2) + Second * 5);
}

// A cold server's health report says "nothing in progress" while it still works
// on a request that timed out. If the owner believed it, the next request would
// be more than the server can handle.
TEST(ServiceOwnerTest, HealthOfAColdServerFreesNoSlot) {
  OwnerFixture f;
  f.give(OwnerFixture::request(1));
  f.Now += Second;
  f.end(1, DispatchOutcome::Failed, Second);
  f.Now += Second;
  f.give(HealthReported{ServerId("booking-1"), true, 0, InstanceId("a")});
  EXPECT_EQ(f.Owner->report(f.Now)[0].Abandoned, 1U);
}

// A server's health report is stuck at "not ready", but it answers well. If
// each report reset the ramp, the server would never get more than one request
// at a time.
TEST(ServiceOwnerTest, HealthStuckAtNotReadySlowsTheRampOnce) {
  OwnerFixture f;
  f.warm();
  HealthReported stuck{ServerId("booking-1"), false, 0, InstanceId("a")};
  f.give(stuck);
  EXPECT_EQ(f.Owner->report(f.Now)[0].Limit, 1U);
  for (uint64_t id = 1; id <= 60; ++id) {
    f.give(OwnerFixture::request(id));
    f.Now += Duration(100'000);
    f.end(id, DispatchOutcome::Answered);
    f.give(stuck);
  }
  EXPECT_EQ(f.Owner->report(f.Now)[0].Limit, 2U);
}

// A server is handed over while two requests of the previous owner still run
// there. The new owner used both slots at once, and the server shed the
// requests.
TEST(ServiceOwnerTest, InheritedWorkHoldsItsSlots) {
  OwnerFixture f;
  OwnedServer handed = f.Config.Servers[0];
  f.Config.Servers.clear();
  f.give(f.Config);
  handed.How = OwnedServer::Origin::HandedOver;
  handed.InProgress = 2;
  f.Config.Servers = {handed};
  f.give(f.Config);
  EXPECT_EQ(f.Owner->report(f.Now)[0].Abandoned, 2U);
  f.give(OwnerFixture::request(1));
  EXPECT_TRUE(f.Dispatched.empty());
  // The hold is bounded, since the previous owner's count may be out of date.
  f.Now += 3 * Second;
  f.give(Ticked());
  f.give(OwnerFixture::request(2));
  EXPECT_EQ(f.Dispatched.size(), 1U);
}

// Guards against a hand-over message with a huge count, which must not hold its
// receiver up or use up its memory.
TEST(ServiceOwnerTest, AHugeInheritedCountIsBounded) {
  OwnerFixture f;
  OwnedServer handed = f.Config.Servers[0];
  f.Config.Servers.clear();
  f.give(f.Config);
  handed.How = OwnedServer::Origin::HandedOver;
  handed.InProgress = UINT32_MAX;
  f.Config.Servers = {handed};
  f.give(f.Config);
  EXPECT_LE(f.Owner->report(f.Now)[0].Abandoned, 1024U);
}

// A daemon shuts down. Its callers' requests must end before it exits, so it is
// idle only when nothing is running.
TEST(ServiceOwnerTest, IdleOnceAllHaveEnded) {
  OwnerFixture f;
  f.give(OwnerFixture::request(1));
  f.give(ShutdownBegan());
  EXPECT_FALSE(f.Owner->idle());
  f.end(1, DispatchOutcome::Answered);
  EXPECT_TRUE(f.Owner->idle());
}

// Two long requests from unknown callers occupy both slots, and a lookup is
// queued. Once they are recognised as long work, the lookup is refused at once,
// so that it can go elsewhere; otherwise it was refused only at its deadline.
TEST(ServiceOwnerTest, QueuedRequestIsRefusedWhenLongWorkShows) {
  OwnerFixture f;
  f.warm();
  for (uint64_t id = 1; id <= 3; ++id) {
    RequestArrived r = OwnerFixture::request(id);
    r.Head.Caller.Value = id;
    f.give(r);
  }
  EXPECT_EQ(f.Endings[3], 0U);
  TimePoint arrived = f.Now;
  while (f.Endings[3] == 0 && f.Now < arrived + Second)
    f.pass(*f.Owner->nextWakeup() - f.Now);
  EXPECT_STREQ(reasonName(f.ending(3).Cause), "deadline-too-short");
  EXPECT_LE(f.Now - arrived, Second / 2);
}

// Hundreds of requests are refused in the same second. With the same retry time
// for all they would return as one burst and be refused again.
TEST(ServiceOwnerTest, RefusedCallersComeBackSpreadOut) {
  OwnerFixture f;
  f.warm();
  std::vector<Duration> after;
  for (uint64_t id = 1; id <= 200; ++id) {
    RequestArrived r = OwnerFixture::request(id);
    r.Head.Caller.Value = id;
    f.give(r);
    if (f.Endings[id] == 1)
      after.push_back(f.ending(id).RetryAfter);
  }
  std::sort(after.begin(), after.end());
  ASSERT_GT(after.size(), 100U);
  EXPECT_GE(after.front(), Duration(50'000));
  EXPECT_GT(after.back() - after.front(), Second * 2);
  // No more return in 100 ms than two slots can answer in ten times that.
  for (size_t n = 40; n < after.size(); ++n)
    EXPECT_GT(after[n] - after[n - 40], Duration(100'000));
}

/// Runs a random sequence of events and checks the invariants at each step.
void runRandomScenario(uint64_t seed, std::vector<std::string> *log) {
  SeededRandom random(seed);
  OwnerFixture f(OwnerSettings(), 2);
  f.Journal = log;
  std::map<uint64_t, uint32_t> running; // Server of each running dispatch.
  std::map<uint64_t, uint32_t> starts;
  // Requests of which a dispatch ended as Failed or Answered.
  std::map<uint64_t, bool> left;
  std::set<uint64_t> once;
  uint64_t next = 1;
  bool may = true;
  auto absorb = [&] {
    for (uint64_t id : f.Dispatched) {
      RC_ASSERT(may);
      RC_ASSERT(++starts[id] <= (once.count(id) ? 1U : 2U));
      running[id] = id % 2;
    }
    f.Dispatched.clear();
    for (uint32_t server : {0U, 1U}) {
      auto on = std::count_if(running.begin(), running.end(),
                              [=](auto &r) { return r.second == server; });
      RC_ASSERT(on <= 2);
    }
  };
  for (int n = 0; n < 300; ++n) {
    f.pass(Duration(random.below(60'000)));
    absorb();
    uint64_t choice = random.below(100);
    if (choice < 50) {
      RequestArrived r = OwnerFixture::request(next);
      r.Server = ServerId(next % 2 == 0 ? "booking-1" : "booking-2");
      r.Head.Caller.Value = random.below(4) + 1;
      r.Head.Remaining = Duration(random.below(1'500'000));
      r.NewFlow = random.below(2) == 0;
      if (random.below(2) == 0)
        r.Head.Kind = Semantics::Idempotent;
      else
        once.insert(next);
      ++next;
      f.give(r);
    } else if (choice < 85 && !running.empty()) {
      auto it = running.lower_bound(random.below(next));
      if (it == running.end())
        it = running.begin();
      uint64_t id = it->first;
      running.erase(it);
      uint64_t way = random.below(10);
      auto how = way < 6   ? DispatchOutcome::Answered
                 : way < 7 ? DispatchOutcome::Shed
                 : way < 8 ? DispatchOutcome::Unreachable
                           : DispatchOutcome::Failed;
      left[id] |=
          how == DispatchOutcome::Failed || how == DispatchOutcome::Answered;
      f.end(id, how, Duration(random.below(200'000)),
            random.below(20) == 0 ? std::to_string(n) : "a");
    } else if (choice < 90) {
      f.give(RequestCancelled{RequestId{random.below(next) + 1}});
    } else if (choice < 94) {
      may = !may;
      f.give(AuthorityChanged{may});
    } else if (choice < 96) {
      OwnedServer &server = f.Config.Servers[random.below(2)];
      server.DomainInService = !server.DomainInService;
      f.give(f.Config);
    }
    absorb();
  }
  // Lets running requests end and queued requests expire.
  for (int n = 0; n < 1000 && !f.Owner->idle(); ++n) {
    absorb();
    std::map<uint64_t, uint32_t> open;
    open.swap(running);
    for (const auto &[id, server] : open) {
      left[id] = true;
      f.end(id, DispatchOutcome::Answered);
    }
    absorb();
    f.pass(Duration(100'000));
  }
  RC_ASSERT(f.Owner->idle());
  for (uint64_t id = 1; id < next; ++id) {
    RC_ASSERT(f.Endings[id] == 1U);
    bool notRun = f.ending(id).Kind == OutcomeKind::NotRun ||
                  f.ending(id).Kind == OutcomeKind::GivenUp;
    RC_ASSERT(!(notRun && left[id]));
  }
}

// For any sequence of events, the slots are never exceeded, nothing is
// dispatched without authority, no request is lost, each ends exactly once, and
// "not run" is reported only if no dispatch was sent.
TEST(ServiceOwnerProperty, HoldsInRandomScenarios) {
  rc::detail::TestParams params;
  params.seed = 20240901;
  params.maxSuccess = 200;
  auto result = rc::detail::checkTestable(
      [](uint64_t seed) { runRandomScenario(seed, nullptr); },
      rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

// A replay must make the same decisions, or its result is meaningless.
TEST(ServiceOwnerProperty, SameEventsSameDecisions) {
  std::vector<std::string> first;
  std::vector<std::string> second;
  runRandomScenario(42, &first);
  runRandomScenario(42, &second);
  EXPECT_GT(first.size(), 300U);
  EXPECT_EQ(first, second);
}

} // namespace
} // namespace balsamrack

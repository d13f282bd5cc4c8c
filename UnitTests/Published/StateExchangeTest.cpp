#include <array>
#include <optional>

#include <gtest/gtest.h>

#include "UnitTests/Published/ExchangeSimulation.h"

namespace balsamrack {
namespace {

constexpr Duration Second{1'000'000};
/// Time within which a change must reach all daemons.
constexpr Duration MaxPropagationTime{3'000'000};

using Source = ExchangeSimulation::Source;

/// A failure that is present while the change is made.
struct Failure {
  const char *Name;
  std::function<void(ExchangeSimulation &)> Begin;
};

class EachFailure : public testing::TestWithParam<Failure> {};

// Operators drop a route while part of the fleet cannot read the publishing
// service, or has just lost its reader. No daemon may keep the old routes.
TEST_P(EachFailure, AChangeIsInForceEverywhereInTime) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ExchangeSimulation fleet(4, 2, seed);
    fleet.run(Second * 3);
    ASSERT_TRUE(fleet.allHoldVersion(1)) << "seed " << seed;
    GetParam().Begin(fleet);
    fleet.run(Second / 2);
    fleet.publish();
    fleet.run(MaxPropagationTime);
    EXPECT_TRUE(fleet.allHoldVersion(2)) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Failures, EachFailure,
    testing::Values(Failure{"None", [](ExchangeSimulation &) {}},
                    Failure{"AThirdIsRefused",
                            [](ExchangeSimulation &f) {
                              for (size_t i : {0, 3, 5})
                                f.Nodes[i].Reads = Source::Refuses;
                            }},
                    Failure{"AThirdGetsNoAnswer",
                            [](ExchangeSimulation &f) {
                              for (size_t i : {1, 2, 7})
                                f.Nodes[i].Reads = Source::Silent;
                            }},
                    Failure{"OnlyOneReads",
                            [](ExchangeSimulation &f) {
                              for (size_t i = 1; i < f.Nodes.size(); ++i)
                                f.Nodes[i].Reads = Source::Refuses;
                            }},
                    Failure{"TheReadersDie",
                            [](ExchangeSimulation &f) {
                              for (size_t i = 0; i < f.Nodes.size(); ++i)
                                if (f.Nodes[i].Exchange->isRegularReader())
                                  f.kill(i);
                            }},
                    Failure{"TheReadersAreRefused",
                            [](ExchangeSimulation &f) {
                              for (auto &node : f.Nodes)
                                if (node.Exchange->isRegularReader())
                                  node.Reads = Source::Refuses;
                            }},
                    Failure{"TheReadersGetNoAnswer",
                            [](ExchangeSimulation &f) {
                              for (auto &node : f.Nodes)
                                if (node.Exchange->isRegularReader())
                                  node.Reads = Source::Silent;
                            }},
                    Failure{"OneIsCutOffFromItsPeers",
                            [](ExchangeSimulation &f) {
                              f.Nodes[0].CutOff = true;
                            }}),
    [](const auto &info) { return std::string(info.param.Name); });

// A daemon restarts while the publishing service refuses its reads. It must get
// the state from its peers.
TEST(StateExchangeTest, RestartedDaemonCopiesStateFromItsPeers) {
  ExchangeSimulation fleet(2, 2, 1);
  fleet.run(Second * 3);
  fleet.Nodes[0].Reads = Source::Refuses;
  fleet.restart(0);
  fleet.run(Second);
  EXPECT_EQ(fleet.versionAt(0), 1U);
}

// A rollout replaces servers with ten changes per second. Guards against
// readers that call the service once for each change.
TEST(StateExchangeTest, ManyChangesOfServersCostFewReads) {
  ExchangeSimulation fleet(5, 4, 1);
  fleet.run(Second * 4);
  for (auto &node : fleet.Nodes)
    node.Calls = 0;
  for (int i = 0; i < 50; ++i) {
    fleet.changeServer();
    fleet.run(Second / 10);
  }
  uint64_t calls = 0;
  for (const auto &node : fleet.Nodes)
    calls += node.Calls;
  // Bound for five readers, with two reads of servers and half a read of
  // operators per second.
  EXPECT_LE(calls, 5U * 5 * 3);
}

// 85 daemons start together, and then one per second is restarted. Each lists
// the service by itself. Guards against broadcasts of these listings, which
// would send a copy of everything to its domain and to some other daemons; that
// load grows with the fleet and with the published state.
TEST(StateExchangeTest, StartsCostFewCopiesOfEverything) {
  ExchangeSimulation fleet(5, 17, 1);
  fleet.run(Second * 5);
  EXPECT_LE(fleet.ObjectsSent, fleet.Nodes.size() * 2);
  fleet.ObjectsSent = 0;
  for (size_t i = 0; i < 10; ++i) {
    fleet.restart(i * 7 % fleet.Nodes.size());
    fleet.run(Second);
  }
  EXPECT_LE(fleet.ObjectsSent, fleet.Nodes.size() / 2);
}

/// Limits on reads and messages per second and daemon, without changes.
struct Size {
  const char *Name;
  size_t Domains;
  size_t PerDomain;
  double MostReads;
  double MostMessages;
};

class EachSize : public testing::TestWithParam<Size> {};

// The load per daemon must not grow with the fleet.
TEST_P(EachSize, LoadPerDaemonIsBounded) {
  ExchangeSimulation fleet(GetParam().Domains, GetParam().PerDomain, 1);
  fleet.run(Second * 5);
  uint64_t calls = 0, messages = 0;
  for (auto &node : fleet.Nodes)
    node.Calls = node.Messages = 0;
  fleet.run(Second * 10);
  for (auto &node : fleet.Nodes) {
    calls += node.Calls;
    messages += node.Messages;
  }
  auto n = static_cast<double>(fleet.Nodes.size());
  double reads = static_cast<double>(calls) / 10 / n;
  double sent = static_cast<double>(messages) / 10 / n;
  printf("%s: %.2f reads and %.1f messages a second and daemon\n",
         GetParam().Name, reads, sent);
  EXPECT_LE(reads, GetParam().MostReads);
  EXPECT_LE(sent, GetParam().MostMessages);
}

INSTANTIATE_TEST_SUITE_P(Sizes, EachSize,
                         testing::Values(Size{"Eight", 4, 2, 0.55, 14},
                                         Size{"EightyFive", 5, 17, 0.1, 14},
                                         Size{"HundredFifty", 5, 30, 0.06, 14}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

/// Returns the calls of all daemons of a fleet in 20 s without changes.
uint64_t callsOfFleet(size_t domains, size_t perDomain) {
  ExchangeSimulation fleet(domains, perDomain, 1);
  fleet.run(Second * 8);
  for (auto &node : fleet.Nodes)
    node.Calls = 0;
  fleet.run(Second * 20);
  uint64_t calls = 0;
  for (auto &node : fleet.Nodes)
    calls += node.Calls;
  return calls;
}

// Guards against a load on the publishing service that grows with the number of
// daemons or failure domains.
TEST(StateExchangeTest, AFleetOfHundredsReadsAsOftenAsASmallOne) {
  EXPECT_LE(callsOfFleet(6, 49), 2 * callsOfFleet(3, 3));
}

// When a whole fleet starts, each daemon could act as a reader until it knows
// its peers. Guards against the resulting number of watches.
TEST(StateExchangeTest, SimultaneousStartCostsFewWatches) {
  ExchangeSimulation fleet(6, 49, 1);
  fleet.run(Second * 3);
  uint64_t watches = 0;
  for (auto &node : fleet.Nodes)
    watches += node.Watches;
  EXPECT_LE(watches, fleet.Nodes.size() / 4);
}

/// A partition.
struct Cut {
  const char *Name;
  std::function<bool(const ExchangeSimulation::Node &,
                     const ExchangeSimulation::Node &)>
      Reaches;
};

class EachCut : public testing::TestWithParam<Cut> {};

// Guards against a failure domain that keeps old routes during a partition
// although it can still reach the publishing service.
TEST_P(EachCut, AChangeIsInForceOnAllSides) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    ExchangeSimulation fleet(6, 4, seed);
    fleet.run(Second * 5);
    ASSERT_TRUE(fleet.allHoldVersion(1)) << "seed " << seed;
    fleet.Reaches = GetParam().Reaches;
    for (uint64_t version = 2; version <= 4; ++version) {
      fleet.run(Duration(100'000 + 300'000 * static_cast<int64_t>(version)));
      fleet.publish();
      fleet.run(MaxPropagationTime);
      EXPECT_TRUE(fleet.allHoldVersion(version))
          << "seed " << seed << " version " << version;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, EachCut,
    testing::Values(Cut{"OneDomainAlone",
                        [](const auto &a, const auto &b) {
                          return (a.Vm.Domain == DomainId("d2")) ==
                                 (b.Vm.Domain == DomainId("d2"));
                        }},
                    Cut{"Halves",
                        [](const auto &a, const auto &b) {
                          return (a.Vm.Domain < DomainId("d3")) ==
                                 (b.Vm.Domain < DomainId("d3"));
                        }},
                    Cut{"TwoThatAThirdReaches",
                        [](const auto &a, const auto &b) {
                          auto pair =
                              std::minmax(a.Vm.Domain.str(), b.Vm.Domain.str());
                          return pair.first != "d0" || pair.second != "d1";
                        }},
                    Cut{"OneWayOnly",
                        [](const auto &a, const auto &b) {
                          return a.Vm.Domain == b.Vm.Domain ||
                                 a.Vm.Domain != DomainId("d4");
                        }}),
    [](const auto &info) { return std::string(info.param.Name); });

/// An outage of the publishing service.
struct Outage {
  const char *Name;
  bool All; ///< True: it refuses all daemons; false: only the regular readers.
};

class EachOutage : public testing::TestWithParam<Outage> {};

/// Returns the calls of all daemons of a fleet during an outage of eight
/// seconds and a rollout of ten seconds after it.
uint64_t callsInOutage(size_t domains, size_t perDomain, bool ofAll,
                       uint64_t seed) {
  ExchangeSimulation fleet(domains, perDomain, seed);
  fleet.run(Second * 8);
  for (auto &node : fleet.Nodes) {
    node.Calls = 0;
    if (ofAll || node.Exchange->isRegularReader())
      node.Reads = Source::Refuses;
  }
  fleet.run(Second * 8);
  for (auto &node : fleet.Nodes)
    node.Reads = Source::Good;
  for (int i = 0; i < 40; ++i) {
    fleet.changeServer();
    fleet.run(Second / 4);
  }
  uint64_t calls = 0;
  for (const auto &node : fleet.Nodes)
    calls += node.Calls;
  return calls;
}

// Guards against all daemons calling an unavailable service, and against
// daemons that keep reading after it has recovered, synchronized by a rollout
// whose changes wake all of them at once.
TEST_P(EachOutage, CostsAFleetOfHundredsAsFewCallsAsASmallOne) {
  for (uint64_t seed : {1, 2, 3}) {
    uint64_t large = callsInOutage(6, 49, GetParam().All, seed);
    uint64_t small = callsInOutage(3, 3, GetParam().All, seed);
    EXPECT_LE(large, 2 * small) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Outages, EachOutage,
                         testing::Values(Outage{"OfAll", true},
                                         Outage{"OfTheReaders", false}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// The service drops its history during a rollout, so that listings replace
// watches. Guards against sending each full listing to the whole fleet.
TEST(StateExchangeTest, ListingAfterALostHistorySendsOnlyChanges) {
  constexpr int Servers = 200, Changes = 8;
  // Two readers, each with two relays per domain, and a factor of two for
  // answers.
  constexpr size_t CopiesOfAll = 8;
  ExchangeSimulation fleet(4, 8, 1);
  for (int i = 0; i < Servers; ++i)
    fleet.changeServer("i-" + std::to_string(i));
  fleet.run(Second * 6);
  fleet.ObjectsSent = 0;
  fleet.HistoryDropped = true;
  for (int i = 0; i < Changes; ++i) {
    fleet.changeServer("i-" + std::to_string(i));
    fleet.run(Second / 2);
  }
  fleet.HistoryDropped = false;
  fleet.run(Second * 3);
  EXPECT_LE(fleet.ObjectsSent, CopiesOfAll * Changes * fleet.Nodes.size());
  for (const auto &node : fleet.Nodes)
    EXPECT_EQ(node.Exchange->store().presentHash(PublishedSection::Servers),
              fleet.Nodes[0].Exchange->store().presentHash(
                  PublishedSection::Servers));
}

/// An exchange without peers, whose reads the test answers.
class ReadsOfOneDaemon {
public:
  ReadsOfOneDaemon() {
    for (PublishedSection section : AllSections)
      complete(section);
  }
  /// Returns the read of \p section that is in progress, if any.
  std::optional<PublishedRead> started(PublishedSection section) {
    for (const StateExchangeAction &it : Exchange.tick(Now))
      if (const auto *start = std::get_if<StartRead>(&it))
        InProgress[static_cast<size_t>(start->Read.Section)] = start->Read;
    return InProgress[static_cast<size_t>(section)];
  }
  void finish(PublishedSection section,
              const absl::StatusOr<PublishedChanges> &result) {
    auto &read = InProgress[static_cast<size_t>(section)];
    auto actions =
        Exchange.handleReadResult(Now, *std::exchange(read, {}), result);
    for (const StateExchangeAction &it : actions)
      if (const auto *start = std::get_if<StartRead>(&it))
        InProgress[static_cast<size_t>(start->Read.Section)] = start->Read;
  }

  TimePoint Now{Second};
  SeededRandom Random{1};
  StateExchange Exchange{
      {}, {VmId("vm-1"), DomainId("a"), {"10.0.0.1", 7946}, false}, Random};

private:
  void complete(PublishedSection section) {
    while (Exchange.store().completeRevision(section) == Revision{}) {
      Now += Second;
      if (started(section))
        finish(section, PublishedChanges{section, {}, {7}, {}});
    }
  }
  std::array<std::optional<PublishedRead>, PublishedSections> InProgress;
};

class EachFailedSection : public testing::TestWithParam<PublishedSection> {};

// The reads of one section fail again and again, each after a second. Guards
// against leaving the other section unread meanwhile.
TEST_P(EachFailedSection, KeepsNoOtherFromBeingRead) {
  const PublishedSection failed = GetParam();
  const PublishedSection other = failed == PublishedSection::Servers
                                     ? PublishedSection::Operators
                                     : PublishedSection::Servers;
  ReadsOfOneDaemon daemon;
  uint64_t revision = 7;
  for (int i = 0; i < 20; ++i) {
    daemon.Now += Second;
    if (daemon.started(failed))
      daemon.finish(failed, absl::UnavailableError("status 503"));
    auto read = daemon.started(other);
    ASSERT_TRUE(read) << "after " << i << " s";
    daemon.finish(other,
                  PublishedChanges{other, read->After, {++revision}, {}});
  }
}

INSTANTIATE_TEST_SUITE_P(Sections, EachFailedSection,
                         testing::ValuesIn(AllSections), [](const auto &info) {
                           return std::string(sectionName(info.param));
                         });

class EachUselessWatch : public testing::TestWithParam<absl::StatusCode> {};

// The service answers a watch with what this daemon cannot use. Guards against
// repeating the same watch, which gets the same answer.
TEST_P(EachUselessWatch, IsReplacedByAListing) {
  for (PublishedSection section : AllSections) {
    ReadsOfOneDaemon daemon;
    do
      daemon.Now += Second;
    while (!daemon.started(section));
    ASSERT_NE(daemon.started(section)->After, Revision{});
    daemon.finish(section, absl::Status(GetParam(), ""));
    daemon.Now += Second / 20;
    auto read = daemon.started(section);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->After, Revision{});
    EXPECT_FALSE(read->AllowStale);
  }
}

INSTANTIATE_TEST_SUITE_P(Codes, EachUselessWatch,
                         testing::Values(absl::StatusCode::kOutOfRange,
                                         absl::StatusCode::kResourceExhausted,
                                         absl::StatusCode::kInvalidArgument),
                         [](const auto &info) {
                           return absl::StatusCodeToString(info.param);
                         });

// The pages of a listing arrive over three seconds. Guards against taking its
// end for the time at which the first page was the newest.
TEST(StateExchangeTest, AListingIsVerifiedAsOfItsStart) {
  SeededRandom random(1);
  StateExchange exchange(
      {}, {VmId("vm-1"), DomainId("a"), {"10.0.0.1", 7946}, false}, random);
  constexpr auto Operators = PublishedSection::Operators;
  auto readAt = [&](TimePoint now) {
    for (const StateExchangeAction &it : exchange.tick(now))
      if (const auto *start = std::get_if<StartRead>(&it))
        if (start->Read.Section == Operators)
          return start->Read;
    return PublishedRead();
  };
  TimePoint now(Second);
  exchange.handleReadResult(now, readAt(now), absl::UnavailableError(""));
  now += Second * 10;
  PublishedRead listing = readAt(now);
  ASSERT_FALSE(listing.AllowStale);
  ASSERT_EQ(listing.After, Revision{});
  exchange.handleReadResult(now + Second * 3, listing,
                            PublishedChanges{Operators, {}, {7}, {}});
  EXPECT_EQ(exchange.verifiedAt(Operators), now);
}

// Guards against a peer's message with a negative age: the daemon must not take
// its state for verified in the future, and stop reading.
TEST(StateExchangeTest, ANegativeAgeVerifiesNothing) {
  ExchangeSimulation fleet(1, 2, 1);
  fleet.run(Second * 3);
  StateExchange &exchange = *fleet.Nodes[0].Exchange;
  PublishedDigest digest;
  for (PublishedSection section : AllSections) {
    SectionDigest one;
    one.CompleteUpTo = exchange.store().completeRevision(section);
    one.Age = Duration::min() / 4;
    digest.Digests.push_back(one);
  }
  exchange.handleDigest(fleet.Now, fleet.Nodes[1].Vm, digest);
  for (PublishedSection section : AllSections)
    EXPECT_LE(exchange.verifiedAt(section), fleet.Now);
}

/// Behaviour of the service while daemons start.
struct Start {
  const char *Name;
  Source Reads;
};

class EachStart : public testing::TestWithParam<Start> {};

// Guards against daemons that busy-wait for the service to recover or for their
// peers to become known.
TEST_P(EachStart, DaemonDoesNotBusyWait) {
  ExchangeSimulation fleet(2, 2, 1);
  for (size_t i = 0; i < fleet.Nodes.size(); ++i) {
    fleet.Nodes[i].Reads = GetParam().Reads;
    fleet.restart(i);
  }
  fleet.run(Second * 5);
  EXPECT_EQ(fleet.BusyTicks, 0U);
}

INSTANTIATE_TEST_SUITE_P(Starts, EachStart,
                         testing::Values(Start{"Good", Source::Good},
                                         Start{"Refuses", Source::Refuses},
                                         Start{"Silent", Source::Silent}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

} // namespace
} // namespace balsamrack

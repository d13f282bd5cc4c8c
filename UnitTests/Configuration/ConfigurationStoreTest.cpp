#include "Balsamrack/Configuration/ConfigurationStore.h"

#include <algorithm>
#include <cstdlib>

#include "Balsamrack/Configuration/TicketCheck.h"
#include "Balsamrack/Configuration/TicketCodec.h"
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace balsamrack {
namespace {

/// The same cases in every run, so that the result is reproducible.
const int FixedSeed = setenv("RC_PARAMS", "seed=20030131", 0);

ObjectState domainState(const std::string &name, uint64_t ticket, bool in) {
  return {{ObjectKind::Domain, name},
          TicketNumber{ticket},
          FailureDomain{DomainId(name), RegionId("r"), in}};
}

ObjectState serviceState(const std::string &name, uint64_t ticket,
                         uint16_t port) {
  Service service;
  service.Id = ServiceId(name);
  service.Ports = {port};
  return {{ObjectKind::Service, name}, TicketNumber{ticket}, service};
}

/// Few names and numbers, so that collisions are frequent. The state is a
/// function of name and number, as for tickets of one platform.
ObjectState stateOf(int name, uint64_t number) {
  std::string id(1, static_cast<char>('a' + name % 5));
  if (stableHash(id, number) % 4 == 0)
    return {{ObjectKind::Domain, id}, TicketNumber{number}, std::monostate()};
  return domainState(id, number, stableHash(id, number) % 2 == 0);
}

rc::Gen<std::vector<ObjectState>> anyStates() {
  return rc::gen::container<std::vector<ObjectState>>(rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange<uint64_t>(1, 8)),
      [](const std::pair<int, uint64_t> &p) {
        return stateOf(p.first, p.second);
      }));
}

std::string serialize(const ConfigurationStore &store) {
  std::string text;
  for (const ObjectState &object : store.objects())
    text += objectToJson(object).dump() + "\n";
  return text;
}

std::unique_ptr<ConfigurationStore>
storeOf(const std::vector<ObjectState> &states) {
  auto store = ConfigurationStore::create();
  store->merge(states);
  return store;
}

TEST(ConfigurationStoreTest, MergeIsCommutativeAssociativeIdempotent) {
  EXPECT_TRUE(rc::check([] {
    auto one = *anyStates();
    auto two = *anyStates();
    auto oneThenTwo = storeOf(one);
    oneThenTwo->merge(two);
    auto twoThenOne = storeOf(two);
    twoThenOne->merge(one);
    twoThenOne->merge(two);
    auto combined = one;
    combined.insert(combined.end(), two.begin(), two.end());
    auto mergedAtOnce = storeOf(combined);
    RC_ASSERT(serialize(*oneThenTwo) == serialize(*twoThenOne));
    RC_ASSERT(serialize(*oneThenTwo) == serialize(*mergedAtOnce));
    RC_ASSERT(oneThenTwo->digest().Hash == mergedAtOnce->digest().Hash);
    RC_ASSERT(oneThenTwo->digest().Highest == twoThenOne->digest().Highest);
    RC_ASSERT(oneThenTwo->merge(one).Changed.empty());
  }));
}

TEST(ConfigurationStoreTest, NothingEverReverts) {
  EXPECT_TRUE(rc::check([] {
    auto store = ConfigurationStore::create();
    std::map<ObjectKey, TicketNumber> held;
    for (const ObjectState &state : *anyStates()) {
      store->merge({state});
      for (const ObjectState &object : store->objects()) {
        RC_ASSERT(object.Ticket >= held[object.Key]);
        held[object.Key] = object.Ticket;
      }
    }
  }));
}

TEST(ConfigurationStoreTest, TwoStoresConvergeInOneExchange) {
  EXPECT_TRUE(rc::check([] {
    auto one = storeOf(*anyStates());
    auto two = storeOf(*anyStates());
    for (const StateUpdate &update : one->updatesFor(two->request(), 600))
      two->merge(update.Objects);
    for (const StateUpdate &update : two->updatesFor(one->request(), 600))
      one->merge(update.Objects);
    RC_ASSERT(serialize(*one) == serialize(*two));
    RC_ASSERT(one->digest().Hash == two->digest().Hash);
  }));
}

// A failure domain was taken out of service by ticket 9. The platform fails
// over to a lagging replica that shows ticket 4, which has the domain in
// service. Applying it would route packets to the domain again.
TEST(ConfigurationStoreTest, IgnoresOutdatedPlatformData) {
  auto store = storeOf({domainState("bern-a", 9, false)});
  EXPECT_TRUE(store->merge({domainState("bern-a", 4, true)}).Changed.empty());
  EXPECT_FALSE(store->view()->isDomainInService(DomainId("bern-a")));
  EXPECT_EQ(store->digest().Highest, TicketNumber{9});
}

// A joining daemon requests missing objects from a peer and the connection
// breaks halfway. It must not claim the highest ticket while objects of lower
// ones are missing.
TEST(ConfigurationStoreTest, SendsTheLowestTicketsFirst) {
  auto full = storeOf({domainState("a", 3, true), domainState("b", 1, true),
                       domainState("c", 2, true)});
  auto asker = ConfigurationStore::create();
  auto updates = full->updatesFor(asker->request(), 1);
  ASSERT_EQ(updates.size(), 3U);
  asker->merge(updates[0].Objects);
  EXPECT_TRUE(asker->isInForce(TicketNumber{1}));
  EXPECT_FALSE(asker->isInForce(TicketNumber{3}));
}

// An operator gives the archive service the port of the booking service by
// mistake. Packets for booking must not reach the archive, whichever ticket a
// daemon received first.
TEST(ConfigurationStoreTest, PortOfTwoServicesBelongsToNeither) {
  auto store = storeOf({serviceState("booking", 1, 7001)});
  ASSERT_NE(store->view()->serviceAtPort(7001), nullptr);
  auto merged = store->merge({serviceState("archive", 2, 7001)});
  EXPECT_EQ(merged.View->serviceAtPort(7001), nullptr);
  EXPECT_EQ(configurationWarnings(*merged.View).size(), 1U);
}

TEST(ConfigurationStoreTest, PreviewsTheChangesOfATicket) {
  using Kind = ObjectChange::Kind;
  auto store = storeOf({domainState("a", 5, true), domainState("b", 1, true)});
  Ticket ticket{TicketNumber{3}, {}};
  for (const char *name : {"a", "b", "c"})
    ticket.Objects.push_back(domainState(name, 3, false));
  auto changes = store->previewChanges(ticket);
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(changes[0].Change, Kind::Superseded);
  EXPECT_EQ(changes[1].Change, Kind::Changed);
  EXPECT_EQ(changes[2].Change, Kind::Created);
}

TEST(ConfigurationViewTest, KeepsServersOfServicesApart) {
  BackendServer server;
  server.Id = ServerId("booking-01");
  server.Service = ServiceId("booking");
  server.Domain = DomainId("bern-a");
  auto view =
      storeOf({{{ObjectKind::Server, "booking-01"}, TicketNumber{1}, server}})
          ->view();
  EXPECT_EQ(view->serversOf(ServiceId("booking")).size(), 1U);
  EXPECT_TRUE(view->serversOf(ServiceId("archive")).empty());
  EXPECT_EQ(view->serversIn(DomainId("bern-a")).size(), 1U);
  EXPECT_EQ(configurationWarnings(*view).size(), 2U);
}

} // namespace
} // namespace balsamrack

#include "Balsamrack/Published/PublishedStore.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"

namespace balsamrack {
namespace {

constexpr auto Section = PublishedSection::Servers;

PublishedObject server(const std::string &id, uint64_t at) {
  auto s = std::make_shared<PublishedServer>();
  s->Server.Id = ServerId(id);
  s->Born = at;
  return {Section, id, {at}, std::shared_ptr<const PublishedServer>(s)};
}

PublishedObject goneServer(const std::string &id, uint64_t at) {
  return {Section, id, {at}, std::monostate()};
}

std::map<std::string, uint64_t> held(const PublishedStore &store) {
  std::map<std::string, uint64_t> all;
  for (const PublishedObject &object : store.objects(Section))
    all[object.Name] = object.At.Value;
  return all;
}

TEST(PublishedStoreTest, ListingAddsAndDeletesObjects) {
  PublishedStore store;
  store.merge({Section, {}, {10}, {server("a", 3), server("b", 4)}});
  auto changed =
      store.merge({Section, {}, {20}, {server("b", 4), server("c", 15)}});
  EXPECT_EQ(held(store),
            (std::map<std::string, uint64_t>{{"b", 4}, {"c", 15}}));
  ASSERT_EQ(changed.size(), 2U);
  EXPECT_EQ(store.completeRevision(Section), Revision{20});
}

// A daemon returns from a partition and sends a server that was deleted long
// ago. Its address may belong to another service by now, so it must not be
// restored.
TEST(PublishedStoreTest, StaleListingDoesNotRestoreDeletedObjects) {
  PublishedStore fresh;
  fresh.merge({Section, {}, {20}, {server("b", 4)}});
  EXPECT_TRUE(fresh.merge({Section, {}, {10}, {server("a", 3), server("b", 4)}})
                  .empty());
  EXPECT_EQ(held(fresh).count("a"), 0U);
  EXPECT_EQ(fresh.completeRevision(Section), Revision{20});
}

TEST(PublishedStoreTest, AGapDoesNotComplete) {
  PublishedStore store;
  store.merge({Section, {}, {10}, {server("a", 3)}});
  store.merge({Section, {15}, {20}, {server("c", 18)}});
  EXPECT_EQ(store.completeRevision(Section), Revision{10});
  EXPECT_EQ(held(store).count("c"), 1U);
  store.merge({Section, {10}, {20}, {goneServer("a", 12), server("c", 18)}});
  EXPECT_EQ(store.completeRevision(Section), Revision{20});
  EXPECT_EQ(held(store).count("a"), 0U);
}

TEST(PublishedStoreTest, ChangesAfterARevisionIncludeDeletions) {
  PublishedStore store;
  store.merge({Section, {}, {10}, {server("a", 3), server("b", 4)}});
  store.merge({Section, {10}, {12}, {goneServer("a", 12)}});
  PublishedStore peer;
  peer.merge({Section, {}, {10}, {server("a", 3), server("b", 4)}});
  peer.merge(store.changesAfter(Section, {10}));
  EXPECT_EQ(held(peer), held(store));
  EXPECT_EQ(peer.completeRevision(Section), Revision{12});
}

// Operators drop a route while a daemon is partitioned from the store. Another
// daemon, which started later from a listing, never knew the route. When the
// first requests changes from it, the answer must be a full listing: with an
// empty list of changes, the first one considered itself complete and kept
// serving the dropped route.
TEST(PublishedStoreTest, StoreWithOnlyAListingAnswersWithAFullListing) {
  PublishedStore cutOff;
  cutOff.merge({Section, {}, {10}, {server("a", 3), server("b", 4)}});
  PublishedStore fresh;
  fresh.merge({Section, {}, {20}, {server("b", 4)}});
  cutOff.merge(fresh.changesAfter(Section, {10}));
  EXPECT_EQ(held(cutOff), (std::map<std::string, uint64_t>{{"b", 4}}));
  EXPECT_EQ(cutOff.completeRevision(Section), Revision{20});
}

// As above, but the daemons only compare their last changes. The deletion is
// not among the changes of the daemon that started from a listing, so both must
// not be taken for equal.
TEST(PublishedStoreTest, NewerListingDoesNotCompleteAnOlderState) {
  PublishedStore cutOff;
  cutOff.merge({Section, {}, {4}, {server("a", 3)}});
  cutOff.merge({Section, {4}, {10}, {server("b", 5)}});
  PublishedStore fresh;
  fresh.merge({Section, {}, {20}, {server("b", 5)}});
  EXPECT_FALSE(cutOff.extendCompleteness(Section, fresh.lastChange(Section),
                                         {20}, fresh.presentHash(Section)));
  EXPECT_EQ(cutOff.completeRevision(Section), Revision{10});
}

// A daemon starts with a listing that is slightly newer than the state of its
// peers, without any change in between. Guards against the load of sending
// everything to the peers.
TEST(PublishedStoreTest, TheSameObjectsCompleteWithoutATransfer) {
  PublishedStore store;
  store.merge({Section, {}, {10}, {server("a", 3), server("b", 4)}});
  store.merge({Section, {10}, {12}, {goneServer("a", 12), server("c", 11)}});
  PublishedStore fresh;
  fresh.merge({Section, {}, {20}, {server("b", 4), server("c", 11)}});
  EXPECT_EQ(store.presentHash(Section), fresh.presentHash(Section));
  EXPECT_TRUE(store.extendCompleteness(Section, fresh.lastChange(Section), {20},
                                       fresh.presentHash(Section)));
  EXPECT_EQ(store.completeRevision(Section), Revision{20});
  // Changes between 12 and 20 are unknown, so the answer is a full listing.
  EXPECT_EQ(store.changesAfter(Section, {15}).After, Revision{});
}

// A daemon receives more deletions beyond a gap than it keeps tombstones for.
// If it dropped some of them, an older listing would restore a deleted server.
TEST(PublishedStoreTest, TombstonesBeyondAGapAreKept) {
  PublishedStore store;
  store.merge({Section, {}, {10}, {server("a", 3)}});
  PublishedChanges far{Section, {2000}, {4000}, {goneServer("a", 2500)}};
  for (uint64_t i = 0; i <= PublishedStore::MaxTombstones; ++i) {
    std::string id = "s" + std::to_string(i);
    far.Objects.push_back(server(id, 2501 + i));
    far.Objects.push_back(goneServer(id, 4001 + i));
  }
  store.merge(far);
  store.merge({Section, {}, {2000}, {server("a", 1500)}});
  EXPECT_EQ(held(store).count("a"), 0U);
}

TEST(PublishedStoreTest, PeerThatLagsTooFarGetsAFullListing) {
  PublishedStore store;
  store.merge({Section, {}, {10}, {server("kept", 1)}});
  uint64_t at = 10;
  for (size_t i = 0; i < PublishedStore::MaxTombstones + 50; ++i) {
    std::string id = "s" + std::to_string(i);
    store.merge({Section, {at}, {at + 1}, {server(id, at + 1)}});
    store.merge({Section, {at + 1}, {at + 2}, {goneServer(id, at + 2)}});
    at += 2;
  }
  PublishedChanges all = store.changesAfter(Section, {10});
  EXPECT_EQ(all.After, Revision{});
  EXPECT_EQ(all.Objects.size(), 1U);
  EXPECT_NE(store.changesAfter(Section, {at - 10}).After, Revision{});
}

TEST(PublishedStoreTest, SameNewestChangeCompletesWithoutATransfer) {
  PublishedStore store;
  store.merge({Section, {}, {10}, {server("a", 3)}});
  EXPECT_FALSE(store.extendCompleteness(Section, {11}, {30}, 0));
  EXPECT_EQ(store.completeRevision(Section), Revision{10});
  EXPECT_TRUE(store.extendCompleteness(Section, {3}, {20}, 0));
  // A change that the listing at 10 covers, such as a deletion.
  EXPECT_TRUE(store.extendCompleteness(Section, {5}, {30}, 0));
  EXPECT_EQ(store.completeRevision(Section), Revision{30});
}

// Changes arrive in any order, repeatedly, in listings and in partial lists.
// All daemons must end in the same state, and no object may return to an
// earlier revision.
TEST(PublishedStoreTest, AnyOrderOfUpdatesEndsTheSame) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SeededRandom random(seed);
    PublishedStore truth;
    std::vector<PublishedChanges> updates;
    uint64_t at = 1;
    truth.merge({Section, {}, {at}, {}});
    for (int i = 0; i < 40; ++i) {
      uint64_t from = at;
      PublishedChanges change{Section, {from}, {}, {}};
      for (uint64_t n = 1 + random.below(3); n > 0; --n) {
        std::string id = "s" + std::to_string(random.below(6));
        ++at;
        change.Objects.push_back(random.below(3) == 0 ? goneServer(id, at)
                                                      : server(id, at));
      }
      change.UpTo = {at};
      truth.merge(change);
      updates.push_back(change);
      if (random.below(5) == 0)
        updates.push_back(truth.changesAfter(Section, {}));
    }
    PublishedStore store;
    std::map<std::string, uint64_t> seen;
    for (int i = 0; i < 300; ++i) {
      size_t pick = random.below(updates.size());
      for (const PublishedObject &object : store.merge(updates[pick])) {
        EXPECT_GT(object.At.Value, seen[object.Name]);
        seen[object.Name] = object.At.Value;
      }
    }
    store.merge(truth.changesAfter(Section, store.completeRevision(Section)));
    EXPECT_EQ(held(store), held(truth)) << "seed " << seed;
  }
}

/// Returns the answer of \p peer to \p asker in a comparison by \p buckets
/// buckets.
PublishedChanges differences(const PublishedStore &asker,
                             const PublishedStore &peer, uint32_t buckets) {
  return peer.differencesFrom(Section, asker.bucketHashes(Section, buckets), 0,
                              PublishedStore::MaxTombstones);
}

class EachBucketCount : public testing::TestWithParam<uint32_t> {};

// Guards against a deleted server that remains at a daemon which updates by
// buckets, and against the loss of a server that is newer there.
TEST_P(EachBucketCount, DifferencesContainAdditionsAndDeletions) {
  PublishedStore peer;
  peer.merge({Section, {}, {20}, {server("b", 4), server("c", 15)}});
  PublishedStore asker;
  asker.merge({Section, {}, {10}, {server("a", 3), server("b", 4)}});
  asker.merge({Section, {21}, {25}, {server("new", 25)}});
  asker.merge(differences(asker, peer, GetParam()));
  EXPECT_EQ(held(asker), (std::map<std::string, uint64_t>{
                             {"b", 4}, {"c", 15}, {"new", 25}}));
  EXPECT_EQ(asker.completeRevision(Section), Revision{10});
}

// Guards against a daemon that copies all servers by buckets after its start,
// but never considers itself complete.
TEST_P(EachBucketCount, EmptyStoreIsCompletedByTheHash) {
  PublishedStore peer;
  peer.merge({Section, {}, {20}, {server("b", 4), server("c", 15)}});
  PublishedStore starter;
  starter.merge(differences(starter, peer, GetParam()));
  EXPECT_EQ(starter.completeRevision(Section), Revision{});
  EXPECT_TRUE(starter.extendCompleteness(Section, peer.lastChange(Section),
                                         {20}, peer.presentHash(Section)));
  EXPECT_EQ(held(starter), held(peer));
  // It does not know about earlier deletions.
  EXPECT_EQ(starter.historyFrom(Section), Revision{20});
}

// With a size limit, each answer holds only some of the differences. Guards
// against a sequence of answers that never ends or omits objects.
TEST_P(EachBucketCount, BoundedAnswersEndInTheSameState) {
  constexpr size_t Most = 5;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    SeededRandom random(seed);
    PublishedStore peer, asker;
    peer.merge({Section, {}, {1}, {}});
    asker.merge({Section, {}, {1}, {}});
    uint64_t at = 1;
    for (int i = 0; i < 200; ++i) {
      std::string id = "s" + std::to_string(random.below(100));
      ++at;
      PublishedChanges change{
          Section,
          {at - 1},
          {at},
          {random.below(3) == 0 ? goneServer(id, at) : server(id, at)}};
      peer.merge(change);
      if (random.below(3) == 0)
        asker.merge(change);
    }
    size_t rounds = 0;
    while (asker.presentHash(Section) != peer.presentHash(Section) &&
           rounds++ < 100) {
      auto first = static_cast<uint32_t>(random.below(GetParam()));
      asker.merge(peer.differencesFrom(
          Section, asker.bucketHashes(Section, GetParam()), first, Most));
    }
    EXPECT_EQ(held(asker), held(peer)) << "seed " << seed;
    EXPECT_TRUE(asker.extendCompleteness(Section, peer.lastChange(Section),
                                         peer.completeRevision(Section),
                                         peer.presentHash(Section)));
  }
}

INSTANTIATE_TEST_SUITE_P(Counts, EachBucketCount,
                         testing::Values(1, 16, PublishedStore::MaxBuckets),
                         [](const auto &info) {
                           return std::to_string(info.param);
                         });

} // namespace
} // namespace balsamrack

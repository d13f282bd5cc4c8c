#include "platform/StoreReader.h"

#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "Balsamrack/Published/PublishedStore.h"
#include "absl/strings/str_cat.h"
#include "platform/standins/StandInStore.h"

namespace balsamrack::platform {
namespace {

constexpr auto Servers = PublishedSection::Servers;

std::string server(const std::string &state) {
  return absl::StrCat(
      R"({"service":"booking","address":"10.0.0.1:8080","zone":"bern-a",)",
      R"("version":"v1","slots":2,"coldLeftMs":0,"seq":1,"state":")", state,
      R"("})");
}

std::string serverKey(char name) {
  return absl::StrCat("servers/i-", std::string(1, name));
}

/// A reader of a stand-in with servers i-a to i-f and two items a page.
class StoreReaderTest : public testing::Test {
protected:
  void SetUp() override {
    auto store = StandInStore::create({"127.0.0.1", 0});
    ASSERT_TRUE(store.ok()) << store.status();
    Store = *std::move(store);
    Store->setPageSize(2);
    for (char name = 'a'; name <= 'f'; ++name)
      Store->put(serverKey(name), server("ready"));
    auto reader = StoreReader::create(Store->at());
    ASSERT_TRUE(reader.ok()) << reader.status();
    Reader = *std::move(reader);
  }

  absl::StatusOr<PublishedChanges> read(const PublishedRead &read) {
    std::promise<absl::StatusOr<PublishedChanges>> result;
    Reader->read(read, [&](absl::StatusOr<PublishedChanges> it) {
      result.set_value(std::move(it));
    });
    return result.get_future().get();
  }
  PublishedChanges list(bool allowStale) {
    PublishedRead listing;
    listing.Section = Servers;
    listing.AllowStale = allowStale;
    auto result = read(listing);
    EXPECT_TRUE(result.ok()) << result.status();
    return result.ok() ? *std::move(result) : PublishedChanges();
  }
  /// What a daemon holds once it has merged \p listing and watched from there.
  std::vector<std::string> watchFrom(const PublishedChanges &listing) {
    PublishedStore held;
    held.merge(listing);
    PublishedRead watch;
    watch.Section = Servers;
    watch.After = held.completeRevision(Servers);
    auto changes = read(watch);
    EXPECT_TRUE(changes.ok()) << changes.status();
    if (changes.ok())
      held.merge(*changes);
    std::vector<std::string> all;
    for (const PublishedObject &it : held.objects(Servers))
      all.push_back(absl::StrCat(it.Name, " of ", it.At.Value));
    return all;
  }

  std::unique_ptr<StandInStore> Store;
  std::unique_ptr<StoreReader> Reader;
};

// Another writer leaves large entries at once. Guards against a watch whose
// answer takes all memory, or fails as if the store were unavailable; a listing
// passes over them.
TEST_F(StoreReaderTest, AWatchWithATooLargeAnswerIsReported) {
  PublishedRead watch;
  watch.Section = Servers;
  watch.After = list(false).UpTo;
  const std::string foreign(1 << 20, 'x');
  for (char name : {'1', '2', '3'})
    Store->put(serverKey(name), foreign);
  Store->put(serverKey('a'), server("draining"));
  auto changes = read(watch);
  EXPECT_EQ(changes.status().code(), absl::StatusCode::kResourceExhausted);
  EXPECT_EQ(watchFrom(list(false)).size(), 6U);
  EXPECT_EQ(Reader->unreadable(), 3U);
}

struct StalePages {
  const char *Name;
  std::vector<bool> IsStale; ///< By page.
};

class EachStalePage : public StoreReaderTest,
                      public testing::WithParamInterface<StalePages> {};

// Replicas of different age answer the pages of a listing. Guards against
// taking the revision of one page for that of all: what was written in between
// to the keys of an older page is then never read.
TEST_P(EachStalePage, AWatchCompletesTheListing) {
  Store->keepReplica(GetParam().IsStale);
  for (char name : {'a', 'd', 'f'})
    Store->put(serverKey(name), server("draining"));
  Store->remove(serverKey('c'));
  Store->put(serverKey('9'), server("ready"));
  std::vector<std::string> held = watchFrom(list(true));
  EXPECT_EQ(held, watchFrom(list(false)));
  EXPECT_EQ(held.size(), 6U);
}

INSTANTIATE_TEST_SUITE_P(
    Pages, EachStalePage,
    testing::Values(StalePages{"None", {}}, StalePages{"First", {true}},
                    StalePages{"Second", {false, true}},
                    StalePages{"Last", {false, false, true}},
                    StalePages{"AllButTheFirst", {false, true, true, true}},
                    StalePages{"All", {true, true, true, true}}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace balsamrack::platform

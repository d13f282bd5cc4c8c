#include <map>
#include <optional>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Flows/KeyClaims.h"
#include "Balsamrack/Flows/KeyStore.h"

namespace balsamrack {
namespace {

constexpr size_t Daemons = 5;
constexpr Duration Second{1'000'000};

VmId vmName(size_t i) { return VmId("vm-" + std::to_string(i + 1)); }

/// Key stores of a small fleet that share one view of the membership.
class KeyStoreFleet {
public:
  explicit KeyStoreFleet(uint64_t seed) : Random(seed) {
    for (size_t i = 0; i < Daemons; ++i)
      start(i, true);
  }
  /// Percentage of hand-over messages that are lost.
  uint64_t LossPercent = 0;

  void start(size_t i, bool firstInstallation) {
    KeyStoreSettings settings;
    settings.AssumeNoEarlierKeys = firstInstallation;
    settings.MaxKeys = 10'000;
    Stores[i] = std::move(*KeyStore::create(settings, Now));
    ++Runs[i];
  }
  void leave(size_t i) {
    std::unique_ptr<KeyStore> leaver = std::move(Stores[i]);
    depart(i);
    for (const auto &it :
         leaver->exportKeys(Now, view(), vmName(i), Incarnation{Runs[i]}, 2))
      if (Random.below(100) >= LossPercent)
        Stores[indexOf(it.To.Id)]->importKeys(Now, it.Batch);
  }
  void die(size_t i) {
    Stores[i] = nullptr;
    depart(i);
  }
  bool isUp(size_t i) const { return Stores[i] != nullptr; }
  size_t countUp() const {
    size_t n = 0;
    for (size_t i = 0; i < Daemons; ++i)
      n += isUp(i) ? 1 : 0;
    return n;
  }
  /// Makes one attempt with key \p key. True if it ran.
  bool attempt(uint64_t key) {
    const KeyDigest digest{key, key};
    const RequestId request{++Requests};
    EntrySettings settings;
    KeyClaims claims;
    for (const EntryVm &to : claims.updateReplicas(digest, view(), settings))
      claims.recordReply(to.Id,
                         Stores[indexOf(to.Id)]
                             ->claim(Now, {digest, request}, view(), to.Id)
                             .Verdict);
    const bool runs = claims.evaluate(settings) == KeyClaims::Result::Run;
    // An attempt that runs ends answered or unknown, or is never settled
    // because its entry died.
    const OutcomeKind how = !runs                 ? OutcomeKind::NotRun
                            : Random.below(2) > 0 ? OutcomeKind::Answered
                                                  : OutcomeKind::OutcomeUnknown;
    if (!runs || Random.below(4) > 0)
      for (const EntryVm &to : claims.claimedReplicas())
        if (isUp(indexOf(to.Id)))
          Stores[indexOf(to.Id)]->settle(Now, {digest, request, how});
    return runs;
  }
  void advance(Duration time) {
    Now += time;
    for (auto it = Departed.begin(); it != Departed.end();)
      it = it->second + KeyStoreSettings().KeyMemory <= Now ? Departed.erase(it)
                                                            : std::next(it);
  }
  SeededRandom Random;

private:
  void depart(size_t i) { Departed[vmName(i)] = Now; }
  static size_t indexOf(const VmId &vm) {
    size_t i = 0;
    while (vmName(i) != vm)
      ++i;
    return i;
  }
  KeyReplicaView view() const {
    KeyReplicaView view;
    for (size_t i = 0; i < Daemons; ++i)
      if (isUp(i))
        view.Members.push_back({vmName(i), DomainId("a"), {}, false});
    for (const auto &[vm, at] : Departed)
      view.RecentlyDeparted.push_back(vm);
    return view;
  }

  TimePoint Now{Second};
  std::unique_ptr<KeyStore> Stores[Daemons];
  uint64_t Runs[Daemons] = {};
  std::map<VmId, TimePoint> Departed; ///< With the time of departure.
  uint64_t Requests = 0;
};

// A rolling restart restarts every daemon gracefully within the key memory. New
// keys must still be granted, although no daemon has been up for the key
// memory, and earlier keys must not run again.
TEST(KeyStoreFleetTest, RollingRestartKeepsKeyHistory) {
  KeyStoreFleet fleet(1);
  for (uint64_t key = 1; key <= 100; ++key)
    EXPECT_TRUE(fleet.attempt(key));
  for (size_t i = 0; i < Daemons; ++i) {
    fleet.leave(i);
    fleet.advance(2 * Second);
    fleet.start(i, false);
    fleet.advance(2 * Second);
  }
  for (uint64_t key = 1; key <= 100; ++key)
    EXPECT_FALSE(fleet.attempt(key)) << key;
  for (uint64_t key = 101; key <= 200; ++key)
    EXPECT_TRUE(fleet.attempt(key)) << key;
}

// The same, but hand-over messages are lost with their connections. The
// receivers must detect that and not grant keys whose history they may lack.
TEST(KeyStoreFleetTest, LostHandOverProvesNothing) {
  KeyStoreFleet fleet(2);
  fleet.LossPercent = 50;
  for (uint64_t key = 1; key <= 300; ++key)
    EXPECT_TRUE(fleet.attempt(key));
  for (size_t i = 0; i < Daemons; ++i) {
    fleet.leave(i);
    fleet.start(i, false);
  }
  for (uint64_t key = 1; key <= 300; ++key)
    EXPECT_FALSE(fleet.attempt(key)) << key;
}

class KeyStoreChaosTest : public testing::TestWithParam<uint64_t> {};

// Daemons leave, die and return at random, hand-overs lose messages, and the
// same keys are attempted repeatedly. No key may run twice within the key
// memory.
TEST_P(KeyStoreChaosTest, NoKeyRunsTwice) {
  KeyStoreFleet fleet(GetParam());
  fleet.LossPercent = GetParam() % 3 == 0 ? 20 : 0;
  std::map<uint64_t, int> runs;
  for (int step = 0; step < 3'000; ++step) {
    const size_t i = fleet.Random.below(Daemons);
    const uint64_t what = fleet.Random.below(100);
    if (what < 4 && fleet.isUp(i) && fleet.countUp() > 1)
      fleet.leave(i);
    else if (what < 6 && fleet.isUp(i) && fleet.countUp() > 1)
      fleet.die(i);
    else if (what < 14 && !fleet.isUp(i))
      fleet.start(i, false);
    const uint64_t key = 1 + fleet.Random.below(200);
    runs[key] += fleet.attempt(key) ? 1 : 0;
    EXPECT_LE(runs[key], 1) << "key " << key << " at step " << step;
    fleet.advance(Duration(100'000));
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, KeyStoreChaosTest,
                         testing::Range(uint64_t{1}, uint64_t{41}));

} // namespace
} // namespace balsamrack

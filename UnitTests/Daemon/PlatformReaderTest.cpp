#include "Balsamrack/Daemon/PlatformReader.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

#include <gtest/gtest.h>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {
namespace {

/// Answers reads of tickets from a list of pages; then blocks until stop().
class ScriptedPlatform final : public PlatformLink {
public:
  /// No value: the platform is down for that read.
  using Page = std::optional<TicketPage>;

  explicit ScriptedPlatform(std::deque<Page> pages) : Pages(std::move(pages)) {}
  absl::StatusOr<TicketPage> readTickets(TicketNumber after,
                                         Duration) override {
    std::unique_lock<std::mutex> guard(Lock);
    Asked.push_back(after);
    if (Pages.empty()) {
      Drained = true;
      Changed.notify_all();
      Changed.wait(guard, [&] { return Stopped; });
      return absl::CancelledError("stopped");
    }
    const Page page = Pages.front();
    Pages.pop_front();
    if (!page)
      return makeError(absl::StatusCode::kUnavailable, Step::ReadPlatform,
                       "platform", "refused");
    return *page;
  }
  absl::StatusOr<VmPage> readVms(uint64_t, Duration) override {
    std::unique_lock<std::mutex> guard(Lock);
    Changed.wait(guard, [&] { return Stopped; });
    return absl::CancelledError("stopped");
  }
  void stop() override {
    std::lock_guard<std::mutex> guard(Lock);
    Stopped = true;
    Changed.notify_all();
  }
  void waitUntilDrained() {
    std::unique_lock<std::mutex> guard(Lock);
    Changed.wait(guard, [&] { return Drained; });
  }
  std::vector<TicketNumber> asked() {
    std::lock_guard<std::mutex> guard(Lock);
    return Asked;
  }

private:
  std::mutex Lock;
  std::condition_variable Changed;
  std::deque<Page> Pages;
  std::vector<TicketNumber> Asked;
  bool Drained = false;
  bool Stopped = false;
};

class NullTelemetry final : public Telemetry {
public:
  void recordDecision(Decision) override {}
  std::string startSpan(const std::string &) override { return ""; }
  void endSpan(HopSpan) override {}
  void recordPacketEnd(const ServiceId &, OutcomeKind, Reason,
                       Duration) override {}
  void recordDispatchEnd(const ServerId &, DispatchOutcome, Duration) override {
  }
  void log(Component, Severity, const std::string &) override {}
  void recordError(Component, const absl::Status &) override {}
};

PlatformSettings quick() {
  PlatformSettings settings;
  settings.MinBackoff = settings.MaxBackoff = Duration(1'000);
  return settings;
}

struct ReaderCase {
  const char *Name;
  std::deque<ScriptedPlatform::Page> Pages;
  PlatformState State;
  uint64_t Highest;
  size_t Tickets;
  uint64_t AskedLast;
};

ScriptedPlatform::Page page(uint64_t highest,
                            std::vector<std::string> tickets) {
  return TicketPage{TicketNumber{highest}, std::move(tickets)};
}

ScriptedPlatform::Page down() { return std::nullopt; }

class PlatformReaderTest : public testing::TestWithParam<ReaderCase> {};

// The platform fails over to a lagging replica, goes down and recovers. The
// reader must continue after the highest ticket reported so far, and show the
// platform's state to operators.
TEST_P(PlatformReaderTest, FollowsThePlatform) {
  const ReaderCase &it = GetParam();
  ScriptedPlatform platform(it.Pages);
  NullTelemetry telemetry;
  std::mutex lock;
  size_t tickets = 0;
  PlatformReader reader(
      quick(), platform, telemetry, 1,
      [&](const std::string &) {
        std::lock_guard<std::mutex> guard(lock);
        ++tickets;
      },
      [](const std::vector<EntryVm> &) {});
  platform.waitUntilDrained();
  EXPECT_EQ(reader.state(), it.State);
  EXPECT_EQ(reader.highestTicket(), TicketNumber{it.Highest});
  reader.stop();
  EXPECT_EQ(tickets, it.Tickets);
  EXPECT_EQ(platform.asked().back(), TicketNumber{it.AskedLast});
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, PlatformReaderTest,
    testing::Values(
        ReaderCase{"Good", {page(2, {"a", "b"})}, PlatformState::Good, 2, 2, 2},
        ReaderCase{
            "Down", {page(2, {"a"}), down()}, PlatformState::Down, 2, 1, 2},
        ReaderCase{"OlderReplica",
                   {page(9, {"a"}), page(4, {})},
                   PlatformState::Stale,
                   9,
                   1,
                   9},
        ReaderCase{"BackAfterAnOutage",
                   {page(2, {"a"}), down(), down(), page(3, {"b"})},
                   PlatformState::Good,
                   3,
                   2,
                   3}),
    [](const auto &info) { return info.param.Name; });

// The platform recovers after an hour. Without random backoff 610 daemons would
// all retry at the same moments.
TEST(BackoffTest, GrowsToItsBoundAndSpreads) {
  PlatformSettings settings;
  SeededRandom random(1);
  Duration least = settings.MaxBackoff;
  Duration most{0};
  for (int n = 0; n < 610; ++n) {
    const Duration wait = backoffAfter(30, settings, random);
    least = std::min(least, wait);
    most = std::max(most, wait);
  }
  EXPECT_GE(least, settings.MaxBackoff / 2);
  EXPECT_LE(most, settings.MaxBackoff);
  EXPECT_GT(most - least, settings.MaxBackoff / 3);
  EXPECT_LE(backoffAfter(1, settings, random), settings.MinBackoff);
}

} // namespace
} // namespace balsamrack

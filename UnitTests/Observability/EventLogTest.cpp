#include "Balsamrack/Observability/EventLog.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace balsamrack {
namespace {

std::string readAll(int fd) {
  std::string text;
  char buf[4096];
  for (ssize_t n = 0; (n = read(fd, buf, sizeof buf)) > 0;)
    text.append(buf, static_cast<size_t>(n));
  return text;
}

TEST(EventLogTest, WritesOneJsonObjectPerLine) {
  int pipeEnds[2];
  ASSERT_EQ(pipe(pipeEnds), 0);
  ManualClock clock;
  EventLog::create(EventLogSettings(), pipeEnds[1], clock)
      ->write(LogLine(Component::Entry, Severity::Warning, "refused")
                  .text("flow", "a\"b\\\n\xff")
                  .number("tries", 3)
                  .millis("took_ms", Duration(1500))
                  .flag("late", true));
  close(pipeEnds[1]);
  std::string text = readAll(pipeEnds[0]);
  close(pipeEnds[0]);
  ASSERT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  auto line = nlohmann::json::parse(text);
  EXPECT_EQ(line["event"], "refused");
  EXPECT_EQ(line["severity"], "warning");
  EXPECT_EQ(line["part"], "entry");
  EXPECT_EQ(line["tries"], 3);
  EXPECT_DOUBLE_EQ(line["took_ms"], 1.5);
  EXPECT_EQ(line["late"], true);
}

// Guards against unbounded logging during a burst of refusals: lines above the
// rate limit are dropped, and their number is logged.
TEST(EventLogTest, DropsAndCountsLinesAboveRateLimit) {
  int pipeEnds[2];
  ASSERT_EQ(pipe(pipeEnds), 0);
  ManualClock clock;
  EventLogSettings settings;
  settings.MaxLinesPerSecond = 5;
  {
    auto log = EventLog::create(settings, pipeEnds[1], clock);
    for (int i = 0; i < 100; ++i)
      log->write(LogLine(Component::Entry, Severity::Warning, "refused"));
    log->write(LogLine(Component::Entry, Severity::Info, "other"));
    EXPECT_EQ(log->dropped(), 95U);
    clock.advance(Duration(1'100'000));
    log->write(LogLine(Component::Entry, Severity::Info, "other"));
  }
  close(pipeEnds[1]);
  std::string text = readAll(pipeEnds[0]);
  close(pipeEnds[0]);
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 8);
  EXPECT_NE(text.find("\"of\":\"refused\",\"count\":95"), std::string::npos);
}

// The reader of the log has stopped reading. The daemon must not block.
TEST(EventLogTest, NeverBlocksCaller) {
  // Closing the read end below makes the blocked write fail.
  signal(SIGPIPE, SIG_IGN);
  int pipeEnds[2];
  ASSERT_EQ(pipe(pipeEnds), 0);
  SystemClock clock;
  EventLogSettings settings;
  settings.MaxLinesPerSecond = 1'000'000;
  settings.MaxQueuedLines = 100;
  settings.FlushInterval = Duration(1'000);
  auto log = EventLog::create(settings, pipeEnds[1], clock);
  TimePoint start = clock.now();
  for (int i = 0; i < 20000; ++i)
    log->write(LogLine(Component::Entry, Severity::Info, "placed")
                   .text("pad", std::string(200, 'x')));
  EXPECT_LT(clock.now() - start, Duration(2'000'000));
  EXPECT_GT(log->dropped(), 0U);
  close(pipeEnds[0]);
  log.reset();
  close(pipeEnds[1]);
}

} // namespace
} // namespace balsamrack

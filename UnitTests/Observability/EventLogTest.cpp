#include "Balsamrack/Observability/EventLog.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>
#include <future>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "Balsamrack/Observability/LineWriter.h"

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

/// A log with room for few lines, whose reader never reads: the pipe is full.
struct LogWithoutReader {
  LogWithoutReader() {
    signal(SIGPIPE, SIG_IGN);
    EXPECT_EQ(pipe(PipeEnds), 0);
    fcntl(PipeEnds[1], F_SETFL, O_NONBLOCK);
    while (write(PipeEnds[1], "x", 1) == 1)
      continue;
    fcntl(PipeEnds[1], F_SETFL, 0);
    EventLogSettings settings;
    settings.MaxLinesPerSecond = 1'000'000;
    settings.MaxQueuedLines = 100;
    settings.FlushInterval = Duration(1'000);
    settings.StopTimeout = Duration(10'000);
    Log = EventLog::create(settings, PipeEnds[1], Time);
  }
  ~LogWithoutReader() {
    // The end of the reader releases whatever is blocked.
    close(PipeEnds[0]);
    if (Result.valid())
      Result.wait();
    Log.reset();
    close(PipeEnds[1]);
  }
  void writeLines(int lines) const {
    for (int i = 0; i < lines; ++i)
      Log->write(LogLine(Component::Entry, Severity::Info, "placed")
                     .text("pad", std::string(200, 'x')));
  }
  /// Runs \p action on a thread. Returns false if it blocks. The limit only
  /// detects a hang, which nothing but the reader would end.
  template <class Action> bool returns(Action action) {
    Result = std::async(std::launch::async, std::move(action));
    return Result.wait_for(std::chrono::minutes(2)) ==
           std::future_status::ready;
  }

  int PipeEnds[2] = {};
  SystemClock Time;
  std::unique_ptr<EventLog> Log;
  std::future<void> Result;
};

/// Processor time of the calling thread.
Duration threadTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// Guards against a daemon that waits for a log reader that has stopped reading,
// or spends its time on lines that are dropped.
TEST(EventLogTest, NeverBlocksCaller) {
  LogWithoutReader test;
  Duration spent{0};
  ASSERT_TRUE(test.returns([&] {
    const Duration start = threadTime();
    test.writeLines(20'000);
    spent = threadTime() - start;
  }));
  EXPECT_LT(spent, Duration(2'000'000));
  EXPECT_GT(test.Log->dropped(), 0U);
}

// Guards against a daemon that never ends on SIGTERM because the reader of its
// log has stopped reading.
TEST(EventLogTest, EndsWhileItsReaderReadsNothing) {
  LogWithoutReader test;
  test.writeLines(1'000);
  EXPECT_TRUE(test.returns([&] { test.Log.reset(); }));
}

// Guards against lines that vanish uncounted when the reader is gone.
TEST(LineWriterTest, CountsLinesThatNobodyReads) {
  signal(SIGPIPE, SIG_IGN);
  int pipeEnds[2];
  ASSERT_EQ(pipe(pipeEnds), 0);
  close(pipeEnds[0]);
  LineWriterSettings settings;
  settings.FlushInterval = Duration(1'000);
  auto writer = LineWriter::create(settings, pipeEnds[1]);
  EXPECT_TRUE(writer->enqueue("one\n"));
  EXPECT_TRUE(writer->enqueue("two\n"));
  while (writer->unwritten() < 2)
    std::this_thread::yield();
  EXPECT_EQ(writer->unwritten(), 2U);
  writer.reset();
  close(pipeEnds[1]);
}

} // namespace
} // namespace balsamrack

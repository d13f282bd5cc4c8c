#include "Balsamrack/Observability/EventLog.h"

#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "Balsamrack/Observability/LogNames.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr Duration OneSecond{1'000'000};

void appendEscaped(std::string &out, const std::string &value) {
  for (char c : value) {
    auto u = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (u < 0x20 || u >= 0x7f) {
      // Escaped so that each record is a single line of plain ASCII.
      char text[8];
      std::snprintf(text, sizeof text, "\\u%04x", u);
      out += text;
    } else {
      out += c;
    }
  }
}

class AsyncEventLog final : public EventLog {
public:
  AsyncEventLog(const EventLogSettings &settings, int fd, const Clock &clock)
      : Settings(settings), Fd(fd), Time(clock),
        Writer([this] { runWriter(); }) {}
  AsyncEventLog(const AsyncEventLog &) = delete;
  AsyncEventLog &operator=(const AsyncEventLog &) = delete;
  ~AsyncEventLog() override {
    {
      std::lock_guard<std::mutex> guard(Lock);
      Stopping = true;
    }
    WakeWriter.notify_all();
    Writer.join();
  }

  void write(const LogLine &line) override;
  uint64_t dropped() const override {
    std::lock_guard<std::mutex> guard(Lock);
    return Dropped;
  }

private:
  /// Counts of one event within the current second.
  struct EventRate {
    uint32_t Lines = 0;
    uint64_t Dropped = 0;
  };

  void runWriter();
  void startNewSecond(TimePoint now);
  void enqueue(const LogLine &line);
  void writeAll(const std::string &text) const;

  const EventLogSettings Settings;
  const int Fd;
  const Clock &Time;
  mutable std::mutex Lock; ///< Guards the members below.
  std::condition_variable WakeWriter;
  std::vector<std::string> QueuedLines;
  std::map<std::string, EventRate> Rates; ///< By event name.
  TimePoint SecondStart;
  uint64_t Dropped = 0;
  bool Stopping = false;
  std::thread Writer; ///< Last member, since the thread uses those above.
};

void AsyncEventLog::enqueue(const LogLine &line) {
  if (QueuedLines.size() >= Settings.MaxQueuedLines) {
    ++Dropped;
    ++Rates[line.event()].Dropped;
    return;
  }
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto wall = std::chrono::system_clock::now().time_since_epoch();
  QueuedLines.push_back(
      absl::StrCat("{\"at_ms\":", duration_cast<milliseconds>(wall).count(),
                   ",\"up_ms\":", Time.now().time_since_epoch().count() / 1000,
                   ",", line.str(), "}\n"));
}

void AsyncEventLog::startNewSecond(TimePoint now) {
  if (now - SecondStart < OneSecond)
    return;
  SecondStart = now;
  auto previous = std::exchange(Rates, {});
  for (const auto &[event, rate] : previous)
    if (rate.Dropped > 0)
      enqueue(LogLine(Component::Daemon, Severity::Warning, "lines-left-out")
                  .text("of", event)
                  .number("count", rate.Dropped));
}

void AsyncEventLog::write(const LogLine &line) {
  std::lock_guard<std::mutex> guard(Lock);
  startNewSecond(Time.now());
  EventRate &rate = Rates[line.event()];
  if (rate.Lines >= Settings.MaxLinesPerSecond) {
    ++rate.Dropped;
    ++Dropped;
    return;
  }
  ++rate.Lines;
  enqueue(line);
  if (QueuedLines.size() == Settings.MaxQueuedLines / 2)
    WakeWriter.notify_one();
}

void AsyncEventLog::writeAll(const std::string &text) const {
  size_t written = 0;
  while (written < text.size()) {
    ssize_t n = ::write(Fd, text.data() + written, text.size() - written);
    // The reader is gone, and there is no other place to report it.
    if (n <= 0)
      return;
    written += static_cast<size_t>(n);
  }
}

void AsyncEventLog::runWriter() {
  std::unique_lock<std::mutex> lock(Lock);
  for (;;) {
    bool stopping = Stopping;
    std::vector<std::string> lines = std::exchange(QueuedLines, {});
    if (!lines.empty()) {
      lock.unlock();
      std::string text;
      for (const std::string &line : lines)
        text += line;
      writeAll(text);
      lock.lock();
    }
    if (stopping && QueuedLines.empty())
      return;
    WakeWriter.wait_for(lock, Settings.FlushInterval);
  }
}

} // namespace

LogLine::LogLine(Component component, Severity severity, const char *event)
    : EventName(event), EventSeverity(severity) {
  Text =
      absl::StrCat("\"severity\":\"", severityName(severity), "\",\"part\":\"",
                   componentName(component), "\",\"event\":\"", event, "\"");
}

void LogLine::appendFieldName(const char *name) {
  Text += ",\"";
  Text += name;
  Text += "\":";
}

LogLine &LogLine::text(const char *name, const std::string &value) {
  this->appendFieldName(name);
  Text += '"';
  appendEscaped(Text, value);
  Text += '"';
  return *this;
}

LogLine &LogLine::number(const char *name, uint64_t value) {
  this->appendFieldName(name);
  absl::StrAppend(&Text, value);
  return *this;
}

LogLine &LogLine::decimal(const char *name, double value) {
  this->appendFieldName(name);
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", value);
  Text += text;
  return *this;
}

LogLine &LogLine::millis(const char *name, Duration value) {
  return decimal(name, static_cast<double>(value.count()) / 1000);
}

LogLine &LogLine::flag(const char *name, bool value) {
  this->appendFieldName(name);
  Text += value ? "true" : "false";
  return *this;
}

std::unique_ptr<EventLog> EventLog::create(const EventLogSettings &settings,
                                           int fd, const Clock &clock) {
  return std::make_unique<AsyncEventLog>(settings, fd, clock);
}

} // namespace balsamrack

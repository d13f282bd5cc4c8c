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
      // Whatever came in, a line stays one line of plain ASCII.
      char text[8];
      std::snprintf(text, sizeof text, "\\u%04x", u);
      out += text;
    } else {
      out += c;
    }
  }
}

class ThreadedLog final : public EventLog {
public:
  ThreadedLog(const EventLogSettings &settings, int fd, const Clock &clock)
      : Settings(settings), Fd(fd), Time(clock), Writer([this] { run(); }) {}
  ThreadedLog(const ThreadedLog &) = delete;
  ThreadedLog &operator=(const ThreadedLog &) = delete;
  ~ThreadedLog() override {
    {
      std::lock_guard<std::mutex> hold(Lock);
      Stopping = true;
    }
    Wake.notify_all();
    Writer.join();
  }

  void write(const LogLine &line) override;
  uint64_t dropped() const override {
    std::lock_guard<std::mutex> hold(Lock);
    return Dropped;
  }

private:
  /// Lines of one event within the current second.
  struct Rate {
    uint32_t Lines = 0;
    uint64_t LeftOut = 0;
  };

  void run();
  void newSecond(TimePoint now);
  void put(const LogLine &line);
  void writeAll(const std::string &text) const;

  const EventLogSettings Settings;
  const int Fd;
  const Clock &Time;
  mutable std::mutex Lock; ///< Guards what follows.
  std::condition_variable Wake;
  std::vector<std::string> Lines;
  std::map<std::string, Rate> Rates; ///< By event.
  TimePoint SecondBegan;
  uint64_t Dropped = 0;
  bool Stopping = false;
  std::thread Writer; ///< Last, so that all above is there when it starts.
};

void ThreadedLog::put(const LogLine &line) {
  if (Lines.size() >= Settings.Waiting) {
    ++Dropped;
    ++Rates[line.event()].LeftOut;
    return;
  }
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto wall = std::chrono::system_clock::now().time_since_epoch();
  Lines.push_back(
      absl::StrCat("{\"at_ms\":", duration_cast<milliseconds>(wall).count(),
                   ",\"up_ms\":", Time.now().time_since_epoch().count() / 1000,
                   ",", line.str(), "}\n"));
}

void ThreadedLog::newSecond(TimePoint now) {
  if (now - SecondBegan < OneSecond)
    return;
  SecondBegan = now;
  auto before = std::exchange(Rates, {});
  for (const auto &[event, rate] : before)
    if (rate.LeftOut > 0)
      put(LogLine(Part::Daemon, Severity::Warning, "lines-left-out")
              .text("of", event)
              .number("count", rate.LeftOut));
}

void ThreadedLog::write(const LogLine &line) {
  std::lock_guard<std::mutex> hold(Lock);
  newSecond(Time.now());
  Rate &rate = Rates[line.event()];
  if (rate.Lines >= Settings.LinesPerSecond) {
    ++rate.LeftOut;
    ++Dropped;
    return;
  }
  ++rate.Lines;
  put(line);
  if (Lines.size() == Settings.Waiting / 2)
    Wake.notify_one();
}

void ThreadedLog::writeAll(const std::string &text) const {
  size_t done = 0;
  while (done < text.size()) {
    ssize_t n = ::write(Fd, text.data() + done, text.size() - done);
    // Nobody reads any more: there is no place left to say so.
    if (n <= 0)
      return;
    done += static_cast<size_t>(n);
  }
}

void ThreadedLog::run() {
  std::unique_lock<std::mutex> hold(Lock);
  for (;;) {
    bool stopping = Stopping;
    std::vector<std::string> lines = std::exchange(Lines, {});
    if (!lines.empty()) {
      hold.unlock();
      std::string text;
      for (const std::string &line : lines)
        text += line;
      writeAll(text);
      hold.lock();
    }
    if (stopping && Lines.empty())
      return;
    Wake.wait_for(hold, Settings.Period);
  }
}

} // namespace

LogLine::LogLine(Part part, Severity severity, const char *event)
    : Event(event), Weight(severity) {
  Text =
      absl::StrCat("\"severity\":\"", severityName(severity), "\",\"part\":\"",
                   partName(part), "\",\"event\":\"", event, "\"");
}

void LogLine::name(const char *name) {
  Text += ",\"";
  Text += name;
  Text += "\":";
}

LogLine &LogLine::text(const char *name, const std::string &value) {
  this->name(name);
  Text += '"';
  appendEscaped(Text, value);
  Text += '"';
  return *this;
}

LogLine &LogLine::number(const char *name, uint64_t value) {
  this->name(name);
  absl::StrAppend(&Text, value);
  return *this;
}

LogLine &LogLine::decimal(const char *name, double value) {
  this->name(name);
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", value);
  Text += text;
  return *this;
}

LogLine &LogLine::millis(const char *name, Duration value) {
  return decimal(name, static_cast<double>(value.count()) / 1000);
}

LogLine &LogLine::flag(const char *name, bool value) {
  this->name(name);
  Text += value ? "true" : "false";
  return *this;
}

std::unique_ptr<EventLog> EventLog::create(const EventLogSettings &settings,
                                           int fd, const Clock &clock) {
  return std::make_unique<ThreadedLog>(settings, fd, clock);
}

} // namespace balsamrack

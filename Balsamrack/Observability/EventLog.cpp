#include "Balsamrack/Observability/EventLog.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <utility>

#include "Balsamrack/Observability/LineWriter.h"
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
      : Settings(settings), Time(clock),
        Writer(
            LineWriter::create({settings.MaxQueuedLines, settings.FlushInterval,
                                settings.StopTimeout},
                               fd)) {}

  void write(const LogLine &line) override;
  uint64_t dropped() const override {
    std::lock_guard<std::mutex> guard(Lock);
    return Dropped + Writer->unwritten();
  }

private:
  /// Counts of one event within the current second.
  struct EventRate {
    uint32_t Lines = 0;
    uint64_t Dropped = 0;
  };

  void startNewSecond(TimePoint now);
  void enqueue(const LogLine &line);

  const EventLogSettings Settings;
  const Clock &Time;
  const std::unique_ptr<LineWriter> Writer; ///< Not null.
  mutable std::mutex Lock;                  ///< Guards the members below.
  std::map<std::string, EventRate> Rates;   ///< By event name.
  TimePoint SecondStart;
  uint64_t Dropped = 0;
};

void AsyncEventLog::enqueue(const LogLine &line) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto wall = std::chrono::system_clock::now().time_since_epoch();
  if (Writer->enqueue(absl::StrCat(
          "{\"at_ms\":", duration_cast<milliseconds>(wall).count(),
          ",\"up_ms\":", Time.now().time_since_epoch().count() / 1000, ",",
          line.str(), "}\n")))
    return;
  ++Dropped;
  ++Rates[line.event()].Dropped;
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

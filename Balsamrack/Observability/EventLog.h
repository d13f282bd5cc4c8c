#ifndef BALSAMRACK_OBSERVABILITY_EVENTLOG_H
#define BALSAMRACK_OBSERVABILITY_EVENTLOG_H

#include <cstdint>
#include <memory>
#include <string>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Daemon/Telemetry.h"

namespace balsamrack {

/// A line of the event log: a JSON object that is built field by field. Not
/// thread-safe.
class LogLine {
public:
  /// Starts a line of \p component about \p event, a name with hyphens.
  LogLine(Component component, Severity severity, const char *event);

  /// Adds a string. Control characters and quotes are escaped.
  LogLine &text(const char *name, const std::string &value);
  /// Adds a number.
  LogLine &number(const char *name, uint64_t value);
  /// Adds a number with three decimals.
  LogLine &decimal(const char *name, double value);
  /// Adds a duration in milliseconds, with three decimals.
  LogLine &millis(const char *name, Duration value);
  /// Adds a boolean.
  LogLine &flag(const char *name, bool value);

  /// Name of the event.
  const char *event() const { return EventName; }
  /// Severity of the line.
  Severity severity() const { return EventSeverity; }
  /// Returns the fields added so far, without the enclosing braces.
  const std::string &str() const { return Text; }

private:
  void appendFieldName(const char *name);

  const char *EventName;
  Severity EventSeverity;
  std::string Text;
};

/// Limits of the event log.
struct EventLogSettings {
  uint32_t MaxLinesPerSecond =
      100; ///< Limit per event name; 33 KB/s at the usual 330 bytes per line.
           ///< The daemon of a small site places about 50 flows per second.
  uint32_t MaxQueuedLines =
      2'000; ///< Capacity of the queue of lines to be written, about 700 KB.
  Duration FlushInterval{
      250'000}; ///< Interval at which queued lines are written, in one call.
  Duration StopTimeout{500'000}; ///< How long the destructor waits for a reader
                                 ///< that reads nothing.
};

/// Structured log with one JSON object per line. Never blocks: a LineWriter
/// writes the lines from a bounded queue. Lines above a limit are dropped and
/// counted, and the counts are logged. Thread-safe.
class EventLog {
public:
  /// Creates a log that writes to the file descriptor \p fd and
  /// does not close it. Precondition: \p clock outlives the log. Thread-safe.
  static std::unique_ptr<EventLog> create(const EventLogSettings &settings,
                                          int fd, const Clock &clock);
  /// Writes the queued lines, as far as the reader takes them within
  /// StopTimeout.
  virtual ~EventLog() = default;
  /// Queues a line.
  virtual void write(const LogLine &line) = 0;
  /// Returns the number of lines that were dropped, or queued and not written,
  /// so far.
  virtual uint64_t dropped() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_EVENTLOG_H

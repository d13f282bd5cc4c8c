#ifndef BALSAMRACK_OBSERVABILITY_EVENTLOG_H
#define BALSAMRACK_OBSERVABILITY_EVENTLOG_H

#include <cstdint>
#include <memory>
#include <string>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Daemon/Telemetry.h"

namespace balsamrack {

/// One line of the event log: a JSON object that is built field by field. Not
/// thread-safe.
class LogLine {
public:
  /// Begins a line of \p part about \p event, a name with hyphens.
  LogLine(Component component, Severity severity, const char *event);

  /// Adds a text. Control characters and quotes are escaped.
  LogLine &text(const char *name, const std::string &value);
  /// Adds a number.
  LogLine &number(const char *name, uint64_t value);
  /// Adds a number with three decimals.
  LogLine &decimal(const char *name, double value);
  /// Adds a duration in milliseconds, with three decimals.
  LogLine &millis(const char *name, Duration value);
  /// Adds a truth value.
  LogLine &flag(const char *name, bool value);

  /// The event's name.
  const char *event() const { return EventName; }
  /// How much it matters.
  Severity severity() const { return EventSeverity; }
  /// What was built so far, without the closing brace.
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
      100; ///< Of one event; 33 KB a second for the usual
           ///< line of 330 bytes. A small site's daemon
           ///< places some fifty flows a second.
  uint32_t MaxQueuedLines = 2'000; ///< Lines that wait to be written, 700 KB.
  Duration FlushInterval{250'000}; ///< Lines are written so often, in one call.
};

/// Structured log, a JSON object a line. Never blocks: lines wait in a bounded
/// ring for a thread of their own; what is over a bound is dropped and counted,
/// and the counts are written as lines. Thread-safe.
class EventLog {
public:
  /// Writes to the file descriptor \p fd, which stays open. Preconditions: \p
  /// clock outlives the log. Thread-safe.
  static std::unique_ptr<EventLog> create(const EventLogSettings &settings,
                                          int fd, const Clock &clock);
  /// Writes what waits.
  virtual ~EventLog() = default;
  /// Takes a line in.
  virtual void write(const LogLine &line) = 0;
  /// Lines dropped so far.
  virtual uint64_t dropped() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_EVENTLOG_H

#ifndef BALSAMRACK_OBSERVABILITY_LOG_H
#define BALSAMRACK_OBSERVABILITY_LOG_H

#include <memory>
#include <string>

#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Observability/LogNames.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Where log lines go, and which.
struct LogSettings {
  std::string Level = "info";  ///< debug, info, warning or error.
  std::string Format = "text"; ///< text or json, one line a record.
  std::string File;            ///< Empty: standard error.
};

/// The daemon's log, on Boost.Log. Lines go out at once and whole. Thread-safe.
class Log {
public:
  /// Opens the log. Error (step read-settings): kInvalidArgument for an unknown
  /// level or format, kUnavailable when the file can't be opened.
  static absl::StatusOr<std::unique_ptr<Log>>
  create(const LogSettings &settings);
  virtual ~Log() = default;
  /// Writes one short sentence; \p step and \p peer may be empty.
  virtual void write(Component component, Severity severity,
                     const std::string &message, const std::string &step = "",
                     const std::string &peer = "") = 0;
  /// Writes an error, with the step and peer that it carries.
  void error(Component component, const absl::Status &status);
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_LOG_H

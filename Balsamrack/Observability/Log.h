#ifndef BALSAMRACK_OBSERVABILITY_LOG_H
#define BALSAMRACK_OBSERVABILITY_LOG_H

#include <memory>
#include <string>

#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Observability/LogNames.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Destination, format and minimum severity of the log.
struct LogSettings {
  std::string Level =
      "info"; ///< Minimum severity: debug, info, warning or error.
  std::string Format = "text"; ///< text or json; one line per record.
  std::string File;            ///< Empty: standard error.
};

/// The daemon's log, based on Boost.Log. Each line is written whole and flushed
/// immediately. Thread-safe.
class Log {
public:
  /// Opens the log. Errors (step read-settings): kInvalidArgument for an
  /// unknown level or format, kUnavailable if the file can't be opened.
  static absl::StatusOr<std::unique_ptr<Log>>
  create(const LogSettings &settings);
  virtual ~Log() = default;
  /// Writes a message of one short sentence; \p step and \p peer may be empty.
  virtual void write(Component component, Severity severity,
                     const std::string &message, const std::string &step = "",
                     const std::string &peer = "") = 0;
  /// Writes an error with its step and peer.
  void error(Component component, const absl::Status &status);
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_LOG_H

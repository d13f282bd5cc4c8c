#ifndef BALSAMRACK_DAEMON_DAEMONTELEMETRY_H
#define BALSAMRACK_DAEMON_DAEMONTELEMETRY_H

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Observability/EventLog.h"
#include "Balsamrack/Observability/Journal.h"
#include "Balsamrack/Settings/Settings.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Telemetry of a daemon on the HTTP carrier: writes the journal, metrics,
/// spans and log, and answers operators' queries about them. Each decision and
/// event is also written to standard output as a line of JSON, so that it can
/// still be looked up after the process has ended.
class DaemonTelemetry final : public Telemetry {
public:
  /// Opens the files named in \p settings. Precondition: \p clock outlives the
  /// result. Error (step read-settings) if a file can't be opened. Thread-safe.
  static absl::StatusOr<std::unique_ptr<DaemonTelemetry>>
  create(const ObservabilitySettings &settings, const VmId &vm,
         const Clock &clock, uint64_t seed);
  ~DaemonTelemetry() override;

  void recordDecision(Decision what) override;
  std::string startSpan(const std::string &parent) override;
  void endSpan(HopSpan span) override;
  void recordPacketEnd(const ServiceId &service, OutcomeKind how, Reason why,
                       Duration took) override;
  void recordDispatchEnd(const ServerId &server, DispatchOutcome how,
                         Duration took) override;
  void log(Component component, Severity severity,
           const std::string &sentence) override;
  void recordError(Component component, const absl::Status &status) override;

  /// Writes an event to standard output. Never blocks. Thread-safe.
  void logEvent(const LogLine &line);
  /// Sets a gauge metric. Precondition: \p name is a string literal.
  /// Thread-safe.
  void setGauge(const char *name, double value);
  /// Returns the decisions about a "request", "flow", "server" or "ticket",
  /// oldest first. Error kInvalidArgument for another kind or a malformed id.
  /// Thread-safe.
  absl::StatusOr<std::vector<Decision>>
  findDecisions(const std::string &kind, const std::string &id) const;
  /// Returns the stored spans of a trace, given by its id of 32 hex digits.
  /// Thread-safe.
  nlohmann::json findSpans(const std::string &trace) const;
  /// Metrics in Prometheus text format. Thread-safe.
  std::string metricsText() const;
  /// Metrics as JSON. Thread-safe.
  nlohmann::json metricsJson() const;

private:
  struct State;
  explicit DaemonTelemetry(std::unique_ptr<State> state);

  std::unique_ptr<State> Impl; ///< Not null.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_DAEMONTELEMETRY_H

#ifndef BALSAMRACK_DAEMON_WITNESS_H
#define BALSAMRACK_DAEMON_WITNESS_H

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Observability/Journal.h"
#include "Balsamrack/Settings/Settings.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// The daemon's own Telemetry: journal, metrics, spans and log together, and
/// the answers to operators' questions about them.
class Witness final : public Telemetry {
public:
  /// Opens what \p settings name. Precondition: \p clock outlives the result.
  /// Error (step read-settings) when a file can't be opened. Thread-safe.
  static absl::StatusOr<std::unique_ptr<Witness>>
  create(const ObservabilitySettings &settings, const VmId &vm,
         const Clock &clock, uint64_t seed);
  ~Witness() override;

  void decided(Decision what) override;
  std::string startSpan(const std::string &parent) override;
  void endSpan(HopSpan span) override;
  void packetEnded(const ServiceId &service, OutcomeKind how, Reason why,
                   Duration took) override;
  void dispatchEnded(const ServerId &server, DispatchOutcome how,
                     Duration took) override;
  void log(Part part, Severity severity, const std::string &sentence) override;
  void failed(Part part, const absl::Status &status) override;

  /// Sets a gauge that is shown with the metrics. Precondition: \p name is a
  /// string literal. Thread-safe.
  void gauge(const char *name, double value);
  /// Decisions about a "request", "flow", "server" or "ticket", oldest first.
  /// Error kInvalidArgument for another kind or an unreadable id. Thread-safe.
  absl::StatusOr<std::vector<Decision>> about(const std::string &kind,
                                              const std::string &id) const;
  /// Spans held of the trace with these 32 hex digits. Thread-safe.
  nlohmann::json spansOf(const std::string &trace) const;
  /// Metrics in Prometheus text format. Thread-safe.
  std::string metricsText() const;
  /// Metrics as JSON. Thread-safe.
  nlohmann::json metricsJson() const;

private:
  struct State;
  explicit Witness(std::unique_ptr<State> state);

  std::unique_ptr<State> Self; ///< Not null.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_WITNESS_H

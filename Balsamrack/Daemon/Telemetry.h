#ifndef BALSAMRACK_DAEMON_TELEMETRY_H
#define BALSAMRACK_DAEMON_TELEMETRY_H

#include <string>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Decision.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Component of a daemon that reports an event; determines the prefix of log
/// lines.
enum class Component {
  Entry,
  Owner,
  Reader,
  Membership,
  Peers,
  Http,
  Platform,
  Operators,
  Daemon,
};

/// Severity of a log line.
enum class Severity { Debug, Info, Warning, Error };

/// One hop of a request: entry, owner or server.
struct HopSpan {
  const char *Hop = "entry"; ///< Name of the hop.
  std::string Parent;        ///< traceparent of the parent span; may be empty.
  std::string Traceparent;   ///< traceparent of this span.
  TimePoint Start;           ///< Start time.
  Duration Took{0};          ///< Duration.
  ServiceId Service;         ///< Service of the request.
  ServerId Server;           ///< The backend server; may be empty.
  RequestId Request;         ///< Request id of the attempt.
  std::string Result;  ///< Outcome with its reason, or end of the dispatch.
  bool Failed = false; ///< True if there is no answer.
};

/// Receives decisions, spans, metrics and log lines from the components of a
/// daemon. Implementations are thread-safe and never block for long.
class Telemetry {
public:
  virtual ~Telemetry() = default;
  /// Stores a decision for operators' queries.
  virtual void recordDecision(Decision what) = 0;
  /// Returns the traceparent of a new span below \p parent, or of a new trace.
  virtual std::string startSpan(const std::string &parent) = 0;
  /// Stores a completed span.
  virtual void endSpan(HopSpan span) = 0;
  /// Counts a packet that ended at this entry, with its time.
  virtual void recordPacketEnd(const ServiceId &service, OutcomeKind how,
                               Reason why, Duration took) = 0;
  /// Counts a dispatch to a server that ended, with its time.
  virtual void recordDispatchEnd(const ServerId &server, DispatchOutcome how,
                                 Duration took) = 0;
  /// Writes a log line of one short sentence.
  virtual void log(Component component, Severity severity,
                   const std::string &sentence) = 0;
  /// Logs and counts an error, with its step and peer.
  virtual void recordError(Component component, const absl::Status &status) = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_TELEMETRY_H

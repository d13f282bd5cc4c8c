#ifndef BALSAMRACK_DAEMON_TELEMETRY_H
#define BALSAMRACK_DAEMON_TELEMETRY_H

#include <string>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Decision.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/status.h"

namespace balsamrack {

/// Part of the daemon that has something to tell; fixes the prefix in logs.
enum class Part {
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

/// How much a log line matters.
enum class Severity { Debug, Info, Warning, Error };

/// One hop of a request: entry, owner or server.
struct HopSpan {
  const char *Hop = "entry"; ///< Name of the hop.
  std::string Parent;        ///< traceparent that came in; may be empty.
  std::string Traceparent;   ///< traceparent of this span.
  TimePoint Start;           ///< When it began.
  Duration Took{0};          ///< How long it lasted.
  ServiceId Service;         ///< The service concerned.
  ServerId Server;           ///< The backend server; may be empty.
  RequestId Request;         ///< The attempt.
  std::string Result;        ///< Ending or dispatch end, and reason.
  bool Failed = false;       ///< True when there is no answer.
};

/// All that the daemon's parts tell about themselves. Implementations are
/// thread-safe and never block for long.
class Telemetry {
public:
  virtual ~Telemetry() = default;
  /// Keeps a decision for operators' questions.
  virtual void recordDecision(Decision what) = 0;
  /// A traceparent for a new span below \p parent, or of a new trace.
  virtual std::string startSpan(const std::string &parent) = 0;
  /// Keeps a finished span.
  virtual void endSpan(HopSpan span) = 0;
  /// A packet ended at this entry.
  virtual void recordPacketEnd(const ServiceId &service, OutcomeKind how,
                               Reason why, Duration took) = 0;
  /// A dispatch to a server ended.
  virtual void recordDispatchEnd(const ServerId &server, DispatchOutcome how,
                                 Duration took) = 0;
  /// A log line: one short sentence.
  virtual void log(Part part, Severity severity,
                   const std::string &sentence) = 0;
  /// A log line and a count of an error, with its step and peer.
  virtual void recordError(Part part, const absl::Status &status) = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_TELEMETRY_H

#ifndef BALSAMRACK_CLIENT_REPORT_H
#define BALSAMRACK_CLIENT_REPORT_H

#include <string>
#include <vector>

#include "Balsamrack/Client/OperatorClient.h"

namespace balsamrack {

/// Format of the client's output.
enum class OutputFormat {
  Text, ///< Tables and sentences.
  Json, ///< One JSON document.
};

/// Output and exit code of a command.
struct Report {
  std::string Text;  ///< For standard output.
  int ExitCode = 0;  ///< One of ExitCodes.
  std::string Notes; ///< For standard error: daemons without a usable reply.
};

/// Exit codes of balsamctl.
struct ExitCodes {
  static constexpr int Good = 0;    ///< Positive result from all daemons.
  static constexpr int No = 1;      ///< Negative result: rejected, not found.
  static constexpr int Usage = 2;   ///< The command line or a file is invalid.
  static constexpr int Partial = 3; ///< Some daemons did not reply.
  static constexpr int NoneAnswered = 4; ///< No daemon replied.
};

/// Each of these functions combines the replies of all daemons into one report.
/// They are thread-safe and accept arbitrary bytes as replies. This one reports
/// tickets, members and failure domains.
Report reportStatus(const std::vector<DaemonReply> &replies,
                    OutputFormat format);
/// Backend servers; the owner's data takes precedence over that of other
/// daemons.
Report reportServers(const std::vector<DaemonReply> &replies,
                     OutputFormat format);
/// Flows tracked by each daemon, and their number.
Report reportFlows(const std::vector<DaemonReply> &replies,
                   OutputFormat format);
/// Decisions of all daemons about one request, flow, server or ticket, as
/// sentences. Exit code No when there are none.
Report reportDecisions(const std::vector<DaemonReply> &replies,
                       OutputFormat format);
/// Spans of one trace, ordered by start time. Exit code No when there are none.
Report reportTrace(const std::vector<DaemonReply> &replies,
                   OutputFormat format);
/// Metrics of all daemons, each preceded by a comment line with its address.
Report reportMetrics(const std::vector<DaemonReply> &replies,
                     OutputFormat format);
/// Whether a ticket is in force. Exit code No while it is not in force on every
/// daemon that replied.
Report reportInForce(const std::vector<DaemonReply> &replies,
                     OutputFormat format);

} // namespace balsamrack

#endif // BALSAMRACK_CLIENT_REPORT_H

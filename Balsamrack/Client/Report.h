#ifndef BALSAMRACK_CLIENT_REPORT_H
#define BALSAMRACK_CLIENT_REPORT_H

#include <string>
#include <vector>

#include "Balsamrack/Client/OperatorClient.h"

namespace balsamrack {

/// How the client's answer is printed.
enum class OutputFormat {
  Text, ///< Tables and sentences for people.
  Json, ///< One JSON document for programs.
};

/// What is printed, and what the program's exit code says of it.
struct Report {
  std::string Text;  ///< For standard output.
  int ExitCode = 0;  ///< See ExitCodes.
  std::string Notes; ///< For standard error: daemons that didn't answer.
};

/// Exit codes of balsamctl.
struct ExitCodes {
  static constexpr int Good = 0;  ///< All daemons answered; the answer is yes.
  static constexpr int No = 1;    ///< The answer is no: rejected, not found.
  static constexpr int Usage = 2; ///< The command line or a file is wrong.
  static constexpr int Partial = 3;      ///< Some daemons didn't answer.
  static constexpr int NoneAnswered = 4; ///< No daemon answered.
};

/// Each of the functions turns the replies of all daemons into one report.
/// All are thread-safe and accept any bytes as a daemon's answer.
Report reportStatus(const std::vector<DaemonReply> &replies,
                    OutputFormat format);
/// Backend servers: the owner's word goes before that of other daemons.
Report reportServers(const std::vector<DaemonReply> &replies,
                     OutputFormat format);
/// Flow counts by daemon and backend server.
Report reportFlows(const std::vector<DaemonReply> &replies,
                   OutputFormat format);
/// Decisions of all daemons about one thing, as sentences. Exit code No when
/// there are none.
Report reportDecisions(const std::vector<DaemonReply> &replies,
                       OutputFormat format);
/// Spans of one trace, by start. Exit code No when there are none.
Report reportTrace(const std::vector<DaemonReply> &replies,
                   OutputFormat format);
/// Metrics of all daemons, each behind a comment line with its address.
Report reportMetrics(const std::vector<DaemonReply> &replies,
                     OutputFormat format);
/// Whether a ticket is in force. Exit code No while a daemon lacks it.
Report reportInForce(const std::vector<DaemonReply> &replies,
                     OutputFormat format);

} // namespace balsamrack

#endif // BALSAMRACK_CLIENT_REPORT_H

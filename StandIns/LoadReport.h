#ifndef BALSAMRACK_STANDINS_LOADREPORT_H
#define BALSAMRACK_STANDINS_LOADREPORT_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/status.h"

namespace balsamrack::standins {

/// An operation of a caller and the outcomes of its attempts.
struct Operation {
  std::string Id;                    ///< Attempt n has the id ID.n, from 1.
  std::string Service;               ///< Service that it was sent to.
  bool RunOnce = false;              ///< Whether it may run at most once.
  std::vector<OutcomeKind> Outcomes; ///< Of attempt 1, 2, ...
};

/// Results of callers, compared with the counts of the servers. Not
/// thread-safe: the caller must hold a lock.
struct LoadReport {
  uint64_t Requests = 0; ///< Attempts sent.
  uint64_t Answered = 0; ///< Attempts that were answered.
  uint64_t Refused = 0;  ///< Attempts with outcome not run.
  uint64_t Unknown = 0;  ///< Attempts with unknown outcome.
  uint64_t GivenUp = 0;  ///< Attempts with outcome given up.
  uint64_t BrokenFlows =
      0; ///< Flows that moved or were given up without cause.
  uint64_t WrongService = 0; ///< Packets received by another service's server.
  uint64_t WrongAnswer =
      0;                 ///< Answers that are incomplete or of another request.
  uint64_t RunTwice = 0; ///< Run-once operations with several runs.
  uint64_t FalseRefusals = 0; ///< Attempts reported as not run that ran.
  uint64_t Flows = 0;         ///< Opened flows.
  uint64_t Unanswered = 0;    ///< Operations without an answered attempt.
  uint64_t ServerErrors = 0;  ///< Answers with an error of the server.
  uint64_t Overloads = 0;     ///< Overloads of cold servers.
  uint64_t Sheds = 0;         ///< Requests that servers shed.
  std::map<std::string, uint64_t> Reasons; ///< Counts by "outcome reason".
  std::map<std::string, uint64_t>
      LostFlows;             ///< Flows given up, by failure domain.
  std::string LastRequest;   ///< System's id of the last attempt.
  std::string SampleRequest; ///< Same, of the last unanswered one if any.
  std::vector<uint32_t> AnswerMillis; ///< Times to an answer.
  std::vector<Operation> Operations;  ///< All ended operations.
  std::vector<std::string> Faults;    ///< Descriptions of the first violations.

  /// Adds the description of a violation, up to a maximum number.
  void addFault(const std::string &text);
  /// Counts an attempt with outcome \p how and the name of its \p reason, and
  /// may keep its id \p request as SampleRequest.
  void countOutcome(OutcomeKind how, const std::string &reason,
                    const std::string &request);
  /// Counts each given up flow as broken unless its failure domain is in \p
  /// domainsOut. Flows without any answer have no domain and are not counted.
  void countLostFlows(const std::set<std::string> &domainsOut);
  /// Adds the counts of the stand-in server of \p service at \p at. Call for
  /// each server, then countRunViolations() once. Error if they can't be read.
  absl::Status addServerCounts(const Address &at, const std::string &service);
  /// Counts RunTwice and FalseRefusals. Precondition: addServerCounts() was
  /// called for every server, and no request is in progress.
  void countRunViolations();
  /// Returns the quantile \p fraction of the answer times in milliseconds.
  uint32_t quantile(double fraction) const;
  /// Returns "requests=N answered=N ... untrue_refusals=N".
  std::string summaryLine() const;
  /// Returns all counts as JSON text.
  std::string toJson() const;
  /// True if there was no violation of a guarantee.
  bool isClean() const;

private:
  std::map<std::string, uint64_t> RunsByAttempt; ///< Runs of all servers.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_LOADREPORT_H

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

/// One operation of a caller, and how its attempts ended.
struct Operation {
  std::string Id;                    ///< Attempt n is named ID.n, from 1.
  std::string Service;               ///< Where it was sent.
  bool RunOnce = false;              ///< May run at most once.
  std::vector<OutcomeKind> Outcomes; ///< Of attempt 1, 2, ...
};

/// What callers saw, and what the servers' counts say about it. Not
/// thread-safe; its owner locks.
struct LoadReport {
  uint64_t Requests = 0;      ///< Attempts sent.
  uint64_t Answered = 0;      ///< Attempts that ended so.
  uint64_t Refused = 0;       ///< Attempts that ended not run.
  uint64_t Unknown = 0;       ///< Attempts that ended unknown.
  uint64_t GivenUp = 0;       ///< Attempts that ended given up.
  uint64_t BrokenFlows = 0;   ///< Flows that moved, or ended without cause.
  uint64_t WrongService = 0;  ///< Packets seen by another service's server.
  uint64_t WrongAnswer = 0;   ///< Answers not whole or not their caller's.
  uint64_t RunTwice = 0;      ///< Run-once operations with two runs.
  uint64_t FalseRefusals = 0; ///< Not-run attempts that ran.
  uint64_t Flows = 0;         ///< Flows opened.
  uint64_t Unanswered = 0;    ///< Operations that no attempt got answered.
  uint64_t ServerErrors = 0;  ///< Answers with the server's own error.
  uint64_t Overloads = 0;     ///< Times a cold server got too much.
  uint64_t Sheds = 0;         ///< Requests that servers shed.
  std::map<std::string, uint64_t> Reasons; ///< Of endings, by "ending reason".
  std::map<std::string, uint64_t> LostFlows; ///< Given up flows, by domain.
  std::string LastRequest;   ///< The system's id of the last attempt.
  std::string SampleRequest; ///< That of the last one not answered, if any.
  std::vector<uint32_t> AnswerMillis; ///< Answer times.
  std::vector<Operation> Operations;  ///< All operations ended.
  std::vector<std::string> Faults;    ///< The first few, in words.

  /// Adds a fault in words, unless there are many.
  void addFault(const std::string &text);
  /// Counts one ending with the name of its \p reason, and keeps the system's
  /// id of the attempt as the sample.
  void countOutcome(OutcomeKind how, const std::string &reason,
                    const std::string &request);
  /// Counts as broken each flow that was given up though its failure domain is
  /// not in \p outDomains. A flow that never got an answer has no domain yet.
  void countLostFlows(const std::set<std::string> &domainsOut);
  /// Compares with the counts of the stand-in server of \p service at \p at.
  /// Call for each server, then judgeRuns once. Error when it can't be read.
  absl::Status addServerCounts(const Address &at, const std::string &service);
  /// Counts run-twice and untrue refusals. Precondition: addServer was called
  /// for every server, and nothing is in progress.
  void countRunViolations();
  /// The value below which \p share of all answer times lie, in milliseconds.
  uint32_t quantile(double fraction) const;
  /// "requests=N answered=N ... untrue_refusals=N".
  std::string summaryLine() const;
  /// All counts as JSON text.
  std::string toJson() const;
  /// True when nothing that must never happen was seen.
  bool isClean() const;

private:
  std::map<std::string, uint64_t>
      RunsByAttempt; ///< Runs by attempt, of all servers.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_LOADREPORT_H

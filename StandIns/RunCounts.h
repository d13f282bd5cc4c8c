#ifndef BALSAMRACK_STANDINS_RUNCOUNTS_H
#define BALSAMRACK_STANDINS_RUNCOUNTS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace balsamrack::standins {

/// Counts of a stand-in backend server, for checks after a test run. Not
/// thread-safe: the caller must hold a lock.
struct RunCounts {
  uint64_t Packets = 0;            ///< All requests for runs.
  uint64_t Sheds = 0;              ///< Requests refused as not run.
  uint64_t Overloads = 0;          ///< Number of overloads while cold.
  uint64_t Cancelled = 0;          ///< Runs ended by a cancellation.
  uint64_t DeadlinesMissed = 0;    ///< Runs ended by their deadline.
  uint64_t UnknownFlowPackets = 0; ///< Later packets of unknown flows.
  uint32_t InProgress = 0;         ///< Current runs.
  uint32_t MaxInProgress = 0;      ///< Maximum concurrent runs.
  uint32_t MaxInProgressCold = 0;  ///< The same, while cold.
  std::map<std::string, uint64_t>
      Services; ///< Packets by service that they were meant for.
  std::map<std::string, uint64_t> Runs; ///< Runs by attempt.
  std::set<std::string> Flows;          ///< Flows seen.

  /// Records the start of a run of \p attemptId and returns the number of runs
  /// of its operation so far. Ids of attempts have the form OPERATION.NUMBER.
  uint64_t recordStart(const std::string &attemptId, bool cold);
  /// All counts as JSON text, with the time since the last packet in \p
  /// lastPacketMs.
  std::string json(int64_t lastPacketMs) const;
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_RUNCOUNTS_H

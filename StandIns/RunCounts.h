#ifndef BALSAMRACK_STANDINS_RUNCOUNTS_H
#define BALSAMRACK_STANDINS_RUNCOUNTS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace balsamrack::standins {

/// What a backend server stand-in has seen, for checks after a run. Not
/// thread-safe; its owner locks.
struct RunCounts {
  uint64_t Packets = 0;            ///< All that came in for work.
  uint64_t Sheds = 0;              ///< Refused as not run.
  uint64_t Overloads = 0;          ///< Times it got more than it bears.
  uint64_t Cancelled = 0;          ///< Runs stopped by a cancellation.
  uint64_t DeadlinesMissed = 0;    ///< Runs stopped by their deadline.
  uint64_t UnknownFlowPackets = 0; ///< Later packets of flows never seen.
  uint32_t InProgress = 0;         ///< Runs now.
  uint32_t MaxInProgress = 0;      ///< Most runs at the same time.
  uint32_t MaxInProgressCold = 0;  ///< The same, while cold.
  std::map<std::string, uint64_t> Services; ///< Packets by intended service.
  std::map<std::string, uint64_t> Runs;     ///< Runs by attempt.
  std::set<std::string> Flows;              ///< Flows seen.

  /// Notes that a run of attempt \p id starts, and returns how many runs its
  /// operation has had. An attempt is named OPERATION.NUMBER.
  uint64_t recordStart(const std::string &attemptId, bool cold);
  /// All counts as JSON text, with \p lastPacketMs since the last packet.
  std::string json(int64_t lastPacketMs) const;
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_RUNCOUNTS_H

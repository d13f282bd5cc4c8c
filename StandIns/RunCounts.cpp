#include "StandIns/RunCounts.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace balsamrack::standins {

uint64_t RunCounts::recordStart(const std::string &attemptId, bool cold) {
  ++InProgress;
  MaxInProgress = std::max(MaxInProgress, InProgress);
  if (cold)
    MaxInProgressCold = std::max(MaxInProgressCold, InProgress);
  ++Runs[attemptId];
  // Ids of attempts of one operation are equal up to the dot.
  std::string operation = attemptId.substr(0, attemptId.find('.'));
  uint64_t runs = 0;
  for (auto it = Runs.lower_bound(operation);
       it != Runs.end() &&
       it->first.compare(0, operation.size(), operation) == 0;
       ++it)
    runs += it->first.size() == operation.size() ||
                    it->first[operation.size()] == '.'
                ? it->second
                : 0;
  return runs;
}

std::string RunCounts::json(int64_t lastPacketMs) const {
  return nlohmann::json{{"packets", Packets},
                        {"sheds", Sheds},
                        {"fell_over", Overloads},
                        {"cancelled", Cancelled},
                        {"deadlines_missed", DeadlinesMissed},
                        {"unknown_flow_packets", UnknownFlowPackets},
                        {"in_progress", InProgress},
                        {"max_in_progress", MaxInProgress},
                        {"max_in_progress_cold", MaxInProgressCold},
                        {"last_packet_ms_ago", lastPacketMs},
                        {"flows", Flows.size()},
                        {"services", Services},
                        {"runs", Runs}}
      .dump();
}

} // namespace balsamrack::standins

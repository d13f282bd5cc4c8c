#ifndef BALSAMRACK_UNITTESTS_PACKETS_LOADEDSITEOPTIONS_H
#define BALSAMRACK_UNITTESTS_PACKETS_LOADEDSITEOPTIONS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/OpeningAdmission.h"
#include "Balsamrack/Packets/LoadSettings.h"

namespace balsamrack {

/// A time span since the start; empty by default.
struct SimulatedSpan {
  Duration From{0};
  Duration To{0};
};
/// Load and faults of a LoadedSite.
struct LoadedSiteOptions {
  size_t Daemons = 9;
  size_t Servers = 14;
  size_t Domains = 1; ///< Daemons and servers are divided among them evenly.
  double PerSecond = 440; ///< Requests per second of all callers.
  /// Relative rates of the domains' callers; empty: all the same.
  std::vector<double> DomainRates;
  bool UseShares = true;              ///< Daemons know the size of the fleet.
  bool DelayLateOpenings = true;      ///< Late openings wait for free slots.
  LoadSettings Load;                  ///< Optional decisions under load.
  OpeningAdmissionSettings Admission; ///< Used if Load.Admission is set.
  /// As DomainRates, by the time since the start. The rates are multiples of
  /// an even part of PerSecond.
  std::function<std::vector<double>(Duration)> RatesAt;
  SimulatedSpan
      Outage; ///< All daemons are down meanwhile, and lose their state.
  SimulatedSpan Burst; ///< Callers send BurstFactor times as much.
  double BurstFactor = 1;
  SimulatedSpan Loss; ///< The first LostServers of each domain do not answer.
  size_t LostServers = 0;
  SimulatedSpan
      Slowness; ///< Every SlowStride-th server is SlowFactor times slower.
  size_t SlowStride = 4;
  double SlowFactor = 1;
  std::vector<double> Speeds{1}; ///< By server index, repeated.
  /// Log-normal service times (spread .5), 3% of them seven times as long,
  /// with the same mean; otherwise uniform from half to one and a half of it.
  bool MixedTimes = false;
  double UrgentPart = 0;     ///< Part of the requests on a route of priority 1;
                             ///< all others have priority 2.
  double HotCallerPart = 0;  ///< Part of the requests of one single caller.
  bool ShedWhenFull = false; ///< A server with a full queue fails requests;
                             ///< otherwise it does not answer them.
  uint64_t Seed = 1;
};
/// Counts of the calls that began within the measured interval.
struct CallCounts {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;
  int lost() const { return Asked - InTime - Late; }
};
/// What callers and servers of a LoadedSite got.
struct LoadedSiteResult : CallCounts {
  CallCounts Urgent;                ///< Those on the route of priority 1.
  CallCounts HotCaller;             ///< Those of the single caller.
  std::vector<CallCounts> ByDomain; ///< By the domain of the callers.
  int Refused = 0;                  ///< Openings that daemons reset.
  int Sheds = 0;                    ///< Requests that full servers failed.
  int Openings = 0;                 ///< Openings that reached servers.
  double MeanWaitMillis = 0;        ///< Mean time in the servers' queues.
  double BusiestToMean = 0;         ///< Busy time of servers, highest to mean.
  Duration Slowest99{0};            ///< 99th percentile of answer times.
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_PACKETS_LOADEDSITEOPTIONS_H

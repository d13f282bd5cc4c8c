#ifndef BALSAMRACK_DECISIONS_OUTLIEREJECTION_H
#define BALSAMRACK_DECISIONS_OUTLIEREJECTION_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/AnswerTimes.h"
#include "Balsamrack/Decisions/OwnerSettings.h"

namespace balsamrack {

/// Stops sending new flows to slow or failing backend servers, and readmits
/// them once they recover.
///
/// Guards against a server that is slow or fails while its health check reports
/// "ready". Without it, flows continue to be placed there, to wait or fail; a
/// server that fails fast even attracts more work than others, since it has
/// free slots.
///
/// Works from the owner's own observations. A server is ejected after
/// consecutive failures, or when the lower quartile of its answer times is far
/// above the median of its peers' (long work among the answers does not move
/// that quartile). Established flows stay. After a hold time, single requests
/// probe the server. Some good probes in a row, on average not slower than four
/// times its peers, readmit it; otherwise the hold time doubles. At most a
/// fraction of the owned servers is ejected, the first that failed: if most
/// look bad, the cause is elsewhere, and the rest could not handle the load.
///
/// Five failures in a row happen by chance once in 3 million requests at a
/// failure rate of 5%. Four times slower is beyond what placement and workload
/// mix explain (PerformanceTest shows the spread). 16 answers give a usable
/// quartile. A hold time of 5 s costs one probe every five seconds to a dead
/// server. At most half of the owned servers are ejected, but at least one,
/// since a daemon may own only one server of a service; that one is ejected by
/// failures alone, since it has no peer to compare with. Not thread-safe.
class OutlierEjection {
public:
  /// Precondition: \p settings were checked.
  explicit OutlierEjection(const EjectionSettings &settings);

  /// Sets the monitored servers to exactly \p servers.
  void setServers(const std::set<ServerId> &servers);
  /// Records the result of a dispatch to \p server. Returns the rule that
  /// changed its state ("failures-in-row", "slower-than-peers", "probe-failed",
  /// "probes-good") or null. Without \p took, its time is not used.
  const char *recordResult(TimePoint now, const ServerId &server, bool good,
                           std::optional<Duration> took);
  /// Returns whether \p request may open a flow on \p server now: always if the
  /// server is not ejected, otherwise one request at a time after the hold
  /// time. That request is the probe until finishProbe() is called for it.
  bool tryAdmit(TimePoint now, const ServerId &server, RequestId request);
  /// Reports that \p request has ended with any result.
  void finishProbe(const ServerId &server, RequestId request);
  /// True while \p server is ejected.
  bool isEjected(const ServerId &server) const;
  /// End of the hold time of \p server; nothing if it is not ejected.
  std::optional<TimePoint> holdEnd(const ServerId &server) const;

private:
  /// State of one server.
  struct Record {
    AnswerTimes Times;          ///< Good answers since it was readmitted.
    uint32_t FailuresInRow = 0; ///< Consecutive failures up to the last answer.
    bool Ejected = false;       ///< Receives no new flows.
    TimePoint HoldUntil;        ///< Probes are sent from this time on.
    Duration Hold{0};           ///< Duration of the current hold.
    std::optional<RequestId> Probe; ///< The probe in progress.
    uint32_t GoodProbes = 0;        ///< Consecutive good probes.
    Duration ProbeTime{0}; ///< Sum of the answer times of these probes.
  };

  const char *evaluateProbe(TimePoint now, const ServerId &server, bool good,
                            Duration took);
  std::vector<const AnswerTimes *> peersOf(const ServerId &server) const;
  bool areProbesSlow(const ServerId &server, const Record &record) const;
  bool eject(TimePoint now, Record &record);
  bool isSlowerThanPeers(const ServerId &server, const Record &record) const;

  EjectionSettings Settings;          ///< Limits.
  std::map<ServerId, Record> Servers; ///< All monitored servers.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OUTLIEREJECTION_H

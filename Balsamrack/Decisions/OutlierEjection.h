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

/// Takes slow and failing backend servers from new flows, and gives them back.
///
/// Answers: one server that is slow or fails while its health says "ready".
/// Without it flows keep being placed there, each to wait or to fail; and a
/// server that fails fast has free slots, so it draws more work than others.
///
/// How: by the owner's own observations. Failures in a row eject a server, as
/// does a lower quartile of answer times far above the median of its peers'
/// (long work among the answers doesn't move that quartile). Established flows
/// stay. After a hold single requests probe it; some good ones in a row, not
/// slower on average than four times its peers, return it; others double the
/// hold. At most a part of the owned servers is
/// ejected, the first that failed: when most look bad the cause is elsewhere,
/// and the rest could not bear the load.
///
/// Thresholds: five failures in a row happen by chance once in 3 million
/// requests at 5% failures; four times slower is beyond what placement and mix
/// explain (PerformanceTest shows the spread); 16 answers make a quartile. The
/// hold of 5 s costs a probe in five seconds to a dead server. Half of the
/// owned ones at most, and at least one, since a daemon may own only one server
/// of a service: that one is ejected by failures alone, having no peer to be
/// compared with. Not thread-safe.
class OutlierEjection {
public:
  /// Precondition: \p settings were checked.
  explicit OutlierEjection(const EjectionSettings &settings);

  /// Follows exactly the servers of \p servers from now on.
  void setServers(const std::set<ServerId> &servers);
  /// A dispatch to \p server ended well or badly. Returns the rule that changed
  /// its state ("failures-in-row", "slower-than-peers", "probe-failed",
  /// "probes-good") or null. Without \p took its time tells nothing.
  const char *recordResult(TimePoint now, const ServerId &server, bool good,
                           std::optional<Duration> took);
  /// May \p request open a flow on \p server now? Yes for a server that is not
  /// ejected, and for one request at a time after its hold: that one is its
  /// probe until ended() is called for it.
  bool tryAdmit(TimePoint now, const ServerId &server, RequestId request);
  /// \p request is over, however it ended.
  void finishProbe(const ServerId &server, RequestId request);
  /// True while \p server is ejected.
  bool isEjected(const ServerId &server) const;
  /// When the hold of \p server ends; nothing when it is not ejected.
  std::optional<TimePoint> holdEnd(const ServerId &server) const;

private:
  /// What is known of one server.
  struct Record {
    AnswerTimes Times;              ///< Good answers since it was given back.
    uint32_t FailuresInRow = 0;     ///< Up to the last answer.
    bool Ejected = false;           ///< Takes no new flows.
    TimePoint HoldUntil;            ///< Probes from then on.
    Duration Hold{0};               ///< Length of the current hold.
    std::optional<RequestId> Probe; ///< The probe under way.
    uint32_t GoodProbes = 0;        ///< In a row.
    Duration ProbeTime{0};          ///< Sum of their answer times.
  };

  const char *evaluateProbe(TimePoint now, const ServerId &server, bool good,
                            Duration took);
  std::vector<const AnswerTimes *> peersOf(const ServerId &server) const;
  bool areProbesSlow(const ServerId &server, const Record &record) const;
  bool eject(TimePoint now, Record &record);
  bool isSlowerThanPeers(const ServerId &server, const Record &record) const;

  EjectionSettings Settings;          ///< Limits.
  std::map<ServerId, Record> Servers; ///< All followed ones.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OUTLIEREJECTION_H

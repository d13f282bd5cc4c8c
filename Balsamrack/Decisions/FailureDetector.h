#ifndef BALSAMRACK_DECISIONS_FAILUREDETECTOR_H
#define BALSAMRACK_DECISIONS_FAILUREDETECTOR_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Thresholds and intervals of the failure detector.
struct FailureDetectorSettings {
  /// Number of consecutive callers without an answer that makes a server
  /// silent. A bad link loses one packet in forty, so two in a row are lost by
  /// chance once in 1,600.
  uint32_t UnansweredLimit = 2;
  /// Number of silent servers that makes a domain silent, if no server of the
  /// domain has answered since the first of them fell silent.
  uint32_t DomainThreshold = 2;
  /// Initial interval between probes of a silent server.
  Duration MinProbeInterval{100'000};
  /// The interval doubles up to this, so that a recovered server is found
  /// within a second.
  Duration MaxProbeInterval{800'000};
  /// Across the fleet, probes of a silent server by all daemons are this far
  /// apart...
  Duration ProbeIntervalPerDaemon{20'000};
  /// ...but each daemon probes at least this often.
  Duration MaxFleetProbeInterval{5'000'000};
  /// If a server falls silent again this soon after it recovered, its probe
  /// interval continues doubling.
  Duration RelapseWindow{2'000'000};
  /// Consecutive unanswered connection attempts after which a suspected server
  /// is silent. One is not enough, since a single packet may be lost.
  uint32_t FailedAttemptLimit = 2;
  /// Consecutive failed attempts, MinProbeInterval apart, each while this
  /// daemon's own link worked, after which open flows are given up. A saturated
  /// link loses every third packet, so five failures in a row, with no failure
  /// among the control probes, happen by chance once in 2,000.
  uint32_t LostAttemptLimit = 5;
  /// A failed attempt may be caused by this daemon's own link as long as
  /// nothing sent since has arrived anywhere; such failures prove nothing until
  /// they have lasted this long.
  Duration LinkSuspectPeriod{1'000'000};
  /// Number of servers of a silent or suspected domain that are probed at a
  /// time: enough to judge the domain, without a burst of probes to a domain
  /// with a thousand servers.
  uint32_t MaxProbesPerDomain = 4;
};

/// Detects servers that do not answer openings, from this daemon's own
/// observations.
///
/// Guards against servers that crash or are partitioned while their entries are
/// still published. Without it, each flow placed there waits for the next copy
/// from its caller, and a partition between failure domains delays half of all
/// openings for its whole duration. Treating a whole domain as silent after two
/// of its servers spares the openings that would discover the others one by
/// one.
///
/// A silent server is probed by this daemon's own connection attempts
/// (takeDueProbes()), never with a caller's opening. So is a server that is
/// only suspected, because something sent to it shows no sign of having
/// arrived. Suspicion alone does not affect callers. It is resolved within two
/// attempts, whereas waiting for openings of further callers takes long when
/// there are few of them.
///
/// A failed attempt is evidence against the server only if something sent no
/// earlier has arrived elsewhere: a briefly saturated link of a small VM delays
/// everything, and all servers would seem lost. Each round of probes therefore
/// includes a control probe to another server (chooseControlProbe()). If a
/// probe fails and a later one to the same server succeeds, or if the control
/// probe fails, failures are ignored for LinkSuspectPeriod. Deterministic. Not
/// thread-safe.
class FailureDetector {
public:
  explicit FailureDetector(const FailureDetectorSettings &settings)
      : Settings(settings) {}

  /// Sets the number of daemons in the fleet, which lengthens the probe
  /// interval. Guards against a server that is down being probed by hundreds of
  /// daemons that each send it almost no traffic.
  void setDaemonCount(size_t daemons);
  /// Starts monitoring \p server, which is in \p domain.
  void add(size_t server, const DomainId &domain);
  /// Stops monitoring \p server.
  void remove(size_t server);

  /// Reports that an opening of \p caller, sent to \p server at \p sentAt, is
  /// unanswered. Returns true if that makes the server silent. Consecutive
  /// reports for the same caller count once, so that a caller that is
  /// partitioned, or sends only openings, cannot make a server silent.
  bool reportUnanswered(TimePoint now, size_t server, TimePoint sentAt,
                        uint32_t caller);
  /// Reports that a packet sent to \p server at \p sentAt shows no sign of
  /// having arrived. The server is probed at once, unless something sent later
  /// did arrive.
  void reportUndelivered(TimePoint now, size_t server, TimePoint sentAt);
  /// Reports that \p server answered an opening. Returns true if it was silent.
  bool reportAnswered(TimePoint now, size_t server);
  /// Reports that a probe connected to \p server. Returns true if it was
  /// silent. A server that was only suspected is then reachable, but may still
  /// not answer openings.
  bool reportConnected(TimePoint now, size_t server);
  /// Reports that something sent to \p server at \p sentAt has arrived. This
  /// clears nothing for a silent server unless it was sent after the server
  /// fell silent.
  void reportDelivered(size_t server, TimePoint sentAt);
  /// Reports that a probe of \p server failed. \p conclusive: the server
  /// refused the connection or did not answer; otherwise the attempt could not
  /// be made. \p requestsPending: requests of this daemon are in progress
  /// there, so it must be known soon whether they are lost. Returns true if
  /// that makes the server silent.
  bool reportAttemptFailed(TimePoint now, size_t server, bool conclusive = true,
                           bool requestsPending = true);

  /// True while \p server or its whole domain is silent.
  bool isSilent(size_t server) const;
  /// True while packets sent to \p server are expected to be lost: it is silent
  /// and a probe failed too, or its domain is silent and probes of several of
  /// its servers failed.
  bool isUnreachable(size_t server) const;
  /// True while \p server is silent and LostAttemptLimit consecutive probes
  /// failed while this daemon's own link worked: flows in progress there can be
  /// given up. Failures of other servers of its domain do not count.
  bool isLost(size_t server) const;
  /// True while \p server, or its silent domain, seems unreachable from this
  /// daemon, even if the cause may be this daemon's own link.
  bool isOutOfReach(size_t server) const;
  /// True while \p domain is silent as a whole.
  bool isDomainSilent(const DomainId &domain) const;
  /// Returns the servers to probe now by a connection attempt, and records them
  /// as probed.
  std::vector<size_t> takeDueProbes(TimePoint now);
  /// Returns a control server to probe along with those that takeDueProbes()
  /// just returned, of which \p probed is one: its answer proves that this
  /// daemon's own link works. Returns nothing if \p probed already counts as
  /// lost, or if all servers are being probed.
  std::optional<size_t> chooseControlProbe(TimePoint now, size_t probed);
  /// Time at which takeDueProbes() next returns a server; the maximum TimePoint
  /// for never.
  TimePoint nextProbeAt() const;
  /// Number of servers that are silent themselves, not just through their
  /// domain.
  size_t silentServerCount() const;

private:
  /// State of one server.
  struct Record {
    bool InUse = false;     ///< False for an index that is not monitored.
    size_t DomainIndex = 0; ///< Index into Domains.
    uint32_t UnansweredCallers = 0; ///< Consecutive callers without an answer.
    uint32_t LastUnansweredCaller = 0; ///< The last such caller; zero if none.
    TimePoint LastAnswer;              ///< Last answer to this daemon.
    /// Send time of the latest packet known to have arrived, or the time of the
    /// last answer or connection.
    TimePoint LastReached;
    TimePoint SilentSince;      ///< Valid while Silent.
    bool Silent = false;        ///< Receives no new flows.
    bool AttemptFailed = false; ///< Silent, and no probe has connected since.
    bool FailureConfirmed = false; ///< The failure was not a brief problem of
                                   ///< this daemon's own link.
    /// Consecutive failed probes while this daemon's own link worked.
    uint32_t ConfirmedFailures = 0;
    TimePoint SuspectedSince;    ///< Send time of the first packet that did not
                                 ///< arrive; zero if not suspected.
    uint32_t FailedAttempts = 0; ///< Consecutive failed probes while suspected.
    /// Suspected only because of another server of its domain.
    bool SuspectedWithDomain = false;
    TimePoint ProbedAt;        ///< Time of the last probe.
    TimePoint NextProbe;       ///< Time of the next probe, while isProbed().
    Duration ProbeInterval{0}; ///< Interval between probes.
  };
  /// State of one failure domain.
  struct DomainRecord {
    bool Silent = false; ///< The domain is silent as a whole.
    /// Number of its servers with FailureConfirmed.
    uint32_t ConfirmedServers = 0;
    uint32_t FailedServers = 0; ///< Number of its servers with AttemptFailed.
    TimePoint LastAnswer;       ///< Last answer of any of its servers.
    TimePoint NextProbe; ///< While Silent: time at which some of its servers
                         ///< are probed next.
    Duration ProbeInterval{0}; ///< Interval between these rounds of probes.
    /// The server probed last; the next round continues after it.
    size_t LastProbed = 0;
  };

  Record *find(size_t server);
  const Record *find(size_t server) const;
  void evaluateDomain(TimePoint now, size_t domain);
  void suspectDomain(TimePoint now, size_t domain, TimePoint since);
  bool confirmSuspicion(TimePoint now, Record &record, bool conclusive);
  void setFailureConfirmed(Record &record, bool confirmed);
  void setAttemptFailed(Record &record, bool failed);
  void setDomainSilent(DomainRecord &domainRecord, bool silent);
  void suspectOwnLink(TimePoint now);

  bool isProbed(const Record &record) const;
  bool isProbedIndividually(const Record &record) const {
    return record.Silent || record.SuspectedSince != TimePoint{};
  }
  void updateProbed(size_t server);
  bool isProbedViaDomain(const Record &record) const;
  Duration maxProbeInterval(const Record &record) const;
  void startProbe(TimePoint now, size_t server, std::vector<size_t> &due);
  void startDomainProbes(TimePoint now, size_t domain,
                         std::vector<size_t> &due);

  FailureDetectorSettings Settings;      ///< Thresholds and intervals.
  std::vector<Record> Servers;           ///< Indexed by server.
  std::vector<DomainRecord> Domains;     ///< Indexed by Record::DomainIndex.
  std::map<DomainId, size_t> DomainById; ///< Indices of Domains.
  /// Servers that are isProbedIndividually(). takeDueProbes() is called for
  /// each packet and must not iterate over all servers.
  std::set<size_t> Probed;
  size_t SilentDomains = 0;       ///< Number of silent domains.
  Duration FleetProbeInterval{0}; ///< See ProbeIntervalPerDaemon.
  TimePoint LinkSuspectUntil; ///< Failed probes are attributed to this daemon's
                              ///< own link until then.
  TimePoint LastDeliverySentAt; ///< Latest send time of anything that is known
                                ///< to have arrived at a server.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_FAILUREDETECTOR_H

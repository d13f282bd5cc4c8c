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

/// Limits of the failure detector.
struct FailureDetectorSettings {
  uint32_t UnansweredLimit = 2; ///< Callers in a row without an answer. One
                                ///< packet in forty is lost on a bad link, so
                                ///< two in a row by chance are one in 1,600.
  uint32_t DomainThreshold = 2; ///< Silent servers that make a domain silent,
                                ///< when none of it answered since the first of
                                ///< them fell silent.
  Duration MinProbeInterval{
      100'000}; ///< A silent server is asked again after this.
  Duration MaxProbeInterval{
      800'000}; ///< The hold doubles up to this, so that a
                ///< server that is back is found in a second.
  Duration ProbeIntervalPerDaemon{
      20'000}; ///< A fleet whose daemons all ask a silent
               ///< server does so this far apart...
  Duration MaxFleetProbeInterval{5'000'000}; ///< ...but each daemon at least so
                                             ///< often.
  Duration RelapseWindow{2'000'000}; ///< Silent again so soon after it was
                                     ///< found well: its hold goes on doubling.
  uint32_t FailedAttemptLimit =
      2; ///< Connection attempts in a row that a
         ///< suspected server must leave unanswered to be
         ///< silent: one packet alone may be lost.
  uint32_t LostAttemptLimit = 5; ///< In a row, each while the own link worked,
                                 ///< FirstHold apart: open flows are given up.
                                 ///< A link that is full loses every third
                                 ///< packet, so that five in a row and no
                                 ///< attempt beside them are one in 2,000.
  Duration LinkSuspectPeriod{
      1'000'000}; ///< Attempts that fail while nothing that was
                  ///< sent since arrived anywhere may fail for
                  ///< this daemon's own link; for so long they
                  ///< settle nothing.
  uint32_t MaxProbesPerDomain = 4; ///< Servers of a silent or suspected
                                   ///< domain that are asked at a time;
                                   ///< enough to judge it, and no burst
                                   ///< where a domain has a thousand.
};

/// Which servers leave openings unanswered, by what this daemon itself sees.
///
/// Load that it answers: servers that die or are cut off while their entries
/// still stand. Without it each flow placed there waits for its caller's next
/// copy, and a cut between failure domains makes half of all openings late for
/// as long as it lasts. Judging a whole domain after two of its servers spares
/// the openings that would find out about each of the others.
///
/// A silent server is asked by a connection attempt of ours (due()), never by a
/// caller's opening. So is one that is only suspected: something that was sent
/// to it shows no sign of having arrived. Suspicion alone changes nothing for
/// callers; it is settled within two attempts, where waiting for further
/// callers' openings takes as long as there are few of them.
///
/// A failed attempt says something of the server only when something that was
/// sent no earlier has arrived elsewhere: a small VM's link that is full for a
/// moment delays everything, and every server would look lost. So attempts are
/// accompanied by one to another server (control()), and one that fails where
/// another one connects a moment later, or an accompanying one that fails,
/// shows that failures say nothing for a while. Deterministic. Not thread-safe.
class FailureDetector {
public:
  explicit FailureDetector(const FailureDetectorSettings &settings)
      : Settings(settings) {}

  /// There are \p daemons in the fleet. Guards against servers that are down
  /// and get the attempts of hundreds of daemons, each of which sends them
  /// next to nothing.
  void setDaemonCount(size_t daemons);
  /// Follows \p server, which stands in \p domain.
  void add(size_t server, const DomainId &domain);
  /// Forgets \p server.
  void remove(size_t server);

  /// An opening of \p caller that was sent to \p server at \p sentAt has no
  /// answer; true when that makes it silent. Guards against one caller that is
  /// cut off, or sends openings and nothing else: it is counted once.
  bool reportUnanswered(TimePoint now, size_t server, TimePoint sentAt,
                        uint32_t caller);
  /// What was sent to \p server at \p sentAt shows no sign of having arrived:
  /// it is asked at once, unless something sent later did arrive.
  void reportUndelivered(TimePoint now, size_t server, TimePoint sentAt);
  /// \p server answered an opening; true when it was silent.
  bool reportAnswered(TimePoint now, size_t server);
  /// \p server took a connection attempt of ours; true when it was silent. One
  /// that was only suspected is reachable, but need not answer openings.
  bool reportConnected(TimePoint now, size_t server);
  /// What was sent to \p server at \p sentAt has arrived there. Of a silent
  /// server that says nothing unless it was sent since.
  void reportDelivered(size_t server, TimePoint sentAt);
  /// A connection attempt of ours to \p server failed. \p sure: the server
  /// refused it or was silent; else the attempt could not be made. \p awaited:
  /// requests of this daemon are in progress there, so that it matters soon
  /// whether they are lost. True when that makes it silent.
  bool reportAttemptFailed(TimePoint now, size_t server, bool conclusive = true,
                           bool requestsPending = true);

  /// True while \p server or its whole domain is silent.
  bool isSilent(size_t server) const;
  /// True while \p server left callers' openings unanswered, and then a
  /// connection attempt of ours too, or its domain did and several of it were
  /// tried: a packet sent there is lost.
  bool isUnreachable(size_t server) const;
  /// True while \p server is silent and left LostAttempts attempts to connect
  /// unanswered while this daemon's own link worked: what is on its way there
  /// can be given up. Dead servers say nothing of a living one of their domain.
  bool isLost(size_t server) const;
  /// True while \p server, or its silent domain, is out of reach as far as this
  /// daemon can tell, be it for its own link.
  bool isOutOfReach(size_t server) const;
  /// True while \p domain is silent as a whole.
  bool isDomainSilent(const DomainId &domain) const;
  /// Servers that should be asked by a connection attempt now; counts them as
  /// asked.
  std::vector<size_t> takeDueProbes(TimePoint now);
  /// A server that should be asked beside those that due() has just named, of
  /// which \p asked is one: its answer proves that this daemon's own link
  /// works. Nothing when that is no question any more, or all are asked.
  std::optional<size_t> chooseControlProbe(TimePoint now, size_t probed);
  /// When due() has something next; the far future for never.
  TimePoint nextProbeAt() const;
  /// Silent servers, by their own silence.
  size_t silentServerCount() const;

private:
  /// What is known of one server.
  struct Record {
    bool InUse = false;     ///< False for an index that is not followed.
    size_t DomainIndex = 0; ///< Index of its domain.
    uint32_t UnansweredCallers = 0;    ///< Callers in a row.
    uint32_t LastUnansweredCaller = 0; ///< The last of them; zero: none.
    TimePoint LastAnswer;              ///< Of it, to us.
    TimePoint LastReached;             ///< Something of ours arrived there.
    TimePoint SilentSince;             ///< Meaningful while Silent.
    bool Silent = false;               ///< Gets no new flows.
    bool AttemptFailed = false;        ///< And took no connection since.
    bool FailureConfirmed =
        false; ///< And that was no moment's trouble of our own link.
    uint32_t ConfirmedFailures = 0; ///< Attempts in a row that failed while our
                                    ///< own link worked.
    TimePoint SuspectedSince;    ///< First that did not arrive; zero: none.
    uint32_t FailedAttempts = 0; ///< Attempts in a row while it is suspected.
    bool SuspectedWithDomain =
        false;           ///< Suspected only for another one of its domain.
    TimePoint ProbedAt;  ///< When due() named it last.
    TimePoint NextProbe; ///< When to ask it, while asked().
    Duration ProbeInterval{0}; ///< Between attempts.
  };
  /// What is known of one domain.
  struct DomainRecord {
    bool Silent = false;           ///< As a whole.
    uint32_t ConfirmedServers = 0; ///< Servers of it that are Proved.
    uint32_t FailedServers = 0;    ///< Servers of it that are AttemptFailed.
    TimePoint LastAnswer;          ///< Of any of its servers.
    TimePoint NextProbe;       ///< While it is silent: of a few of its servers.
    Duration ProbeInterval{0}; ///< Between them.
    size_t LastProbed = 0; ///< The last of them; the next ones come after it.
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

  FailureDetectorSettings Settings;      ///< Limits.
  std::vector<Record> Servers;           ///< By server.
  std::vector<DomainRecord> Domains;     ///< By Record::Domain.
  std::map<DomainId, size_t> DomainById; ///< Indices of Domains.
  std::set<size_t>
      Probed; ///< Servers that are askedByItself(): due() is called
              ///< for each packet and must not go through all.
  size_t SilentDomains = 0;       ///< Number of Domains that are silent.
  Duration FleetProbeInterval{0}; ///< See HoldPerDaemon.
  TimePoint
      LinkSuspectUntil; ///< Our own link fails attempts by chance until then.
  TimePoint LastDeliverySentAt; ///< Latest time at which something was sent
                                ///< from here that has arrived at a server.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_FAILUREDETECTOR_H

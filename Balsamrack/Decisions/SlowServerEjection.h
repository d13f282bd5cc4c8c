#ifndef BALSAMRACK_DECISIONS_SLOWSERVEREJECTION_H
#define BALSAMRACK_DECISIONS_SLOWSERVEREJECTION_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Whether a server gets new flows; see SlowServerEjection.
enum class SlowServerState : uint8_t {
  Normal,    ///< It gets new flows.
  Ejected,   ///< It gets no new flows but probes.
  Returning, ///< It gets new flows for half of its slots.
};

/// One request's time, for SlowServerEjection.
struct SlowServerSample {
  size_t Server = 0;   ///< Index assigned by the calling code.
  TimePoint StartedAt; ///< When the request began.
  double LogRatio = 0; ///< Logarithm of its time over the peers' typical time.
};

/// Mean time of a peer since a server is suspected of being slow.
struct SlowServerPeer {
  double LogRatio = 0;     ///< As SlowServerSample::LogRatio.
  size_t Samples = 0;      ///< Number of requests in the mean.
  bool SameDomain = false; ///< It is in the suspected server's failure domain.
};

/// Ejects servers that became much slower than their peers while their health
/// is good, and returns them when they recover.
///
/// Without it, a server that is eight times slower gets new flows as soon as
/// one of its slots is free, and each of them is late.
///
/// A request is slow when it takes more than three times its peers' typical
/// time, whether it is answered or not. Each slow request adds one to the
/// server's score, and each one under 1.5 times the typical time takes one off,
/// down to zero. At a score of 5 the server is suspected. Where 3% of the
/// requests take seven times as long and the others have a log-normal spread of
/// .5, a request is slow by chance with .042, and five in a row with one in
/// seven million. At a score of 4, up to five of 60 even servers were ejected
/// at once at 60% load; five slow ones of the last eight would be 50 times as
/// likely by chance. A server with two slots that is eight times slower shows
/// two slow requests in each third of a second.
///
/// A suspected server is ejected once five requests of its peers that began
/// after its first slow one were answered, in typical time; so a load or a
/// fault that slows all servers ejects none, although it shows first at the
/// server with most flows. One peer is enough: a daemon that owns two servers
/// sends few flows elsewhere. Nor is a server ejected while at least half of
/// its failure domain's other servers are slow as well. At most a third of the
/// servers is ejected: the rest must carry the load.
///
/// After a hold of 1 s, requests of open flows and probes are compared again.
/// Three that are not slow return the server. A slow one doubles the hold up to
/// 8 s: then a server that stays slow costs one late answer in eight seconds.
/// It returns with half of its slots, since a recovering server is often cold,
/// and with all of them after 8 more answers. Deterministic. Not thread-safe.
class SlowServerEjection {
public:
  static constexpr double SlowRatio = 3; ///< Ratio of a slow request.
  /// Requests of peers that a verdict needs.
  static constexpr size_t MinPeerSamples = 5;
  static constexpr Duration FirstHold{1'000'000}; ///< First hold time.
  static constexpr Duration MaxHold{8'000'000};   ///< Longest hold time.

  /// What a sample or a comparison changed.
  enum class Change {
    None,         ///< Nothing that concerns placement.
    Ejected,      ///< The server is ejected.
    HoldExtended, ///< A probe was slow; the server stays ejected.
    ReturnedHalf, ///< The server returns with half of its slots.
    ReturnedFull, ///< The server returns with all of its slots.
  };

  /// Records the time of an answered request.
  Change recordAnswer(TimePoint now, const SlowServerSample &sample);
  /// Records a request that is unanswered after SlowRatio times the peers'
  /// typical time. Its answer must not be recorded again.
  Change recordOverdue(TimePoint now, const SlowServerSample &sample);
  /// Takes one recorded overdue request of \p server back: it was lost on its
  /// way.
  void retractOverdue(size_t server);
  /// Forgets \p server.
  void forget(size_t server) { Servers.erase(server); }

  /// The servers that are to be compared with their peers by decide().
  std::vector<size_t> suspects() const;
  /// When the first slow request of \p server began. Precondition: it is
  /// suspected.
  TimePoint suspectedSince(size_t server) const;
  /// Compares the suspected \p server with \p peers, whose requests began since
  /// suspectedSince(). \p aloneInDomain: no other server that accepts flows is
  /// in its failure domain. \p accepting: number of servers that accept flows.
  Change decide(TimePoint now, size_t server,
                const std::vector<SlowServerPeer> &peers, bool aloneInDomain,
                size_t accepting);

  /// State of \p server.
  SlowServerState state(size_t server) const;
  /// True when \p server is ejected and its hold is over.
  bool mayProbe(TimePoint now, size_t server) const;
  /// The ejected servers.
  std::vector<size_t> ejectedServers() const;
  /// Mean ratio of the slow requests that led to the ejection of \p server;
  /// zero if there are none.
  double slowRatio(size_t server) const;

private:
  /// State of one server with slow requests.
  struct Record {
    SlowServerState State = SlowServerState::Normal;
    int Score = 0;          ///< Slow requests less fast ones.
    TimePoint SlowSince;    ///< Start of the first slow request of the score.
    TimePoint LastSlow;     ///< When the last slow request was recorded.
    double SlowSum = 0;     ///< Sum of the slow requests' logarithms.
    uint32_t SlowCount = 0; ///< Number of slow requests in SlowSum.
    TimePoint HoldUntil;    ///< Probes are compared from this time on.
    Duration Hold{0};       ///< Duration of the current hold.
    uint32_t Good = 0;      ///< Good answers while ejected or returning.
    double GoodSum = 0;     ///< Sum of their logarithms.
  };

  Change addSlow(TimePoint now, const SlowServerSample &sample);
  Change addProbe(TimePoint now, Record &record,
                  const SlowServerSample &sample);
  static void extendHold(TimePoint now, Record &record);
  size_t ejectedCount() const;

  std::map<size_t, Record> Servers; ///< Servers with slow requests.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SLOWSERVEREJECTION_H

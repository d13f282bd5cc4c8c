#ifndef BALSAMRACK_DECISIONS_SERVERSPEEDS_H
#define BALSAMRACK_DECISIONS_SERVERSPEEDS_H

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// One request and its time.
struct SpeedSample {
  size_t Server = 0;   ///< Index assigned by the calling code.
  size_t Route = 0;    ///< Requests of one route are alike; same for routes.
  TimePoint StartedAt; ///< When the request began.
  Duration Took{0};    ///< Time to the answer, without the network's part.
  double LogQueue = 0; ///< Logarithm of the time, in service times, that was
                       ///< expected for the load of the server.
};

/// Typical relative time of one server; see ServerSpeeds.
struct ServerTime {
  size_t Server = 0;  ///< Index of the server.
  double LogTime = 0; ///< Mean logarithm of its relative times.
  size_t Samples = 0; ///< Number of samples in the mean.
};

/// Estimates the speeds of the servers of one service from the answer times
/// that one daemon sees.
///
/// Addresses servers of unequal speed (.7 to 1.7 of nominal). Without it, slow
/// and fast servers get the same load: at 90% load, the slow ones are
/// overloaded while the fast ones have free slots.
///
/// The relative time of a request is the logarithm of its time over the typical
/// time of its route. Logarithms make the mean robust: with 3% of the requests
/// taking seven times as long, the arithmetic mean would be 18% too high, the
/// mean logarithm is 6% too high. A server's speed is the median of its peers'
/// mean relative times over its own. It is pulled towards 1 while there are few
/// samples, and counts as 1 within two standard errors: with 64 samples and
/// the spread .6 of logarithms, chance would otherwise shift the price of a
/// server by 7%, more than that of another failure domain.
///
/// Deterministic. Not thread-safe.
class ServerSpeeds {
public:
  static constexpr double MinSpeed = 0.25; ///< Lowest speed.
  static constexpr double MaxSpeed = 4;    ///< Highest speed.
  /// Times below this are dominated by the network and count as this.
  static constexpr Duration MinTime{5'000};

  /// Records an answered request. Returns its relative time, or nothing while
  /// the typical time of its route is unknown. \p comparable: the sample is
  /// compared with other servers; false for an ejected server and for a request
  /// that addOverdue() has recorded.
  std::optional<double> addAnswer(TimePoint now, const SpeedSample &sample,
                                  bool comparable);
  /// Records a request that is unanswered after \p sample.Took. It is compared
  /// with other servers by this lower bound. Returns as addAnswer().
  std::optional<double> addOverdue(TimePoint now, const SpeedSample &sample);
  /// Forgets all samples of \p server, such as those of a former instance.
  void forget(size_t server);

  /// Relative time of \p sample; nothing while the typical time of its route is
  /// unknown.
  std::optional<double> relativeTime(const SpeedSample &sample) const;
  /// Typical time of \p route at present; nothing while unknown.
  std::optional<Duration> typicalTime(size_t route) const;
  /// Median of the servers' mean relative times within the last seconds;
  /// nothing with fewer than three servers. It is the logarithm of the factor
  /// by which all servers are slower than usual, such as under overload.
  std::optional<double> reference() const { return Reference; }
  /// Mean relative times of the servers other than \p server, from requests
  /// that began at or after \p since.
  std::vector<ServerTime> peersSince(size_t server, TimePoint since) const;

  /// Speed of \p server: 2 for twice as fast as its peers; 1 while unknown.
  double speed(TimePoint now, size_t server) const;
  /// Number of samples of \p server, by weight: old samples count less.
  double samples(TimePoint now, size_t server) const;
  /// Forgets servers whose samples are too old to count.
  void expire(TimePoint now);

private:
  /// Weighted samples of one server.
  struct Record {
    double LogTime = 0;  ///< Weighted mean of the relative times.
    double Weight = 0;   ///< Weight at UpdatedAt.
    TimePoint UpdatedAt; ///< Last sample.
  };
  /// Typical time of a route.
  struct RouteTime {
    double LogMicros = 0; ///< Logarithm of the time in microseconds.
    size_t Samples = 0;   ///< Number of samples, up to TypicalSamples.
    TimePoint UpdatedAt;  ///< Last sample.
  };
  /// A sample that is compared with other servers.
  struct Compared {
    size_t Server;
    TimePoint StartedAt;
    TimePoint At; ///< When it was recorded.
    double LogTime;
  };

  void updateRoute(TimePoint now, const SpeedSample &sample);
  void compare(TimePoint now, const SpeedSample &sample, double logTime);
  void updateReference();
  static double weightAt(TimePoint now, const Record &record);

  absl::flat_hash_map<size_t, Record> Servers;   ///< By server.
  absl::flat_hash_map<size_t, RouteTime> Routes; ///< By route.
  std::deque<Compared> Recent;     ///< Latest samples, bounded, by time.
  std::optional<double> Reference; ///< See reference().
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SERVERSPEEDS_H

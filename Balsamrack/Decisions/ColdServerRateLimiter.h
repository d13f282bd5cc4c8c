#ifndef BALSAMRACK_DECISIONS_COLDSERVERRATELIMITER_H
#define BALSAMRACK_DECISIONS_COLDSERVERRATELIMITER_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Limits the rate of new flows from one daemon to one cold server.
///
/// A server that has just started can handle only a few new flows per second,
/// and all daemons together must respect that rate. Each daemon uses a part of
/// the rate in proportion to its share of the server's slots, so daemons need
/// not communicate; a daemon without a share sends nothing. At most one token
/// accumulates, so the two or three daemons that share a server exceed the rate
/// by at most that many flows in any second, never by a burst. Not thread-safe.
class ColdServerRateLimiter {
public:
  /// Fraction of the configured rate that is used; the rest leaves room for
  /// daemons whose views differ.
  static constexpr double UsedFraction = 0.8;

  /// Returns true if a flow may be sent now. \p perSecond is the rate of new
  /// flows that the server can handle, \p part this daemon's fraction of it (0
  /// to 1).
  bool mayAdmit(TimePoint now, double perSecond, double part);
  /// Consumes a token for a flow that was sent. Precondition: mayAdmit()
  /// returned true at this time.
  void consume() { Tokens -= 1; }

private:
  double Tokens = 0;    ///< Available tokens, at most one.
  TimePoint RefilledAt; ///< Time of the last refill; zero if never.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_COLDSERVERRATELIMITER_H

#ifndef BALSAMRACK_DECISIONS_COLDSERVERRATELIMITER_H
#define BALSAMRACK_DECISIONS_COLDSERVERRATELIMITER_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// How many new flows one daemon may send to one cold server.
///
/// Load that it answers: a server that has just started bears a few flows a
/// second, and all daemons together must keep to that. Each sends its part, by
/// its share of the server's slots, so that nothing has to be said between
/// them; a daemon without a share sends nothing. At most one flow is saved up:
/// the two or three daemons that share a server exceed its figure by as many
/// flows in any second, never by a burst. Not thread-safe.
class ColdServerRateLimiter {
public:
  /// Of the figure that operators give, left free for views that differ.
  static constexpr double UsedFraction = 0.8;

  /// True when a flow may go now. \p perSecond is what the server bears, \p
  /// part this daemon's part of it (0 to 1).
  bool mayAdmit(TimePoint now, double perSecond, double part);
  /// A flow went. Precondition: allows() was true at this time.
  void consume() { Tokens -= 1; }

private:
  double Tokens = 0;    ///< Flows saved up, one at most.
  TimePoint RefilledAt; ///< When Credit was last raised; zero: never.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_COLDSERVERRATELIMITER_H

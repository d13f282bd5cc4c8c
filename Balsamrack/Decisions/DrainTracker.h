#ifndef BALSAMRACK_DECISIONS_DRAINTRACKER_H
#define BALSAMRACK_DECISIONS_DRAINTRACKER_H

#include <optional>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// Tracks whether one backend server is being removed from service: drained by
/// operators, or with its failure domain out of service.
///
/// Guards against breaking flows during planned maintenance. Without it, a
/// server being drained receives new flows until it is gone, and each of them
/// breaks. Without the limit, a single open page keeps a server from ever being
/// drained.
///
/// The drain limit comes from the ticket. It counts from the time this owner
/// first saw the drain: a new owner restarts it, which keeps flows longer but
/// never ends one early. There is no time limit for a domain out of service:
/// operators need the domain empty now, so queued requests are given up at once
/// and only running ones may finish. Not thread-safe.
class DrainTracker {
public:
  /// Result for a request that must not be served.
  struct Refusal {
    OutcomeKind How; ///< NotRun for a new flow, GivenUp for an established one.
    Reason Why;      ///< ServerDraining or DomainOutOfService.
  };

  /// Applies the ticket's state of the server. Returns true if it changed.
  bool update(TimePoint now, const BackendServer &server, bool domainInService);
  /// Returns why a request of a new or an established flow must not be served
  /// here; nothing if it may be.
  std::optional<Refusal> checkRefusal(TimePoint now, bool newFlow) const;
  /// Time at which flows on a draining server are given up; nothing if it is
  /// not draining.
  std::optional<TimePoint> limit() const;
  /// Name of the state, as the rule in the journal.
  const char *rule() const;
  /// Effect of the state on flows, as the result in the journal.
  const char *result() const;
  /// True while operators drain the server.
  bool isDraining() const { return Since.has_value(); }
  /// True while its domain is out of service.
  bool isDomainOut() const { return DomainOut; }

private:
  std::optional<TimePoint> Since; ///< Time at which the drain was first seen.
  Duration Limit{0};              ///< Flows are given up this long after Since.
  bool DomainOut = false;         ///< The server's domain is out of service.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_DRAINTRACKER_H

#ifndef BALSAMRACK_DECISIONS_DRAINTRACKER_H
#define BALSAMRACK_DECISIONS_DRAINTRACKER_H

#include <optional>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/Request.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// Follows one backend server on its way out: drained by operators, or with its
/// failure domain out of service.
///
/// Answers: planned leaving. Without it a leaving server gets new flows until
/// it is gone, and each of them breaks; without the limit one open page keeps a
/// server from ever leaving.
///
/// Thresholds: the drain limit comes from the ticket. It counts from when this
/// owner first saw the drain: a new owner starts it again, which keeps flows
/// longer but never cuts one early. Domain out knows no limit: operators need
/// the domain empty now, so what waits is given up at once, and only what runs
/// already is left to end. Not thread-safe.
class DrainTracker {
public:
  /// How a request that may not be served ends.
  struct Refusal {
    OutcomeKind How; ///< NotRun for a new flow, GivenUp for an established one.
    Reason Why;      ///< ServerDraining or DomainOut.
  };

  /// Takes over what the ticket says; true when that changed something.
  bool update(TimePoint now, const BackendServer &server, bool domainInService);
  /// Why a request of a new or an established flow may not be served here;
  /// nothing when it may.
  std::optional<Refusal> refuses(TimePoint now, bool newFlow) const;
  /// When flows on a draining server are given up; nothing when it stays.
  std::optional<TimePoint> limit() const;
  /// Name of the state for the journal.
  const char *rule() const;
  /// What it means for flows, as half a sentence.
  const char *result() const;
  /// True while operators drain the server.
  bool draining() const { return Since.has_value(); }
  /// True while its domain is out of service.
  bool domainOut() const { return DomainOut; }

private:
  std::optional<TimePoint> Since; ///< When its drain was first seen.
  Duration Limit{0};              ///< Flows are given up so long after Since.
  bool DomainOut = false;         ///< Its domain is out of service.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_DRAINTRACKER_H

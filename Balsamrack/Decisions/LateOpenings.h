#ifndef BALSAMRACK_DECISIONS_LATEOPENINGS_H
#define BALSAMRACK_DECISIONS_LATEOPENINGS_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Timing of the request that an opening belongs to.
struct OpeningTimes {
  Duration Age{0}; ///< Time since the caller sent the first copy.
  Duration Objective{
      0};              ///< Latency objective of the route; zero if none is set.
  Duration Timeout{0}; ///< Request timeout of the route; zero if none is set.
};

/// Maximum time that a late opening may wait for a free slot; zero if it must
/// not wait.
///
/// Guards against the burst after an outage of all daemons for a second or two,
/// when new callers and those that kept retrying arrive at once. In order of
/// arrival everyone waits behind everyone, and most miss their latency
/// objective. Callers that have already missed it, but have time left, yield to
/// those that can still be served in time, as in adaptive LIFO queues (Maurer
/// 2015).
///
/// An opening never waits while its objective has not passed, or when its route
/// has none. A waiting opening proceeds when a quarter of the caller's timeout
/// is left, even if no slot is free, so that it is late but not lost. Pure,
/// thread-safe.
Duration lateOpeningMaxWait(const OpeningTimes &times);

/// Age at which a late opening proceeds even if no slot is free: a quarter of
/// the caller's attempt, or of \p timeout if that is shorter and not zero, is
/// left. Pure, thread-safe.
Duration lateOpeningMaxAge(Duration timeout);

/// Utilisation of a daemon's share of the slots.
struct OwnSlotUsage {
  /// Requests of this daemon in progress, divided by its slots.
  double Load = 0;
  Duration RequestTime{0}; ///< Typical duration of a request; zero if unknown.
  /// Typical time until an opening is answered; zero if unknown.
  Duration Handshake{0};
};

/// The part of the requests in progress that occupies a slot. A request counts
/// as in progress for about one handshake time before it reaches the server and
/// one after the answer has left it, but occupies a slot only in between. 1 if
/// \p requestTime is zero. Pure, thread-safe.
double slotUse(Duration requestTime, Duration handshake);

/// True if all slots of this daemon's share are busy, corrected by slotUse().
/// Without this correction, daemons with short requests far from their callers
/// would see full slots when half of them are free. Pure, thread-safe.
bool areOwnSlotsBusy(const OwnSlotUsage &slots);

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_LATEOPENINGS_H

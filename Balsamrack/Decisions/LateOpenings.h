#ifndef BALSAMRACK_DECISIONS_LATEOPENINGS_H
#define BALSAMRACK_DECISIONS_LATEOPENINGS_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// What is known of the request behind an opening.
struct OpeningTimes {
  Duration Age{0};       ///< Since its caller sent the first copy.
  Duration Objective{0}; ///< Latency objective of its route; zero: none given.
  Duration Timeout{0};   ///< Of the requests of its route; zero: none given.
};

/// How long an opening may wait for a free slot, or zero when it shall not
/// wait at all.
///
/// Load that it answers: all daemons were away for a second or two, and when
/// they are back their callers come all at once: those that call just now, and
/// those that have called all along. Served in the order of arrival everybody
/// waits behind everybody, and most miss their latency objective. Callers that
/// have missed it already, but have time left, give way to those that can still
/// be served in time, as in adaptive LIFO queues (Maurer 2015).
///
/// Limits: an opening whose objective is not over never waits, nor one without
/// an objective. A waiting one goes on while a quarter of its caller's timeout
/// is left, whether slots are free or not, so that it is late but not lost.
/// Pure, thread-safe.
Duration lateOpeningMaxWait(const OpeningTimes &times);

/// How busy a daemon keeps the slots that are its own.
struct OwnSlotUsage {
  double Load = 0;         ///< Own requests in progress by own slots.
  Duration RequestTime{0}; ///< Usual time of a request; zero: not known.
  Duration Handshake{
      0}; ///< Usual time of an opening's answer; zero: not known.
};

/// True when the own slots are all at work. A request is in progress before it
/// has reached the server and after the answer has left that, for about the
/// time of a handshake each; only what lies between takes a slot. Without
/// that, daemons of short work far from their callers would see full slots
/// where half of them are free. Pure, thread-safe.
bool areOwnSlotsBusy(const OwnSlotUsage &slots);

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_LATEOPENINGS_H

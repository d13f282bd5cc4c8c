#ifndef BALSAMRACK_PACKETS_OPENINGTIMEOUT_H
#define BALSAMRACK_PACKETS_OPENINGTIMEOUT_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// How long to wait for the answer to an opening before another server gets a
/// copy of it: the usual time and four times its spread, as TCP reckons its
/// retransmission timeout (RFC 6298). Openings that went to several servers are
/// left out, since nobody knows which one was answered (Karn, Partridge 1987).
/// Not thread-safe.
class OpeningTimeout {
public:
  /// Before anything was measured. A handshake within a site takes some eight
  /// milliseconds.
  static constexpr Duration Initial{40'000};
  /// Never shorter: a timer that fires late by some milliseconds must not make
  /// a second copy of every opening.
  static constexpr Duration Min{20'000};
  /// Never longer: callers send a copy of their own after 200 ms.
  static constexpr Duration Max{150'000};

  /// An opening was answered after \p took.
  void addSample(Duration took);
  /// The usual time from an opening to its answer; zero: nothing measured.
  Duration mean() const { return Duration(static_cast<int64_t>(Mean)); }
  /// The current timeout.
  Duration value() const;

private:
  double Mean = 0;      ///< In microseconds; zero: nothing measured.
  double Deviation = 0; ///< Mean deviation, in microseconds.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGTIMEOUT_H

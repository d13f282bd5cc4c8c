#ifndef BALSAMRACK_PACKETS_OPENINGTIMEOUT_H
#define BALSAMRACK_PACKETS_OPENINGTIMEOUT_H

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Adaptive timeout after which an unanswered opening is sent to another
/// server: the mean response time plus four times its deviation, computed like
/// TCP's retransmission timeout (RFC 6298). Openings that were sent to several
/// servers give no sample, since it is ambiguous which one was answered (Karn,
/// Partridge 1987). Not thread-safe.
class OpeningTimeout {
public:
  /// Timeout before the first sample. A handshake within a site takes about 8
  /// ms.
  static constexpr Duration Initial{40'000};
  /// Lower bound, so that delays of a few milliseconds in timers and processing
  /// do not cause every opening to be sent twice.
  static constexpr Duration Min{20'000};
  /// Upper bound, below the 200 ms after which callers retransmit.
  static constexpr Duration Max{150'000};

  /// Adds a response time to the estimate.
  void addSample(Duration took);
  /// Smoothed time from an opening to its answer; zero before the first sample.
  Duration mean() const { return Duration(static_cast<int64_t>(Mean)); }
  /// The current timeout.
  Duration value() const;

private:
  double Mean = 0;      ///< In microseconds; zero before the first sample.
  double Deviation = 0; ///< Smoothed mean deviation, in microseconds.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGTIMEOUT_H

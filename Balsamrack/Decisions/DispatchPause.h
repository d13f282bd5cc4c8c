#ifndef BALSAMRACK_DECISIONS_DISPATCHPAUSE_H
#define BALSAMRACK_DECISIONS_DISPATCHPAUSE_H

#include <cstdint>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Pauses dispatches to a backend server that sheds load or is unreachable.
///
/// Guards against a server that is down, restarting, or over its own limit.
/// Without it each waiting request is dispatched and fails at once: the queue
/// is drained in milliseconds, and a recovering server receives all of it.
///
/// The pause starts at 20 ms, less than a typical answer time, and doubles up
/// to one second, so that a recovered server is found within that time. A
/// server's own Retry-After is honoured up to 5 s. After two consecutive
/// dispatches without a connection the server counts as unreachable while the
/// pause lasts, and requests waiting for it are refused at once; a single lost
/// connection is common, two in a row are rare. Not thread-safe.
class DispatchPause {
public:
  /// Reports an answer of the server; the next pause is short again.
  void reportAnswered();
  /// Reports that the server shed a request and asked for a pause of \p
  /// retryAfter.
  void reportShed(TimePoint now, Duration retryAfter);
  /// Reports that no connection to the server could be established.
  void reportUnreachable(TimePoint now);

  /// Dispatches are paused until this time.
  TimePoint until() const { return Until; }
  /// True after repeated dispatches without a connection.
  bool isUnreachable() const {
    return ConsecutiveUnreachable >= UnreachableLimit;
  }

private:
  static constexpr uint32_t UnreachableLimit = 2;
  static constexpr Duration MinPause{20'000};
  static constexpr Duration MaxPause{1'000'000};
  static constexpr Duration MaxRetryAfter{5'000'000};

  void extend(TimePoint now, Duration retryAfter);

  TimePoint Until;               ///< See until().
  Duration NextPause = MinPause; ///< Length of the next pause.
  /// Consecutive dispatches without a connection.
  uint32_t ConsecutiveUnreachable = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_DISPATCHPAUSE_H

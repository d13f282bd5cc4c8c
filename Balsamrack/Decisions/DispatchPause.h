#ifndef BALSAMRACK_DECISIONS_DISPATCHPAUSE_H
#define BALSAMRACK_DECISIONS_DISPATCHPAUSE_H

#include <cstdint>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Pauses dispatches to a backend server that sheds or can't be reached.
///
/// Answers: a server that is down, restarts, or is over its own limit. Without
/// it each waiting request is sent and comes back at once: the queue is burnt
/// in milliseconds, and a server that comes up meets all of it.
///
/// Thresholds: from 20 ms, less than an answer's time, doubled to a second at
/// most, so that a server that is back is found within that; a server's own
/// Retry-After is believed up to 5 s. After two dispatches in a row that found
/// no server it counts as gone while the pause lasts: what waits for it is
/// refused at once, for one lost connection happens, two hardly do. Not
/// thread-safe.
class DispatchPause {
public:
  /// The server answered: no pause, and the next one is short again.
  void reportAnswered();
  /// The server shed a request and asked for \p retryAfter.
  void reportShed(TimePoint now, Duration retryAfter);
  /// No connection to the server came about.
  void reportUnreachable(TimePoint now);

  /// No dispatch before this.
  TimePoint until() const { return Until; }
  /// The server was not found repeatedly.
  bool isUnreachable() const {
    return ConsecutiveUnreachable >= UnreachableLimit;
  }

private:
  static constexpr uint32_t UnreachableLimit = 2;
  static constexpr Duration MinPause{20'000};
  static constexpr Duration MaxPause{1'000'000};
  static constexpr Duration MaxRetryAfter{5'000'000};

  void extend(TimePoint now, Duration retryAfter);

  TimePoint Until;                     ///< See until().
  Duration NextPause = MinPause;       ///< Length of the next pause.
  uint32_t ConsecutiveUnreachable = 0; ///< Dispatches that found no server.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_DISPATCHPAUSE_H

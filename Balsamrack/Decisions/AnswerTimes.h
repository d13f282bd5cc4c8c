#ifndef BALSAMRACK_DECISIONS_ANSWERTIMES_H
#define BALSAMRACK_DECISIONS_ANSWERTIMES_H

#include <array>
#include <cstddef>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Sliding window of recent answer times of one server. 64 answers are few
/// enough to follow a change within a second of a busy server and enough for
/// quartiles. Not thread-safe.
class AnswerTimes {
public:
  static constexpr size_t Window = 64; ///< Number of answers in the window.

  /// Records an answer time. Precondition: \p took is not negative.
  void add(Duration took);
  /// Removes all answer times.
  void clear();
  /// Number of answer times recorded, at most Window.
  size_t count() const { return Count; }
  /// Mean answer time; zero if there is none.
  Duration mean() const;
  /// The \p share quantile of the answer times; zero if there is none.
  /// Precondition: 0 <= \p share <= 1.
  Duration quantile(double share) const;

private:
  /// Ring buffer; the first Count entries are valid.
  std::array<Duration, Window> Seen{};
  size_t Count = 0; ///< Number of valid entries.
  size_t Next = 0;  ///< Index of the next write.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_ANSWERTIMES_H

#include "Balsamrack/Decisions/AnswerTimes.h"

#include <algorithm>
#include <numeric>

namespace balsamrack {

void AnswerTimes::add(Duration took) {
  Seen[Next] = took;
  Next = (Next + 1) % Window;
  Count = std::min(Count + 1, Window);
}

void AnswerTimes::clear() { Count = Next = 0; }

Duration AnswerTimes::mean() const {
  if (Count == 0)
    return Duration(0);
  Duration sum =
      std::accumulate(Seen.begin(), Seen.begin() + Count, Duration(0));
  return sum / static_cast<int64_t>(Count);
}

Duration AnswerTimes::quantile(double share) const {
  if (Count == 0)
    return Duration(0);
  std::array<Duration, Window> sorted = Seen;
  auto rank = static_cast<size_t>(share * static_cast<double>(Count - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank,
                   sorted.begin() + Count);
  return sorted[rank];
}

} // namespace balsamrack

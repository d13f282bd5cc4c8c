#ifndef BALSAMRACK_DECISIONS_RETRYBUDGET_H
#define BALSAMRACK_DECISIONS_RETRYBUDGET_H

#include "Balsamrack/Decisions/OwnerSettings.h"

namespace balsamrack {

/// Bounds the retries of one service's idempotent requests.
///
/// Answers: a server that fails a few requests now and then, and overload.
/// Without it a retry for each failure multiplies the load just when servers
/// fail because of load, and the overload feeds itself after its cause is gone
/// (metastable failures: Bronson, Aghayev, Charapko, Zhu 2021).
///
/// Thresholds: a success adds a tenth of a retry, so that retries stay under a
/// tenth of the answered work (a common practice: Brooker 2015, Beyer et al.
/// 2016); each refusal takes as much away, so that at twice the capacity, with
/// as many refusals as answers, nothing is left. Ten tokens at most: a burst of
/// failures after a calm hour can't spend the hour's savings. Not thread-safe.
class RetryBudget {
public:
  /// Starts full. Precondition: \p settings were checked.
  explicit RetryBudget(const RetrySettings &settings);
  /// An answer came.
  void recordSuccess();
  /// A request was refused for overload.
  void recordRefusal();
  /// Takes a retry from the budget; false when there is none.
  bool tryConsume();
  /// What is left, in retries.
  double left() const { return Tokens; }

private:
  RetrySettings Settings; ///< Limits.
  double Tokens;          ///< In [0, MostTokens].
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_RETRYBUDGET_H

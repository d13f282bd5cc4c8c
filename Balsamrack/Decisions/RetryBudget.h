#ifndef BALSAMRACK_DECISIONS_RETRYBUDGET_H
#define BALSAMRACK_DECISIONS_RETRYBUDGET_H

#include "Balsamrack/Decisions/OwnerSettings.h"

namespace balsamrack {

/// Limits the retries of idempotent requests of one service.
///
/// Guards against retry amplification, when a server occasionally fails
/// requests and under overload. Without it, a retry for each failure multiplies
/// the load just when servers fail because of load, and the overload sustains
/// itself after its cause is gone (metastable failures: Bronson, Aghayev,
/// Charapko, Zhu 2021).
///
/// A success adds a tenth of a retry, so that retries stay below a tenth of the
/// answered requests (a common practice: Brooker 2015, Beyer et al. 2016). Each
/// refusal removes as much, so that at twice the capacity, with as many
/// refusals as answers, no budget is left. The budget holds at most ten tokens,
/// so a burst of failures after a quiet hour cannot spend an hour of
/// accumulated tokens. Not thread-safe.
class RetryBudget {
public:
  /// Starts with a full budget. Precondition: \p settings were checked.
  explicit RetryBudget(const RetrySettings &settings);
  /// Records a successful answer.
  void recordSuccess();
  /// Records a request refused because of overload.
  void recordRefusal();
  /// Consumes one retry. Returns false if the budget is exhausted.
  bool tryConsume();
  /// Remaining budget, in retries.
  double left() const { return Tokens; }

private:
  RetrySettings Settings; ///< Rates and bounds.
  double Tokens;          ///< In [0, MaxTokens].
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_RETRYBUDGET_H

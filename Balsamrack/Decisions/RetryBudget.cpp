#include "Balsamrack/Decisions/RetryBudget.h"

#include <algorithm>

namespace balsamrack {

RetryBudget::RetryBudget(const RetrySettings &settings)
    : Settings(settings), Tokens(settings.MaxTokens) {}

void RetryBudget::recordSuccess() {
  Tokens = std::min(Settings.MaxTokens, Tokens + Settings.PerSuccess);
}

void RetryBudget::recordRefusal() {
  Tokens = std::max(0.0, Tokens - Settings.PerSuccess);
}

bool RetryBudget::tryConsume() {
  if (!Settings.Enabled || Tokens < 1.0)
    return false;
  Tokens -= 1.0;
  return true;
}

} // namespace balsamrack

#include "Balsamrack/Flows/EntrySettings.h"

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

absl::Status EntrySettings::check() const {
  auto wrong = [](const char *what) {
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "",
                     what);
  };
  if (MaxTries == 0)
    return wrong("entry: max tries must be at least 1");
  if (KeyReplicaCount == 0)
    return wrong("entry: guardian count must be at least 1");
  if (QuestionTimeout <= Duration::zero() || ClaimTimeout <= Duration::zero() ||
      RetryAfter <= Duration::zero() || Linger < Duration::zero() ||
      EndingWait < Duration::zero())
    return wrong("entry: timeouts must be positive");
  if (KeyMemory < Duration(1'000'000))
    return wrong("entry: key memory must be at least a second");
  if (RetryRatio < 0 || RetryRatio > 1 || RetryBurst < 0)
    return wrong("entry: retry ratio must be from 0 to 1, burst not negative");
  return absl::OkStatus();
}

} // namespace balsamrack

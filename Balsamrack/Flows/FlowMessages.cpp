#include "Balsamrack/Flows/FlowMessages.h"

#include "absl/strings/str_format.h"

namespace balsamrack {

const char *keyVerdictName(KeyVerdict verdict) {
  switch (verdict) {
  case KeyVerdict::Granted:
    return "granted";
  case KeyVerdict::InProgress:
    return "in-progress";
  case KeyVerdict::Answered:
    return "answered";
  case KeyVerdict::Unknown:
    return "unknown";
  case KeyVerdict::Fresh:
    return "fresh";
  case KeyVerdict::Unable:
    break;
  }
  return "unable";
}

std::string formatKey(KeyDigest key) {
  return absl::StrFormat("%016x%016x", key.High, key.Low);
}

} // namespace balsamrack

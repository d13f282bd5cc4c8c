#include "Balsamrack/Observability/LogNames.h"

namespace balsamrack {

const char *partName(Part part) {
  switch (part) {
  case Part::Entry:
    return "entry";
  case Part::Owner:
    return "owner";
  case Part::Reader:
    return "reader";
  case Part::Membership:
    return "membership";
  case Part::Peers:
    return "peers";
  case Part::Http:
    return "http";
  case Part::Platform:
    return "platform";
  case Part::Operators:
    return "operators";
  case Part::Daemon:
    return "daemon";
  }
  return "unknown";
}

const char *severityName(Severity severity) {
  switch (severity) {
  case Severity::Debug:
    return "debug";
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  }
  return "unknown";
}

} // namespace balsamrack

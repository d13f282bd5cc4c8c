#include "Balsamrack/Observability/LogNames.h"

namespace balsamrack {

const char *componentName(Component component) {
  switch (component) {
  case Component::Entry:
    return "entry";
  case Component::Owner:
    return "owner";
  case Component::Reader:
    return "reader";
  case Component::Membership:
    return "membership";
  case Component::Peers:
    return "peers";
  case Component::Http:
    return "http";
  case Component::Platform:
    return "platform";
  case Component::Operators:
    return "operators";
  case Component::Daemon:
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

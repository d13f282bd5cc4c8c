#ifndef BALSAMRACK_OBSERVABILITY_LOGNAMES_H
#define BALSAMRACK_OBSERVABILITY_LOGNAMES_H

#include "Balsamrack/Daemon/Telemetry.h"

namespace balsamrack {

/// Name of a component, shown in each of its log lines. Thread-safe.
const char *componentName(Component component);

/// Name of a severity in lower case. Thread-safe.
const char *severityName(Severity severity);

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_LOGNAMES_H

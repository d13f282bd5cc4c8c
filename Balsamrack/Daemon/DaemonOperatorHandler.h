#ifndef BALSAMRACK_DAEMON_DAEMONOPERATORHANDLER_H
#define BALSAMRACK_DAEMON_DAEMONOPERATORHANDLER_H

#include "Balsamrack/Configuration/ConfigurationStore.h"
#include "Balsamrack/Daemon/ControlPlane.h"
#include "Balsamrack/Daemon/DaemonTelemetry.h"
#include "Balsamrack/Daemon/EntryHandler.h"
#include "Balsamrack/Daemon/OwnerDispatcher.h"
#include "Balsamrack/Daemon/PlatformReader.h"
#include "Balsamrack/Http/OperatorPort.h"

namespace balsamrack {

/// Objects that a DaemonOperatorHandler reads. All outlive it.
struct OperatorSources {
  const Clock &Time;
  EntryVm Self;
  Incarnation Run;
  const ConfigurationStore &Store;
  const ControlPlane &Control;
  const EntryHandler &Entry;
  const OwnerDispatcher &Owner;
  const OwnerFlows &Flows;
  const PlatformReader &Reader;
  const DaemonTelemetry &TelemetrySink;
};

/// Answers operators' queries about a daemon on the HTTP carrier. Read-only.
class DaemonOperatorHandler final : public OperatorHandler {
public:
  /// Precondition: all objects that \p sources refers to outlive the result.
  explicit DaemonOperatorHandler(const OperatorSources &sources);

  OperatorAnswer answer(const OperatorQuestion &question) override;

private:
  OperatorAnswer status() const;
  OperatorAnswer configuration() const;
  OperatorAnswer servers() const;
  OperatorAnswer flows(const OperatorQuestion &question) const;
  OperatorAnswer explain(const OperatorQuestion &question) const;
  OperatorAnswer where(const OperatorQuestion &question) const;
  OperatorAnswer inForce(const OperatorQuestion &question) const;
  OperatorAnswer trace(const OperatorQuestion &question) const;

  const OperatorSources Sources;
  const TimePoint StartedAt;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_DAEMONOPERATORHANDLER_H

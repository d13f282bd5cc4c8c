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

  OperatorReply handle(const OperatorRequest &question) override;

private:
  OperatorReply status() const;
  OperatorReply configuration() const;
  OperatorReply servers() const;
  OperatorReply flows(const OperatorRequest &question) const;
  OperatorReply explain(const OperatorRequest &question) const;
  OperatorReply where(const OperatorRequest &question) const;
  OperatorReply inForce(const OperatorRequest &question) const;
  OperatorReply trace(const OperatorRequest &question) const;

  const OperatorSources Sources;
  const TimePoint StartedAt;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_DAEMONOPERATORHANDLER_H

#ifndef BALSAMRACK_DAEMON_PACKETOPERATORHANDLER_H
#define BALSAMRACK_DAEMON_PACKETOPERATORHANDLER_H

#include "Balsamrack/Daemon/PacketForwarder.h"
#include "Balsamrack/Http/OperatorPort.h"
#include "Balsamrack/Settings/PacketSettings.h"

namespace balsamrack {

/// Answers operators' queries about a daemon on the packet carrier, in the same
/// format as a DaemonOperatorHandler. Read-only.
class PacketOperatorHandler final : public OperatorHandler {
public:
  /// Precondition: all references outlive the result.
  PacketOperatorHandler(const PacketSettings &settings,
                        PacketForwarder &forwarder,
                        const PacketTelemetry &telemetry);

  OperatorReply handle(const OperatorRequest &question) override;

private:
  OperatorReply status() const;
  OperatorReply servers() const;
  OperatorReply explain(const OperatorRequest &question) const;
  OperatorReply where(const OperatorRequest &question) const;

  const PacketSettings &Settings;
  PacketForwarder &Forwarder;
  const PacketTelemetry &TelemetrySink;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETOPERATORHANDLER_H

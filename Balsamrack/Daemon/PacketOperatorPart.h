#ifndef BALSAMRACK_DAEMON_PACKETOPERATORPART_H
#define BALSAMRACK_DAEMON_PACKETOPERATORPART_H

#include "Balsamrack/Daemon/PacketLane.h"
#include "Balsamrack/Http/OperatorPort.h"
#include "Balsamrack/Settings/PacketSettings.h"

namespace balsamrack {

/// Answers operators' questions about a daemon of the packet carrier, in the
/// same form as a daemon of the HTTP carrier does; changes nothing.
class PacketOperatorPart final : public OperatorHandler {
public:
  /// Preconditions: the references outlive the result.
  PacketOperatorPart(const PacketSettings &settings, PacketLane &lane,
                     const PacketTelemetry &watch);

  OperatorAnswer answer(const OperatorQuestion &question) override;

private:
  OperatorAnswer status() const;
  OperatorAnswer servers() const;
  OperatorAnswer explain(const OperatorQuestion &question) const;
  OperatorAnswer where(const OperatorQuestion &question) const;

  const PacketSettings &Settings;
  PacketLane &Lane;
  const PacketTelemetry &Watch;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETOPERATORPART_H

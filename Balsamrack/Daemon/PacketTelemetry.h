#ifndef BALSAMRACK_DAEMON_PACKETTELEMETRY_H
#define BALSAMRACK_DAEMON_PACKETTELEMETRY_H

#include <memory>
#include <string>

#include "Balsamrack/Observability/EventLog.h"
#include "Balsamrack/Observability/Metrics.h"
#include "Balsamrack/Packets/PacketEvents.h"
#include "Balsamrack/Packets/PacketRouter.h"
#include "Balsamrack/Packets/PacketSocket.h"
#include "Balsamrack/Peers/DatagramPeers.h"

namespace balsamrack {

/// What a daemon of the packet carrier tells about itself: lines of its event
/// log, and metrics. Thread-safe; never blocks for long.
class PacketTelemetry {
public:
  /// Each placing is logged, and what goes wrong. Of what follows in ordinary
  /// flows (confirmed, adopted, ended) one flow in so many is logged: the same
  /// ones on all daemons, so that a flow's whole way can be read.
  static constexpr uint64_t FlowLogInterval = 8;

  /// Preconditions: \p clock and \p log outlive the result.
  PacketTelemetry(const Clock &clock, EventLog &log);

  /// Counts and logs what the router did.
  void recordEvent(const PacketEvent &event);
  /// Writes a line.
  void log(const LogLine &line) { Log.write(line); }
  /// Writes a line about an error, with its step and peer.
  void logError(Part part, const char *event, const absl::Status &status);

  /// The packet socket's and the router's present figures.
  void setPacketMetrics(const PacketSocketCounters &socket,
                        const PacketRouter &router);
  /// The peers' present figures.
  void setPeerMetrics(const DatagramCounters &peers, size_t live);
  /// How old what is held of \p section may be.
  void setPublishedAge(PublishedSection section, Duration age);
  /// A read of the publishing service ended.
  void recordRead(PublishedSection section, bool listing,
                  const absl::Status &status);
  /// All metrics as Prometheus text.
  std::string prometheus() const { return Registry->prometheus(); }

private:
  void setMessageMetrics(const char *direction, const MessageCounts &counts);
  static bool isLogged(const PacketEvent &event);

  EventLog &Log;
  std::unique_ptr<Metrics> Registry;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETTELEMETRY_H

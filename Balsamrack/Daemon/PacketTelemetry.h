#ifndef BALSAMRACK_DAEMON_PACKETTELEMETRY_H
#define BALSAMRACK_DAEMON_PACKETTELEMETRY_H

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Balsamrack/Observability/EventLog.h"
#include "Balsamrack/Observability/Metrics.h"
#include "Balsamrack/Packets/PacketEvents.h"
#include "Balsamrack/Packets/PacketRouter.h"
#include "Balsamrack/Packets/PacketSocket.h"
#include "Balsamrack/Peers/DatagramTransport.h"
#include "Balsamrack/Published/PublishedStore.h"

namespace balsamrack {

/// Event log and metrics of a daemon on the packet carrier. Thread-safe; never
/// blocks for long.
class PacketTelemetry {
public:
  /// Placements and faults are always logged. The later events of ordinary
  /// flows (confirmed, adopted, ended) are logged for one flow in this many,
  /// the same flows on all daemons, so that the log has the complete history of
  /// these flows.
  static constexpr uint64_t FlowLogInterval = 8;

  /// Preconditions: \p clock and \p log outlive the result.
  PacketTelemetry(const Clock &clock, EventLog &log);

  /// Counts an event of the router, and logs it if it is sampled.
  void recordEvent(const PacketEvent &event);
  /// Writes a log line.
  void log(const LogLine &line) { Log.write(line); }
  /// Logs an error, with its step and peer.
  void logError(Component component, const char *event,
                const absl::Status &status);

  /// Updates the metrics of the packet socket and the router.
  void setPacketMetrics(const PacketSocketCounters &socket,
                        const PacketRouter &router);
  /// Updates the metrics of the failure domains' demand, and logs when the slot
  /// shares of a service become weighted by it or equal. Call from one thread.
  void setDomainDemand(const std::vector<ServiceDemandStatus> &demand,
                       const LoadReportCounts &reports);
  /// Updates the metrics of peer traffic and live peers.
  void setPeerMetrics(const DatagramCounters &peers, size_t live);
  /// Updates the metrics of \p section in \p store, of which \p age ago it was
  /// confirmed that nothing newer exists.
  void setPublishedState(PublishedSection section, const PublishedStore &store,
                         Duration age);
  /// Counts a completed read of the publishing service.
  void recordRead(PublishedSection section, bool listing,
                  const absl::Status &status);
  /// Returns all metrics in Prometheus text format.
  std::string toPrometheusText() const { return Registry->toPrometheusText(); }

private:
  void setMessageMetrics(const char *direction, const MessageCounts &counts);
  void countAdmission(const PacketEvent &event);
  static bool isLogged(const PacketEvent &event);
  void logWeights(const ServiceDemandStatus &demand);

  EventLog &Log;
  std::unique_ptr<Metrics> Registry;
  // Used by setDomainDemand() only.
  std::set<ServiceId> Weighted;    ///< Services with weighted slot shares.
  LoadReportCounts CountedReports; ///< Counted in the metrics.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETTELEMETRY_H

#ifndef BALSAMRACK_PACKETS_PACKETSPEEDS_H
#define BALSAMRACK_PACKETS_PACKETSPEEDS_H

#include <cstddef>
#include <functional>
#include <map>
#include <queue>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Decisions/ServerSpeeds.h"
#include "Balsamrack/Decisions/SlowServerEjection.h"
#include "Balsamrack/Packets/PacketFlowTable.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// Speeds and ejections of the servers of one service.
struct ServiceSpeeds {
  ServerSpeeds Times;               ///< Answer times and speeds.
  SlowServerEjection Ejection;      ///< Slow servers.
  std::map<size_t, FlowKey> Probes; ///< Last probe of each ejected server.
};

/// Speed of one server, as placement uses it.
struct ServerSpeed {
  double Speed = 1;   ///< Relative to its peers.
  double Samples = 0; ///< Weight of the samples behind Speed.
  SlowServerState State = SlowServerState::Normal; ///< Whether it is ejected.
  TimePoint EjectedAt; ///< Time of the last ejection.
  uint64_t Born = 0;   ///< Instance that the other members are about.
};

/// State of the router's part that measures speeds. Used only with the switch
/// LoadSettings::Speeds.
struct PacketSpeeds {
  /// When a request becomes slow, unless it is answered before.
  struct Timer {
    TimePoint Due;
    FlowKey Flow;
    TimePoint StartedAt; ///< Distinguishes the requests of a flow.
    friend bool operator>(const Timer &a, const Timer &b) {
      return a.Due > b.Due;
    }
  };
  /// A change that is to be reported.
  struct Report {
    ServerIndex Server;
    SlowServerEjection::Change What;
    double SlowRatio; ///< See PacketEvent::SlowRatio.
    Duration Took;    ///< Time since the ejection.
  };

  absl::flat_hash_map<ServiceId, ServiceSpeeds> Services;
  std::vector<ServerSpeed>
      Servers; ///< By index; may be shorter than the table.
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> Timers;
  std::vector<Report> Reports; ///< Since the last tick.
  TimePoint RefreshedAt;       ///< Last refresh of all speeds.
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETSPEEDS_H

#ifndef BALSAMRACK_PACKETS_FLOWEXPLANATION_H
#define BALSAMRACK_PACKETS_FLOWEXPLANATION_H

#include <optional>
#include <vector>

#include "Balsamrack/Decisions/OpeningAdmission.h"
#include "Balsamrack/Decisions/OpeningChoice.h"
#include "Balsamrack/Packets/PacketEvents.h"
#include "Balsamrack/Packets/PacketFlowTable.h"

namespace balsamrack {

/// A candidate server for a new flow, as seen by the placement.
struct ExplainedCandidate {
  ServerId Server;                        ///< Id of the server.
  OpeningRank Rank = OpeningRank::Normal; ///< Preference class of the server.
  double Wait = 0; ///< Expected wait in flows per slot, including
                   ///< added costs.
  uint32_t InProgress =
      0;             ///< Requests of this daemon in progress at the server.
  double Share = 0;  ///< Slots of the server assigned to this daemon.
  bool Near = true;  ///< In this daemon's failure domain.
  bool Cold = false; ///< Recently started and still slow.
  double Speed = 1;  ///< Measured speed relative to its peers.
  bool Best =
      false; ///< Among the best. A new flow goes to a random one of these.
};

/// Admission state of one service.
struct AdmissionStatus {
  ServiceId Service;      ///< The service.
  AdmissionInputs Inputs; ///< State of the service.
  bool Short = false;     ///< Room is short.
  double Load = 0;        ///< Smoothed load of this daemon's slots.
  double Limit = 0;       ///< Limit of the requests in progress if Short.
  size_t Waiting = 0;     ///< Openings that wait here.
};

/// What admission does with an opening, and its inputs.
struct ExplainedAdmission {
  bool Waits = false;         ///< The opening waits here; otherwise the rest
                              ///< describes a new opening of the flow.
  Duration WaitedFor{0};      ///< If it waits: for how long.
  uint32_t Priority = 0;      ///< Priority of the route.
  AdmissionForecast Forecast; ///< Expected treatment.
  AdmissionStatus Service;    ///< State of its service.
};

/// State of a flow in the router, and where a new flow would be sent now.
struct FlowExplanation {
  bool Known =
      false; ///< The flow is tracked; the next five members are then valid.
  FlowStage Stage = FlowStage::Opening; ///< State of the flow.
  ServerId HomeServer; ///< Destination of its packets; empty for none.
  uint32_t Tries = 0;  ///< Servers that its opening was sent to.
  Duration Age{0};     ///< Time since its first packet here.
  Duration Idle{0};    ///< Time since its last packet.

  PacketReason Refused =
      PacketReason::None; ///< Why a new flow would be reset or dropped; None if
                          ///< it would not.
  ServiceId Service;      ///< Service of a new flow; empty without a route.
  double OthersLoad = 0;  ///< Assumed load of other daemons' shares.
  uint64_t Version = 0;   ///< Version of the configuration in force.
  std::vector<ExplainedCandidate> Candidates; ///< In the order of the table.
  /// Empty if LoadSettings::Admission is off or its inputs are missing.
  std::optional<ExplainedAdmission> Admission;
};

/// Name of a stage in lower case. Thread-safe.
const char *flowStageName(FlowStage stage);
/// Name of a rank in lower case. Thread-safe.
const char *openingRankName(OpeningRank rank);

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_FLOWEXPLANATION_H

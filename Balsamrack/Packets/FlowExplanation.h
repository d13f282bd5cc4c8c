#ifndef BALSAMRACK_PACKETS_FLOWEXPLANATION_H
#define BALSAMRACK_PACKETS_FLOWEXPLANATION_H

#include <vector>

#include "Balsamrack/Decisions/OpeningChoice.h"
#include "Balsamrack/Packets/PacketEvents.h"
#include "Balsamrack/Packets/PacketFlowTable.h"

namespace balsamrack {

/// A server that a new flow could go to, as the placing sees it.
struct ExplainedCandidate {
  ServerId Server;                        ///< Which.
  OpeningRank Rank = OpeningRank::Normal; ///< See there.
  double Wait = 0;         ///< Expected, in flows a slot, costs included.
  uint32_t InProgress = 0; ///< Flows of this daemon that it works on.
  double Share = 0;        ///< Of its slots, this daemon's.
  bool Near = true;        ///< In this daemon's failure domain.
  bool Cold = false;       ///< Has just started and is slow.
  bool Best = false; ///< A new flow goes to one of the best, by chance where
                     ///< there are several.
};

/// What a router knows of a flow, and where a new one would go now.
struct FlowExplanation {
  bool Known = false;                   ///< The flow is remembered.
  FlowStage Stage = FlowStage::Opening; ///< Meaningful when known.
  ServerId HomeServer;                  ///< As above; where its packets go.
  uint32_t Tries = 0;                   ///< As above; see TrackedFlow.
  Duration Age{0};                      ///< As above; since it was seen first.
  Duration Idle{0};                     ///< As above; since its last packet.

  PacketReason Refused = PacketReason::None; ///< A new flow would be reset, or
                                             ///< dropped, for this.
  ServiceId Service;     ///< Of a new flow; empty without a route.
  double OthersLoad = 0; ///< How full others' shares are reckoned.
  uint64_t Version = 0;  ///< Of the configuration in force.
  std::vector<ExplainedCandidate> Candidates; ///< In the table's order.
};

/// Names in lower case. Thread-safe.
const char *flowStageName(FlowStage stage);
/// As above.
const char *openingRankName(OpeningRank rank);

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_FLOWEXPLANATION_H

#ifndef BALSAMRACK_PACKETS_PACKETFLOWTABLE_H
#define BALSAMRACK_PACKETS_PACKETFLOWTABLE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/OpeningCopies.h"
#include "Balsamrack/Packets/Packet.h"
#include "Balsamrack/Packets/PacketEvents.h"
#include "Balsamrack/Packets/RequestTracker.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// Index of a server in the router's ServerTable.
using ServerIndex = uint32_t;
/// No server.
constexpr ServerIndex NoServerIndex = UINT32_MAX;

/// State of a flow, as inferred from its caller's packets.
enum class FlowStage : uint8_t {
  Opening, ///< The opening was forwarded; it is not known which server the
           ///< caller has answered, if any.
  Open,    ///< The flow is open at TrackedFlow::Server.
  Closing, ///< The caller has closed or reset the flow.
  Relayed, ///< The caller has answered a server that only the daemon with the
           ///< opening knows. TrackedFlow::Server is none.
};

/// State of one tracked flow.
struct TrackedFlow {
  /// Maximum number of servers that one opening is sent to. With a tenth of all
  /// servers silent but not yet detected, the chance of selecting four of them
  /// in a row is one in 10,000.
  static constexpr size_t MaxTries = 4;

  std::array<ServerIndex, MaxTries> Tried{}; ///< The first Tries are valid.
  uint8_t Tries = 0; ///< Servers that the opening was sent to.
  FlowStage Stage = FlowStage::Opening; ///< State of the flow.
  bool IsRepeated = false; ///< Tried holds the servers of a further round only.
  bool IsAnswered = false; ///< A packet has shown that the caller has answered
                           ///< a server.
  bool IsCounted =
      false; ///< A request of the flow counts as in progress at Server.
  bool IsSampled = false; ///< Its request found a free slot and was not
                          ///< retransmitted, so its time is measured.
  bool IsOverdue = false; ///< Its request was recorded as slow.
  float LogQueue = 0;     ///< See SpeedSample::LogQueue.
  ServerEvidence Evidence = ServerEvidence::None; ///< How Server was found.
  ServerIndex Server = NoServerIndex; ///< Destination of its packets.
  uint32_t FirstSequence = 0; ///< Sequence number of the opening; distinguishes
                              ///< a new flow on the same ports from a copy.
                              ///< Zero if the opening is not known.
  uint32_t LastSequence = 0;  ///< Highest sequence number of an open flow.
  OpeningCopies Copies;       ///< Copies of the opening that arrived here.
  TimePoint UnansweredAt;     ///< The caller is known to have had no answer at
                              ///< this time; the epoch if not known.
  TimePoint OpenedAt;         ///< Time of the first copy, or of the adoption.
  TimePoint LastSeen;         ///< Time of the last packet.
  TimePoint LastSent;      ///< When a copy of the opening was last forwarded.
  RequestTracker Requests; ///< Tracks the requests of an open flow.
  TimePoint CountedAt;     ///< When the request was counted.

  /// True when the opening was sent to \p server.
  bool hasTried(ServerIndex server) const;
  /// True when \p head can belong to this flow, by its sequence number. A
  /// caller that uses its port again starts from another, random number.
  bool matches(const PacketHeader &head) const;
};

/// Bounded table of flows. An open flow that is not in it is routed by its
/// token, so removing one only loses its request count. Not thread-safe.
class PacketFlowTable {
public:
  explicit PacketFlowTable(size_t maxFlows) : MaxFlows(maxFlows) {}

  /// The flow, or null.
  TrackedFlow *find(const FlowKey &key);
  /// Called for a flow that is about to be removed.
  using RemovalCallback = std::function<void(TrackedFlow &flow)>;
  /// Adds a flow; null when the table is full. Precondition: it is not in the
  /// table.
  TrackedFlow *add(TimePoint now, const FlowKey &key);
  /// Makes room for one flow if the table is full: removes one that is not
  /// being opened and calls \p onRemove before. There is none if all that are
  /// checked are being opened.
  void makeRoom(TimePoint now, const RemovalCallback &onRemove);
  /// Removes a flow.
  void erase(const FlowKey &key) { Flows.erase(key); }
  /// Removes the flows at \p server; calls \p onErase for each before.
  void eraseFlowsAt(ServerIndex server, const RemovalCallback &onRemove);
  /// Number of flows.
  size_t size() const { return Flows.size(); }

  /// Returns how long a flow may be without a packet.
  using DurationOf = std::function<Duration(const TrackedFlow &)>;
  /// Called for each flow that has exceeded its idle time, or that is about to
  /// be removed (\p isRemoved).
  using IdleCallback = std::function<void(const FlowKey &key, TrackedFlow &flow,
                                          bool isRemoved)>;
  /// Checks the flows whose timers have expired: calls \p onIdle for each that
  /// had no packet for the duration \p idleLimit returns, and removes those
  /// without a packet for the duration \p retention returns.
  void processTimers(TimePoint now, const DurationOf &idleLimit,
                     const DurationOf &retention, const IdleCallback &onIdle);

private:
  /// When to check a flow.
  struct Timer {
    TimePoint At;
    FlowKey Key;
    friend bool operator>(const Timer &a, const Timer &b) {
      return a.At > b.At;
    }
  };
  bool isFull() const {
    // Timers of erased flows remain until they expire, so their number is
    // bounded too.
    return Flows.size() >= MaxFlows || Timers.size() >= MaxFlows;
  }

  /// Shortest time between two checks of a flow.
  static constexpr Duration MinTimerInterval{100'000};

  const size_t MaxFlows; ///< Capacity.
  absl::flat_hash_map<FlowKey, TrackedFlow> Flows;
  /// One for each flow, the earliest on top. Their durations differ widely, and
  /// a long one must not delay the others.
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> Timers;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETFLOWTABLE_H

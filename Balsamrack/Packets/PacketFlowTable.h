#ifndef BALSAMRACK_PACKETS_PACKETFLOWTABLE_H
#define BALSAMRACK_PACKETS_PACKETFLOWTABLE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"
#include "Balsamrack/Packets/RequestTracker.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// Number of a server in the router's table.
using ServerIndex = uint32_t;
/// No server.
constexpr ServerIndex NoServerIndex = UINT32_MAX;

/// Where a flow stands, as far as its caller's packets tell.
enum class FlowStage : uint8_t {
  Opening, ///< The opening was sent on; the caller has not answered its server.
  Open,    ///< The caller has answered its server.
  Closing, ///< The caller has ended or reset it.
};

/// The bit of an opening's copy \p n in TrackedFlow::CopiesSeen.
constexpr uint8_t copyBit(uint8_t n) { return static_cast<uint8_t>(1U << n); }

/// What is remembered of one flow.
struct TrackedFlow {
  /// Servers that may get copies of one opening: with a tenth of all servers
  /// silent and not yet known for it, four in a row are one in 10,000.
  static constexpr size_t MaxTries = 4;

  std::array<ServerIndex, MaxTries> Tried{}; ///< The first Tries are valid.
  uint8_t Tries = 0;                         ///< Servers that got the opening.
  uint8_t HighestCopy = 0; ///< Highest number of a copy of the opening.
  uint8_t CopiesSeen = 0;  ///< One bit for each copy that came here.
  FlowStage Stage = FlowStage::Opening; ///< See there.
  bool CopiesDelayed =
      false;              ///< Copies of the opening came at other times than
                          ///< callers send them: they had waited somewhere.
  bool IsCounted = false; ///< A request of it counts as in progress at Home.
  ServerIndex Server = NoServerIndex; ///< Where its packets go.
  uint32_t FirstSequence = 0; ///< Of the opening: tells a new flow on the same
                              ///< ports from a copy.
  Duration FirstAge{0};       ///< Age of the first copy that was seen here.
  TimePoint OpenedAt;         ///< First copy of the opening, or adoption.
  TimePoint LastSeen;         ///< Last packet.
  TimePoint LastSent;         ///< Last copy of the opening sent on.
  RequestTracker Requests;    ///< Of its requests.
  TimePoint CountedAt;        ///< Since when it is Counted.

  /// True when \p server got the opening.
  bool hasTried(ServerIndex server) const;
};

/// A bounded memory of flows. A flow that is not in it is found by its token,
/// so forgetting one costs nothing but its count. Not thread-safe.
class PacketFlowTable {
public:
  explicit PacketFlowTable(size_t most) : MaxFlows(most) {}

  /// The flow, or null.
  TrackedFlow *find(const FlowKey &key);
  /// Takes a flow in; null when the memory is full. Precondition: not in it.
  TrackedFlow *add(TimePoint now, const FlowKey &key);
  /// Forgets a flow.
  void erase(const FlowKey &key) { Flows.erase(key); }
  /// Number of flows.
  size_t size() const { return Flows.size(); }

  /// Says how long a flow may be without a packet.
  using DurationOf = std::function<Duration(const TrackedFlow &)>;
  /// Told of each flow whose quiet time is over, or that is about to be
  /// forgotten.
  using IdleCallback = std::function<void(const FlowKey &key, TrackedFlow &flow,
                                          bool forgotten)>;
  /// Looks at the flows whose turn it is: calls \p onQuiet for each that had no
  /// packet for \p quiet of it, and forgets those that were silent for \p keep.
  void processTimers(TimePoint now, const DurationOf &quiet,
                     const DurationOf &keep, const IdleCallback &onQuiet);

private:
  /// When to look at a flow.
  struct Timer {
    TimePoint At;
    FlowKey Key;
    friend bool operator>(const Timer &a, const Timer &b) {
      return a.At > b.At;
    }
  };
  /// Shortest time between two looks at a flow.
  static constexpr Duration MinTimerInterval{100'000};

  const size_t MaxFlows; ///< Bound.
  absl::flat_hash_map<FlowKey, TrackedFlow> Flows;
  /// One for each flow, the earliest on top: they are planned for very
  /// different spans, and a long one must not hold up the others.
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> Timers;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_PACKETFLOWTABLE_H

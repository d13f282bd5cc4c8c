#ifndef BALSAMRACK_PACKETS_HELDOPENINGS_H
#define BALSAMRACK_PACKETS_HELDOPENINGS_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Packets/OpeningQueue.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// An opening that waits for room at the servers of its service.
struct HeldOpening {
  BufferedOpening Opening;  ///< The packet.
  OpeningCopies Copies;     ///< Its copies that have arrived.
  uint64_t Id = 0;          ///< Its OpeningRequest::Id.
  ServiceId Service;        ///< Service that it was queued for.
  TimePoint ArrivedAt;      ///< When it arrived here.
  TimePoint RefusableUntil; ///< See OpeningRequest.
};

/// The packets of the openings that wait in OpeningAdmission, by id and by
/// flow. Not thread-safe.
class HeldOpenings {
public:
  /// Adds an opening. Precondition: its id is new.
  void add(const HeldOpening &opening);
  /// The opening of \p flow; null for none.
  HeldOpening *find(const FlowKey &flow);
  /// Removes and returns the opening with \p id; nothing if there is none.
  std::optional<HeldOpening> take(uint64_t id);
  /// Number of openings.
  size_t size() const { return ById.size(); }
  /// True if there is none.
  bool empty() const { return ById.empty(); }

private:
  absl::flat_hash_map<uint64_t, HeldOpening> ById;
  absl::flat_hash_map<FlowKey, uint64_t> IdByFlow;
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_HELDOPENINGS_H

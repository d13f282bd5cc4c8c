#ifndef BALSAMRACK_MEMBERSHIP_PROBEORDER_H
#define BALSAMRACK_MEMBERSHIP_PROBEORDER_H

#include <functional>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Membership/MemberView.h"

namespace balsamrack {

/// Whom to probe next: each member once a round, in an order that is shuffled
/// anew each round (SWIM, section 4.3), which bounds the time until a given
/// member is probed. Not thread-safe.
class ProbeOrder {
public:
  /// Says which members take part.
  using Filter = std::function<bool(const MemberView &)>;

  /// The next member that \p filter, or nothing when there is none. Not
  /// thread-safe.
  std::optional<EntryVm> next(const MemberMap &members, const Filter &filter,
                              RandomSource &random);

private:
  std::vector<VmId>
      RemainingInRound; ///< Left of this round; taken from the end.
};

/// Up to \p count different members that \p filter, at random. Thread-safe
/// but for \p random.
std::vector<EntryVm> pickRandom(const MemberMap &members,
                                const ProbeOrder::Filter &filter, size_t count,
                                RandomSource &random);

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_PROBEORDER_H

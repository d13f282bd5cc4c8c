#ifndef BALSAMRACK_MEMBERSHIP_PROBEORDER_H
#define BALSAMRACK_MEMBERSHIP_PROBEORDER_H

#include <functional>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Membership/MemberView.h"

namespace balsamrack {

/// Round-robin probe order, reshuffled each round (SWIM, section 4.3). Each
/// member is probed once a round, which bounds the time until a failure is
/// detected. Not thread-safe.
class ProbeOrder {
public:
  /// Selects the members to probe.
  using Filter = std::function<bool(const MemberView &)>;

  /// Returns the next member that \p filter accepts, or nothing if there is
  /// none. Not thread-safe.
  std::optional<EntryVm> next(const MemberMap &members, const Filter &filter,
                              RandomSource &random);

private:
  std::vector<VmId> RemainingInRound; ///< Remaining members of this round,
                                      ///< removed from the end.
};

/// Returns up to \p count distinct random members that \p filter accepts.
/// Thread-safe but for \p random.
std::vector<EntryVm> pickRandom(const MemberMap &members,
                                const ProbeOrder::Filter &filter, size_t count,
                                RandomSource &random);

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_PROBEORDER_H

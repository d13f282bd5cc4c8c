#ifndef BALSAMRACK_DECISIONS_SLOTSHARES_H
#define BALSAMRACK_DECISIONS_SLOTSHARES_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace balsamrack {

/// Computes the part of each server's slots that one daemon counts as its own.
///
/// Guards against poor balance when many daemons each see few flows, such as
/// nine daemons with a ninth of the flows each before servers with two slots
/// each. Choosing the least loaded server by its own counts alone, a daemon
/// sees nearly all servers at zero and chooses blindly: at half load, every
/// third flow then waits behind two others while slots are idle elsewhere. With
/// shares, a daemon's own counts cover nearly all load on its servers, and
/// daemons need not exchange load information.
///
/// All slots of a service form a line ordered by failure domain, and so do the
/// daemons; each daemon owns an equal contiguous range. Both orders start with
/// the same domains, so a daemon's range lies mostly in its own failure domain.
/// If the daemons' views differ for a moment, shares merely overlap, since a
/// share is only a preference.
///
/// \p slots holds the slots of each server in order, \p daemons the number of
/// daemons and \p self the index of this daemon among them. Returns this
/// daemon's slots of each server. Precondition: self < daemons. Pure,
/// thread-safe.
std::vector<double> slotShares(const std::vector<uint32_t> &slots,
                               size_t daemons, size_t self);

/// Consecutive daemons with the same weight: those of one failure domain.
struct WeightedDaemons {
  size_t Daemons = 0; ///< Number of daemons.
  double Weight = 1;  ///< Relative length of each daemon's range.
};

/// As above, with ranges that are proportional to the daemons' weights. The
/// order of the ranges stays the same, so that the ranges of heavier domains
/// extend into the neighbouring domains' servers. \p groups are in the order of
/// the daemons. Ranges are equal, exactly as above, if all weights are equal,
/// any of them is not positive and finite, or the groups do not have \p daemons
/// daemons in all. Precondition: self < daemons. Pure, thread-safe.
std::vector<double> slotShares(const std::vector<uint32_t> &slots,
                               size_t daemons, size_t self,
                               const std::vector<WeightedDaemons> &groups);

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SLOTSHARES_H
